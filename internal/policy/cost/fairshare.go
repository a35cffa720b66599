package cost

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// FairShare shares slots between the workspaces of a priority by start-time fair
// queueing: among the workspaces that have a request queued, the next slot belongs
// to the one whose requests have got the least work. A workspace without queued
// requests earns no credit.
//
// It is a pure state machine and holds at most the given number of flows, and one
// more for each priority. Flows
// without queued requests are dropped first, which cancels what they were ahead.
// If all flows have queued requests, further workspaces share one flow with the
// requests that have no workspace.
type FairShare struct {
	maxFlows int
	flows    map[flowKey]*Flow
	classes  map[int]*class
	// free holds dropped flows for reuse.
	free []*Flow
}

type flowKey struct {
	priority  int
	workspace ident.Workspace
}

// class is the state of a priority.
type class struct {
	// virtual is the start tag of the request that started last, in work.
	virtual time.Duration
	flows   int
}

// Flow is the share of a workspace in a priority. It is valid while it has queued
// requests.
type Flow struct {
	key   flowKey
	class *class
	// tag is the start tag of the next request.
	tag    time.Duration
	queued int
	work   time.Duration
	// Scratch is for the caller's use during one pass over the flows.
	Scratch time.Duration
}

// NewFairShare returns a FairShare with at most maxFlows flows and one for each
// priority, which is used when there are more workspaces.
func NewFairShare(maxFlows int) *FairShare {
	return &FairShare{maxFlows: maxFlows, flows: map[flowKey]*Flow{}, classes: map[int]*class{}}
}

// Len returns the number of flows.
func (s *FairShare) Len() int { return len(s.flows) }

// Join adds a queued request with its expected work and returns its flow. The
// caller must call Leave when the request leaves the queue, after Start if it runs.
func (s *FairShare) Join(priority int, w ident.Workspace, work time.Duration) *Flow {
	f := s.flow(flowKey{priority, w})
	if f.queued == 0 {
		f.tag = max(f.tag, f.class.virtual)
	}
	f.queued++
	f.work += work
	return f
}

// Peek returns the tag and the queued work that a request of a workspace finds.
func (s *FairShare) Peek(priority int, w ident.Workspace) (tag, work time.Duration, f *Flow) {
	if f, ok := s.flows[flowKey{priority, w}]; ok {
		if f.queued == 0 {
			return max(f.tag, f.class.virtual), 0, f
		}
		return f.tag, f.work, f
	}
	if c, ok := s.classes[priority]; ok {
		return c.virtual, 0, nil
	}
	return 0, 0, nil
}

// Reset drops all flows. The caller calls it when no request is queued: without
// contention nobody is ahead of others.
func (s *FairShare) Reset() {
	for _, f := range s.flows {
		s.free = append(s.free, f)
	}
	clear(s.flows)
	clear(s.classes)
}

func (s *FairShare) flow(k flowKey) *Flow {
	if f, ok := s.flows[k]; ok {
		return f
	}
	if len(s.flows) >= s.maxFlows && k.workspace != "" && !s.evict() {
		return s.flow(flowKey{priority: k.priority})
	}
	c, ok := s.classes[k.priority]
	if !ok {
		c = &class{}
		s.classes[k.priority] = c
	}
	c.flows++
	f := &Flow{}
	if n := len(s.free); n > 0 {
		f, s.free = s.free[n-1], s.free[:n-1]
	}
	*f = Flow{key: k, class: c, tag: c.virtual}
	s.flows[k] = f
	return f
}

// evict drops a flow without queued requests, the one that is ahead least, and
// reports whether there was one.
func (s *FairShare) evict() bool {
	var least *Flow
	for _, f := range s.flows {
		if f.queued == 0 && (least == nil || f.ahead() < least.ahead()) {
			least = f
		}
	}
	if least == nil {
		return false
	}
	delete(s.flows, least.key)
	if least.class.flows--; least.class.flows == 0 {
		delete(s.classes, least.key.priority)
	}
	s.free = append(s.free, least)
	return true
}

// ahead returns how much more work the flow got than its share.
func (f *Flow) ahead() time.Duration { return f.tag - f.class.virtual }

// Start records that a queued request of the flow starts.
func (f *Flow) Start(work time.Duration) {
	f.class.virtual = max(f.class.virtual, f.tag)
	f.tag += work
}

// Leave removes a queued request with the work that it joined with.
func (f *Flow) Leave(work time.Duration) {
	f.queued--
	f.work -= work
}

// Tag returns the start tag of the next request: the flow with the lowest tag of a
// priority is served next.
func (f *Flow) Tag() time.Duration { return f.tag }

// Work returns the expected work of the queued requests.
func (f *Flow) Work() time.Duration { return f.work }

// Queued returns the number of queued requests.
func (f *Flow) Queued() int { return f.queued }
