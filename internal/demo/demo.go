// Package demo takes a whole system on loopback through a day's changes and
// failures and checks the promises that it observes. It is a test program and
// not part of the product's binary.
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
	// Dir receives settings, logs and the time line.
	Dir string
	// Rate is the number of requests per second.
	Rate int
	Seed uint64
	Out  io.Writer
}

// Result is what the demo has observed.
type Result struct {
	procs.Totals
	// Twice counts orders that ran more than once and must not.
	Twice int `json:"twice"`
	// False counts orders reported as not run that ran.
	False int `json:"false"`
	// Cut counts requests without an HTTP answer while no node was killed.
	Cut int `json:"cut"`
	// Late counts executions in the domain that was out, 2 s after its removal.
	Late int `json:"late"`
	// Outcome is that of the version move.
	Outcome string `json:"outcome"`
	// Left counts processes that had to be killed at the end.
	Left int `json:"left"`
	// P50 and P99 are latencies of answers that ran.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Violations lists the promises that didn't hold.
	Violations []string `json:"violations"`
}

const (
	// domainGrace is the time after which a domain that is out gets no work.
	domainGrace = 2 * time.Second
	// domainWatch is how long the domain is then observed.
	domainWatch = 2 * time.Second
	// calm is the length of phases that only watch.
	calm = 2 * time.Second
	// moveTime is the time from the start of the move to its deadline.
	moveTime = 28 * time.Second
	// killWait is how long callers go on after an instance was killed.
	killWait = 3 * time.Second
	// outDomain is the failure domain that is taken out and back.
	outDomain = "mvd-b"
)

// scenario is one run of the demo.
type scenario struct {
	o    Options
	s    *procs.System
	l    *procs.Load
	m    procs.Manifest
	r    Result
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}
}

// Run starts the system, takes it through all steps and stops it.
func Run(ctx context.Context, o Options) (Result, error) {
	c := &scenario{o: o, s: procs.NewSystem(o.Dir, o.Bin), done: make(chan struct{})}
	c.ctx, c.stop = context.WithCancel(ctx)
	defer c.stop()
	err := c.steps()
	c.stop()
	c.r.Left += c.s.All.KillAll()
	if err != nil {
		return c.r, err
	}
	c.judge()
	return c.r, nil
}

func (c *scenario) steps() error {
	steps := []struct {
		text string
		do   func() error
	}{
		{"start the platform, 12 instances and 4 of the next version", c.startAll},
		{"publish the manifest", c.publish},
		{"send load", c.startLoad},
		{"take failure domain " + outDomain + " out", c.domainOut},
		{"bring failure domain " + outDomain + " back", c.domainBack},
		{"move counter from v1 to v2", c.move},
		{"drain an instance", c.drainOne},
		{"kill an instance", c.killOne},
		{"stop the load and collect the time line", c.collect},
		{"stop everything", c.stopAll},
	}
	began := time.Now()
	for _, s := range steps {
		fmt.Fprintf(c.o.Out, "%5.1fs  %s\n", time.Since(began).Seconds(), s.text)
		if err := s.do(); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.o.Out, "%5.1fs  done\n", time.Since(began).Seconds())
	return nil
}

