package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

// playCalls offers requests that keep all slots busy and calls of 15 ms with 170 ms
// left to one upstream, and returns the share of the calls that start and the
// largest number of requests that run at the same time.
func playCalls(t *testing.T, slots ident.Slots, withCalls bool) (callShare float64, running int) {
	const step = time.Millisecond
	now := startTime
	kinds := map[ident.Request]bool{}
	ends := map[ident.Request]time.Time{}
	started := map[bool]int{}
	start := func(r admit.Request, at time.Time) {
		call := kinds[r.ID]
		started[call]++
		ends[r.ID] = at.Add(300 * time.Millisecond)
		if call {
			ends[r.ID] = at.Add(15 * time.Millisecond)
		}
	}
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{Slots: slots, Start: start, Expire: func(admit.Request, admit.Reason, time.Time) {}})
	offered, next := 0, uint64(0)
	offer := func(call bool, priority int, left time.Duration) {
		next++
		id := ident.NewRequest(0, next)
		kinds[id] = call
		r := admit.Request{ID: id, Deadline: now.Add(left), Objective: now.Add(left), MayQueue: true, Route: ident.Route(fmt.Sprint(call)), Priority: priority}
		if g.Offer(r, now).Verdict == admit.Run {
			start(r, now)
		}
	}
	for ms := range 10_000 {
		now = startTime.Add(time.Duration(ms) * step)
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
				g.Finish(id, admit.Done, now)
			}
		}
		g.Tick(now)
		offer(false, 0, 1500*time.Millisecond)
		if withCalls && ms%25 == 0 {
			offered++
			offer(true, admit.CallPriority, 170*time.Millisecond)
		}
		if ms > 2000 {
			running = max(running, len(ends))
		}
	}
	assert.Assert(t, started[false] > 0)
	return float64(started[true]) / float64(max(1, offered)), running
}

// Guards against new requests that take every slot while calls of other runs wait:
// those runs then hold their slots until the calls expire, and two services that
// call each other stop each other.
func TestCallsStartUnderOverload(t *testing.T) {
	share, _ := playCalls(t, 6, true)
	assert.Assert(t, share > 0.95, "%.3f of the calls started", share)
}

// Guards against slots that stay reserved where no upstream calls.
func TestNothingIsReservedWithoutCalls(t *testing.T) {
	_, running := playCalls(t, 6, false)
	assert.Equal(t, running, 6)
}

// Guards against a call that waits behind queued requests although a reserved slot
// is free.
func TestCallPassesQueue(t *testing.T) {
	now := startTime
	var order []ident.Route
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots:  2,
		Start:  func(r admit.Request, _ time.Time) { order = append(order, r.Route) },
		Expire: func(admit.Request, admit.Reason, time.Time) {},
	})
	offer := func(id uint64, route ident.Route, priority int) admit.Verdict {
		end := now.Add(10 * time.Second)
		return g.Offer(admit.Request{ID: ident.NewRequest(0, id), Deadline: end, Objective: end, MayQueue: true, Route: route, Priority: priority}, now).Verdict
	}
	// Calls in the recent past reserve a slot.
	for i := range uint64(20) {
		assert.Equal(t, offer(100+i, "call", admit.CallPriority), admit.Run)
		now = now.Add(50 * time.Millisecond)
		g.Finish(ident.NewRequest(0, 100+i), admit.Done, now)
	}
	assert.Equal(t, offer(1, "a", 0), admit.Run)
	assert.Equal(t, offer(2, "b", 0), admit.Queue)
	assert.Equal(t, offer(3, "call", admit.CallPriority), admit.Run)
	assert.Equal(t, offer(4, "call", admit.CallPriority), admit.Queue)
	g.Finish(ident.NewRequest(0, 1), admit.Done, now)
	assert.DeepEqual(t, order, []ident.Route{"call"})
}
