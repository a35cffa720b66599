// Package exit dispatches requests to the upstream on the node's own instance.
// It drives the state machines of packages fence and admit, and is the only
// package that sends requests to the upstream.
//
// Invariants: a request is dispatched only after its fence returns Run and the
// limiter admits it; every dispatched request is finished in both. Execution is
// independent of the connection on which the request arrived: a connection that
// breaks or stops responding neither cancels nor repeats a request.
package exit

import (
	"context"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// busyTickInterval is how often requests are checked for expiry while any
	// are running or queued. Without requests, idleTickInterval suffices to
	// detect missed heartbeats; a 5 ms tick cost an idle node 16 ms of CPU time
	// per second instead of 4 ms.
	busyTickInterval = 5 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// heartbeatTimeout is the age of the last announcement after which the
	// upstream is considered gone. Upstreams repeat announcements several times
	// a second.
	heartbeatTimeout = 3 * time.Second
	// fenceRetention is how long a fence is kept after the deadline of its
	// request. Messages carry the remaining time, so a copy delayed by the
	// network arrives with a later deadline. Abandoned connections are reset
	// within this time, which discards the data they still buffer.
	fenceRetention = 30 * time.Second
)

// Send runs one request on an upstream. The response's outcome is Refused only
// if the upstream provably has not run the request and will not run it.
type Send func(ctx context.Context, u Upstream, req *wirepb.CallRequest) *wirepb.CallResponse

// limiter is the method set shared by admit.Limiter and admit.SlotLimiter.
type limiter interface {
	Offer(t admit.Request, now time.Time) admit.Decision
	Finish(id ident.Request, r admit.Result, now time.Time)
	Cancel(id ident.Request, now time.Time) bool
	Tick(now time.Time)
	Drain(now time.Time)
	RestartLimit(now time.Time)
	SetSlots(slots ident.Slots, start ident.Start, now time.Time)
	Load() choose.Hint
}

// Options configures an Exit.
type Options struct {
	Start ident.Start
	Node  ident.Node
	// MaxBodyBytes is the maximum size of an upstream response body in bytes.
	MaxBodyBytes int64
	// MaxStoredBytes bounds the memory of the responses that are kept for
	// repeated queries, in bytes; 0 means the default of package fence.
	MaxStoredBytes int
	// MaxQueued is the maximum number of requests waiting for a slot.
	MaxQueued int
	// MaxIdleConns is the maximum number of idle connections to the upstream.
	MaxIdleConns int
	// HeartbeatTimeout is the age of the last announcement after which the
	// upstream is considered gone; 0 means heartbeatTimeout.
	HeartbeatTimeout time.Duration
	// ReportsLoad is set if the upstream reports its own load (see ReportLoad).
	// Its requests then pass an admit.SlotLimiter instead of an adaptive
	// concurrency limit.
	ReportsLoad bool
	// Send runs one request on an upstream; nil selects the HTTP interface
	// described in docs/callers.md.
	Send Send
	// DomainAdmits reports whether the node's failure domain accepts new
	// requests.
	DomainAdmits func(now time.Time) bool
	// VersionServes reports whether version v of service s accepts new
	// requests.
	VersionServes func(s ident.Service, v ident.Version, now time.Time) bool
	// Emit records an event.
	Emit func(code event.Code, fields ...event.Field)
	// OnRequestStart is called for every request that is sent to the upstream,
	// under the same conditions as OnRequestEnd; nil does nothing.
	OnRequestStart func(RequestStart)
	// OnRequestEnd is called for every request that has ended, whether it ran
	// or not. It is called with the Exit's lock held and must not call back
	// into the Exit.
	OnRequestEnd func(RequestResult)
	// OnUpstreamChange is called after the upstream's record has changed.
	OnUpstreamChange func()
}

