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
	exitFenceHeap = "heap of fences without answers"
	exitFenceTime = "processor time of the fence of one call"
	exitQueueHeap = "heap of a full queue"
	exitAdmitTime = "processor time of one admission"
)

var exitRows = []string{exitFenceHeap, exitFenceTime, exitQueueHeap, exitAdmitTime}

// maxFences is the number of fences on one node if all calls have the longest
// deadline, 5 min.
const maxFences = callsPerNode * 300

func requestID(i int) ident.Request {
	var id ident.Request
	binary.BigEndian.PutUint64(id[:], uint64(i)*0x9e3779b97f4a7c15)
	return id
}

func measureExit(context.Context, Options) ([]Series, error) {
	var b seriesBuilder
	b.define(Series{Name: exitFenceHeap, Unit: "B", SizeUnit: "fences", FullSize: maxFences, Mechanism: "expiry at the deadline plus 500 ms; a bound of 65,536 fences"})
	b.define(Series{Name: exitFenceTime, Unit: "µs", SizeUnit: "fences", FullSize: maxFences, Mechanism: "index by id, heap by deadline"})
	b.define(Series{Name: exitQueueHeap, Unit: "B", SizeUnit: "places", FullSize: 64, Mechanism: "bounded queue"})
	b.define(Series{Name: exitAdmitTime, Unit: "µs", SizeUnit: "places", FullSize: 64, Mechanism: "counters of one process"})
	for _, n := range []int{750, 2250, 7500, 22500} {
		b.add(exitFenceHeap, n, retainedHeap(func() any { return newFenceTable(n) }))
		t := newFenceTable(n)
		i, now := n, epoch
		remaining := time.Duration(n) * time.Millisecond
		b.add(exitFenceTime, n, microsecondsPerCall(func() {
			i++
			now = now.Add(time.Millisecond)
			t.Begin(requestID(i), 1, now.Add(remaining), now)
			t.Finish(requestID(i), fence.Answer[struct{}]{State: fence.Ran}, now)
			t.Expire(now)
		}))
	}
	for _, n := range []int{16, 64, 256} {
		b.add(exitQueueHeap, n, retainedHeap(func() any { return newFullLimiter(n) }))
		l := newFullLimiter(n)
		i := 1 << 20
		b.add(exitAdmitTime, n, microsecondsPerCall(func() {
			i++
			l.Offer(admit.Request{ID: requestID(i), Deadline: epoch.Add(time.Minute)}, epoch)
		}))
	}
	return b.series, nil
}

// newFenceTable returns a fence table with n finished requests.
func newFenceTable(n int) *fence.Table[struct{}] {
	t := fence.New(fence.Options[struct{}]{Start: 1})
	for i := range n {
		t.Begin(requestID(i), 1, epoch.Add(time.Duration(i)*time.Millisecond+time.Second), epoch)
		t.Finish(requestID(i), fence.Answer[struct{}]{State: fence.Ran}, epoch)
	}
	return t
}

// newFullLimiter returns a limiter whose 10 slots and n queue places are taken.
func newFullLimiter(n int) *admit.Limiter {
	l := admit.New(admit.Options{
		Slots: 10, MaxQueued: n, Warm: true, ServiceTime: time.Millisecond,
		Start:  func(admit.Request, time.Time) {},
		Expire: func(admit.Request, admit.Reason, time.Time) {},
	})
	for i := range 10 + n {
		l.Offer(admit.Request{ID: requestID(i), Deadline: epoch.Add(time.Minute), MayQueue: true}, epoch)
	}
	return l
}