func (c *scenario) startAll() error {
	if err := c.s.StartPlatform(); err != nil {
		return err
	}
	add := func(service, version string, count int) error {
		for i := range count {
			w := &procs.Worker{
				Name:    fmt.Sprintf("%s-%s-%d", service, version, i+1),
				Service: service,
				Version: version,
				Domain:  procs.Domains[i%len(procs.Domains)],
				Slots:   10,
			}
			if err := c.s.StartWorker(w); err != nil {
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
	c.m = procs.NewManifest()
	if err := c.apply(); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(c.ctx, readyLimit)
	defer cancel()
	return c.s.Ready(limit)
}

// readyLimit bounds the wait for all nodes; it is far above what they need.
const readyLimit = 30 * time.Second

func (c *scenario) apply() error {
	path, err := c.s.WriteJSON("manifest.json", c.m)
	if err != nil {
		return err
	}
	out, err := c.s.Command(c.ctx, "apply",
		"--table", "http://"+c.s.Table, "--objects", "http://"+c.s.Objects,
		"--peer", c.s.Workers[0].Peers, path)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	fmt.Fprintf(c.o.Out, "        %s\n", lines[len(lines)-1])
	return nil
}

func (c *scenario) startLoad() error {
	c.l = procs.NewLoad(c.o.Seed, c.s.Entries())
	go func() {
		defer close(c.done)
		c.l.Run(c.ctx, c.o.Rate)
	}()
	c.pause(calm)
	return nil
}

func (c *scenario) domainOut() error {
	c.m.SetDomain(outDomain, "out")
	if err := c.apply(); err != nil {
		return err
	}
	c.pause(domainGrace)
	before, err := c.s.DomainRuns(outDomain)
	if err != nil {
		return err
	}
	c.pause(domainWatch)
	after, err := c.s.DomainRuns(outDomain)
	c.r.Late = after - before
	return err
}

func (c *scenario) domainBack() error {
	c.m.SetDomain(outDomain, "in")
	if err := c.apply(); err != nil {
		return err
	}
	c.pause(calm)
	return nil
}

func (c *scenario) move() error {
	c.m.AddMove(time.Now().UTC(), moveTime)
	if err := c.apply(); err != nil {
		return err
	}
	out, err := c.s.Command(c.ctx, "status", "--peer", c.s.Workers[0].Peers,
		"--wait", procs.MoveName, "--limit", (moveTime + readyLimit).String(), "--output", "json")
	if err != nil {
		return err
	}
	c.r.Outcome = outcomeOf(out)
	fmt.Fprintf(c.o.Out, "        move %s: %s\n", procs.MoveName, c.r.Outcome)
	return nil
}

// outcomeOf reads the outcome of the move from the last line of status.
func outcomeOf(out string) string {
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

// drainOne stops one instance as an operator would: the upstream drains, then
// the node. Callers stop using the node first, as their balancer would.
func (c *scenario) drainOne() error {
	w := c.s.Workers[8]
	c.l.SetEntries(without(c.s.Entries(), w.Callers))
	c.pause(calm)
	if !w.Upstream.Stop() || !w.Node.Stop() {
		c.r.Violations = append(c.r.Violations, "a planned stop did not end cleanly")
	}
	c.pause(calm)
	c.r.Cut = c.l.Totals().BrokenConns
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

// killOne ends an instance without notice. Its callers' connections break:
// their requests are unknown.
func (c *scenario) killOne() error {
	w := c.s.Workers[9]
	w.Kill()
	c.l.SetEntries(c.s.Entries())
	c.pause(killWait)
	return nil
}

func (c *scenario) collect() error {
	c.stop()
	<-c.done
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	page := filepath.Join(c.o.Dir, "timeline.html")
	_, err := c.s.Command(ctx, "timeline", "--peer", c.s.Workers[0].Peers, "--format", "html", "--out", page)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.o.Out, "        time line: %s\n", page)
	out, err := c.s.Command(ctx, "report", "--table", "http://"+c.s.Table, "--peer", c.s.Workers[0].Peers)
	fmt.Fprint(c.o.Out, indent(out))
	return err
}

func indent(text string) string {
	return "        " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n        ") + "\n"
}

// stopAll stops all instances at the same time, upstreams before their nodes.
func (c *scenario) stopAll() error {
	var stops sync.WaitGroup
	clean := make([]bool, len(c.s.Workers))
	for i, w := range c.s.Workers {
		stops.Go(func() {
			clean[i] = w.Upstream.StopIfRunning() && w.Node.StopIfRunning()
		})
	}
	stops.Wait()
	for i, w := range c.s.Workers {
		c.violate(!clean[i], "instance %s did not stop cleanly", w.Name)
	}
	c.s.All.StopAll()
	return nil
}

func (c *scenario) pause(d time.Duration) {
	select {
	case <-c.ctx.Done():
	case <-time.After(d):
	}
}

// judge compares what callers were told with what upstreams executed.
func (c *scenario) judge() {
	c.r.Totals = c.l.Totals()
	c.l.PrintFailures(c.o.Out)
	c.r.P50, c.r.P99 = c.l.Latency(50), c.l.Latency(99)
	v := c.l.CountMismatches(c.s.RunsByOrder())
	c.r.Twice, c.r.False = v.DuplicateRuns, v.FalseNotRun
	c.violate(c.r.Twice > 0, "%d orders that must not run twice did", c.r.Twice)
	c.violate(c.r.False > 0, "%d orders were reported as not run, but ran", c.r.False)
	c.violate(v.MissingRuns > 0, "%d orders were reported as run, but no upstream ran them", v.MissingRuns)
	c.violate(c.r.WrongAnswers > 0, "%d answers were not whole or belonged to another request", c.r.WrongAnswers)
	c.violate(c.r.Cut > 0, "%d requests were cut before any instance was killed", c.r.Cut)
	c.violate(c.r.Late > 0, "%d requests ran in a failure domain that was out", c.r.Late)
	c.violate(c.r.Outcome != "done", "the move of a good version ended as %q", c.r.Outcome)
	c.violate(c.r.Left > 0, "%d processes had to be killed", c.r.Left)
}

func (c *scenario) violate(broken bool, format string, args ...any) {
	if broken {
		c.r.Violations = append(c.r.Violations, fmt.Sprintf(format, args...))
	}
}

// Print writes the result as a table.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\nsent %d, answered %d, failed %d, not run %d, unknown %d, broken %d\n",
		r.Sent, r.Ran, r.Failed, r.NotRun, r.Unknown, r.BrokenConns)
	fmt.Fprintf(w, "run twice %d, false not run %d, wrong answers %d, cut %d, late in domain %d\n",
		r.Twice, r.False, r.WrongAnswers, r.Cut, r.Late)
	fmt.Fprintf(w, "move %s: %s; latency p50 %v, p99 %v; processes left %d\n", procs.MoveName, r.Outcome, r.P50, r.P99, r.Left)
	for _, v := range r.Violations {
		fmt.Fprintln(w, "VIOLATED:", v)
	}
}

// WorkDir makes a directory for one run.
func WorkDir() (string, error) {
	return os.MkdirTemp("", "cicadahall-demo-")
}
