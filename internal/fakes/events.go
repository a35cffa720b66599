package fakes

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time. Events with equal times run in the
// order in which they were added.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Events is a queue of functions that run in virtual time, in the order of
// their times. It isn't safe for concurrent use.
type Events struct {
	now      time.Time
	sequence uint64
	queue    eventHeap
}

// NewEvents returns an empty queue whose clock shows start.
func NewEvents(start time.Time) *Events {
	return &Events{now: start}
}

// Now returns the current virtual time.
func (e *Events) Now() time.Time { return e.now }

// After schedules f to run after d. A negative d counts as 0.
func (e *Events) After(d time.Duration, f func()) {
	e.sequence++
	heap.Push(&e.queue, event{at: e.now.Add(max(0, d)), sequence: e.sequence, run: f})
}

// Run runs all events up to and including end and sets the clock to end.
func (e *Events) Run(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}