// job is a request that passed its fence and has not finished.
type job struct {
	id      ident.Request
	request *wirepb.CallRequest
	cancel  context.CancelFunc
	ctx     context.Context
	done    chan struct{}
	// lease holds the memory of the request.
	lease *quota.Lease
	// slowPercent is the slowness reported for the upstream when the request
	// was dispatched, in percent of its usual service time.
	slowPercent int32
	// objective is the time by which an answer has its full value; zero if there
	// is none.
	objective time.Time
	// response is set before done is closed.
	response *wirepb.CallResponse
}

// Exit runs requests on one upstream. It is safe for concurrent use.
type Exit struct {
	opts       Options
	dispatcher *dispatcher
	send       Send

	mu         sync.Mutex
	limiter    limiter
	fences     *fence.Table[*wirepb.CallResponse]
	keys       *fence.Keys[*wirepb.CallResponse]
	jobs       map[ident.Request]*job
	upstream   Upstream
	loadReport timedReport
	coldRate   ColdRate
	displaced  uint64
	// draining is set while no request is admitted; closing is set once
	// draining is permanent.
	draining bool
	closing  bool
	// coldSince is when the limit was first seen at a cold level; zero while
	// the upstream is warm.
	coldSince time.Time

	unfinished sync.WaitGroup
	stopTick   context.CancelFunc
	tickEnded  chan struct{}
}

// New returns an Exit without an upstream. The caller must call Close.
func New(o Options) *Exit {
	ctx, stop := context.WithCancel(context.Background())
	e := &Exit{
		opts:       o,
		dispatcher: newDispatcher(o.MaxBodyBytes, o.MaxIdleConns),
		jobs:       map[ident.Request]*job{},
		stopTick:   stop,
		tickEnded:  make(chan struct{}),
	}
	e.send = o.Send
	if e.send == nil {
		e.send = e.dispatcher.run
	}
	if o.HeartbeatTimeout <= 0 {
		e.opts.HeartbeatTimeout = heartbeatTimeout
	}
	e.fences = fence.New(fence.Options[*wirepb.CallResponse]{Start: o.Start, Bytes: o.MaxStoredBytes, Size: responseSize})
	e.keys = fence.NewKeys(fence.KeyOptions[*wirepb.CallResponse]{Self: o.Node, Bytes: o.MaxStoredBytes, Size: responseSize}, nil, mono.Now())
	e.limiter = e.newLimiter()
	go func() {
		defer close(e.tickEnded)
		e.tick(ctx)
	}()
	return e
}

// responseOverhead is the size of a stored response in addition to its body, in
// bytes.
const responseOverhead = 512

func responseSize(resp *wirepb.CallResponse) int {
	return len(resp.GetBody()) + responseOverhead
}

func (e *Exit) tick(ctx context.Context) {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(e.expire())
		case <-ctx.Done():
			return
		}
	}
}

// expire ends requests that waited too long and withdraws an upstream whose
// heartbeats stopped. It returns the delay until its next call.
func (e *Exit) expire() time.Duration {
	e.mu.Lock()
	now := mono.Now()
	e.limiter.Tick(now)
	e.fences.Expire(now)
	e.reportWarmup(now)
	expired := e.upstream.Ready && now.Sub(e.upstream.lastHeartbeat) > e.opts.HeartbeatTimeout
	if expired {
		e.withdraw("heartbeat")
	}
	next := idleTickInterval
	if len(e.jobs) > 0 {
		next = busyTickInterval
	}
	e.mu.Unlock()
	if expired {
		e.opts.OnUpstreamChange()
	}
	return next
}

// Call runs one request or refuses it. If ctx ends first, it returns an unknown
// outcome while the request continues. The response is charged to the lease of
// ctx.
func (e *Exit) Call(ctx context.Context, req *wirepb.CallRequest) *wirepb.CallResponse {
	j, resp := e.accept(req, quota.FromContext(ctx))
	if resp != nil {
		return e.withLoad(resp)
	}
	select {
	case <-j.done:
		return e.withLoad(j.response)
	case <-ctx.Done():
		return e.withLoad(unknown(req, wirepb.Reason_REASON_LATE))
	}
}

