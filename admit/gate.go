package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
)

// Gate admits requests to an upstream that reports its own load: how many
// slots it has and how slow its instance is at this moment. The number of
// slots is then known, and nothing has to be learned from latencies, which a
// noisy neighbour would distort.
//
// It is a pure state machine with the methods and invariants of a Limiter.
// Besides: a cold upstream starts at most burst + rate requests in any second.
type Gate struct {
	options GateOptions
	slots   int
	running map[ident.Request]started
	queue   queue
	load    Report
	loadAt  time.Time
	// foreign counts requests at the upstream that this Gate doesn't know, such
	// as those of a process before a restart or those that were given up.
	foreign   int
	foreignAt time.Time
	cold      cooldown
	work      map[ident.Route]time.Duration
	// mean is the usual work time over all routes.
	mean     time.Duration
	draining bool
	start    ident.Start
	now      time.Time
}

type started struct {
	at    time.Time
	route ident.Route
	// slow is the slowness when the request started.
	slow int
}

// Report is what an upstream tells about itself.
type Report struct {
	// Slow is how long work takes now, in percent of the usual time; 0 if unknown.
	Slow int
	// Counted is set if Busy is known: the requests that the upstream runs or
	// has waiting, whoever sent them.
	Counted bool
	Busy    int
	// Warmth is set if Cold is known: how much longer the upstream stays cold.
	Warmth bool
	Cold   time.Duration
}

// GateOptions configures a Gate.
type GateOptions struct {
	Slots ident.Slots
	// Queue bounds the waiting requests; 0 means queuePerGateSlot for each slot.
	Queue int
	// Start and Expire are as in Options.
	Start  func(Ticket, time.Time)
	Expire func(Ticket, Reason, time.Time)
}

const (
	// queuePerGateSlot bounds the queue to about two work times; longer waits
	// rarely end within a caller's deadline.
	queuePerGateSlot = 3
	// reportFresh is how long a report of slowness counts. The slowness of an
	// instance lasts for about half a second.
	reportFresh = 400 * time.Millisecond
	// firstWork is assumed for a route before its first answer.
	firstWork = 50 * time.Millisecond
	// workGain averages a route's work time over about 8 answers.
	workGain = 1.0 / 8
)

// NewGate returns a Gate for an upstream that may be cold.
func NewGate(o GateOptions) *Gate {
	if o.Queue <= 0 {
		o.Queue = max(1, queuePerGateSlot*int(o.Slots))
	}
	return &Gate{
		options: o,
		slots:   int(o.Slots),
		queue:   newQueue(o.Queue),
		running: map[ident.Request]started{},
		work:    map[ident.Route]time.Duration{},
	}
}

// SetSlots takes an announcement. Another process identity is a cold upstream
// that knows nothing of the requests before.
func (g *Gate) SetSlots(slots ident.Slots, start ident.Start, now time.Time) {
	g.now = now
	if start != g.start {
		g.load = Report{}
		g.foreign = 0
		g.cold.reset()
	}
	g.start = start
	g.slots = int(slots)
	if g.options.Queue < queuePerGateSlot*g.slots {
		g.options.Queue = queuePerGateSlot * g.slots
	}
	g.fill(now)
}

// Cold is part of the Limiter's interface; a Gate is told by SetReport.
func (g *Gate) Cold(time.Time) {}

// SetCold sets how many requests a second a cold upstream may start, and how
// many beyond that in one second.
func (g *Gate) SetCold(rate, burst float64) {
	g.cold.rate, g.cold.burst = rate, burst
}

// SetReport takes what the upstream has just told about itself.
func (g *Gate) SetReport(r Report, now time.Time) {
	g.now = now
	if r.Slow > 0 {
		g.load, g.loadAt = r, now
	}
	if r.Counted {
		g.foreign, g.foreignAt = max(0, r.Busy-len(g.running)), now
	}
	if r.Warmth {
		g.cold.set(r.Cold, now)
	}
	g.fill(now)
}

// Drain refuses all further requests and gives up the queued ones.
func (g *Gate) Drain(now time.Time) {
	g.now = now
	g.draining = true
	for g.queue.len() > 0 {
		g.options.Expire(g.queue.pop(), Draining, now)
	}
}

// Offer decides about a ticket. A ticket that can't be expected to end by its
// deadline is refused, since it would take a slot for nothing. One that may
// still be tried elsewhere is refused while the upstream is slow, unless it
// meets its objective here all the same.
func (g *Gate) Offer(t Ticket, now time.Time) Decision {
	g.now = now
	expected := g.expect(t, now)
	left := t.Deadline.Sub(now)
	room := g.queue.len() == 0 && g.room(now)
	switch {
	case g.draining:
		return Decision{Reason: Draining}
	case g.slots == 0:
		return Decision{Reason: Full, RetryAfter: expected}
	case g.slow(now) >= choose.SlowPercent && !t.Last && (left <= expected || g.misses(t, now, expected)):
		return Decision{Reason: Slow, RetryAfter: expected}
	case left <= expected:
		return Decision{Reason: Late}
	case room && g.cold.take(now):
		g.begin(t, now)
		return Decision{Verdict: Run}
	}
	wait := g.Wait(t)
	switch {
	case !t.Last || g.queue.len() >= g.options.Queue:
		return Decision{Reason: Full, RetryAfter: wait}
	case left < wait+expected:
		return Decision{Reason: Late, RetryAfter: wait}
	case g.misses(t, now, wait+expected) && g.queue.len() >= g.slots/lateShare:
		return Decision{Reason: Full, RetryAfter: wait}
	}
	g.queue.push(t)
	g.fill(now)
	return Decision{Verdict: Queue}
}

