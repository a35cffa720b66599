package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/policy/cost"
)

// SlotLimiter admits requests to an upstream that reports its own load: the
// number of slots and the current slowdown of its instance. The limit is the
// number of slots; it isn't learned from latencies, which a noisy neighbour would
// distort. Service times are learned for each route, corrected by the reported
// slowdown.
//
// It is a pure state machine with the methods and invariants of a Limiter. In
// addition, a cold upstream starts at most burst + rate requests in any second.
type SlotLimiter struct {
	options  SlotLimiterOptions
	slots    int
	running  map[ident.Request]runningRequest
	queue    queue
	share    *cost.FairShare
	report   LoadReport
	reportAt time.Time
	// untracked counts requests at the upstream that this SlotLimiter doesn't
	// track, such as those of a previous process of the node or those whose
	// caller stopped waiting.
	untracked    int
	untrackedAt  time.Time
	calls        callReserve
	coldStart    coldBucket
	serviceTimes map[ident.Route]time.Duration
	// objectives holds the longest objective seen on each route without a
	// service time. A retried request has less of it left.
	objectives map[ident.Route]time.Duration
	// meanServiceTime is the usual service time over all routes.
	meanServiceTime time.Duration
	draining        bool
	start           ident.Start
	now             time.Time
}

type runningRequest struct {
	startedAt time.Time
	route     ident.Route
	// slowdown is the slowdown in percent when the request started.
	slowdown int
	call     bool
}

// LoadReport is the state that an upstream reports about itself.
type LoadReport struct {
	// SlowdownPercent is the current service time in percent of the usual one;
	// 0 if unknown.
	SlowdownPercent int
	// HasBusy is set if Busy is known: the number of requests that the upstream
	// runs or has queued, from all senders.
	HasBusy bool
	Busy    int
	// HasColdRemaining is set if ColdRemaining is known: how much longer the
	// upstream stays cold.
	HasColdRemaining bool
	ColdRemaining    time.Duration
}

// SlotLimiterOptions configures a SlotLimiter.
type SlotLimiterOptions struct {
	Slots ident.Slots
	// MaxQueued is the queue capacity; 0 means slotLimiterQueuedPerSlot for
	// each slot.
	MaxQueued int
	// Start and Expire are as in Options. During a call of Expire with reason
	// Full, EstimateWait returns the time after which the request may be retried.
	Start  func(Request, time.Time)
	Expire func(Request, Reason, time.Time)
}

const (
	// slotLimiterQueuedPerSlot bounds the wait to about two service times;
	// requests that wait longer rarely finish within the caller's deadline.
	slotLimiterQueuedPerSlot = 3
	// reportTTL is how long a reported slowdown is valid. The slowdown of an
	// instance lasts for about half a second.
	reportTTL = 400 * time.Millisecond
	// initialRouteServiceTime is assumed for a route before its first answer.
	initialRouteServiceTime = 50 * time.Millisecond
	// serviceTimeGain averages a route's service time over about 8 answers.
	serviceTimeGain = 1.0 / 8
)

// NewSlotLimiter returns a SlotLimiter. The upstream is treated as warm until a
// report says that it is cold. A cold upstream starts no requests unless
// SetColdRate was called.
func NewSlotLimiter(o SlotLimiterOptions) *SlotLimiter {
	if o.MaxQueued <= 0 {
		o.MaxQueued = max(1, slotLimiterQueuedPerSlot*int(o.Slots))
	}
	return &SlotLimiter{
		options:      o,
		slots:        int(o.Slots),
		queue:        newQueue(o.MaxQueued),
		share:        cost.NewFairShare(maxFlows),
		running:      map[ident.Request]runningRequest{},
		serviceTimes: map[ident.Route]time.Duration{},
		objectives:   map[ident.Route]time.Duration{},
	}
}