// withLoad returns a copy of the response that carries the current load.
func (e *Exit) withLoad(resp *wirepb.CallResponse) *wirepb.CallResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wirepb.CallResponse{
		Id:         resp.GetId(),
		Outcome:    resp.GetOutcome(),
		Reason:     resp.GetReason(),
		Status:     resp.GetStatus(),
		Headers:    resp.GetHeaders(),
		Body:       resp.GetBody(),
		BusyNanos:  resp.GetBusyNanos(),
		RetryNanos: resp.GetRetryNanos(),
		Hint:       e.hint(),
	}
}

// accept passes a request through its fence and the limiter. It returns either
// a job to wait for or a final response.
func (e *Exit) accept(req *wirepb.CallRequest, lease *quota.Lease) (*job, *wirepb.CallResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	deadline := time.Unix(0, req.GetDeadlineNanos())
	id := call.RequestID(req.GetId())
	verdict := e.fences.Begin(id, ident.Start(req.GetStart()), deadline.Add(fenceRetention), now)
	if verdict.Kind != fence.Run {
		return e.duplicate(id, req, verdict, refusal)
	}
	if reason := e.refusalReason(req, now); reason != wirepb.Reason_REASON_NONE {
		return nil, e.refuse(req, refusal(req, reason), now)
	}
	if resp := e.claimKey(req, now); resp != nil {
		return nil, e.respondByKey(id, req, resp, now)
	}
	ctx, cancel := context.WithTimeout(quota.NewContext(context.Background(), lease), deadline.Sub(now))
	j := &job{id: id, request: req, ctx: ctx, cancel: cancel, done: make(chan struct{}), lease: lease.Retain()}
	e.jobs[id] = j
	e.unfinished.Add(1)
	e.offer(j, deadline, now)
	return j, nil
}

// refusalReason returns why the node cannot accept the request, or REASON_NONE.
func (e *Exit) refusalReason(req *wirepb.CallRequest, now time.Time) wirepb.Reason {
	switch {
	case e.draining:
		return wirepb.Reason_REASON_LEAVING
	case !e.upstream.Ready:
		return wirepb.Reason_REASON_DOWN
	case string(e.upstream.Service) != req.GetService():
		return wirepb.Reason_REASON_SERVICE
	case req.GetVersion() != "" && string(e.upstream.Version) != req.GetVersion():
		return wirepb.Reason_REASON_SERVICE
	case !e.opts.DomainAdmits(now):
		return wirepb.Reason_REASON_DOMAIN
	case !e.opts.VersionServes(e.upstream.Service, e.upstream.Version, now):
		return wirepb.Reason_REASON_SERVICE
	default:
		return wirepb.Reason_REASON_NONE
	}
}

// undecidedResponse builds the response to a message for which the fence has no
// verdict.
type undecidedResponse func(req *wirepb.CallRequest, reason wirepb.Reason) *wirepb.CallResponse

// duplicate handles a message that the fence does not let through. A message
// that is addressed to another start of the node or arrives after its deadline
// proves nothing about earlier copies. A Call is sent on one connection only
// and never resent, so refusing it there is accurate; after a Resolve the
// outcome remains unknown.
func (e *Exit) duplicate(id ident.Request, req *wirepb.CallRequest, verdict fence.Verdict[*wirepb.CallResponse], undecided undecidedResponse) (*job, *wirepb.CallResponse) {
	switch verdict.Kind {
	case fence.DuplicateRunning:
		return e.jobs[id], nil
	case fence.DuplicateFinished:
		if verdict.Stored {
			return nil, verdict.Answer.Value
		}
		return nil, unknown(req, wirepb.Reason_REASON_LOST)
	case fence.DuplicateRefused:
		return nil, refusal(req, wirepb.Reason_REASON_DUPLICATE)
	case fence.CancelledFirst:
		return nil, refusal(req, wirepb.Reason_REASON_CANCELLED)
	case fence.Full:
		return nil, refusal(req, wirepb.Reason_REASON_FULL)
	case fence.Expired:
		return nil, undecided(req, wirepb.Reason_REASON_LATE)
	default:
		return nil, undecided(req, wirepb.Reason_REASON_START)
	}
}

