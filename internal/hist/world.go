// Package hist simulates one entry node, a few exit nodes and the network
// between them in virtual time, with faults from a random source. It drives
// the state machines of packages fence and retry as the node does, and checks
// after every history that no caller received a wrong or truncated response,
// that no request reported as not run has run, and that no request that isn't
// idempotent ran twice. It is a test harness and is never linked into the node.
package hist

import (
	"container/heap"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// Faults holds the probabilities of faults, in thousandths.
type Faults struct {
	// Lose, Duplicate and Late apply to every message.
	Lose, Duplicate, Late int
	// Misdeliver passes a reply to another waiting try; Truncate cuts its body.
	Misdeliver, Truncate int
	// Refuse and Shed are refusals by admission control and by the upstream,
	// before the request runs.
	Refuse, Shed int
	// Silent makes a connection permanently silent before it carries a Call.
	Silent int
	// SilentNew makes a new connection silent from its start.
	SilentNew int
}

// Options configure a World.
type Options struct {
	// Pick returns a random number in 0..n-1. It is the only source of randomness.
	Pick func(n int) int
	// Exits is the number of exit nodes.
	Exits int
	// Entries and Bytes bound the fence table of each exit.
	Entries, Bytes int
	// Skew is the largest difference between the clocks of the entry and an exit.
	Skew time.Duration
	// Timeout is the time from the start of each request to its deadline.
	Timeout time.Duration
	Faults  Faults
	// NoMark and NoResolve turn off the cancel mark and the Resolve messages,
	// for comparison.
	NoMark, NoResolve bool
}

const (
	// progressTimeout is the time without a reply after which a connection counts
	// as silent. It exceeds most service times, so that few Resolve messages find
	// the request still running.
	progressTimeout = 200 * time.Millisecond
	// maxServiceTime is the longest service time of an upstream.
	maxServiceTime = 400 * time.Millisecond
	// oneWayLatency is the network latency in Montevideo.
	oneWayLatency = 1500 * time.Microsecond
)

// World is the state of one simulated history.
type World struct {
	options Options
	now     time.Time
	events  eventHeap
	// counter is the latest number given to a request or an event.
	counter uint64
	exits   []*exit
	entry   *entry
	// Requests lists all requests in the order of their start.
	Requests []*Request
	// byID finds a request by its id without the try number.
	byID map[ident.Request]*Request
}

// Request records the runs of one request and the outcome that its caller
// received.
type Request struct {
	ID         ident.Request
	Idempotent bool
	Started    time.Time
	// Runs counts the runs at any upstream.
	Runs int
	// HasOutcome reports whether the caller has received an outcome.
	HasOutcome bool
	Outcome    retry.Outcome
	Body       string
	// Latency is the time until the caller received the outcome.
	Latency time.Duration
	// FirstSilent reports whether the connection of the first try was silent.
	FirstSilent bool
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

// Start starts a request at the entry node.
func (w *World) Start(idempotent bool) {
	w.counter++
	r := &Request{
		ID:         ident.NewRequest(w.counter<<8, w.counter*0x9e3779b97f4a7c15),
		Idempotent: idempotent,
		Started:    w.now,
	}
	w.Requests = append(w.Requests, r)
	w.byID[r.ID] = r
	w.entry.begin(r)
}

// Advance runs the events of the next d.
func (w *World) Advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		w.step()
	}
	w.now = end
}

// Drain resumes all exits and runs all events, including messages that are
// delivered after their deadline.
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
	w.counter++
	heap.Push(&w.events, event{at: w.now.Add(d), sequence: w.counter, do: do})
}

// chance reports whether a fault with the given probability in thousandths
// occurs. The largest numbers are the faults, because rapid shrinks towards
// small numbers and so removes faults.
func (w *World) chance(thousandths int) bool {
	return thousandths > 0 && w.options.Pick(1000) >= 1000-thousandths
}

// between returns a random duration from low to high, in steps of a millisecond.
func (w *World) between(low, high time.Duration) time.Duration {
	n := int((high - low) / time.Millisecond)
	return low + time.Duration(w.options.Pick(n+1))*time.Millisecond
}

// event is a function that runs at a time. Events with equal times run in the
// order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
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
