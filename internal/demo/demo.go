// Package demo runs a complete system on loopback through typical changes and
// failures: a failure domain out and in, a version move, a drain and a kill. It
// checks the outcomes that callers receive against the executions at upstreams.
// It is a test program and not part of the product's binary.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/internal/procs"
)

// Options configure a run of the demo.
type Options struct {
	// Bin is the directory of the programs.
	Bin string
	// Dir receives settings, logs and the timeline.
	Dir string
	// Rate is the number of requests per second.
	Rate int
	// Seed determines the sequence of requests.
	Seed uint64
	// Out receives the progress output.
	Out io.Writer
}

// Result is the result of a run of the demo.
type Result struct {
	procs.Totals
	// DuplicateRuns counts at-most-once orders that ran more than once.
	DuplicateRuns int `json:"twice"`
	// FalseNotRun counts orders that ran but were reported as not run.
	FalseNotRun int `json:"false"`
	// BrokenBeforeKill counts requests without an HTTP response before the first
	// instance was killed.
	BrokenBeforeKill int `json:"cut"`
	// LateDomainRuns counts executions in the failure domain that was out, from
	// domainGrace after its removal.
	LateDomainRuns int `json:"late"`
	// MoveOutcome is the outcome of the version move.
	MoveOutcome string `json:"outcome"`
	// LeftProcesses counts processes that had to be killed at the end.
	LeftProcesses int `json:"left"`
	// P50 and P99 are latency percentiles of successful requests.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Violations lists the violated requirements, one text each.
	Violations []string `json:"violations"`
}

const (
	// domainGrace is the time after which a failure domain that is out must get
	// no requests.
	domainGrace = 2 * time.Second
	// domainObserveTime is how long the failure domain is observed after
	// domainGrace.
	domainObserveTime = 2 * time.Second
	// observeTime is the length of the phases without a change.
	observeTime = 2 * time.Second
	// moveTime is the time from the start of the move to its deadline.
	moveTime = 28 * time.Second
	// killObserveTime is how long the load continues after an instance was
	// killed.
	killObserveTime = 3 * time.Second
	// outDomain is the failure domain that is taken out and back in.
	outDomain = "mvd-b"
)

// scenario is the state of one run of the demo.
type scenario struct {
	opts     Options
	system   *procs.System
	load     *procs.Load
	manifest procs.Manifest
	result   Result
	ctx      context.Context
	stop     context.CancelFunc
	loadDone chan struct{}
}

// Run starts a system, runs all steps of the demo, stops the system and checks the
// result. Violations are no error.
func Run(ctx context.Context, o Options) (Result, error) {
	c := &scenario{opts: o, system: procs.NewSystem(o.Dir, o.Bin), loadDone: make(chan struct{})}
	c.ctx, c.stop = context.WithCancel(ctx)
	defer c.stop()
	err := c.runSteps()
	c.stop()
	c.result.LeftProcesses += c.system.Processes.KillAll()
	if err != nil {
		return c.result, err
	}
	c.checkResult()
	return c.result, nil
}

func (c *scenario) runSteps() error {
	steps := []struct {
		text string
		run  func() error
	}{
		{"start the platform, 12 instances and 4 of the next version", c.startAll},
		{"publish the manifest", c.publish},
		{"send load", c.startLoad},
		{"take failure domain " + outDomain + " out", c.domainOut},
		{"take failure domain " + outDomain + " back in", c.domainBack},
		{"move counter from v1 to v2", c.move},
		{"drain an instance", c.drainOne},
		{"kill an instance", c.killOne},
		{"stop the load and write the timeline", c.collect},
		{"stop all processes", c.stopAll},
	}
	started := time.Now()
	for _, s := range steps {
		fmt.Fprintf(c.opts.Out, "%5.1fs  %s\n", time.Since(started).Seconds(), s.text)
		if err := s.run(); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.opts.Out, "%5.1fs  done\n", time.Since(started).Seconds())
	return nil
}

