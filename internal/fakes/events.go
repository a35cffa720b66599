package fakes

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time; order keeps equal times stable.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
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

// Events runs functions in virtual time, in the order of their times. It isn't
// safe for concurrent use.
type Events struct {
	now   time.Time
	order uint64
	queue eventHeap
}

// NewEvents returns an empty queue whose clock shows start.
func NewEvents(start time.Time) *Events {
	return &Events{now: start}
}

// Now returns the virtual time.
func (e *Events) Now() time.Time { return e.now }

// After runs f when d has passed. A negative d counts as 0.
func (e *Events) After(d time.Duration, f func()) {
	e.order++
	heap.Push(&e.queue, event{at: e.now.Add(max(0, d)), order: e.order, run: f})
}

// Run runs all events up to end and sets the clock to end.
func (e *Events) Run(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}