// SetSlots applies an announcement of the upstream. If start is new, the load
// report, the untracked requests and the cold time of the previous process are
// discarded.
func (g *SlotLimiter) SetSlots(slots ident.Slots, start ident.Start, now time.Time) {
	g.now = now
	if start != g.start {
		g.report = LoadReport{}
		g.untracked = 0
		g.coldStart.reset()
	}
	g.start = start
	g.slots = int(slots)
	if g.options.MaxQueued < slotLimiterQueuedPerSlot*g.slots {
		g.options.MaxQueued = slotLimiterQueuedPerSlot * g.slots
	}
	g.startQueued(now)
}

// RestartLimit does nothing. It exists for the interface shared with Limiter; a
// SlotLimiter receives the cold time through SetReport.
func (g *SlotLimiter) RestartLimit(time.Time) {}

// SetColdRate sets the rate, in requests per second, at which a cold upstream
// may start requests, and the burst beyond that rate in one second.
func (g *SlotLimiter) SetColdRate(rate, burst float64) {
	g.coldStart.rate, g.coldStart.burst = rate, burst
}

// SetReport applies a report of the upstream.
func (g *SlotLimiter) SetReport(r LoadReport, now time.Time) {
	g.now = now
	if r.SlowdownPercent > 0 {
		g.report, g.reportAt = r, now
	}
	if r.HasBusy {
		g.untracked, g.untrackedAt = max(0, r.Busy-len(g.running)), now
	}
	if r.HasColdRemaining {
		g.coldStart.set(r.ColdRemaining, now)
	}
	g.startQueued(now)
}

// Drain refuses all further requests and expires the queued ones.
func (g *SlotLimiter) Drain(now time.Time) {
	g.now = now
	g.draining = true
	for g.queue.len() > 0 {
		g.options.Expire(g.queue.pop(), Draining, now)
	}
}

// Offer decides about a request. A request that isn't expected to end by its
// deadline is refused, because it would occupy a slot without producing a
// usable answer. A request that may still be retried on another member is
// refused while the upstream is slow, unless it meets its objective anyway. If the
// queue is full, the request whose refusal costs least is refused: the offered
// one, or a queued one, which is then expired with reason Full.
func (g *SlotLimiter) Offer(t Request, now time.Time) Decision {
	g.now = now
	g.recordObjective(t, now)
	expected := g.expectedServiceTime(t, now)
	left := t.Deadline.Sub(now)
	room := (g.queue.len() == 0 || g.passesQueue(t)) && g.hasRoom(t, now)
	switch {
	case g.draining:
		return Decision{Reason: Draining}
	case g.slots == 0:
		return Decision{Reason: Full, RetryAfter: expected}
	case g.slowdown(now) >= choose.SlowdownThresholdPercent && !t.MayQueue && (left <= expected || g.missesObjective(t, now, expected)):
		return Decision{Reason: Slow, RetryAfter: expected}
	case left <= expected:
		return Decision{Reason: Late}
	case room && g.coldStart.take(now):
		g.markRunning(t, now)
		return Decision{Verdict: Run}
	}
	wait := g.EstimateWait(t)
	displaced := none
	if t.MayQueue && g.queueFull() {
		displaced = g.displaceable(t, now, wait)
	}
	switch {
	case !t.MayQueue || g.queueFull() && displaced == none:
		return Decision{Reason: Full, RetryAfter: wait}
	case left < wait+expected:
		return Decision{Reason: Late, RetryAfter: wait}
	case g.missesObjective(t, now, wait+expected) && g.countUrgent(t) >= g.slots/objectiveQueueDivisor:
		return Decision{Reason: Full, RetryAfter: wait}
	}
	if g.queueFull() {
		g.options.Expire(g.queue.removeAt(displaced), Full, now)
	}
	g.push(t, now)
	g.startQueued(now)
	return Decision{Verdict: Queue}
}

func (g *SlotLimiter) queueFull() bool { return g.queue.len() >= g.options.MaxQueued }

