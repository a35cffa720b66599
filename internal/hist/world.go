// Package hist plays histories of one entry node, a few exit nodes and the
// network between them in virtual time, with faults from a random source. It
// drives the machines of packages fence and retry as the node's shells do, and
// checks the promises P5 whole, P6 notrun and P7 once on every history. It is
// a test harness and no part of the product's binary.
package hist

import (
	"container/heap"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// Faults holds the probabilities of faults of single messages, in thousandths.
type Faults struct {
	// Lose, Double and Late apply to every message.
	Lose, Double, Late int
	// Cross hands an answer to another waiting call; Cut truncates it.
	Cross, Cut int
	// Refuse and Shed are true refusals by admission and by the upstream.
	Refuse, Shed int
	// Silent makes a connection go silent for good while it carries a call.
	Silent int
	// SilentNew makes a new connection silent from its start.
	SilentNew int
}

// Options configure a World.
type Options struct {
	// Pick returns a random number in 0..n-1; all chance comes from it.
	Pick func(n int) int
	// Exits is the number of exit nodes.
	Exits int
	// Entries and Bytes bound the fence table of each exit.
	Entries, Bytes int
	// Skew is the largest difference between the clocks of the entry and an exit.
	Skew time.Duration
	// Timeout is the time left of each request.
	Timeout time.Duration
	Faults  Faults
	// NoMark and NoResolve switch parts of the protocol off for comparison.
	NoMark, NoResolve bool
}

const (
	// progress is the time without an answer after which a connection counts
	// as silent. It exceeds most service times, so that few resolves are vain.
	progress = 200 * time.Millisecond
	// longRun is the longest service time of an upstream.
	longRun = 400 * time.Millisecond
	// oneWay is the latency of Montevideo.
	oneWay = 1500 * time.Microsecond
)

// World is one history.
type World struct {
	options Options
	now     time.Time
	events  eventHeap
	count   uint64
	exits   []*exit
	entry   *entry
	// Requests lists all requests in the order of their start.
	Requests []*Request
	// byID finds a request by its id without the try number.
	byID map[ident.Request]*Request
}

// Request is what really happened to one request and what its caller was told.
type Request struct {
	ID         ident.Request
	Idempotent bool
	Started    time.Time
	// Runs counts the runs at any upstream.
	Runs int
	// Told is set once the caller has an outcome.
	Told    bool
	Outcome retry.Outcome
	Body    string
	// Took is the time until the caller had an outcome.
	Took time.Duration
	// WasSilent is set if a connection went silent under the first try.
	WasSilent bool
}

// New returns a world without requests.
func New(o Options) *World {
	w := &World{
		options: o,
		now:     time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC),
		byID:    map[ident.Request]*Request{},
	}
	for i := range o.Exits {
		w.exits = append(w.exits, newExit(w, i))
	}
	w.entry = newEntry(w)
	return w
}

// Start begins a request at the entry node.
func (w *World) Start(idempotent bool) {
	w.count++
	r := &Request{
		ID:         ident.NewRequest(w.count<<8, w.count*0x9e3779b97f4a7c15),
		Idempotent: idempotent,
		Started:    w.now,
	}
	w.Requests = append(w.Requests, r)
	w.byID[r.ID] = r
	w.entry.begin(r)
}

// Advance plays the events of the next d.
func (w *World) Advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		w.step()
	}
	w.now = end
}

// Drain resumes all exits and plays all events, including the latest copies.
func (w *World) Drain() {
	for i := range w.exits {
		w.Resume(i)
	}
	for len(w.events) > 0 {
		w.step()
	}
}

func (w *World) step() {
	e := heap.Pop(&w.events).(event)
	w.now = e.at
	e.do()
}

// after schedules an event.
func (w *World) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.count, do: do})
}

// hit reports whether a fault with the given probability in thousandths
// happens. The faults are the largest numbers, so that shrinking removes them.
func (w *World) hit(thousandths int) bool {
	return thousandths > 0 && w.options.Pick(1000) >= 1000-thousandths
}

// between draws a duration in whole milliseconds.
func (w *World) between(low, high time.Duration) time.Duration {
	n := int((high - low) / time.Millisecond)
	return low + time.Duration(w.options.Pick(n+1))*time.Millisecond
}

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	s := *h
	e := s[len(s)-1]
	*h = s[:len(s)-1]
	return e
}