// room reports whether the upstream has a free slot.
func (g *Gate) room(now time.Time) bool {
	used := len(g.running)
	if now.Sub(g.foreignAt) <= foreignFresh {
		used += g.foreign
	}
	return used < g.slots
}

// foreignFresh is how long a count of foreign requests holds; it is repeated
// with each health check.
const foreignFresh = 200 * time.Millisecond

// lateShare of the slots may wait although they miss their objective: their
// answers have little worth left, and those behind them would miss theirs, too.
const lateShare = 2

// misses reports whether an end in some time comes after the objective.
func (g *Gate) misses(t Ticket, now time.Time, in time.Duration) bool {
	return t.Objective.IsZero() || now.Add(in).After(t.Objective)
}

// expect returns how long a ticket is expected to run if it starts now. On the
// users' platform the slowness at the start of a request holds for all of its
// work: counting on its end half a second later lost 0.1 of the worth of a quiet day.
func (g *Gate) expect(t Ticket, now time.Time) time.Duration {
	return g.Work(t.Route) * time.Duration(g.slow(now)) / UsualSpeed
}

// UsualSpeed is the slowness of an upstream that isn't slow, in percent.
const UsualSpeed = 100

// slow returns the slowness now; a report that is too old counts as normal.
func (g *Gate) slow(now time.Time) int {
	if g.load.Slow < UsualSpeed || now.Sub(g.loadAt) > reportFresh {
		return UsualSpeed
	}
	return g.load.Slow
}

// Work returns the usual work time of a route.
func (g *Gate) Work(r ident.Route) time.Duration {
	if w, ok := g.work[r]; ok {
		return w
	}
	if g.mean > 0 {
		return g.mean
	}
	return firstWork
}

// Wait estimates the time until a ticket that queues now starts.
func (g *Gate) Wait(t Ticket) time.Duration {
	if g.slots == 0 {
		return g.mean
	}
	ahead := g.queue.ahead(t) + 1
	mean := max(g.mean, firstWork/2)
	return mean * time.Duration(ahead) / time.Duration(g.slots)
}

// Finish ends a running request and starts queued ones.
func (g *Gate) Finish(id ident.Request, r Result, now time.Time) {
	g.now = now
	s, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if r == Done {
		g.learn(s, now)
	}
	g.fill(now)
}

// learn averages the work time of requests, corrected by the slowness that the
// upstream reported when they started.
func (g *Gate) learn(s started, now time.Time) {
	took := now.Sub(s.at) * UsualSpeed / time.Duration(s.slow)
	if w, ok := g.work[s.route]; ok {
		g.work[s.route] = w + time.Duration(workGain*float64(took-w))
	} else {
		g.work[s.route] = took
	}
	if g.mean == 0 {
		g.mean = took
	}
	g.mean += time.Duration(workGain * float64(took-g.mean))
}

// Cancel removes a queued ticket and reports whether it was queued.
func (g *Gate) Cancel(id ident.Request, now time.Time) bool {
	g.now = now
	return g.queue.remove(id)
}

// Tick starts what a cold upstream may start now and gives up queued tickets
// that can't finish in time any more.
func (g *Gate) Tick(now time.Time) {
	g.now = now
	g.fill(now)
	g.expire(now)
}

// fill starts queued tickets while there is room: first those that meet their
// objective, then the others, each by priority and deadline.
func (g *Gate) fill(now time.Time) {
	for g.queue.len() > 0 && g.room(now) && !g.draining {
		g.expire(now)
		if g.queue.len() == 0 || !g.cold.take(now) {
			return
		}
		t := g.queue.take(func(t Ticket) bool { return !g.misses(t, now, g.expect(t, now)) })
		g.begin(t, now)
		g.options.Start(t, now)
	}
}

// expire gives up queued tickets that can't end by their deadline any more.
func (g *Gate) expire(now time.Time) {
	g.queue.drop(func(t Ticket) bool {
		return t.Deadline.Sub(now) <= g.expect(t, now)
	}, func(t Ticket) { g.options.Expire(t, Late, now) })
}

func (g *Gate) begin(t Ticket, now time.Time) {
	g.running[t.ID] = started{at: now, route: t.Route, slow: g.slow(now)}
}

// Idle reports whether no request runs.
func (g *Gate) Idle() bool { return len(g.running) == 0 }

// Load returns the hint that the next answer carries.
func (g *Gate) Load() choose.Hint {
	h := choose.Hint{
		Inflight: int32(len(g.running)),
		Queued:   int32(g.queue.len()),
		Limit:    int32(g.slots),
		Service:  g.mean,
		Slow:     int32(g.slow(g.now)),
		At:       g.now,
	}
	if g.draining {
		h.Limit = 0
	}
	if g.cold.active(g.now) {
		h.Limit = min(h.Limit, coldLimit)
	}
	return h
}

// coldLimit is the number of requests at a time that a cold upstream is shown
// to take, so that entries use it after all warm ones.
const coldLimit = 1