// hasRoom reports whether the upstream has a free slot for t, that is, one that
// isn't reserved for calls.
func (g *SlotLimiter) hasRoom(t Request, now time.Time) bool {
	used := len(g.running)
	if now.Sub(g.untrackedAt) <= untrackedTTL {
		used += g.untracked
	}
	if t.Priority > CallPriority {
		used += g.calls.unused(g.slots, now)
	}
	return used < g.slots
}

// untrackedTTL is how long a count of untracked requests is valid. Each health
// check renews it.
const untrackedTTL = 200 * time.Millisecond

// objectiveQueueDivisor limits queued requests that miss their objective: they
// are admitted while fewer requests of the same or a more urgent priority are
// queued than the slots divided by it. Their answers have little value left, and
// those behind them would miss their objective, too.
const objectiveQueueDivisor = 2

// missesObjective reports whether t ends after its objective if it ends after
// the given duration. It reports true for a request without an objective, so that
// such requests are queued last and refused first.
func (g *SlotLimiter) missesObjective(t Request, now time.Time, duration time.Duration) bool {
	return t.Objective.IsZero() || now.Add(duration).After(t.Objective)
}

// expectedServiceTime returns how long a request is expected to run if it
// starts now. On the hosting platform the slowdown at the start of a request
// holds for all of its work. Assuming that the slowdown ends half a second
// later lost 0.1 of the total value of the answers of a quiet day.
//
// Until the first answer on a route, its objective is a guide to its service time.
// This answers the load after a common restart: no node has learned anything,
// all upstreams are cold, and requests that can't end in time would take their
// slots and their pace.
func (g *SlotLimiter) expectedServiceTime(t Request, now time.Time) time.Duration {
	usual := g.ServiceTime(t.Route)
	if _, learned := g.serviceTimes[t.Route]; !learned {
		usual = max(usual, g.objectives[t.Route]/objectivePerServiceTime)
	}
	return usual * time.Duration(g.slowdown(now)) / NormalSlowdownPercent
}

func (g *SlotLimiter) recordObjective(t Request, now time.Time) {
	if _, learned := g.serviceTimes[t.Route]; learned || t.Objective.IsZero() {
		return
	}
	g.objectives[t.Route] = max(g.objectives[t.Route], t.Objective.Sub(now))
}

// objectivePerServiceTime is the ratio of a route's objective to its service time
// that is assumed before the first answer. An objective leaves room for the
// network, a short queue and an upstream that is twice as slow as usual.
const objectivePerServiceTime = 3

// NormalSlowdownPercent is the slowdown of an upstream that isn't slow, in
// percent.
const NormalSlowdownPercent = 100

// slowdown returns the current slowdown in percent; an expired report counts as
// normal.
func (g *SlotLimiter) slowdown(now time.Time) int {
	if g.report.SlowdownPercent < NormalSlowdownPercent || now.Sub(g.reportAt) > reportTTL {
		return NormalSlowdownPercent
	}
	return g.report.SlowdownPercent
}

// ServiceTime returns the usual service time of a route.
func (g *SlotLimiter) ServiceTime(r ident.Route) time.Duration {
	if average, ok := g.serviceTimes[r]; ok {
		return average
	}
	if g.meanServiceTime > 0 {
		return g.meanServiceTime
	}
	return initialRouteServiceTime
}

// EstimateWait estimates the time until a request that is queued now starts: the
// work ahead of it must be done, a slot must become free and a cold upstream must
// be allowed to start it.
//
// The next free slot is expected after a mean service time divided by the slots.
// What is left of the running requests gave no better decisions: the time until
// the first of them is expected to end earned as much, their mean less.
func (g *SlotLimiter) EstimateWait(t Request) time.Duration {
	if g.slots == 0 {
		return g.meanServiceTime
	}
	work, ahead := g.workAhead(t)
	next := g.meanServiceTime
	if next == 0 {
		next = initialRouteServiceTime
	}
	work += next
	return max(work/time.Duration(g.slots), g.coldStart.wait(ahead+1, g.now))
}

