package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
)

// Gate admits requests to an upstream that reports its own load: the number
// of slots and the current slowdown of its instance. The number of slots is
// therefore known, and nothing is learned from latencies, which a noisy
// neighbour would distort.
//
// It is a pure state machine with the methods and invariants of a Limiter. In
// addition, a cold upstream starts at most burst + rate requests in any second.
type Gate struct {
	options  GateOptions
	slots    int
	running  map[ident.Request]runningRequest
	queue    queue
	report   Report
	reportAt time.Time
	// untracked counts requests at the upstream that this Gate doesn't track,
	// such as those of a previous process of the node or those whose caller
	// stopped waiting.
	untracked    int
	untrackedAt  time.Time
	coldStart    coldBucket
	serviceTimes map[ident.Route]time.Duration
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
}

// Report is the state that an upstream reports about itself.
type Report struct {
	// Slow is the current service time in percent of the usual one; 0 if unknown.
	Slow int
	// Counted is set if Busy is known: the number of requests that the upstream
	// runs or has queued, from all senders.
	Counted bool
	Busy    int
	// Warmth is set if Cold is known: how much longer the upstream stays cold.
	Warmth bool
	Cold   time.Duration
}

// GateOptions configures a Gate.
type GateOptions struct {
	Slots ident.Slots
	// Queue is the queue capacity; 0 means queuedPerGateSlot for each slot.
	Queue int
	// Start and Expire are as in Options.
	Start  func(Ticket, time.Time)
	Expire func(Ticket, Reason, time.Time)
}

const (
	// queuedPerGateSlot bounds the wait to about two service times; requests
	// that wait longer rarely finish within the caller's deadline.
	queuedPerGateSlot = 3
	// reportTTL is how long a reported slowdown is valid. The slowdown of an
	// instance lasts for about half a second.
	reportTTL = 400 * time.Millisecond
	// initialRouteServiceTime is assumed for a route before its first answer.
	initialRouteServiceTime = 50 * time.Millisecond
	// serviceTimeGain averages a route's service time over about 8 answers.
	serviceTimeGain = 1.0 / 8
)

// NewGate returns a Gate for an upstream that may be cold.
func NewGate(o GateOptions) *Gate {
	if o.Queue <= 0 {
		o.Queue = max(1, queuedPerGateSlot*int(o.Slots))
	}
	return &Gate{
		options:      o,
		slots:        int(o.Slots),
		queue:        newQueue(o.Queue),
		running:      map[ident.Request]runningRequest{},
		serviceTimes: map[ident.Route]time.Duration{},
	}
}

// SetSlots applies an announcement of the upstream. A new process identity
// means a cold upstream that has none of the earlier requests.
func (g *Gate) SetSlots(slots ident.Slots, start ident.Start, now time.Time) {
	g.now = now
	if start != g.start {
		g.report = Report{}
		g.untracked = 0
		g.coldStart.reset()
	}
	g.start = start
	g.slots = int(slots)
	if g.options.Queue < queuedPerGateSlot*g.slots {
		g.options.Queue = queuedPerGateSlot * g.slots
	}
	g.startQueued(now)
}

// Cold does nothing. It exists for the interface shared with Limiter; a Gate
// receives the cold time through SetReport.
func (g *Gate) Cold(time.Time) {}

// SetCold sets the rate, in requests per second, at which a cold upstream may
// start requests, and the burst beyond that rate in one second.
func (g *Gate) SetCold(rate, burst float64) {
	g.coldStart.rate, g.coldStart.burst = rate, burst
}

// SetReport applies a report of the upstream.
func (g *Gate) SetReport(r Report, now time.Time) {
	g.now = now
	if r.Slow > 0 {
		g.report, g.reportAt = r, now
	}
	if r.Counted {
		g.untracked, g.untrackedAt = max(0, r.Busy-len(g.running)), now
	}
	if r.Warmth {
		g.coldStart.set(r.Cold, now)
	}
	g.startQueued(now)
}

// Drain refuses all further requests and expires the queued ones.
func (g *Gate) Drain(now time.Time) {
	g.now = now
	g.draining = true
	for g.queue.len() > 0 {
		g.options.Expire(g.queue.pop(), Draining, now)
	}
}

// Offer decides about a ticket. A ticket that isn't expected to end by its
// deadline is refused, because it would occupy a slot without producing a
// usable answer. A ticket that may still be retried on another member is
// refused while the upstream is slow, unless it meets its objective anyway.
func (g *Gate) Offer(t Ticket, now time.Time) Decision {
	g.now = now
	expected := g.expectedServiceTime(t, now)
	left := t.Deadline.Sub(now)
	room := g.queue.len() == 0 && g.hasRoom(now)
	switch {
	case g.draining:
		return Decision{Reason: Draining}
	case g.slots == 0:
		return Decision{Reason: Full, RetryAfter: expected}
	case g.slowdown(now) >= choose.SlowdownThresholdPercent && !t.Last && (left <= expected || g.missesObjective(t, now, expected)):
		return Decision{Reason: Slow, RetryAfter: expected}
	case left <= expected:
		return Decision{Reason: Late}
	case room && g.coldStart.take(now):
		g.markRunning(t, now)
		return Decision{Verdict: Run}
	}
	wait := g.EstimateWait(t)
	switch {
	case !t.Last || g.queue.len() >= g.options.Queue:
		return Decision{Reason: Full, RetryAfter: wait}
	case left < wait+expected:
		return Decision{Reason: Late, RetryAfter: wait}
	case g.missesObjective(t, now, wait+expected) && g.queue.len() >= g.slots/lateQueueDivisor:
		return Decision{Reason: Full, RetryAfter: wait}
	}
	g.queue.push(t)
	g.startQueued(now)
	return Decision{Verdict: Queue}
}