func (c *scenario) startAll() error {
	if err := c.system.StartPlatform(); err != nil {
		return err
	}
	add := func(service, version string, count int) error {
		for i := range count {
			w := &procs.Instance{
				Name:    fmt.Sprintf("%s-%s-%d", service, version, i+1),
				Service: service,
				Version: version,
				Domain:  procs.Domains[i%len(procs.Domains)],
				Slots:   10,
			}
			if err := c.system.StartInstance(w); err != nil {
				return err
			}
		}
		return nil
	}
	for _, f := range []func() error{
		func() error { return add("counter", "v1", 8) },
		func() error { return add("workshop", "v1", 4) },
		func() error { return add("counter", "v2", 4) },
	} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (c *scenario) publish() error {
	c.manifest = procs.NewManifest()
	if err := c.apply(); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(c.ctx, readyTimeout)
	defer cancel()
	return c.system.WaitReady(limit)
}

// readyTimeout bounds the wait for all nodes and for commands. It is far above the
// time that they need.
const readyTimeout = 30 * time.Second

func (c *scenario) apply() error {
	path, err := c.system.WriteJSON("manifest.json", c.manifest)
	if err != nil {
		return err
	}
	out, err := c.system.Command(c.ctx, "apply",
		"--table", "http://"+c.system.Table, "--objects", "http://"+c.system.Objects,
		"--peer", c.system.Instances[0].Peers, path)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	fmt.Fprintf(c.opts.Out, "        %s\n", lines[len(lines)-1])
	return nil
}

func (c *scenario) startLoad() error {
	c.load = procs.NewLoad(c.opts.Seed, c.system.Entries())
	go func() {
		defer close(c.loadDone)
		c.load.Run(c.ctx, c.opts.Rate)
	}()
	c.pause(observeTime)
	return nil
}

func (c *scenario) domainOut() error {
	c.manifest.SetDomain(outDomain, "out")
	if err := c.apply(); err != nil {
		return err
	}
	c.pause(domainGrace)
	before, err := c.system.DomainRuns(outDomain)
	if err != nil {
		return err
	}
	c.pause(domainObserveTime)
	after, err := c.system.DomainRuns(outDomain)
	c.result.LateDomainRuns = after - before
	return err
}

func (c *scenario) domainBack() error {
	c.manifest.SetDomain(outDomain, "in")
	if err := c.apply(); err != nil {
		return err
	}
	c.pause(observeTime)
	return nil
}

func (c *scenario) move() error {
	c.manifest.AddMove(time.Now().UTC(), moveTime)
	if err := c.apply(); err != nil {
		return err
	}
	out, err := c.system.Command(c.ctx, "status", "--peer", c.system.Instances[0].Peers,
		"--wait", procs.MoveName, "--limit", (moveTime + readyTimeout).String(), "--output", "json")
	if err != nil {
		return err
	}
	c.result.MoveOutcome = parseMoveOutcome(out)
	fmt.Fprintf(c.opts.Out, "        move %s: %s\n", procs.MoveName, c.result.MoveOutcome)
	return nil
}

// parseMoveOutcome returns the outcome of the move from the last line of the
// status command's output, or "" if there is none.
func parseMoveOutcome(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	var s struct {
		Moves []struct {
			Name    string `json:"name"`
			Outcome string `json:"outcome"`
		} `json:"moves"`
	}
	if json.Unmarshal([]byte(lines[len(lines)-1]), &s) != nil {
		return ""
	}
	for _, m := range s.Moves {
		if m.Name == procs.MoveName {
			return m.Outcome
		}
	}
	return ""
}

// drainOne stops one instance as planned, first the upstream, then the node.
// Before that, callers stop using the node, as with a load balancer in front of
// the nodes.
func (c *scenario) drainOne() error {
	w := c.system.Instances[8]
	c.load.SetEntries(without(c.system.Entries(), w.Callers))
	c.pause(observeTime)
	if !w.Upstream.Stop() || !w.Node.Stop() {
		c.result.Violations = append(c.result.Violations, "a planned stop did not exit with code 0")
	}
	c.pause(observeTime)
	c.result.BrokenBeforeKill = c.load.Totals().BrokenConns
	return nil
}

func without(list []string, x string) []string {
	var out []string
	for _, s := range list {
		if s != x {
			out = append(out, s)
		}
	}
	return out
}

// killOne kills an instance. The connections of its callers break, so the
// outcomes of their requests are unknown.
func (c *scenario) killOne() error {
	w := c.system.Instances[9]
	w.Kill()
	c.load.SetEntries(c.system.Entries())
	c.pause(killObserveTime)
	return nil
}

func (c *scenario) collect() error {
	c.stop()
	<-c.loadDone
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	page := filepath.Join(c.opts.Dir, "timeline.html")
	_, err := c.system.Command(ctx, "timeline", "--peer", c.system.Instances[0].Peers, "--format", "html", "--out", page)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.opts.Out, "        timeline: %s\n", page)
	out, err := c.system.Command(ctx, "report", "--table", "http://"+c.system.Table, "--peer", c.system.Instances[0].Peers)
	fmt.Fprint(c.opts.Out, indent(out))
	return err
}

