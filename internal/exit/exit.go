// Package exit runs requests on the upstream beside the node. It is the shell
// of the fence and admit machines and the only part of the system that sends
// work to the upstream.
//
// Invariants: a request is dispatched only after its fence says Run and the
// limiter admits it; every dispatched request is finished in both. The work
// doesn't depend on the connection that brought it: a connection that breaks
// or goes silent neither stops nor repeats a request.
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
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// busyTick is how often requests are checked for expiry while some run or
	// wait. Without any, idleTick is enough for heartbeats; ticking every 5 ms
	// took an idle node 16 ms of processor time per second instead of 4.
	busyTick = 5 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// heartbeatLimit is the age of an announcement after which the upstream
	// counts as gone. Upstreams repeat it several times a second.
	heartbeatLimit = 3 * time.Second
	// fenceHold is how long a fence outlives its request. Messages carry the
	// time left, so that a copy that the network holds back arrives with a
	// later deadline; connections that are given up are reset, which drops what
	// they still hold, within this time.
	fenceHold = 30 * time.Second
)

// Send runs one request on an upstream. The outcome of its answer is Refused
// only if the upstream has provably not run the request and won't.
type Send func(ctx context.Context, u Upstream, q *wirepb.CallRequest) *wirepb.CallResponse

// limiter is what an admit.Limiter and an admit.Gate have in common.
type limiter interface {
	Offer(t admit.Ticket, now time.Time) admit.Decision
	Finish(id ident.Request, r admit.Result, now time.Time)
	Cancel(id ident.Request, now time.Time) bool
	Tick(now time.Time)
	Drain(now time.Time)
	Cold(now time.Time)
	SetSlots(slots ident.Slots, start ident.Start, now time.Time)
	Load() choose.Hint
}

// Options configure an Exit.
type Options struct {
	Start ident.Start
	Node  ident.Node
	// Body bounds an answer of the upstream in bytes.
	Body int64
	// Queue bounds the requests that wait for a slot.
	Queue int
	// Connections bounds the idle connections to the upstream.
	Connections int
	// Heartbeat is the age of an announcement after which the upstream counts
	// as gone; 0 means heartbeatLimit.
	Heartbeat time.Duration
	// Reports is set if the upstream reports its own load (see Report); its
	// requests then pass an admit.Gate instead of an adaptive limit.
	Reports bool
	// Send runs one request on an upstream; nil means the upstreams' own
	// interface of this project (docs/callers.md).
	Send Send
	// Admits tells whether the node's failure domain takes new work.
	Admits func(now time.Time) bool
	// Serves tells whether the node's version takes new work.
	Serves func(s ident.Service, v ident.Version, now time.Time) bool
	// Emit records an event.
	Emit func(code event.Code, fields ...event.Field)
	// Count takes every request that has ended, run or not. It is called with
	// the Exit locked and must not call back.
	Count func(Run)
	// Changed is called after the upstream's record has changed.
	Changed func()
}

// job is one request that the fence let through.
type job struct {
	id     ident.Request
	q      *wirepb.CallRequest
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}
	// slow is the upstream's slowness when the request started, in percent.
	slow int32
	// answer is set before done is closed.
	answer *wirepb.CallResponse
}

// Exit is safe for concurrent use.
type Exit struct {
	o        Options
	dispatch *dispatcher
	send     Send

	mu       sync.Mutex
	limiter  limiter
	fences   *fence.Table[*wirepb.CallResponse]
	keys     *fence.Keys[*wirepb.CallResponse]
	jobs     map[ident.Request]*job
	upstream Upstream
	reported report
	pace     ColdPace
	// draining is set while nothing is admitted, closing once that is final.
	draining bool
	closing  bool
	// chilled is when the limit was last seen low; zero while it is not.
	chilled time.Time

	running sync.WaitGroup
	stop    context.CancelFunc
	ended   chan struct{}
}

// New returns an Exit without an upstream.
func New(o Options) *Exit {
	ctx, stop := context.WithCancel(context.Background())
	e := &Exit{
		o:        o,
		dispatch: newDispatcher(o.Body, o.Connections),
		jobs:     map[ident.Request]*job{},
		stop:     stop,
		ended:    make(chan struct{}),
	}
	e.send = o.Send
	if e.send == nil {
		e.send = e.dispatch.run
	}
	if o.Heartbeat <= 0 {
		e.o.Heartbeat = heartbeatLimit
	}
	e.fences = fence.New(fence.Options[*wirepb.CallResponse]{Start: o.Start, Size: answerSize})
	e.keys = fence.NewKeys(fence.KeyOptions[*wirepb.CallResponse]{Self: o.Node, Size: answerSize}, nil, mono.Now())
	e.limiter = e.newLimiter()
	go func() {
		defer close(e.ended)
		e.tick(ctx)
	}()
	return e
}

