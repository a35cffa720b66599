// Package crowd_test checks that a node survives callers that nobody controls. It
// starts the program of a node with stand-ins for the store and the upstream in
// the test's process, and sends it what such callers have sent.
//
// The tests run one at a time. They check that the process lives, that its memory
// and its open descriptors stay under a bound, and that an ordinary request is
// served while the crowd's connections are still open.
package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/platform/fake"
)

const (
	// memoryMegabytes is the memory in the settings, the smallest that they allow,
	// and the bound on the largest resident size of the process.
	memoryMegabytes = 64
	// maxDescriptors is the bound on the open descriptors of the process.
	maxDescriptors = 400
	// grace is the time from SIGTERM in which the process must exit by itself.
	grace = 6 * time.Second
	// maxBodyBytes is the limit of the configuration. The memory of a node with
	// 184 MB and a limit of 64 MiB has the same proportion to it.
	maxBodyBytes = 20 << 20
	// awaitTimeout bounds the wait for an ordinary request to be served. It is
	// generous, since the tests don't measure time.
	awaitTimeout = 60 * time.Second
	// largeResponse is the size of the responses that slow readers request.
	largeResponse = 4 << 20
	upstreamSlots = 50
)

// bin is the directory of the program.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadahall-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := procs.Build(dir, "../../cmd/cicadahall"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	bin = dir
	return m.Run()
}

// system is a node's process with its stand-ins.
type system struct {
	t                            *testing.T
	process                      *procs.Process
	settingsPath                 string
	callers, beats, ready, peers string
	store                        *fake.Store
	upstream                     *fake.Upstream
	megabytes                    int
	sequence                     int
	client                       http.Client
	descriptors                  atomic.Int64
}

const configuration = `{"version":"r1","limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"shop.example","rules":[
 {"name":"read","kind":"safe","target_latency_ms":500,"priority":1,"match":{"prefix":"/read/"},"action":{"service":"counter","timeout_ms":3000,"max_attempts":2}},
 {"name":"book","kind":"unsafe","target_latency_ms":500,"priority":0,"match":{"prefix":"/book/"},"action":{"service":"counter","timeout_ms":9000,"max_attempts":2}}]}],
"clusters":[{"name":"counter","health_path":"/health","max_conns":50,"cold_start_s":3,"cold_per_s":6}]}`

func start(t *testing.T) *system { return startWith(t, memoryMegabytes, maxBodyBytes) }

// startWith starts a node with the given memory and limit of bodies.
func startWith(t *testing.T, megabytes, bodyLimit int) *system {
	s := &system{t: t, megabytes: megabytes, store: fake.NewStore(), client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	s.store.Put("op", "config", fmt.Sprintf(configuration, bodyLimit))
	body := bytes.Repeat([]byte("x"), largeResponse)
	s.upstream = fake.NewUpstream("i-0", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = w.Write(body)
			return
		}
		_, _ = io.WriteString(w, "ok")
	})
	s.upstream.SetLoad(fmt.Sprintf("0,0,%d,100", upstreamSlots))
	for _, a := range []*string{&s.callers, &s.beats, &s.ready, &s.peers} {
		var err error
		*a, err = procs.FreeAddress()
		assert.NilError(t, err)
	}
	s.settingsPath = filepath.Join(t.TempDir(), "settings.json")
	s.writeSettings("info")
	var err error
	s.process, err = procs.Start(t.ArtifactDir(), "node", procs.LineWatch{}, filepath.Join(bin, "cicadahall"), "side", "--settings", s.settingsPath)
	assert.NilError(t, err)
	stop := make(chan struct{})
	go s.sampleDescriptors(stop)
	t.Cleanup(func() {
		close(stop)
		s.process.Kill()
		s.upstream.Close()
		s.store.Close()
	})
	s.awaitServed()
	return s
}

func (s *system) writeSettings(level string) {
	text, err := json.Marshal(map[string]any{
		"node": "n0", "service": "counter", "domain": "d0", "region": "r", "upstream": s.upstream.Address(),
		"listen":    map[string]string{"callers": s.callers, "beats": s.beats, "ready": s.ready, "peers": s.peers},
		"store":     map[string]string{"address": s.store.Address()},
		"heartbeat": "1s", "grace": grace.String(), "probes": 60, "log": level,
		"memory": s.megabytes, "descriptors": maxDescriptors, "pipelined": 8,
	})
	assert.NilError(s.t, err)
	next := s.settingsPath + ".next"
	assert.NilError(s.t, os.WriteFile(next, text, 0o600))
	assert.NilError(s.t, os.Rename(next, s.settingsPath))
}

// sendBeat sends a heartbeat of the upstream.
func (s *system) sendBeat() {
	s.sequence++
	r, err := http.NewRequest(http.MethodPut, "http://"+s.beats+"/api/instances/"+s.upstream.Instance, strings.NewReader(fmt.Sprintf(
		`{"address":%q,"born":1000,"info":{"service":"counter","version":"v1","zone":"d","slots":%d},"status":{"state":"ready","sequence":%d,"cold_left_ms":0}}`,
		s.upstream.Address(), upstreamSlots, s.sequence)))
	assert.NilError(s.t, err)
	if resp, err := s.client.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}

// awaitServed sends heartbeats and ordinary requests until one is answered with
// 200.
func (s *system) awaitServed() {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(50 * time.Millisecond) {
		assert.Assert(s.t, s.process.Running(), "the process has ended: %s", s.process.Tail())
		assert.Assert(s.t, time.Now().Before(end), "no ordinary request is served: %s", s.process.Tail())
		s.sendBeat()
		r, err := http.NewRequest(http.MethodGet, "http://"+s.callers+"/read/x", nil)
		assert.NilError(s.t, err)
		r.Host = "shop.example"
		r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", s.sequence))
		r.Header.Set("X-Deadline-Ms", "2500")
		resp, err := s.client.Do(r)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
}

// descriptorInterval is the time between two counts of the open descriptors.
const descriptorInterval = 10 * time.Millisecond

// sampleDescriptors records the largest number of open descriptors.
func (s *system) sampleDescriptors(stop <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/fd", s.process.PID())
	for {
		select {
		case <-stop:
			return
		case <-time.After(descriptorInterval):
		}
		if entries, err := os.ReadDir(path); err == nil {
			s.descriptors.Store(max(s.descriptors.Load(), int64(len(entries))))
		}
	}
}

// peakBytes returns the largest resident size of the process so far.
func (s *system) peakBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.PID()))
	assert.NilError(s.t, err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			assert.NilError(s.t, err)
			return kilobytes << 10
		}
	}
	s.t.Fatal("the process has no VmHWM: " + s.process.State())
	return 0
}

// check fails the test if the process has ended or has exceeded a bound.
func (s *system) check() {
	s.t.Helper()
	assert.Assert(s.t, s.process.Running(), "the process has ended: %s", s.process.Tail())
	peak, descriptors := s.peakBytes(), s.descriptors.Load()
	s.t.Logf("peak of %.1f MB and %d descriptors", float64(peak)/1e6, descriptors)
	assert.Check(s.t, peak < int64(s.megabytes)*1_000_000, "the process has used %d bytes", peak)
	assert.Check(s.t, descriptors <= maxDescriptors, "the process has opened %d descriptors", descriptors)
}

func (s *system) signal(sig syscall.Signal) { assert.NilError(s.t, s.process.Signal(sig)) }