func indent(text string) string {
	return "        " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n        ") + "\n"
}

// stopAll stops all instances at the same time, each upstream before its node,
// and then the platform.
func (c *scenario) stopAll() error {
	var stops sync.WaitGroup
	stoppedCleanly := make([]bool, len(c.system.Instances))
	for i, w := range c.system.Instances {
		stops.Go(func() {
			stoppedCleanly[i] = w.Upstream.StopIfRunning() && w.Node.StopIfRunning()
		})
	}
	stops.Wait()
	for i, w := range c.system.Instances {
		c.addViolation(!stoppedCleanly[i], "processes of instance %s did not exit with code 0", w.Name)
	}
	c.system.Processes.StopAll()
	return nil
}

func (c *scenario) pause(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// checkResult compares the outcomes that callers received with the executions at
// the upstreams and adds the violations to the result.
func (c *scenario) checkResult() {
	c.result.Totals = c.load.Totals()
	c.load.PrintFailures(c.opts.Out)
	c.result.P50, c.result.P99 = c.load.Latency(50), c.load.Latency(99)
	v := c.load.CountMismatches(c.system.RunsByOrder())
	c.result.DuplicateRuns, c.result.FalseNotRun = v.DuplicateRuns, v.FalseNotRun
	c.addViolation(c.result.DuplicateRuns > 0, "%d at-most-once orders ran more than once", c.result.DuplicateRuns)
	c.addViolation(c.result.FalseNotRun > 0, "%d orders were reported as not run, but ran", c.result.FalseNotRun)
	c.addViolation(v.MissingRuns > 0, "%d orders were reported as run, but no upstream ran them", v.MissingRuns)
	c.addViolation(c.result.WrongAnswers > 0, "%d responses were incomplete or belonged to another request", c.result.WrongAnswers)
	c.addViolation(c.result.BrokenBeforeKill > 0, "%d requests got no HTTP response before any instance was killed", c.result.BrokenBeforeKill)
	c.addViolation(c.result.LateDomainRuns > 0, "%d requests ran in a failure domain that was out", c.result.LateDomainRuns)
	c.addViolation(c.result.MoveOutcome != "done", "the move of a good version ended with outcome %q", c.result.MoveOutcome)
	c.addViolation(c.result.LeftProcesses > 0, "%d processes had to be killed at the end", c.result.LeftProcesses)
}

func (c *scenario) addViolation(broken bool, format string, args ...any) {
	if broken {
		c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
	}
}

// Print writes the result to w as text, one line per violation at the end.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\nsent %d, succeeded %d, failed %d, not run %d, unknown %d, broken connections %d\n",
		r.Sent, r.Ran, r.Failed, r.NotRun, r.Unknown, r.BrokenConns)
	fmt.Fprintf(w, "duplicate runs %d, false not run %d, wrong answers %d, broken before kill %d, late in domain %d\n",
		r.DuplicateRuns, r.FalseNotRun, r.WrongAnswers, r.BrokenBeforeKill, r.LateDomainRuns)
	fmt.Fprintf(w, "move %s: %s; latency p50 %v, p99 %v; processes left %d\n", procs.MoveName, r.MoveOutcome, r.P50, r.P99, r.LeftProcesses)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "VIOLATED:", v)
	}
}

// WorkDir creates a temporary directory for one run.
func WorkDir() (string, error) {
	return os.MkdirTemp("", "cicadahall-demo-")
}
