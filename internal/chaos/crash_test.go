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

// stopGrace is the time after which a failure domain that is out, an upstream
// that drains or a version that was reverted must get no new requests.
const stopGrace = 2 * time.Second

var (
	platformDown    = stand.PlatformFault{Mode: stand.ModeUnavailable}
	platformHealthy = stand.PlatformFault{Mode: stand.ModeNone}
)

// Guards against requests that run twice or are reported as not run although
// they ran when their exit is killed, and against a node that can't rejoin while
// the platform is down.
func TestNodeKilledDuringOutage(t *testing.T) {
	s := start(t, chaos.Options{})
	w := s.Instances[1]
	assert.NilError(t, s.StopUsing(w))
	assert.NilError(t, s.SetPlatformFault(platformDown))
	w.Node.Kill()
	assert.NilError(t, s.WaitCompleted(300))
	assert.NilError(t, s.StartNode(w))
	assert.NilError(t, s.WaitForRuns(w))
	assert.NilError(t, s.SetPlatformFault(platformHealthy))
	assert.NilError(t, s.WaitCompleted(60))
	finishWithoutBrokenConns(t, s)
}

// Guards against requests of a killed upstream that run a second time or are
// reported as not run, and against a restarted upstream that gets no requests.
func TestUpstreamKilled(t *testing.T) {
	s := start(t, chaos.Options{})
	for _, w := range s.Instances[:2] {
		w.Upstream.Kill()
	}
	assert.NilError(t, s.WaitCompleted(300))
	for _, w := range s.Instances[:2] {
		assert.NilError(t, s.StartUpstream(w))
	}
	for _, w := range s.Instances[:2] {
		assert.NilError(t, s.WaitForRuns(w))
	}
	finishWithoutBrokenConns(t, s)
}

// Guards against a resumed node that executes requests whose outcome has already
// been reported to the callers, and against one that gets no requests after it
// resumes.
func TestNodeFrozen(t *testing.T) {
	s := start(t, chaos.Options{Rate: 200, Kinds: []string{"browse", "lesson", "commission"}})
	w := s.Instances[0]
	assert.NilError(t, s.StopUsing(w))
	// The only entry is in the failure domain of the frozen node and so prefers
	// it.
	s.Load.SetEntries([]string{s.Instances[3].Callers})
	// The short freezes end before the deadlines of the requests that arrived
	// during them, the last one ends after these deadlines.
	for _, n := range []int{250, 250, 250, 800} {
		assert.NilError(t, w.Node.Signal(syscall.SIGSTOP))
		assert.NilError(t, s.WaitCompleted(n))
		assert.NilError(t, w.Node.Signal(syscall.SIGCONT))
		assert.NilError(t, s.WaitForRuns(w))
	}
	finishWithoutBrokenConns(t, s)
}

// Guards against an apply that waits for a frozen node, and against new requests
// in a failure domain that is out, also at the frozen node after it resumes.
func TestDomainOutWhileNodeFrozen(t *testing.T) {
	s := start(t, chaos.Options{})
	w := s.Instances[1]
	assert.NilError(t, s.StopUsing(w))
	assert.NilError(t, w.Node.Signal(syscall.SIGSTOP))
	s.Manifest.SetDomain(w.Domain, "out")
	accepted(t, s.Apply())
	assert.NilError(t, w.Node.Signal(syscall.SIGCONT))
	accepted(t, s.Apply())
	time.Sleep(stopGrace)
	domainWorkers := []*procs.Instance{s.Instances[1], s.Instances[4]}
	before := s.Runs(domainWorkers[0]) + s.Runs(domainWorkers[1])
	assert.NilError(t, s.WaitCompleted(200))
	assert.Equal(t, s.Runs(domainWorkers[0])+s.Runs(domainWorkers[1]), before)
	s.Manifest.SetDomain(w.Domain, "in")
	accepted(t, s.Apply())
	assert.NilError(t, s.WaitForRuns(w))
	finishWithoutBrokenConns(t, s)
}

// Guards against a start that needs a node that is already running, against a
// lower revision after a restart of all nodes, and against fences from before
// the restart that are still accepted.
func TestWholeRestart(t *testing.T) {
	s := start(t, chaos.Options{})
	s.Manifest.SetDomain(procs.Domains[1], "out")
	accepted(t, s.Apply())
	for _, w := range s.Instances {
		w.Kill()
	}
	for _, w := range s.Instances {
		assert.NilError(t, s.StartNode(w))
		assert.NilError(t, s.StartUpstream(w))
	}
	assert.NilError(t, s.AwaitReady())
	assert.NilError(t, s.WaitForRuns(s.Instances[0]))
	assert.NilError(t, s.WaitForRuns(s.Instances[3]))
	assert.NilError(t, s.WaitCompleted(200))
	assert.Equal(t, s.Runs(s.Instances[1]), 0, "requests ran in a failure domain that is out")
	finish(t, s)
}

// Guards against requests that are aborted by a planned stop of a node, and
// against new requests for an upstream that drains at the same time.
func TestPlannedStop(t *testing.T) {
	s := start(t, chaos.Options{})
	node, upstream := s.Instances[0], s.Instances[1]
	// The upstreams are slow, so that requests are in flight at any time. The
	// entries are the stopping node and one that prefers it, because it is in the
	// same failure domain.
	s.Load.SetEntries([]string{node.Callers, s.Instances[3].Callers})
	for _, w := range s.Instances {
		assert.NilError(t, chaos.Post(w.Address, "/fault", stand.UpstreamFault{Slow: 6}))
	}
	assert.NilError(t, s.WaitCompleted(100))
	assert.NilError(t, chaos.Post(upstream.Local, "/drain", struct{}{}))
	cleanStop := make(chan bool, 1)
	go func() { cleanStop <- node.Node.Stop() }()
	assert.NilError(t, s.WaitUntil("node reports that it is not ready", func() bool { return !node.Ready() }))
	assert.NilError(t, s.StopUsing(node))
	time.Sleep(stopGrace)
	before := s.Runs(upstream)
	assert.Assert(t, <-cleanStop, "the node did not exit with code 0")
	assert.NilError(t, s.WaitCompleted(200))
	assert.Equal(t, s.Runs(upstream), before)
	finishWithoutBrokenConns(t, s)
	assert.Equal(t, s.Load.FailureCount("unknown: broken"), 0, "a connection to an upstream was closed")
}
