package scale

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time. Events with equal times run
// in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock runs events in virtual time.
type clock struct {
	now      time.Time
	sequence uint64
	events   events
}

// after schedules do to run after d.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, do: do})
}

// run runs all events of the next d.
func (c *clock) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
