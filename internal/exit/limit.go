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

// RequestResult describes a request that has ended at this exit, whether it ran
// or not.
type RequestResult struct {
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	Caller  ident.Service
	// Workspace is the workspace of the caller; empty if it has none.
	Workspace ident.Workspace
	Outcome   wirepb.Outcome
	Reason    wirepb.Reason
	// Failed is set if the upstream responded with a server error.
	Failed bool
	// DeadlineExceeded is set if the request reached its deadline without a
	// result.
	DeadlineExceeded bool
	// SlotTime is how long the request occupied a slot.
	SlotTime time.Duration
	// NormalizedTime is SlotTime scaled to the upstream's usual speed. It
	// equals SlotTime unless the upstream reports how slow its instance is.
	NormalizedTime time.Duration
	// RequestBytes and ResponseBytes are the body sizes of the request and the
	// response in bytes.
	RequestBytes  int
	ResponseBytes int
}

// RequestStart describes a request that the exit sends to its upstream.
type RequestStart struct {
	ID        ident.Request
	Route     ident.Route
	Caller    ident.Service
	Workspace ident.Workspace
	Priority  int
	// Objective and Deadline are on the clock of package mono; Objective is zero
	// if the request has none.
	Objective time.Time
	Deadline  time.Time
}

func (e *Exit) newLimiter() limiter {
	if e.opts.ReportsLoad {
		return e.newSlotLimiter()
	}
	return admit.New(admit.Options{
		Slots:     e.upstream.Slots,
		MaxQueued: e.opts.MaxQueued,
		Start:     func(t admit.Request, _ time.Time) { e.dispatchJob(e.jobs[t.ID]) },
		Expire:    e.expireJob,
	})
}

// offer submits a job that passed its fence to the limiter. The caller must
// hold mu.
func (e *Exit) offer(j *job, deadline, now time.Time) {
	ticket := admit.Request{
		ID:        j.id,
		Deadline:  deadline,
		MayQueue:  j.request.GetLast(),
		Route:     ident.Route(j.request.GetRoute()),
		Priority:  int(j.request.GetPriority()),
		Workspace: ident.Workspace(j.request.GetWorkspace()),
	}
	if nanos := j.request.GetObjectiveNanos(); nanos != 0 {
		j.objective = now.Add(time.Duration(nanos))
		ticket.Objective = j.objective
	}
	decision := e.limiter.Offer(ticket, now)
	switch decision.Verdict {
	case admit.Run:
		e.dispatchJob(j)
	case admit.Refuse:
		resp := refusal(j.request, wireReason(decision.Reason))
		resp.RetryNanos = int64(decision.RetryAfter)
		e.refuseJob(j, resp, now)
	}
}

// dispatchJob starts to run a job. The caller must hold mu.
func (e *Exit) dispatchJob(j *job) {
	j.slowPercent = e.limiter.Load().SlowdownPercent
	if e.opts.OnRequestStart != nil {
		e.opts.OnRequestStart(RequestStart{
			ID:        j.id,
			Route:     ident.Route(j.request.GetRoute()),
			Caller:    ident.Service(j.request.GetCaller()),
			Workspace: ident.Workspace(j.request.GetWorkspace()),
			Priority:  int(j.request.GetPriority()),
			Objective: j.objective,
			Deadline:  time.Unix(0, j.request.GetDeadlineNanos()),
		})
	}
	go e.runJob(j, e.upstream)
}

// expireJob ends a job that left the queue without running. The caller must
// hold mu.
func (e *Exit) expireJob(t admit.Request, reason admit.Reason, now time.Time) {
	j := e.jobs[t.ID]
	resp := refusal(j.request, wireReason(reason))
	if limiter, ok := e.limiter.(*admit.SlotLimiter); ok && reason == admit.Full {
		resp.RetryNanos = int64(limiter.EstimateWait(t))
		e.displaced++
	}
	e.refuseJob(j, resp, now)
}

// Displaced returns the number of requests that left the full queue without
// running, because refusing another one would have cost its caller more.
func (e *Exit) Displaced() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.displaced
}

// refuseJob ends a job that the limiter does not run. The caller must hold mu.
func (e *Exit) refuseJob(j *job, resp *wirepb.CallResponse, now time.Time) {
	e.complete(j, resp, fence.Refused, now)
	e.count(j.request, resp, 0, 0)
}

// abort cancels a job whose caller no longer waits. A queued job ends without
// running.
func (e *Exit) abort(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	if e.jobs[j.id] == j && e.limiter.Cancel(j.id, now) {
		e.complete(j, refusal(j.request, wirepb.Reason_REASON_ABORTED), fence.Refused, now)
		return
	}
	j.cancel()
}

