package chaos_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/chaos"
	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/internal/stand"
)

// grace is the time that P3 and P8 give until no new work arrives.
const grace = 2 * time.Second

var (
	platformDown = stand.PlatformFault{Mode: stand.ModeDown}
	platformWell = stand.PlatformFault{Mode: stand.ModeNone}
)

// Guards against requests that run twice or are refused falsely when an exit
// dies, and against a node that can't rejoin without the platform.
func TestNodeKilledDuringOutage(t *testing.T) {
	s := start(t, chaos.Options{})
	w := s.Workers[1]
	assert.NilError(t, s.Leave(w))
	assert.NilError(t, s.Platform(platformDown))
	w.Node.Kill()
	assert.NilError(t, s.More(300))
	assert.NilError(t, s.StartNode(w))
	assert.NilError(t, s.Works(w))
	assert.NilError(t, s.Platform(platformWell))
	assert.NilError(t, s.More(60))
	finishUncut(t, s)
}

// Guards against requests of a dead upstream that run a second time or are
// called "not run", and against a restarted upstream that gets no work.
func TestUpstreamKilled(t *testing.T) {
	s := start(t, chaos.Options{})
	for _, w := range s.Workers[:2] {
		w.Upstream.Kill()
	}
	assert.NilError(t, s.More(300))
	for _, w := range s.Workers[:2] {
		assert.NilError(t, s.StartUpstream(w))
	}
	for _, w := range s.Workers[:2] {
		assert.NilError(t, s.Works(w))
	}
	finishUncut(t, s)
}

// Guards against a resumed node that executes requests whose callers have
// been told the outcome, and against one that is never used again.
func TestNodeFrozen(t *testing.T) {
	s := start(t, chaos.Options{Rate: 200, Only: []string{"browse", "lesson", "commission"}})
	w := s.Workers[0]
	assert.NilError(t, s.Leave(w))
	// The one entry is in the domain of the frozen node, which it prefers.
	s.Load.SetEntries([]string{s.Workers[3].Callers})
	// Short freezes end before the deadlines of the requests that arrived
	// meanwhile, the last one ends after them.
	for _, n := range []int{250, 250, 250, 800} {
		assert.NilError(t, w.Node.Signal(syscall.SIGSTOP))
		assert.NilError(t, s.More(n))
		assert.NilError(t, w.Node.Signal(syscall.SIGCONT))
		assert.NilError(t, s.Works(w))
	}
	finishUncut(t, s)
}

// Guards against a manifest that waits for a frozen node, and against new work
// in a domain that is out, also at the frozen node after it resumes.
func TestDomainOutWhileNodeFrozen(t *testing.T) {
	s := start(t, chaos.Options{})
	w := s.Workers[1]
	assert.NilError(t, s.Leave(w))
	assert.NilError(t, w.Node.Signal(syscall.SIGSTOP))
	s.Manifest.SetDomain(w.Domain, "out")
	accepted(t, s.Apply())
	assert.NilError(t, w.Node.Signal(syscall.SIGCONT))
	accepted(t, s.Apply())
	time.Sleep(grace)
	out := []*procs.Worker{s.Workers[1], s.Workers[4]}
	before := s.Runs(out[0]) + s.Runs(out[1])
	assert.NilError(t, s.More(200))
	assert.Equal(t, s.Runs(out[0])+s.Runs(out[1]), before)
	s.Manifest.SetDomain(w.Domain, "in")
	accepted(t, s.Apply())
	assert.NilError(t, s.Works(w))
	finishUncut(t, s)
}

// Guards against a start that depends on a running node, against a lower
// revision after it, and against fences taken for valid after a restart.
func TestWholeRestart(t *testing.T) {
	s := start(t, chaos.Options{})
	s.Manifest.SetDomain(procs.Domains[1], "out")
	accepted(t, s.Apply())
	for _, w := range s.Workers {
		w.Kill()
	}
	for _, w := range s.Workers {
		assert.NilError(t, s.StartNode(w))
		assert.NilError(t, s.StartUpstream(w))
	}
	assert.NilError(t, s.AwaitReady())
	assert.NilError(t, s.Works(s.Workers[0]))
	assert.NilError(t, s.Works(s.Workers[3]))
	assert.NilError(t, s.More(200))
	assert.Equal(t, s.Runs(s.Workers[1]), 0, "the domain is still out")
	finish(t, s)
}

// Guards against requests cut by a planned stop of a node (P9) and new work
// for an upstream that leaves (P8), both at the same time.
func TestPlannedStop(t *testing.T) {
	s := start(t, chaos.Options{})
	node, upstream := s.Workers[0], s.Workers[1]
	// Slow upstreams have requests in flight at any time, and the entries are
	// the stopping node and one that prefers it.
	s.Load.SetEntries([]string{node.Callers, s.Workers[3].Callers})
	for _, w := range s.Workers {
		assert.NilError(t, chaos.Post(w.Address, "/fault", stand.UpstreamFault{Slow: 6}))
	}
	assert.NilError(t, s.More(100))
	assert.NilError(t, chaos.Post(upstream.Local, "/drain", struct{}{}))
	clean := make(chan bool, 1)
	go func() { clean <- node.Node.Stop() }()
	assert.NilError(t, s.Until("node tells that it stops", func() bool { return !node.Ready() }))
	assert.NilError(t, s.Leave(node))
	time.Sleep(grace)
	before := s.Runs(upstream)
	assert.Assert(t, <-clean, "node stops with exit code 0")
	assert.NilError(t, s.More(200))
	assert.Equal(t, s.Runs(upstream), before)
	finishUncut(t, s)
	assert.Equal(t, s.Load.FailureCount("unknown: broken"), 0, "an upstream's connection was cut")
}