// Finish records the end of a running request and starts queued ones.
func (g *SlotLimiter) Finish(id ident.Request, r Result, now time.Time) {
	g.now = now
	request, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if request.call {
		g.calls.add(-1, now)
	}
	if r == Done {
		g.learnServiceTime(request, now)
	}
	g.startQueued(now)
}

// learnServiceTime averages the service time of requests, corrected by the
// slowdown that the upstream reported when they started.
func (g *SlotLimiter) learnServiceTime(r runningRequest, now time.Time) {
	serviceTime := now.Sub(r.startedAt) * NormalSlowdownPercent / time.Duration(r.slowdown)
	if average, ok := g.serviceTimes[r.route]; ok {
		g.serviceTimes[r.route] = average + time.Duration(serviceTimeGain*float64(serviceTime-average))
	} else {
		g.serviceTimes[r.route] = serviceTime
		delete(g.objectives, r.route)
	}
	if g.meanServiceTime == 0 {
		g.meanServiceTime = serviceTime
	}
	g.meanServiceTime += time.Duration(serviceTimeGain * float64(serviceTime-g.meanServiceTime))
}

// Cancel removes a queued request and reports whether it was queued.
func (g *SlotLimiter) Cancel(id ident.Request, now time.Time) bool {
	g.now = now
	return g.queue.remove(id)
}

// Tick starts the queued requests that a cold upstream may start now and
// expires those that can't finish in time any more.
func (g *SlotLimiter) Tick(now time.Time) {
	g.now = now
	g.startQueued(now)
	g.expireLate(now)
}

// startQueued starts queued requests by rank (see cost.Request.Rank) while there is
// a free slot. It stops when a cold upstream may start no more requests now, and
// expires queued requests that can't end by their deadline any more.
func (g *SlotLimiter) startQueued(now time.Time) {
	for g.queue.len() > 0 && !g.draining {
		g.expireLate(now)
		if g.queue.len() == 0 {
			return
		}
		next := g.first(now)
		if !g.hasRoom(g.queue.items[next].request, now) || !g.coldStart.take(now) {
			return
		}
		t := g.takeAt(next)
		g.markRunning(t, now)
		g.options.Start(t, now)
	}
}

// expireLate expires queued requests that can't end by their deadline any more.
func (g *SlotLimiter) expireLate(now time.Time) {
	g.queue.removeMatching(func(t Request) bool {
		return t.Deadline.Sub(now) <= g.expectedServiceTime(t, now)
	}, func(t Request) { g.options.Expire(t, Late, now) })
}

func (g *SlotLimiter) markRunning(t Request, now time.Time) {
	call := t.Priority <= CallPriority
	if call {
		g.calls.add(1, now)
	}
	g.running[t.ID] = runningRequest{startedAt: now, route: t.Route, slowdown: g.slowdown(now), call: call}
}

// Idle reports whether no request runs.
func (g *SlotLimiter) Idle() bool { return len(g.running) == 0 }

// Load returns the load hint to send with the next answer.
func (g *SlotLimiter) Load() choose.Hint {
	h := choose.Hint{
		Inflight:        int32(len(g.running)),
		Queued:          int32(g.queue.len()),
		Limit:           int32(g.slots),
		ServiceTime:     g.meanServiceTime,
		SlowdownPercent: int32(g.slowdown(g.now)),
		At:              g.now,
	}
	if g.draining {
		h.Limit = 0
	}
	if g.coldStart.active(g.now) {
		h.Limit = min(h.Limit, advertisedColdLimit)
	}
	return h
}

// advertisedColdLimit is the limit that a cold upstream advertises in its load
// hints, so that entries use it after all warm ones.
const advertisedColdLimit = 1
