package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/stand"
)

const (
	processMemory = "resident memory of a node"
	processTime   = "processor time of a node without traffic"
	processReads  = "platform reads of all nodes in the worst second after a common start"
	processWrites = "platform writes of all nodes in the worst second after a common start"
	processScans  = "platform scans of all nodes in the worst second after a common start"
)

var processRows = []string{processMemory, processTime, processReads, processWrites, processScans}

const (
	// processSettle is the time from the start until the nodes are at rest.
	processSettle = 10 * time.Second
	// processMeasured is the time over which the processor time is measured.
	processMeasured = 20 * time.Second
	// announceEvery is the heartbeat of the upstreams.
	announceEvery = 200 * time.Millisecond
	// stopLimit bounds the wait for a node after SIGTERM.
	stopLimit = 10 * time.Second
	// firstPort and lastPort are below the range of outgoing connections.
	firstPort = 20000
	lastPort  = 32000
	// portSpread keeps two runs on one machine apart.
	portSpread = 8000
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
)

// processSizes are the numbers of real node processes.
var processSizes = []int{5, 15, 30}

func measureProcess(ctx context.Context, o Options) ([]Series, error) {
	var b board
	for _, s := range []Series{
		{Name: processMemory, Unit: "B", Carrier: "one process a node"},
		{Name: processTime, Unit: "µs/s", Carrier: "ticks of 50 ms (idle exit) to 250 ms (moves), one heartbeat in 200 ms"},
		{Name: processReads, Unit: "/s", Carrier: "scan, get and scan of each node; first head read spread over 4 s"},
		{Name: processWrites, Unit: "/s", Carrier: "5 ms for each row found, which is nothing on an empty table"},
		{Name: processScans, Unit: "/s", Carrier: "none for the first scan; 5 ms for each row found before the second"},
	} {
		s.By, s.Size = "nodes", members
		if s.Name == processMemory || s.Name == processTime {
			// What grows with the members is measured by the other roles; three
			// sizes up to 30 would give a poor slope for it.
			s.Size = float64(processSizes[len(processSizes)-1])
		}
		b.define(s)
	}
	for _, n := range processSizes {
		if err := runProcesses(ctx, &b, o, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// platform counts the calls to the stand-ins by second.
type platform struct {
	mu    sync.Mutex
	began time.Time
	calls map[string]map[int]int
}

func (p *platform) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		kind := "reads"
		if r.URL.Path == "/commit" || r.Method == http.MethodPut {
			kind = "writes"
		}
		p.note(kind)
		if r.URL.Path == "/scan" {
			p.note("scans")
		}
		p.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

func (p *platform) note(kind string) {
	if p.calls[kind] == nil {
		p.calls[kind] = map[int]int{}
	}
	p.calls[kind][int(time.Since(p.began)/time.Second)]++
}

func (p *platform) peak(kind string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, n := range p.calls[kind] {
		most = max(most, n)
	}
	return float64(most)
}

// nodes are real processes on loopback.
type nodes struct {
	commands []*exec.Cmd
	locals   []string
	port     int
}

func runProcesses(ctx context.Context, b *board, o Options, n int) (err error) {
	p := &platform{began: time.Now(), calls: map[string]map[int]int{}}
	w, err := newWire(p.count(stand.NewPlatform().Handler()))
	if err != nil {
		return err
	}
	defer w.Close()
	s := &nodes{port: firstPort + os.Getpid()%portSpread}
	limited, cancel := context.WithCancel(ctx)
	var announcing sync.WaitGroup
	defer announcing.Wait()
	defer cancel()
	defer s.stop()
	for i := range n {
		if err := s.start(o, w.address, i); err != nil {
			return err
		}
	}
	announcing.Go(func() { s.announce(limited) })
	if err := pause(ctx, processSettle); err != nil {
		return err
	}
	before, err := s.used()
	if err != nil {
		return err
	}
	if err := pause(ctx, processMeasured); err != nil {
		return err
	}
	after, err := s.used()
	if err != nil {
		return err
	}
	b.add(processMemory, n, after.memory/float64(n))
	b.add(processTime, n, (after.busy-before.busy)/float64(n)/processMeasured.Seconds())
	b.add(processReads, n, p.peak("reads"))
	b.add(processWrites, n, p.peak("writes"))
	b.add(processScans, n, p.peak("scans"))
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// address returns the next loopback address that is free for TCP and UDP.
func (s *nodes) address() (string, error) {
	for ; s.port < lastPort; s.port++ {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(s.port))
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", a)
		if err != nil {
			continue
		}
		_ = u.Close()
		s.port++
		return a, nil
	}
	return "", oops.In("slope").With("step", "reserve port").Errorf("no free port from %d to %d", firstPort, lastPort)
}

func (s *nodes) start(o Options, platform string, i int) error {
	listen := map[string]string{}
	for _, name := range []string{"callers", "peers", "gossip", "local", "admin"} {
		a, err := s.address()
		if err != nil {
			return err
		}
		listen[name] = a
	}
	m := memberOf(i, services)
	body, err := json.Marshal(map[string]any{
		"node": m.Node, "domain": m.Domain, "region": m.Region, "listen": listen, "log": "warn",
		"platform": map[string]string{"table": "http://" + platform, "objects": "http://" + platform},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(o.Dir, fmt.Sprintf("node-%d.json", i))
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return err
	}
	c := exec.Command(filepath.Join(o.Bin, "cicadahall"), "node", file)
	// The node ends with this process, also if that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return oops.In("slope").With("step", "start", "peer", m.Node).Wrap(err)
	}
	s.commands = append(s.commands, c)
	s.locals = append(s.locals, listen["local"])
	return nil
}

// announce sends the heartbeats of the upstreams.
func (s *nodes) announce(ctx context.Context) {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		for i, a := range s.locals {
			m := memberOf(i, services)
			body := fmt.Sprintf(`{"service":%q,"version":"v1","slots":10,"address":"127.0.0.1:9","start":"1"}`, m.Service)
			r, err := client.Post("http://"+a+"/announce", "application/json", bytes.NewBufferString(body))
			if err == nil {
				_ = r.Body.Close()
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stop ends the nodes that were started here and waits for them.
func (s *nodes) stop() {
	var all sync.WaitGroup
	for _, c := range s.commands {
		_ = c.Process.Signal(syscall.SIGTERM)
		ended := atomic.Bool{}
		all.Go(func() {
			t := time.AfterFunc(stopLimit, func() {
				if !ended.Load() {
					_ = c.Process.Kill()
				}
			})
			defer t.Stop()
			_ = c.Wait()
			ended.Store(true)
		})
	}
	all.Wait()
}

// usage is what all nodes use together: bytes, and microseconds since their start.
type usage struct {
	memory float64
	busy   float64
}

func (s *nodes) used() (usage, error) {
	var sum usage
	for _, c := range s.commands {
		dir := filepath.Join("/proc", strconv.Itoa(c.Process.Pid))
		stat, err := os.ReadFile(filepath.Join(dir, "stat"))
		if err != nil {
			return usage{}, oops.In("slope").With("step", "read usage", "process", c.Process.Pid).Wrap(err)
		}
		// The fields follow the name in parentheses: 12 and 13 are the user and
		// system time in ticks, 22 is the resident memory in pages.
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		if len(fields) < 22 {
			return usage{}, oops.In("slope").With("step", "read usage", "process", c.Process.Pid).Errorf("%d fields", len(fields))
		}
		for _, f := range fields[11:13] {
			ticks, err := strconv.ParseFloat(f, 64)
			if err != nil {
				return usage{}, err
			}
			sum.busy += ticks * 1e6 / ticksPerSecond
		}
		pages, err := strconv.ParseFloat(fields[21], 64)
		if err != nil {
			return usage{}, err
		}
		sum.memory += pages * float64(os.Getpagesize())
	}
	return sum, nil
}
