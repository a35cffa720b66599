// Package admit decides at the exit which requests its upstream runs now,
// which wait in a short queue and which are refused without having run.
//
// A Limiter is the only admitter of its upstream, so its count of running
// requests is exact. It is a pure state machine: time comes from the caller
// and must not go back. It isn't safe for concurrent use. Offer and Finish
// don't allocate.
//
// Invariants: a request starts only while fewer than the limit run; the limit
// never exceeds the announced slots; a queued request is handed to exactly
// one of Start and Expire, never to Start after its deadline; a slot never
// stays free while a request that can finish in time is queued.
package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
)

// Ticket is a request that asks to run.
type Ticket struct {
	ID       ident.Request
	Deadline time.Time
	// Last marks a request that will not be tried elsewhere and may wait.
	Last bool
	// Route, Objective and Priority are used by a Gate only: the route for the
	// expected work, the time by which an answer has its full worth, and the
	// rank in the queue, of which 0 is the first.
	Route     ident.Route
	Objective time.Time
	Priority  int
}

// Verdict tells what happens to a ticket.
type Verdict uint8

const (
	// Refuse means that the request doesn't run here.
	Refuse Verdict = iota
	// Run means that the request runs now; Finish must follow.
	Run
	// Queue means that Start or Expire will be called with the ticket.
	Queue
)

// Reason tells why a ticket was refused.
type Reason uint8

const (
	// None is the reason of tickets that aren't refused.
	None Reason = iota
	// Full means that every admitted slot is in use.
	Full
	// Late means that the request can't be expected to finish by its deadline.
	Late
	// Draining means that the upstream is leaving.
	Draining
	// Slow means that the upstream became slow while the request waited.
	Slow
)

// String returns the reason as used in headers and logs.
func (r Reason) String() string {
	return [...]string{"", "full", "late", "draining", "slow"}[r]
}

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter estimates when a slot becomes free; set when Reason is Full.
	RetryAfter time.Duration
}

// Result is how a running request ended, as far as the upstream's state shows.
type Result uint8

const (
	// Done means a complete answer that reports no failure.
	Done Result = iota
	// Failed means a complete answer that reports a failure.
	Failed
	// Shed means that the upstream truthfully refused to run the request.
	Shed
	// Broken means a connection error.
	Broken
)

// Options configures a Limiter.
type Options struct {
	// Slots is the announced number of slots.
	Slots ident.Slots
	// Queue bounds the number of waiting requests; 0 means 32 per slot, within 64 and 512.
	Queue int
	// Service is the expected mean service time; 0 means that it is learned.
	Service time.Duration
	// Warm starts with the full limit. A node whose upstream ran before it sets it.
	Warm bool
	// Start is called when a queued ticket runs. Required if tickets are marked Last.
	Start func(Ticket, time.Time)
	// Expire is called when a queued ticket is given up without having run.
	Expire func(Ticket, Reason, time.Time)
}

const (
	// queuePerSlot holds a backlog of 32 service times. With 64 places for 6
	// slots, two of four workers slowed down at once at 95 % load filled every
	// queue after 107 ms, and requests with 2 s left were refused.
	queuePerSlot = 32
	queueMin     = 64
	queueMax     = 512
	// firstService is assumed until the first answers have been measured.
	firstService = 10 * time.Millisecond
)

// Limiter admits requests to one upstream.
type Limiter struct {
	options  Options
	slots    float64
	running  map[ident.Request]time.Time
	queue    queue
	pace     pace
	draining bool
	// start is the identity of the upstream's process, 0 if unknown.
	start ident.Start
	now   time.Time
}

// New returns a Limiter for an upstream that may be cold.
func New(o Options) *Limiter {
	if o.Queue <= 0 {
		o.Queue = min(max(queuePerSlot*int(o.Slots), queueMin), queueMax)
	}
	l := &Limiter{
		options: o,
		slots:   float64(o.Slots),
		running: make(map[ident.Request]time.Time, 2*int(o.Slots)),
		queue:   newQueue(o.Queue),
	}
	l.pace.init(o.Service)
	if o.Warm {
		l.pace.limit, l.pace.known = l.slots, l.slots
	} else {
		l.pace.cold()
	}
	return l
}

// SetSlots takes an announcement. A process identity that differs from the
// previous one means a cold start, whatever the upstream says.
func (l *Limiter) SetSlots(slots ident.Slots, start ident.Start, now time.Time) {
	l.advance(now)
	if start != l.start && l.start != 0 {
		l.pace.cold()
	}
	l.start = start
	l.slots = float64(slots)
	l.pace.limit = min(l.pace.limit, max(floor, l.slots))
	l.pace.known = min(l.pace.known, max(floor, l.slots))
	l.fill(now)
}

// Cold restarts the limit at its minimum.
func (l *Limiter) Cold(now time.Time) {
	l.advance(now)
	l.pace.cold()
}

// Drain refuses all further requests and gives up the queued ones, so that
// they run elsewhere. Running requests finish normally.
func (l *Limiter) Drain(now time.Time) {
	l.advance(now)
	l.draining = true
	l.flush(Draining, now)
}

// Idle reports whether no request runs, so that a drained upstream may stop.
func (l *Limiter) Idle() bool {
	return len(l.running) == 0
}

// Load returns the hint that the next answer carries.
func (l *Limiter) Load() choose.Hint {
	h := choose.Hint{
		Inflight: int32(len(l.running)),
		Queued:   int32(l.queue.len()),
		Limit:    int32(l.limit()),
		Service:  time.Duration(l.pace.service),
		At:       l.now,
	}
	if l.draining {
		h.Limit = 0
	}
	return h
}