// hasRoom reports whether the upstream has a free slot.
func (g *Gate) hasRoom(now time.Time) bool {
	used := len(g.running)
	if now.Sub(g.untrackedAt) <= untrackedTTL {
		used += g.untracked
	}
	return used < g.slots
}

// untrackedTTL is how long a count of untracked requests is valid. Each health
// check renews it.
const untrackedTTL = 200 * time.Millisecond

// lateQueueDivisor limits queued requests that miss their objective: they are
// admitted while the queue is shorter than the slots divided by it. Their
// answers have little value left, and those behind them would miss their
// objective, too.
const lateQueueDivisor = 2

// missesObjective reports whether t ends after its objective if it ends after
// the given duration. A ticket without an objective always misses it.
func (g *Gate) missesObjective(t Ticket, now time.Time, duration time.Duration) bool {
	return t.Objective.IsZero() || now.Add(duration).After(t.Objective)
}

// expectedServiceTime returns how long a ticket is expected to run if it starts
// now. On the target platform the slowdown at the start of a request holds for
// all of its work. Assuming that the slowdown ends half a second later lost 0.1
// of the total value of the answers of a quiet day.
func (g *Gate) expectedServiceTime(t Ticket, now time.Time) time.Duration {
	return g.ServiceTime(t.Route) * time.Duration(g.slowdown(now)) / UsualSpeed
}

// UsualSpeed is the slowdown of an upstream that isn't slow, in percent.
const UsualSpeed = 100

// slowdown returns the current slowdown in percent; an expired report counts as
// normal.
func (g *Gate) slowdown(now time.Time) int {
	if g.report.Slow < UsualSpeed || now.Sub(g.reportAt) > reportTTL {
		return UsualSpeed
	}
	return g.report.Slow
}

// ServiceTime returns the usual service time of a route.
func (g *Gate) ServiceTime(r ident.Route) time.Duration {
	if average, ok := g.serviceTimes[r]; ok {
		return average
	}
	if g.meanServiceTime > 0 {
		return g.meanServiceTime
	}
	return initialRouteServiceTime
}

// EstimateWait estimates the time until a ticket that is queued now starts.
func (g *Gate) EstimateWait(t Ticket) time.Duration {
	if g.slots == 0 {
		return g.meanServiceTime
	}
	ahead := g.queue.ahead(t) + 1
	meanServiceTime := max(g.meanServiceTime, initialRouteServiceTime/2)
	return meanServiceTime * time.Duration(ahead) / time.Duration(g.slots)
}

// Finish records the end of a running request and starts queued ones.
func (g *Gate) Finish(id ident.Request, r Result, now time.Time) {
	g.now = now
	request, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if r == Done {
		g.learnServiceTime(request, now)
	}
	g.startQueued(now)
}

// learnServiceTime averages the service time of requests, corrected by the
// slowdown that the upstream reported when they started.
func (g *Gate) learnServiceTime(r runningRequest, now time.Time) {
	serviceTime := now.Sub(r.startedAt) * UsualSpeed / time.Duration(r.slowdown)
	if average, ok := g.serviceTimes[r.route]; ok {
		g.serviceTimes[r.route] = average + time.Duration(serviceTimeGain*float64(serviceTime-average))
	} else {
		g.serviceTimes[r.route] = serviceTime
	}
	if g.meanServiceTime == 0 {
		g.meanServiceTime = serviceTime
	}
	g.meanServiceTime += time.Duration(serviceTimeGain * float64(serviceTime-g.meanServiceTime))
}

// Cancel removes a queued ticket and reports whether it was queued.
func (g *Gate) Cancel(id ident.Request, now time.Time) bool {
	g.now = now
	return g.queue.remove(id)
}

// Tick starts the queued tickets that a cold upstream may start now and expires
// those that can't finish in time any more.
func (g *Gate) Tick(now time.Time) {
	g.now = now
	g.startQueued(now)
	g.expireLate(now)
}

// startQueued starts queued tickets while there is a free slot: first those
// that meet their objective, then the others, each by priority and deadline.
func (g *Gate) startQueued(now time.Time) {
	for g.queue.len() > 0 && g.hasRoom(now) && !g.draining {
		g.expireLate(now)
		if g.queue.len() == 0 || !g.coldStart.take(now) {
			return
		}
		t := g.queue.popPreferred(func(t Ticket) bool { return !g.missesObjective(t, now, g.expectedServiceTime(t, now)) })
		g.markRunning(t, now)
		g.options.Start(t, now)
	}
}

// expireLate expires queued tickets that can't end by their deadline any more.
func (g *Gate) expireLate(now time.Time) {
	g.queue.removeMatching(func(t Ticket) bool {
		return t.Deadline.Sub(now) <= g.expectedServiceTime(t, now)
	}, func(t Ticket) { g.options.Expire(t, Late, now) })
}

func (g *Gate) markRunning(t Ticket, now time.Time) {
	g.running[t.ID] = runningRequest{startedAt: now, route: t.Route, slowdown: g.slowdown(now)}
}

// Idle reports whether no request runs.
func (g *Gate) Idle() bool { return len(g.running) == 0 }

// Load returns the load hint to send with the next answer.
func (g *Gate) Load() choose.Hint {
	h := choose.Hint{
		Inflight: int32(len(g.running)),
		Queued:   int32(g.queue.len()),
		Limit:    int32(g.slots),
		Service:  g.meanServiceTime,
		Slow:     int32(g.slowdown(g.now)),
		At:       g.now,
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
