// Package chaos provides the failure tests with a small system of real processes
// under load, with faults of its parts, and with a check of the outcomes reported
// to callers against the executions at the upstreams.
package chaos

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/internal/stand"
)

const (
	// waitTimeout bounds the wait for a condition. It is generous, because no
	// test asserts how long a condition takes.
	waitTimeout = 2 * time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// defaultRate is the load in requests per second, far below the capacity
	// of the system.
	defaultRate = 120
)

// Options configure a System. Bin is the directory of the programs; Dir receives
// settings and logs.
type Options struct {
	Bin  string
	Dir  string
	Seed uint64
	// V2Instances is the number of counter instances of version v2.
	V2Instances int
	// Rate is the number of requests per second; 0 means defaultRate.
	Rate int
	// Prepare is called for each worker before it starts.
	Prepare func(*procs.System, *procs.Instance)
	// Kinds limits the load to the named kinds of requests; empty means all.
	Kinds []string
	// Timeout is the request timeout that callers send; 0 means the default of
	// procs.Load.
	Timeout time.Duration
}

// System is a running system under load. Manifest is the manifest that Apply
// publishes.
type System struct {
	*procs.System
	Manifest procs.Manifest
	Load     *procs.Load

	manifestCount int
	stopLoad      context.CancelFunc
	loadDone      chan struct{}
	once          sync.Once
	report        Report
}

// Report is the result of a run.
type Report struct {
	procs.Totals
	procs.Mismatches
	// LowerRevisions counts the times that a node process adopted a revision
	// not higher than its previous one.
	LowerRevisions int
}

// Start starts the platform, three instances of counter and two of workshop,
// publishes the manifest, waits until all nodes are ready, and starts the load.
// It returns after warmupRequests have completed.
func Start(o Options) (*System, error) {
	s := &System{System: procs.NewSystem(o.Dir, o.Bin), Manifest: procs.NewManifest(), loadDone: make(chan struct{})}
	if err := s.start(o); err != nil {
		s.Processes.KillAll()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stopLoad = stop
	s.Load = procs.NewLoad(o.Seed, s.Entries())
	s.Load.Reroute = true
	s.Load.Kinds = o.Kinds
	s.Load.Timeout = cmp.Or(o.Timeout, s.Load.Timeout)
	go func() {
		defer close(s.loadDone)
		s.Load.Run(ctx, cmp.Or(o.Rate, defaultRate))
	}()
	return s, s.WaitCompleted(warmupRequests)
}

// warmupRequests is the number of completed requests before a test injects a
// fault.
const warmupRequests = 200

func (s *System) start(o Options) error {
	if err := s.StartPlatform(); err != nil {
		return err
	}
	for _, g := range []struct {
		service, version string
		count            int
	}{{"counter", "v1", 3}, {"workshop", "v1", 2}, {"counter", "v2", o.V2Instances}} {
		for i := range g.count {
			w := &procs.Instance{
				Name:    fmt.Sprintf("%s-%s-%d", g.service, g.version, i+1),
				Service: g.service,
				Version: g.version,
				Domain:  procs.Domains[i],
				Slots:   10,
			}
			if o.Prepare != nil {
				o.Prepare(s.System, w)
			}
			if err := s.StartInstance(w); err != nil {
				return err
			}
		}
	}
	if a := s.Apply(); a.ExitCode != 0 {
		return oops.With("step", "apply", "peer", s.Table).Errorf("%s", a.Output)
	}
	return s.AwaitReady()
}

// AwaitReady waits until every node is ready.
func (s *System) AwaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return s.WaitReady(ctx)
}

// ApplyResult is the result of an apply command. ExitCode is -1 if the command
// could not be run.
type ApplyResult struct {
	ExitCode int
	Output   string
}

// Apply writes the manifest to a file and runs the apply command for it. The
// given flags override the default ones.
func (s *System) Apply(flags ...string) ApplyResult {
	s.manifestCount++
	path, err := s.WriteJSON(fmt.Sprintf("manifest-%d.json", s.manifestCount), s.Manifest)
	if err != nil {
		return ApplyResult{ExitCode: -1, Output: err.Error()}
	}
	return s.ApplyFile(path, flags...)
}