// answerOverhead is what a stored answer takes beside its body, in bytes.
const answerOverhead = 512

func answerSize(a *wirepb.CallResponse) int {
	return len(a.GetBody()) + answerOverhead
}

func (e *Exit) tick(ctx context.Context) {
	t := time.NewTimer(idleTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			t.Reset(e.expire())
		case <-ctx.Done():
			return
		}
	}
}

// expire gives up what waits too long and an upstream that has gone silent. It
// returns the time until it has to be called again.
func (e *Exit) expire() time.Duration {
	e.mu.Lock()
	now := mono.Now()
	e.limiter.Tick(now)
	e.fences.Expire(now)
	e.reportWarmth(now)
	gone := e.upstream.Ready && now.Sub(e.upstream.heard) > e.o.Heartbeat
	if gone {
		e.withdraw("heartbeat")
	}
	next := idleTick
	if len(e.jobs) > 0 {
		next = busyTick
	}
	e.mu.Unlock()
	if gone {
		e.o.Changed()
	}
	return next
}

// Call runs one request or refuses it.
func (e *Exit) Call(ctx context.Context, q *wirepb.CallRequest) *wirepb.CallResponse {
	j, answer := e.accept(q)
	if answer != nil {
		return e.seal(answer)
	}
	select {
	case <-j.done:
		return e.seal(j.answer)
	case <-ctx.Done():
		return e.seal(unknown(q, wirepb.Reason_REASON_LATE))
	}
}

// seal returns a copy of the answer with the current load.
func (e *Exit) seal(a *wirepb.CallResponse) *wirepb.CallResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wirepb.CallResponse{
		Id:         a.GetId(),
		Outcome:    a.GetOutcome(),
		Reason:     a.GetReason(),
		Status:     a.GetStatus(),
		Headers:    a.GetHeaders(),
		Body:       a.GetBody(),
		BusyNanos:  a.GetBusyNanos(),
		RetryNanos: a.GetRetryNanos(),
		Hint:       e.hint(),
	}
}

