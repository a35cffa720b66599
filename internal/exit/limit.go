package exit

import (
	"net/http"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// Run is a request that has ended at this exit.
type Run struct {
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	Caller  ident.Service
	Outcome wirepb.Outcome
	Reason  wirepb.Reason
	// Failed is set if the upstream's answer reports a server error.
	Failed bool
	// Late is set if the request ended at its deadline without a result.
	Late bool
	// Busy is how long the request took a slot.
	Busy time.Duration
	// Work is Busy at the upstream's usual speed; equal to Busy unless the
	// upstream reports how slow its instance is.
	Work time.Duration
	// In and Out are the bodies' sizes in bytes.
	In  int
	Out int
}

func (e *Exit) newLimiter() limiter {
	if e.o.Reports {
		return e.newGate()
	}
	return admit.New(admit.Options{
		Slots:  e.upstream.Slots,
		Queue:  e.o.Queue,
		Start:  func(t admit.Ticket, _ time.Time) { e.begin(e.jobs[t.ID]) },
		Expire: e.giveUp,
	})
}

// offer asks the limiter about a job that the fence has let through.
func (e *Exit) offer(j *job, deadline, now time.Time) {
	t := admit.Ticket{
		ID:       j.id,
		Deadline: deadline,
		Last:     j.q.GetLast(),
		Route:    ident.Route(j.q.GetRoute()),
		Priority: int(j.q.GetPriority()),
	}
	if o := j.q.GetObjectiveNanos(); o != 0 {
		t.Objective = now.Add(time.Duration(o))
	}
	d := e.limiter.Offer(t, now)
	switch d.Verdict {
	case admit.Run:
		e.begin(j)
	case admit.Refuse:
		a := refusal(j.q, reasonOf(d.Reason))
		a.RetryNanos = int64(d.RetryAfter)
		e.turnAway(j, a, now)
	}
}

// begin dispatches a job; it is called with the lock held.
func (e *Exit) begin(j *job) {
	j.slow = e.limiter.Load().Slow
	go e.run(j, e.upstream)
}

// giveUp ends a job that has left the queue without having run.
func (e *Exit) giveUp(t admit.Ticket, r admit.Reason, now time.Time) {
	j := e.jobs[t.ID]
	e.turnAway(j, refusal(j.q, reasonOf(r)), now)
}

// turnAway ends a job that the limiter doesn't run.
func (e *Exit) turnAway(j *job, a *wirepb.CallResponse, now time.Time) {
	e.end(j, a, fence.Refused, now)
	e.count(j.q, a, 0, 0)
}

// abort stops a job whose caller has gone. A queued one ends as not run.
func (e *Exit) abort(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	if e.jobs[j.id] == j && e.limiter.Cancel(j.id, now) {
		e.end(j, refusal(j.q, wirepb.Reason_REASON_ABORTED), fence.Refused, now)
		return
	}
	j.cancel()
}

// refuseAll stops admission; queued jobs end as not run.
func (e *Exit) refuseAll(now time.Time) {
	e.draining = true
	e.limiter.Drain(now)
}

// resultOf tells the limiter what the end of a request shows of the
// upstream's state. A request that its caller has aborted or that ran into
// its own deadline shows nothing, so it counts like any complete answer.
func resultOf(a *wirepb.CallResponse) admit.Result {
	switch {
	case a.GetReason() == wirepb.Reason_REASON_SHED:
		return admit.Shed
	case a.GetReason() == wirepb.Reason_REASON_BROKEN, a.GetReason() == wirepb.Reason_REASON_DOWN:
		return admit.Broken
	case a.GetStatus() >= http.StatusInternalServerError:
		return admit.Failed
	default:
		return admit.Done
	}
}

func reasonOf(r admit.Reason) wirepb.Reason {
	switch r {
	case admit.Full:
		return wirepb.Reason_REASON_FULL
	case admit.Late:
		return wirepb.Reason_REASON_LATE
	default:
		return wirepb.Reason_REASON_LEAVING
	}
}

// coldShare is the part of the slots below which a limit counts as cold.
const coldShare = 4

// reportWarmth emits an event when the upstream turns cold, as its limit
// shows, and when it has reached its slots again.
func (e *Exit) reportWarmth(now time.Time) {
	limit := e.limiter.Load().Limit
	slots := int32(e.upstream.Slots)
	switch {
	case !e.upstream.Ready || e.draining || slots <= coldShare:
	case e.chilled.IsZero() && limit*coldShare <= slots:
		e.chilled = now
		e.emitWarmth(event.UpstreamCold, limit)
	case !e.chilled.IsZero() && limit >= slots:
		e.emitWarmth(event.UpstreamWarm, limit, event.F(event.Elapsed, now.Sub(e.chilled)))
		e.chilled = time.Time{}
	}
}

func (e *Exit) emitWarmth(c event.Code, limit int32, more ...event.Field) {
	fields := []event.Field{
		event.F(event.Service, e.upstream.Service),
		event.F(event.Version, e.upstream.Version),
		event.F(event.Limit, limit),
	}
	e.o.Emit(c, append(fields, more...)...)
}

// hint returns the load that answers carry; it is called with the lock held.
// A node that takes no work has no limit, or it would look idle.
func (e *Exit) hint() *wirepb.Hint {
	l := e.limiter.Load()
	if !e.upstream.Ready || !e.o.Admits(mono.Now()) {
		l.Limit = 0
	}
	l.Inflight = e.reported.inflight(l.Inflight, l.Limit)
	return &wirepb.Hint{
		Inflight:     l.Inflight,
		Queued:       l.Queued,
		Limit:        l.Limit,
		ServiceNanos: int64(l.Service),
		AtNanos:      l.At.UnixNano(),
		Slow:         l.Slow,
	}
}

// count reports the end of a request. The version is that of the request: the
// upstream may have been replaced while it ran.
func (e *Exit) count(q *wirepb.CallRequest, a *wirepb.CallResponse, busy, work time.Duration) {
	e.o.Count(Run{
		Service: ident.Service(q.GetService()),
		Version: ident.Version(q.GetVersion()),
		Route:   ident.Route(q.GetRoute()),
		Caller:  ident.Service(q.GetCaller()),
		Outcome: a.GetOutcome(),
		Reason:  a.GetReason(),
		Failed:  a.GetOutcome() == wirepb.Outcome_OUTCOME_RAN && a.GetStatus() >= http.StatusInternalServerError,
		Late:    a.GetReason() == wirepb.Reason_REASON_LATE || a.GetStatus() == http.StatusGatewayTimeout,
		Busy:    busy,
		Work:    work,
		In:      len(q.GetBody()),
		Out:     len(a.GetBody()),
	})
}

// usual returns a work time at the upstream's usual speed.
func (j *job) usual(busy time.Duration) time.Duration {
	if j.slow > admit.UsualSpeed {
		return busy * admit.UsualSpeed / time.Duration(j.slow)
	}
	return busy
}