// ApplyFile runs the apply command for a manifest file.
func (s *System) ApplyFile(path string, flags ...string) ApplyResult {
	args := []string{
		"apply", "--table", "http://" + s.Table, "--objects", "http://" + s.Objects,
		"--peer", s.Instances[0].Peers,
	}
	text, err := s.Command(context.Background(), append(append(args, flags...), path)...)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		return ApplyResult{ExitCode: exit.ExitCode(), Output: text}
	case err != nil:
		return ApplyResult{ExitCode: -1, Output: err.Error()}
	default:
		return ApplyResult{Output: text}
	}
}

// WaitUntil waits until holds returns true. The error after waitTimeout names the
// condition.
func (s *System) WaitUntil(state string, holds func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			return oops.With("step", "wait", "peer", state).Errorf("%s: condition not reached in time", state)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitCompleted waits until n more requests have completed.
func (s *System) WaitCompleted(n int) error {
	target := s.Load.Completed() + n
	return s.WaitUntil("more requests completed", func() bool { return s.Load.Completed() >= target })
}

// Runs returns the number of requests that the upstream process of a worker has
// executed, or 0 if it doesn't respond.
func (s *System) Runs(w *procs.Instance) int {
	resp, err := http.Get("http://" + w.Address + "/tally")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var t stand.Tally
	if json.NewDecoder(resp.Body).Decode(&t) != nil {
		return 0
	}
	return t.Runs
}

// WaitForRuns waits until the upstream of a worker executes new requests.
func (s *System) WaitForRuns(w *procs.Instance) error {
	before := s.Runs(w)
	return s.WaitUntil(w.Name+" executes requests", func() bool { return s.Runs(w) > before })
}

// SetPlatformFault sets the fault of both services of the platform.
func (s *System) SetPlatformFault(f stand.PlatformFault) error {
	return errors.Join(Post(s.Table, "/fault", f), Post(s.Objects, "/fault", f))
}

// Post sends a JSON message to a stand-in or to the local port of a node. A
// status of 400 or above is an error.
func Post(address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return oops.With("step", "post", "peer", address).Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return oops.With("step", "post", "peer", address).Errorf("status %s", resp.Status)
	}
	return nil
}

// StopUsing removes the node of w from the entries that callers use, and waits
// until the requests in flight to it have completed.
func (s *System) StopUsing(w *procs.Instance) error {
	s.Load.SetEntries(slices.DeleteFunc(s.Entries(), func(e string) bool { return e == w.Callers }))
	return s.WaitUntil(w.Name+" has no requests in flight", func() bool { return !s.Load.InUse(w.Callers) })
}

// Finish stops the load, kills all processes and returns the report. Further
// calls return the same report.
func (s *System) Finish() Report {
	s.once.Do(func() {
		s.stopLoad()
		<-s.loadDone
		s.Processes.KillAll()
		s.report = Report{Totals: s.Load.Totals(), Mismatches: s.Load.CountMismatches(s.RunsByOrder()), LowerRevisions: s.countLowerRevisions()}
	})
	return s.report
}

// adoptedRevision matches the log lines of a node that record an adopted
// revision.
var adoptedRevision = regexp.MustCompile(`event=manifest-adopted revision=(\d+)`)

// countLowerRevisions counts the adoptions of a revision that isn't higher than
// the previous one of the same process. Each process has its own log file, so a
// restarted node is checked only from the first revision that it learns.
func (s *System) countLowerRevisions() int {
	logs, _ := filepath.Glob(filepath.Join(s.Dir, "*-node-*.log"))
	count := 0
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		last := 0
		for _, m := range adoptedRevision.FindAllSubmatch(text, -1) {
			r, _ := strconv.Atoi(string(m[1]))
			if r <= last {
				count++
			}
			last = r
		}
	}
	return count
}