// accept passes a request through fence and limiter. It returns a job to wait
// for, or the answer.
func (e *Exit) accept(q *wirepb.CallRequest) (*job, *wirepb.CallResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	deadline := time.Unix(0, q.GetDeadlineNanos())
	id := call.RequestID(q.GetId())
	v := e.fences.Begin(id, ident.Start(q.GetStart()), deadline.Add(fenceHold), now)
	if v.Kind != fence.Run {
		return e.duplicate(id, q, v, refusal)
	}
	if r := e.objection(q, now); r != wirepb.Reason_REASON_NONE {
		return nil, e.refuse(q, refusal(q, r), now)
	}
	if a := e.claim(q, now); a != nil {
		return nil, e.answerByKey(id, q, a, now)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(now))
	j := &job{id: id, q: q, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	e.jobs[id] = j
	e.running.Add(1)
	e.offer(j, deadline, now)
	return j, nil
}

// objection returns why the node can't take the request at all.
func (e *Exit) objection(q *wirepb.CallRequest, now time.Time) wirepb.Reason {
	switch {
	case e.draining:
		return wirepb.Reason_REASON_LEAVING
	case !e.upstream.Ready:
		return wirepb.Reason_REASON_DOWN
	case string(e.upstream.Service) != q.GetService():
		return wirepb.Reason_REASON_SERVICE
	case q.GetVersion() != "" && string(e.upstream.Version) != q.GetVersion():
		return wirepb.Reason_REASON_SERVICE
	case !e.o.Admits(now):
		return wirepb.Reason_REASON_DOMAIN
	case !e.o.Serves(e.upstream.Service, e.upstream.Version, now):
		return wirepb.Reason_REASON_SERVICE
	default:
		return wirepb.Reason_REASON_NONE
	}
}

// ending makes the answer to a message that the fence can't judge.
type ending func(q *wirepb.CallRequest, r wirepb.Reason) *wirepb.CallResponse

// duplicate answers a message that the fence doesn't let through. A message
// for another start or after its deadline proves nothing about earlier copies.
// A Call is sent on one connection only and never resent, so that its refusal
// on that connection is true; after a Resolve the outcome stays unknown.
func (e *Exit) duplicate(id ident.Request, q *wirepb.CallRequest, v fence.Verdict[*wirepb.CallResponse], unjudged ending) (*job, *wirepb.CallResponse) {
	switch v.Kind {
	case fence.DuplicateRunning:
		return e.jobs[id], nil
	case fence.DuplicateFinished:
		if v.Stored {
			return nil, v.Answer.Value
		}
		return nil, unknown(q, wirepb.Reason_REASON_LOST)
	case fence.DuplicateRefused:
		return nil, refusal(q, wirepb.Reason_REASON_DUPLICATE)
	case fence.CancelledFirst:
		return nil, refusal(q, wirepb.Reason_REASON_CANCELLED)
	case fence.Full:
		return nil, refusal(q, wirepb.Reason_REASON_FULL)
	case fence.Expired:
		return nil, unjudged(q, wirepb.Reason_REASON_LATE)
	default:
		return nil, unjudged(q, wirepb.Reason_REASON_START)
	}
}

// refuse ends a request that the fence let through without running it.
func (e *Exit) refuse(q *wirepb.CallRequest, a *wirepb.CallResponse, now time.Time) *wirepb.CallResponse {
	e.fences.Finish(call.RequestID(q.GetId()), fence.Answer[*wirepb.CallResponse]{State: fence.Refused, Value: a}, now)
	e.count(q, a, 0, 0)
	return a
}

// run dispatches an admitted request and ends it.
func (e *Exit) run(j *job, u Upstream) {
	began := mono.Now()
	a := e.send(j.ctx, u, j.q)
	busy := time.Since(began)
	a.BusyNanos = int64(busy)
	e.finish(j, a, busy)
}

// finish ends a job in the fence, in the limiter and in the work report.
func (e *Exit) finish(j *job, a *wirepb.CallResponse, busy time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	state := fence.Ran
	if a.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED {
		state = fence.Refused
	}
	e.end(j, a, state, now)
	e.count(j.q, a, busy, j.usual(busy))
	e.limiter.Finish(j.id, resultOf(a), now)
}

// end stores the answer and wakes everyone who waits for it.
func (e *Exit) end(j *job, a *wirepb.CallResponse, s fence.State, now time.Time) {
	f := fence.Answer[*wirepb.CallResponse]{State: s, Value: a}
	e.fences.Finish(j.id, f, now)
	if j.q.GetKey() != "" {
		e.keys.Finish(j.q.GetKey(), f, now)
	}
	delete(e.jobs, j.id)
	j.answer = a
	j.cancel()
	close(j.done)
	e.running.Done()
}

// Resolve tells what became of a request. A request that hasn't arrived is
// cancelled, so that it never runs here.
func (e *Exit) Resolve(ctx context.Context, r *wirepb.ResolveRequest) *wirepb.CallResponse {
	j, answer := e.look(r)
	if answer != nil {
		return e.seal(answer)
	}
	if r.GetAbort() {
		e.abort(j)
	}
	t := time.NewTimer(time.Duration(r.GetWaitNanos()))
	defer t.Stop()
	select {
	case <-j.done:
		return e.seal(j.answer)
	case <-t.C:
	case <-ctx.Done():
	}
	return e.seal(unknown(j.q, wirepb.Reason_REASON_RUNNING))
}

func (e *Exit) look(r *wirepb.ResolveRequest) (*job, *wirepb.CallResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := call.RequestID(r.GetId())
	q := &wirepb.CallRequest{Id: r.GetId()}
	deadline := time.Unix(0, r.GetDeadlineNanos()).Add(fenceHold)
	v := e.fences.Cancel(id, ident.Start(r.GetStart()), deadline, mono.Now())
	return e.duplicate(id, q, v, unknown)
}

// Running returns the number of requests that have begun and not ended.
func (e *Exit) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs)
}

// Load returns the load that answers carry.
func (e *Exit) Load() *wirepb.Hint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hint()
}

// Drain refuses new work and waits until the running work has ended or ctx
// has. It returns the number of requests that still run.
func (e *Exit) Drain(ctx context.Context) int {
	e.mu.Lock()
	e.closing = true
	e.refuseAll(mono.Now())
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return e.Running()
}

// Close stops running requests and waits for them.
func (e *Exit) Close() {
	e.mu.Lock()
	e.closing = true
	e.refuseAll(mono.Now())
	for _, j := range e.jobs {
		j.cancel()
	}
	e.mu.Unlock()
	e.running.Wait()
	e.stop()
	<-e.ended
	e.dispatch.close()
}
