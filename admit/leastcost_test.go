package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

// expiry is a call of SlotLimiterOptions.Expire.
type expiry struct {
	id         uint64
	reason     admit.Reason
	retryAfter time.Duration
}

// newBusySlotLimiter returns a SlotLimiter that has learned a service time of 10 ms
// and whose slots are all in use, with the calls of its Expire.
func newBusySlotLimiter(slots, maxQueued int) (*admit.SlotLimiter, *[]expiry, time.Time) {
	var g *admit.SlotLimiter
	var expired []expiry
	g = admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots: ident.Slots(slots), MaxQueued: maxQueued,
		Start: func(admit.Request, time.Time) {},
		Expire: func(k admit.Request, r admit.Reason, _ time.Time) {
			expired = append(expired, expiry{k.ID.Low64(), r, g.EstimateWait(k)})
		},
	})
	now := trainSlotLimiter(g, 10*time.Millisecond)
	for n := range slots {
		g.Offer(admit.Request{ID: id(2000 + n), Deadline: now.Add(time.Minute)}, now)
	}
	return g, &expired, now
}

func ranked(n, priority int, objective time.Duration, now time.Time) admit.Request {
	return admit.Request{ID: id(n), Priority: priority, Objective: now.Add(objective), Deadline: now.Add(10 * time.Second), MayQueue: true}
}

// Guards against a full queue that refuses an urgent request while it holds less
// urgent ones or ones that miss their objective, and against a displaced request
// that isn't told when to return.
func TestFullQueueDisplacesLeastCost(t *testing.T) {
	g, expired, now := newBusySlotLimiter(1, 3)
	for n, priority := range []int{1, 2, 0} {
		assert.Equal(t, g.Offer(ranked(n+1, priority, time.Second, now), now).Verdict, admit.Queue)
	}
	assert.Equal(t, g.Offer(ranked(4, 0, time.Second, now), now).Verdict, admit.Queue)
	assert.Equal(t, len(*expired), 1)
	displaced := (*expired)[0]
	assert.Equal(t, displaced.id, uint64(2), "priority 2 costs least")
	assert.Equal(t, displaced.reason, admit.Full)
	assert.Assert(t, displaced.retryAfter > 0)

	assert.Equal(t, g.Offer(ranked(5, 0, time.Second, now), now).Verdict, admit.Queue)
	assert.Equal(t, (*expired)[1].id, uint64(1))
	for _, priority := range []int{0, 1} {
		d := g.Offer(ranked(6, priority, time.Second, now), now)
		assert.Equal(t, d.Reason, admit.Full, "an equal or less urgent request displaces none")
		assert.Assert(t, d.RetryAfter > 0)
	}
	k := ranked(7, 0, time.Second, now)
	k.MayQueue = false
	assert.Equal(t, g.Offer(k, now).Reason, admit.Full, "a request that may not queue displaces none")
	assert.Equal(t, len(*expired), 2)
	assert.Equal(t, int(g.Load().Queued), 3)
}

// Guards against a queue full of requests that have missed their objective, which
// refuses a less urgent one that can meet it.
func TestFullQueueDisplacesMissedObjective(t *testing.T) {
	g, expired, now := newBusySlotLimiter(1, 3)
	for n, objective := range []time.Duration{time.Second, 80 * time.Millisecond, time.Second} {
		assert.Equal(t, g.Offer(ranked(n+1, 0, objective, now), now).Verdict, admit.Queue)
	}
	now = now.Add(100 * time.Millisecond)
	assert.Equal(t, g.Offer(ranked(4, 1, time.Second, now), now).Verdict, admit.Queue)
	assert.Equal(t, len(*expired), 1)
	assert.Equal(t, (*expired)[0].id, uint64(2))
}

// Guards against an urgent request that is refused because it misses its objective
// while the queue holds only less urgent ones, and against a queue without a limit
// for such requests.
func TestLessUrgentDoNotKeepUrgentOut(t *testing.T) {
	const slots = 4
	g, _, now := newBusySlotLimiter(slots, 12)
	for n := range 6 {
		assert.Equal(t, g.Offer(ranked(n+1, 2, time.Second, now), now).Verdict, admit.Queue)
	}
	// No request of 10 ms meets this objective.
	const missed = 5 * time.Millisecond
	for n := range slots / 2 {
		assert.Equal(t, g.Offer(ranked(n+10, 1, missed, now), now).Verdict, admit.Queue)
	}
	assert.Equal(t, g.Offer(ranked(20, 1, missed, now), now).Reason, admit.Full)
	assert.Equal(t, g.Offer(ranked(21, 0, missed, now), now).Verdict, admit.Queue)
}