// refuse finishes a request that passed its fence but is not run.
func (e *Exit) refuse(req *wirepb.CallRequest, resp *wirepb.CallResponse, now time.Time) *wirepb.CallResponse {
	e.fences.Finish(call.RequestID(req.GetId()), fence.Answer[*wirepb.CallResponse]{State: fence.Refused, Value: resp}, now)
	e.count(req, resp, 0, 0)
	return resp
}

// runJob dispatches an admitted job and finishes it.
func (e *Exit) runJob(j *job, u Upstream) {
	start := mono.Now()
	resp := e.send(j.ctx, u, j.request)
	slotTime := time.Since(start)
	resp.BusyNanos = int64(slotTime)
	e.finishJob(j, resp, slotTime)
}

// finishJob finishes a job in the fence and the limiter, and counts it.
func (e *Exit) finishJob(j *job, resp *wirepb.CallResponse, slotTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	state := fence.Ran
	if resp.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED {
		state = fence.Refused
	}
	e.complete(j, resp, state, now)
	e.count(j.request, resp, slotTime, j.normalizedWork(slotTime))
	e.limiter.Finish(j.id, admitResult(resp), now)
}

// complete stores the response and wakes all goroutines that wait for it. The
// caller must hold mu.
func (e *Exit) complete(j *job, resp *wirepb.CallResponse, state fence.State, now time.Time) {
	final := fence.Answer[*wirepb.CallResponse]{State: state, Value: resp}
	e.fences.Finish(j.id, final, now)
	if j.request.GetKey() != "" {
		e.keys.Finish(j.request.GetKey(), final, now)
	}
	delete(e.jobs, j.id)
	j.response = resp
	j.cancel()
	close(j.done)
	j.lease.Release()
	e.unfinished.Done()
}

// Resolve reports the outcome of a request. A request that has not arrived yet
// is cancelled, so that it never runs on this node.
func (e *Exit) Resolve(ctx context.Context, r *wirepb.ResolveRequest) *wirepb.CallResponse {
	j, resp := e.lookup(r)
	if resp != nil {
		return e.withLoad(resp)
	}
	if r.GetAbort() {
		e.abort(j)
	}
	wait := time.NewTimer(time.Duration(r.GetWaitNanos()))
	defer wait.Stop()
	select {
	case <-j.done:
		return e.withLoad(j.response)
	case <-wait.C:
	case <-ctx.Done():
	}
	return e.withLoad(unknown(j.request, wirepb.Reason_REASON_RUNNING))
}

func (e *Exit) lookup(r *wirepb.ResolveRequest) (*job, *wirepb.CallResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := call.RequestID(r.GetId())
	req := &wirepb.CallRequest{Id: r.GetId()}
	deadline := time.Unix(0, r.GetDeadlineNanos()).Add(fenceRetention)
	verdict := e.fences.Cancel(id, ident.Start(r.GetStart()), deadline, mono.Now())
	return e.duplicate(id, req, verdict, unknown)
}

// Running returns the number of requests that have been accepted and have not
// ended.
func (e *Exit) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs)
}

// Load returns the load that responses carry.
func (e *Exit) Load() *wirepb.Hint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hint()
}

// Drain refuses new requests and waits until all running requests have ended or
// ctx is done. It returns the number of requests that are still running.
func (e *Exit) Drain(ctx context.Context) int {
	e.mu.Lock()
	e.closing = true
	e.stopAdmission(mono.Now())
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.unfinished.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return e.Running()
}

// Close cancels running requests and waits for them to end.
func (e *Exit) Close() {
	e.mu.Lock()
	e.closing = true
	e.stopAdmission(mono.Now())
	for _, j := range e.jobs {
		j.cancel()
	}
	e.mu.Unlock()
	e.unfinished.Wait()
	e.stopTick()
	<-e.tickEnded
	e.dispatcher.close()
}
