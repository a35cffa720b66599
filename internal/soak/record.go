package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// span is the time of a fault or of planned work. A nil node means all nodes.
type span struct {
	what    string
	node    *node
	planned bool
	from    time.Time
	// to is zero while it goes on.
	to time.Time
}

// change is a route that a configuration has added, evacuation a domain that
// was to get nothing. Accepted is when the store had acknowledged it.
type change struct {
	route    string
	accepted time.Time
}

type evacuation struct {
	domain    string
	accepted  time.Time
	withdrawn time.Time
}

// record is what the run has done and what callers have seen.
type record struct {
	mu          sync.Mutex
	asks        []ask
	spans       []*span
	changes     []change
	evacuations []*evacuation
	// broken are promises found broken while faults were played.
	broken []string
}

func (r *record) add(a ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks = append(r.asks, a)
}

// begin notes the begin of a fault and returns what notes its end.
func (r *record) begin(what string, n *node, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &span{what: what, node: n, planned: planned, from: time.Now()}
	r.spans = append(r.spans, p)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.to = time.Now()
	}
}

func (r *record) breaks(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// route returns one of the latest routes, or nothing.
func (r *record) route(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.changes) == 0 {
		return ""
	}
	latest := r.changes[max(0, len(r.changes)-3):]
	return latest[random.IntN(len(latest))].route
}

// accepted notes a route that the store has acknowledged.
func (r *record) accepted(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{route: route, accepted: time.Now()})
}

// contact is how long a node has to be free of faults to be held to bounds.
const contact = 3 * time.Second

// touched lists what happened to a node, or to all, from a contact before a
// time up to another one.
func (r *record) touched(n *node, from, to time.Time) []*span {
	var out []*span
	for _, p := range r.spans {
		over := !p.to.IsZero() && p.to.Before(from.Add(-contact))
		if !over && p.from.Before(to) && (p.node == nil || n == nil || p.node == n) {
			out = append(out, p)
		}
	}
	return out
}

// calm reports whether nothing touched a node in that time.
func (r *record) calm(n *node, from, to time.Time) bool { return len(r.touched(n, from, to)) == 0 }

// planned reports whether nothing but planned work happened anywhere.
func (r *record) planned(from, to time.Time) bool {
	return !slices.ContainsFunc(r.touched(nil, from, to), func(p *span) bool { return !p.planned })
}