// Guards against an order within a priority that keeps the request waiting which
// has the least slack for its work, against one that isn't first in, first out for
// equal requests, and against a request that less urgent ones overtake.
func TestOrderWithinPriority(t *testing.T) {
	var order []uint64
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots: 1, MaxQueued: 9,
		Start:  func(k admit.Request, _ time.Time) { order = append(order, k.ID.Low64()) },
		Expire: func(admit.Request, admit.Reason, time.Time) {},
	})
	now := trainSlotLimiter(g, 10*time.Millisecond)
	long := admit.Request{ID: id(90), Route: "long", Deadline: now.Add(time.Minute)}
	g.Offer(long, now)
	now = now.Add(100 * time.Millisecond)
	g.Finish(long.ID, admit.Done, now)
	g.Offer(admit.Request{ID: id(91), Deadline: now.Add(time.Minute)}, now)
	for n, k := range []struct {
		route     ident.Route
		priority  int
		objective time.Duration
	}{
		{"", 1, 300 * time.Millisecond},
		// Its slack is that of the next two, which do more per slot time.
		{"long", 0, 2090 * time.Millisecond},
		{"", 0, 2 * time.Second},
		{"", 0, 2 * time.Second},
		{"long", 0, 500 * time.Millisecond},
		{"", 0, 300 * time.Millisecond},
	} {
		r := ranked(n+1, k.priority, k.objective, now)
		r.Route = k.route
		// The order of the deadlines is the reverse of what is wanted.
		r.Deadline = r.Deadline.Add(-time.Duration(n) * time.Millisecond)
		assert.Equal(t, g.Offer(r, now).Verdict, admit.Queue)
	}
	g.Finish(id(91), admit.Done, now)
	for n := range 5 {
		g.Finish(id(int(order[n])), admit.Broken, now)
	}
	assert.DeepEqual(t, order, []uint64{6, 5, 3, 4, 2, 1})
}

// Guards against requests of a low priority that are all displaced before they
// have waited long enough to move up: an upstream with far more urgent requests
// than slots must still serve some of the others.
func TestLeastUrgentIsNotStarved(t *testing.T) {
	kinds := []requestKind{
		{name: "urgent", route: "a", priority: 0, rate: 20, work: 10 * time.Millisecond, objective: 150 * time.Millisecond, deadline: time.Second},
		{name: "usual", route: "b", priority: 1, rate: 80, work: 10 * time.Millisecond, objective: 150 * time.Millisecond, deadline: 200 * time.Millisecond},
		{name: "least urgent", route: "c", priority: 2, rate: 40, work: 10 * time.Millisecond, objective: 150 * time.Millisecond, deadline: 200 * time.Millisecond},
	}
	arrivals := poissonArrivals(kinds, 6, 1.4, 20*time.Second, 1)
	served, offered := make([]float64, 4), make([]float64, 4)
	for n, o := range runModel(newLeastCost, kinds, 6, arrivals, false) {
		for _, i := range []int{arrivals[n].kind, 3} {
			offered[i]++
			served[i] += float64(o.starts)
		}
	}
	// No kind gets less than a quarter of the overall rate (docs/demand.md).
	for i, k := range kinds {
		assert.Assert(t, served[i]/offered[i] >= served[3]/offered[3]/4, "%s: served %v of %v", k.name, served, offered)
	}
}

// Guards against an estimated wait that counts each request ahead as a mean one: an
// urgent request is refused behind a few short ones, and a long queue of long ones
// is joined in vain.
func TestEstimateWaitKnowsWorkAhead(t *testing.T) {
	const slots = 2
	g, _, now := newBusySlotLimiter(slots, 9)
	long := admit.Request{ID: id(90), Route: "long", Deadline: now.Add(time.Minute), Objective: now.Add(30 * time.Second), MayQueue: true}
	g.Finish(id(2000), admit.Broken, now)
	g.Offer(long, now)
	now = now.Add(time.Second)
	g.Finish(long.ID, admit.Done, now)
	g.Offer(admit.Request{ID: id(91), Deadline: now.Add(time.Minute)}, now)
	next := g.EstimateWait(ranked(1, 0, time.Second, now))
	assert.Equal(t, g.Offer(ranked(2, 0, time.Second, now), now).Verdict, admit.Queue)
	assert.Equal(t, g.EstimateWait(ranked(1, 0, time.Second, now))-next, g.ServiceTime("")/slots)
	long.ID, long.Priority = id(92), 1
	assert.Equal(t, g.Offer(long, now).Verdict, admit.Queue)
	assert.Equal(t, g.EstimateWait(ranked(1, 1, 50*time.Second, now))-next, (g.ServiceTime("")+g.ServiceTime("long"))/slots)
}

// Guards against a lower bound on the estimated wait for a service with short
// requests, whose objectives then seem out of reach as soon as one of them queues.
func TestEstimateWaitOfShortRequests(t *testing.T) {
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{Slots: 2})
	now := trainSlotLimiter(g, 4*time.Millisecond)
	assert.Equal(t, g.EstimateWait(ranked(1, 0, time.Second, now)), 2*time.Millisecond)
}
