// Package admit implements admission control at the exit: it decides which
// requests the upstream runs now, which wait in a short queue and which are
// refused without having run.
//
// A Limiter is the only admitter of its upstream, so its count of running
// requests is exact. It is a pure state machine: the caller passes the time,
// which must not decrease. It is not safe for concurrent use. Offer and Finish
// don't allocate.
//
// Invariants: a request starts only while fewer than the limit run; the limit
// never exceeds the announced slots; a queued request is passed to exactly
// one of Start and Expire, never to Start after its deadline; no slot stays
// free while a request that can finish in time is queued.
package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
)

// Request is a request offered for admission.
type Request struct {
	ID       ident.Request
	Deadline time.Time
	// MayQueue marks a request that won't be retried on another member. Only
	// such a request may wait in the queue.
	MayQueue bool
	// Route, Objective and Priority are used by a SlotLimiter only. Route
	// selects the expected service time, Objective is the time by which an
	// answer has its full value, and Priority is the rank in the queue; 0 runs
	// first.
	Route     ident.Route
	Objective time.Time
	Priority  int
	// Workspace is the workspace of the caller; empty if it has none.
	Workspace ident.Workspace
}

// Verdict is the admission decision on a request.
type Verdict uint8

const (
	// Refuse means that the request doesn't run at this upstream.
	Refuse Verdict = iota
	// Run means that the request runs now. The caller must call Finish when it ends.
	Run
	// Queue means that Start or Expire will be called with the request.
	Queue
)

// Reason is the reason for refusing or expiring a request.
type Reason uint8

const (
	// None is the reason of requests that aren't refused.
	None Reason = iota
	// Full means that every admitted slot is in use.
	Full
	// Late means that the request isn't expected to finish by its deadline.
	Late
	// Draining means that the upstream is draining.
	Draining
	// Slow means that the upstream is slow, or became slow while the request was queued.
	Slow
)

// String returns the reason as it appears in headers and logs.
func (r Reason) String() string {
	return [...]string{"", "full", "late", "draining", "slow"}[r]
}

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the estimated time until a slot becomes free. It is always
	// set if Reason is Full.
	RetryAfter time.Duration
}

// Result is how a running request ended, as far as it concerns the state of
// the upstream.
type Result uint8

const (
	// Done is a complete answer that reports no failure.
	Done Result = iota
	// Failed is a complete answer that reports a failure.
	Failed
	// Shed is a refusal by the upstream, which didn't run the request.
	Shed
	// Broken is a connection error.
	Broken
)

// Options configures a Limiter.
type Options struct {
	// Slots is the announced number of slots.
	Slots ident.Slots
	// MaxQueued is the queue capacity; 0 means 32 per slot, at least 64 and at
	// most 512.
	MaxQueued int
	// ServiceTime is the expected mean service time; 0 means that it is
	// learned.
	ServiceTime time.Duration
	// Warm starts with the full limit. A node sets it if its upstream was
	// already running before the node started.
	Warm bool
	// Start is called when a queued request runs. It is required if any request
	// has MayQueue set.
	Start func(Request, time.Time)
	// Expire is called when a queued request is dropped without having run. It
	// is required if any request has MayQueue set.
	Expire func(Request, Reason, time.Time)
}

const (
	// queuedPerSlot holds a backlog of 32 service times. With 64 entries for 6
	// slots, a simultaneous slowdown of two of four workers at 95 % load
	// filled every queue within 107 ms, and requests with 2 s left were refused.
	queuedPerSlot = 32
	minQueue      = 64
	maxQueue      = 512
	// initialServiceTime is assumed until the first answers have been measured.
	initialServiceTime = 10 * time.Millisecond
)

// Limiter admits requests to one upstream under an adaptive concurrency limit.
type Limiter struct {
	options  Options
	slots    float64
	running  map[ident.Request]time.Time
	queue    queue
	adaptive adaptiveLimit
	draining bool
	// start identifies the upstream's process, 0 if unknown.
	start ident.Start
	now   time.Time
}

// New returns a Limiter. Unless Options.Warm is set, the upstream is assumed
// to be cold.
func New(o Options) *Limiter {
	if o.MaxQueued <= 0 {
		o.MaxQueued = min(max(queuedPerSlot*int(o.Slots), minQueue), maxQueue)
	}
	l := &Limiter{
		options: o,
		slots:   float64(o.Slots),
		running: map[ident.Request]time.Time{},
		queue:   newQueue(o.MaxQueued),
	}
	l.adaptive.init(o.ServiceTime)
	if o.Warm {
		l.adaptive.limit, l.adaptive.recoveryLimit = l.slots, l.slots
	} else {
		l.adaptive.restart()
	}
	return l
}

// SetSlots applies an announcement of the upstream. A process identity that
// differs from the previous one is treated as a cold start, whatever the
// upstream reports.
func (l *Limiter) SetSlots(slots ident.Slots, start ident.Start, now time.Time) {
	l.advance(now)
	if start != l.start && l.start != 0 {
		l.adaptive.restart()
	}
	l.start = start
	l.slots = float64(slots)
	l.adaptive.limit = min(l.adaptive.limit, max(minLimit, l.slots))
	l.adaptive.recoveryLimit = min(l.adaptive.recoveryLimit, max(minLimit, l.slots))
	l.startQueued(now)
}

// RestartLimit restarts the limit at its minimum.
func (l *Limiter) RestartLimit(now time.Time) {
	l.advance(now)
	l.adaptive.restart()
}

// Drain refuses all further requests and expires the queued ones, so that
// they run on other members. Running requests finish normally.
func (l *Limiter) Drain(now time.Time) {
	l.advance(now)
	l.draining = true
	l.expireQueued(Draining, now)
}

// Idle reports whether no request runs, so that a drained upstream may stop.
func (l *Limiter) Idle() bool {
	return len(l.running) == 0
}

// Load returns the load hint to send with the next answer.
func (l *Limiter) Load() choose.Hint {
	h := choose.Hint{
		Inflight:    int32(len(l.running)),
		Queued:      int32(l.queue.len()),
		Limit:       int32(l.limit()),
		ServiceTime: time.Duration(l.adaptive.recentTime),
		At:          l.now,
	}
	if l.draining {
		h.Limit = 0
	}
	return h
}
