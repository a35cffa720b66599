package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// faultSpan is the time span of a fault or of planned work. A nil node means all
// nodes.
type faultSpan struct {
	name    string
	node    *node
	planned bool
	start   time.Time
	// end is zero until the fault is over.
	end time.Time
}

// routeChange is a route that a configuration has added. acknowledged is the time
// after the store acknowledged it.
type routeChange struct {
	route        string
	acknowledged time.Time
}

// evacuation is a domain that must get no requests between the acknowledgement
// by the store and the withdrawal of the evacuation.
type evacuation struct {
	domain       string
	acknowledged time.Time
	withdrawn    time.Time
}

// record holds what the run has done and the results that callers have seen.
type record struct {
	mu          sync.Mutex
	requests    []request
	spans       []*faultSpan
	changes     []routeChange
	evacuations []*evacuation
	// violations are the violations found while faults were injected.
	violations []string
}

func (r *record) addRequest(req request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
}

// beginFault records the start of a fault and returns a function that records its
// end.
func (r *record) beginFault(name string, n *node, planned bool) (endFault func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sp := &faultSpan{name: name, node: n, planned: planned, start: time.Now()}
	r.spans = append(r.spans, sp)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		sp.end = time.Now()
	}
}

func (r *record) addViolation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// recentRoute returns one of the last three added routes, or "" if there is none.
func (r *record) recentRoute(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == 0 {
		return ""
	}
	latest := r.changes[max(0, len(r.changes)-3):]
	return latest[random.IntN(len(latest))].route
}

// addChange records a route that the store has acknowledged.
func (r *record) addChange(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, routeChange{route: route, acknowledged: time.Now()})
}

// quietPeriod is how long a node must have been free of faults before requirements
// with a time limit are checked.
const quietPeriod = 3 * time.Second

// faultsIn lists the faults of node n, and those of all nodes, that overlap the
// time from quietPeriod before from until to. A nil n stands for any node.
func (r *record) faultsIn(n *node, from, to time.Time) []*faultSpan {
	var out []*faultSpan
	for _, sp := range r.spans {
		ended := !sp.end.IsZero() && sp.end.Before(from.Add(-quietPeriod))
		if !ended && sp.start.Before(to) && (sp.node == nil || n == nil || sp.node == n) {
			out = append(out, sp)
		}
	}
	return out
}

// quiet reports whether no fault overlaps that time, including quietPeriod before
// it.
func (r *record) quiet(n *node, from, to time.Time) bool { return len(r.faultsIn(n, from, to)) == 0 }

// onlyPlanned reports whether no fault other than planned work overlaps that time
// at any node.
func (r *record) onlyPlanned(from, to time.Time) bool {
	return !slices.ContainsFunc(r.faultsIn(nil, from, to), func(sp *faultSpan) bool { return !sp.planned })
}
