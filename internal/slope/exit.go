package slope

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
)

const (
	exitFences = "heap of fences without answers"
	exitFence  = "processor time of the fence of one call"
	exitQueue  = "heap of a full queue"
	exitAdmit  = "processor time of one admission"
)

var exitRows = []string{exitFences, exitFence, exitQueue, exitAdmit}

// fencesMost are the fences at the longest time left, 5 min, for all calls.
const fencesMost = callsPerNode * 300

func requestOf(i int) ident.Request {
	var id ident.Request
	binary.BigEndian.PutUint64(id[:], uint64(i)*0x9e3779b97f4a7c15)
	return id
}

func measureExit(context.Context, Options) ([]Series, error) {
	var b board
	b.define(Series{Name: exitFences, Unit: "B", By: "fences", Size: fencesMost, Carrier: "expiry at the deadline plus 500 ms; a bound of 65,536 fences"})
	b.define(Series{Name: exitFence, Unit: "µs", By: "fences", Size: fencesMost, Carrier: "index by id, heap by deadline"})
	b.define(Series{Name: exitQueue, Unit: "B", By: "places", Size: 64, Carrier: "bounded queue"})
	b.define(Series{Name: exitAdmit, Unit: "µs", By: "places", Size: 64, Carrier: "counters of one process"})
	for _, n := range []int{750, 2250, 7500, 22500} {
		b.add(exitFences, n, heapOf(func() any { return fences(n) }))
		t := fences(n)
		i, now := n, epoch
		held := time.Duration(n) * time.Millisecond
		b.add(exitFence, n, microseconds(func() {
			i++
			now = now.Add(time.Millisecond)
			t.Begin(requestOf(i), 1, now.Add(held), now)
			t.Finish(requestOf(i), fence.Answer[struct{}]{State: fence.Ran}, now)
			t.Expire(now)
		}))
	}
	for _, n := range []int{16, 64, 256} {
		b.add(exitQueue, n, heapOf(func() any { return queue(n) }))
		l := queue(n)
		i := 1 << 20
		b.add(exitAdmit, n, microseconds(func() {
			i++
			l.Offer(admit.Ticket{ID: requestOf(i), Deadline: epoch.Add(time.Minute)}, epoch)
		}))
	}
	return b.series, nil
}

// fences returns a table with n finished requests.
func fences(n int) *fence.Table[struct{}] {
	t := fence.New(fence.Options[struct{}]{Start: 1})
	for i := range n {
		t.Begin(requestOf(i), 1, epoch.Add(time.Duration(i)*time.Millisecond+time.Second), epoch)
		t.Finish(requestOf(i), fence.Answer[struct{}]{State: fence.Ran}, epoch)
	}
	return t
}

// queue returns a limiter whose slots and queue are taken.
func queue(n int) *admit.Limiter {
	l := admit.New(admit.Options{
		Slots: 10, Queue: n, Warm: true, Service: time.Millisecond,
		Start:  func(admit.Ticket, time.Time) {},
		Expire: func(admit.Ticket, admit.Reason, time.Time) {},
	})
	for i := range 10 + n {
		l.Offer(admit.Ticket{ID: requestOf(i), Deadline: epoch.Add(time.Minute), Last: true}, epoch)
	}
	return l
}