// stopAdmission refuses new requests; queued jobs end without running. The
// caller must hold mu.
func (e *Exit) stopAdmission(now time.Time) {
	e.draining = true
	e.limiter.Drain(now)
}

// admitResult returns what the response indicates about the upstream's health.
// A request that was aborted by its caller or exceeded its deadline indicates
// nothing and counts like a complete response.
func admitResult(resp *wirepb.CallResponse) admit.Result {
	switch {
	case resp.GetReason() == wirepb.Reason_REASON_SHED:
		return admit.Shed
	case resp.GetReason() == wirepb.Reason_REASON_BROKEN, resp.GetReason() == wirepb.Reason_REASON_DOWN:
		return admit.Broken
	case resp.GetStatus() >= http.StatusInternalServerError:
		return admit.Failed
	default:
		return admit.Done
	}
}

func wireReason(reason admit.Reason) wirepb.Reason {
	switch reason {
	case admit.Full:
		return wirepb.Reason_REASON_FULL
	case admit.Late:
		return wirepb.Reason_REASON_LATE
	default:
		return wirepb.Reason_REASON_LEAVING
	}
}

// coldDivisor sets the cold level: an upstream counts as cold once its limit is
// at most slots/coldDivisor.
const coldDivisor = 4

// reportWarmup emits an event when the limit falls to a cold level, and another
// when it reaches the announced slots again.
func (e *Exit) reportWarmup(now time.Time) {
	limit := e.limiter.Load().Limit
	slots := int32(e.upstream.Slots)
	switch {
	case !e.upstream.Ready || e.draining || slots <= coldDivisor:
	case e.coldSince.IsZero() && limit*coldDivisor <= slots:
		e.coldSince = now
		e.emitWarmup(event.UpstreamCold, limit)
	case !e.coldSince.IsZero() && limit >= slots:
		e.emitWarmup(event.UpstreamWarm, limit, event.NewField(event.Elapsed, now.Sub(e.coldSince)))
		e.coldSince = time.Time{}
	}
}

func (e *Exit) emitWarmup(code event.Code, limit int32, extra ...event.Field) {
	fields := []event.Field{
		event.NewField(event.Service, e.upstream.Service),
		event.NewField(event.Version, e.upstream.Version),
		event.NewField(event.Limit, limit),
	}
	e.opts.Emit(code, append(fields, extra...)...)
}

// hint returns the load that responses carry. The caller must hold mu. The
// limit is 0 while the node takes no requests, because it would otherwise
// appear idle.
func (e *Exit) hint() *wirepb.Hint {
	load := e.limiter.Load()
	if !e.upstream.Ready || !e.opts.DomainAdmits(mono.Now()) {
		load.Limit = 0
	}
	load.Inflight = e.loadReport.inflight(load.Inflight, load.Limit)
	return &wirepb.Hint{
		Inflight:     load.Inflight,
		Queued:       load.Queued,
		Limit:        load.Limit,
		ServiceNanos: int64(load.ServiceTime),
		AtNanos:      load.At.UnixNano(),
		Slow:         load.SlowdownPercent,
	}
}

// count records the end of a request under the version that the request names,
// because the upstream may have been replaced while the request ran.
func (e *Exit) count(req *wirepb.CallRequest, resp *wirepb.CallResponse, slotTime, work time.Duration) {
	e.opts.OnRequestEnd(RequestResult{
		Service:          ident.Service(req.GetService()),
		Version:          ident.Version(req.GetVersion()),
		Route:            ident.Route(req.GetRoute()),
		Caller:           ident.Service(req.GetCaller()),
		Workspace:        ident.Workspace(req.GetWorkspace()),
		Outcome:          resp.GetOutcome(),
		Reason:           resp.GetReason(),
		Failed:           resp.GetOutcome() == wirepb.Outcome_OUTCOME_RAN && resp.GetStatus() >= http.StatusInternalServerError,
		DeadlineExceeded: resp.GetReason() == wirepb.Reason_REASON_LATE || resp.GetStatus() == http.StatusGatewayTimeout,
		SlotTime:         slotTime,
		NormalizedTime:   work,
		RequestBytes:     len(req.GetBody()),
		ResponseBytes:    len(resp.GetBody()),
	})
}

// normalizedWork returns slotTime scaled to the upstream's usual speed.
func (j *job) normalizedWork(slotTime time.Duration) time.Duration {
	if j.slowPercent > admit.NormalSlowdownPercent {
		return slotTime * admit.NormalSlowdownPercent / time.Duration(j.slowPercent)
	}
	return slotTime
}
