package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
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
	"github.com/cicadahall/cicadahall/retry"
)

// maxCopies is the maximum number of copies of one request: those after
// refusals, one hedge, and the attempts allowed after unknown outcomes.
const maxCopies = retry.DefaultMaxTries + 1 + retry.MaxAttempts

// copyResult is the result of one copy of a request.
type copyResult struct {
	node     ident.Node
	response *wirepb.CallResponse
	latency  time.Duration
}

// placement is the state of one request while it is routed to upstreams.
type placement struct {
	entry   *Entry
	request *request
	id      ident.Request
	version ident.Version
	plan    *retry.Plan
	results chan copyResult
	tried   []ident.Node
	// excluded are the tried nodes to which the last try must not be sent.
	excluded    []ident.Node
	copies      int
	outstanding int
	// last is the most recent result of a copy; the caller gets its reason.
	last copyResult
	// uncertain is set once a copy has ended with an unknown outcome.
	uncertain bool
	// failure is an upstream's server error, kept while another upstream is
	// tried.
	failure *wirepb.CallResponse
}

// place runs a request and returns its outcome.
func (e *Entry) place(ctx context.Context, id ident.Request, req *request) *wirepb.CallResponse {
	now := mono.Now()
	version := req.version
	if version == "" {
		version = e.opts.SelectVersion(req.service, id.Low64(), now)
	}
	p := &placement{
		entry:   e,
		request: req,
		id:      id,
		version: version,
		results: make(chan copyResult, maxCopies),
	}
	e.mu.Lock()
	p.plan = retry.New(req.chain, e.budgets.Of(req.service), now)
	e.mu.Unlock()
	copiesCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp := p.run(copiesCtx)
	// The caller of an aborted request does not wait for its response. One
	// example is a call made by the slower copy of a hedged request.
	aborted := resp.GetReason() == wirepb.Reason_REASON_ABORTED
	if resp.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN && !aborted {
		e.opts.Emit(event.RequestUnknown,
			event.NewField(event.Request, id),
			event.NewField(event.Service, req.service),
			event.NewField(event.Route, req.route),
			event.NewField(event.Caller, req.caller),
			event.NewField(event.Peer, p.last.node),
			event.NewField(event.Reason, call.ReasonName(resp.GetReason())))
	}
	return resp
}

func (p *placement) run(ctx context.Context) *wirepb.CallResponse {
	if !p.send(ctx, p.request.key != "") {
		return p.giveUp(retry.NotRun)
	}
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for {
		var action retry.Action
		select {
		case result := <-p.results:
			action = p.handleResult(result)
		case now := <-hedge.C:
			action = p.next(retry.Pending, retry.None, now)
		case <-ctx.Done():
			resp := p.giveUp(retry.Unknown)
			if errors.Is(ctx.Err(), context.Canceled) {
				resp.Reason = wirepb.Reason_REASON_ABORTED
			}
			return resp
		}
		if resp := p.act(ctx, action); resp != nil {
			return resp
		}
	}
}

// act performs an action of the retry plan. It returns the response to the
// caller, or nil while copies are outstanding.
func (p *placement) act(ctx context.Context, action retry.Action) *wirepb.CallResponse {
	switch action.Kind {
	case retry.Deliver:
		return p.last.response
	case retry.TryOther:
		if action.Pause > 0 {
			mono.Sleep(ctx, action.Pause)
		}
		// Where all slots are taken, a call may queue: it goes before the requests
		// that are queued there, and more refusals would only delay the run that
		// waits for it.
		isFull := p.last.response.GetReason() == wirepb.Reason_REASON_FULL
		mayQueue := action.MayQueue || isFull && p.request.priority <= admit.CallPriority
		if p.send(ctx, mayQueue) || p.outstanding > 0 {
			return nil
		}
		if p.failure != nil {
			return p.failure
		}
		return p.giveUp(p.provenOutcome())
	case retry.Hedge:
		p.send(ctx, false)
		return nil
	case retry.Wait:
		return nil
	default:
		if p.failure != nil {
			return p.failure
		}
		return p.giveUp(action.Outcome)
	}
}

// provenOutcome returns the outcome that is known once no copy is outstanding.
func (p *placement) provenOutcome() retry.Outcome {
	if p.uncertain {
		return retry.Unknown
	}
	return retry.NotRun
}

// transientReasons are the refusal reasons after which the same member may run
// the request, given more time or another connection.
var transientReasons = []wirepb.Reason{
	wirepb.Reason_REASON_FULL,
	wirepb.Reason_REASON_SHED,
	wirepb.Reason_REASON_CANCELLED,
	wirepb.Reason_REASON_DUPLICATE,
}

// handleResult records the result of a copy and returns the next action of the
// retry plan.
func (p *placement) handleResult(result copyResult) retry.Action {
	p.outstanding--
	p.last = result
	outcome := retry.Outcome(result.response.GetOutcome())
	if outcome != retry.NotRun || !slices.Contains(transientReasons, result.response.GetReason()) {
		p.excluded = append(p.excluded, result.node)
	}
	p.uncertain = p.uncertain || outcome == retry.Unknown
	if outcome == retry.NotRun && result.response.GetReason() == wirepb.Reason_REASON_SERVICE && p.entry.opts.FallBackToAnyVersion {
		p.version = ""
	}
	if p.entry.opts.RetryServerErrors && outcome == retry.Ran && result.response.GetStatus() >= http.StatusInternalServerError && p.request.mayRepeat() {
		p.failure = result.response
		if action := p.next(retry.Unknown, retry.Broken, mono.Now()); action.Kind != retry.GiveUp {
			return action
		}
		return retry.Action{Kind: retry.Deliver}
	}
	return p.next(outcome, retry.Reason(result.response.GetReason()), mono.Now())
}

func (p *placement) next(outcome retry.Outcome, reason retry.Reason, now time.Time) retry.Action {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	return p.plan.Next(outcome, reason, p.request.mayRepeat(), now)
}

// giveUp returns the response to a request that no upstream has completed.
func (p *placement) giveUp(outcome retry.Outcome) *wirepb.CallResponse {
	resp := &wirepb.CallResponse{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: wirepb.Reason_REASON_LATE}
	if outcome == retry.NotRun {
		resp.Outcome = wirepb.Outcome_OUTCOME_REFUSED
		resp.Reason = wirepb.Reason_REASON_NONE_LEFT
	}
	if p.last.response != nil && p.last.response.GetOutcome() == resp.GetOutcome() {
		resp.Reason = p.last.response.GetReason()
		resp.RetryNanos = p.last.response.GetRetryNanos()
	}
	return resp
}

// send starts another copy on another member. It returns false if no member is
// available.
func (p *placement) send(ctx context.Context, last bool) bool {
	now := mono.Now()
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	chain, ok := p.plan.Child(now)
	if !ok || p.copies >= maxCopies {
		return false
	}
	target, last, ok := p.chooseTarget(last, now)
	if !ok {
		return false
	}
	msg := p.callRequest(target, chain, last)
	p.copies++
	p.outstanding++
	p.tried = append(p.tried, target.Member.Node)
	p.entry.chooser.RecordSent(target.Member.Node, now)
	p.entry.unfinished.Add(1)
	lease := quota.FromContext(ctx).Retain()
	go func() {
		defer p.entry.unfinished.Done()
		defer lease.Release()
		resp := p.entry.run(ctx, target, msg)
		result := copyResult{node: target.Member.Node, response: resp, latency: mono.Now().Sub(now)}
		p.emitAttemptEnded(msg, result)
		p.entry.recordResult(p.request.service, result, errors.Is(ctx.Err(), context.Canceled))
		p.results <- result
	}()
	return true
}

// emitAttemptEnded emits an event with the result of a copy and the load
// reported by its exit.
func (p *placement) emitAttemptEnded(msg *wirepb.CallRequest, result copyResult) {
	hint := result.response.GetHint()
	p.entry.opts.Emit(event.AttemptEnded,
		event.NewField(event.Request, p.id),
		event.NewField(event.Peer, result.node),
		event.NewField(event.Last, msg.GetLast()),
		event.NewField(event.Outcome, call.OutcomeOf(result.response.GetOutcome())),
		event.NewField(event.Reason, call.ReasonName(result.response.GetReason())),
		event.NewField(event.Status, result.response.GetStatus()),
		event.NewField(event.Slow, hint.GetSlow()),
		event.NewField(event.Running, hint.GetInflight()),
		event.NewField(event.Queued, hint.GetQueued()),
		event.NewField(event.Limit, hint.GetLimit()),
		event.NewField(event.Elapsed, result.latency))
}

// chooseTarget selects the member for the next copy and reports whether the
// copy may queue there. A copy may queue before the last try if no other member
// would admit it; it then goes to the member with the shortest wait. A request
// with an idempotency key is always sent to the key's home node.
func (p *placement) chooseTarget(last bool, now time.Time) (t Target, queue, ok bool) {
	if p.request.key != "" {
		t, ok = p.keyHome()
		return t, true, ok
	}
	query := choose.Query{Service: p.request.service, Version: p.version, Tried: p.tried, MayQueue: last}
	pick, ok := p.entry.chooser.Choose(query, now)
	if !last && len(p.tried) > 0 && (!ok || pick.LastResort) {
		query.MayQueue = true
		pick, ok = p.entry.chooser.Choose(query, now)
	}
	if ok && slices.Contains(p.excluded, pick.Member.Node) {
		pick, ok = p.entry.chooser.Choose(choose.Query{Service: p.request.service, Version: p.version, Tried: p.excluded}, now)
	}
	if !ok {
		return Target{}, false, false
	}
	t, ok = p.entry.targets[pick.Member.Node]
	return t, query.MayQueue, ok
}

// keyHome returns the home node of the request's idempotency key, regardless of
// the version it runs: a home node selected by cohort would change with the
// rollout and lose the fence of the key. A home node that was already tried is
// not tried again.
func (p *placement) keyHome() (Target, bool) {
	n, ok := fence.Home(p.request.key, p.entry.keyHomes[p.request.service])
	if !ok || slices.Contains(p.tried, n) {
		return Target{}, false
	}
	return p.entry.targets[n], true
}

func (p *placement) callRequest(t Target, c retry.Chain, last bool) *wirepb.CallRequest {
	id := fence.AttemptID(p.id, uint8(p.copies))
	headers := call.EndToEndHeaders(p.request.header)
	if p.request.host != "" {
		headers = append(headers, &wirepb.Header{Name: "Host", Values: []string{p.request.host}})
	}
	msg := &wirepb.CallRequest{
		Id:            id[:],
		Start:         uint64(t.Start),
		Service:       string(p.request.service),
		Version:       string(t.Member.Version),
		Route:         string(p.request.route),
		Caller:        string(p.request.caller),
		Method:        p.request.method,
		Path:          p.request.path,
		Headers:       headers,
		Body:          p.request.body,
		DeadlineNanos: p.plan.Deadline.UnixNano(),
		Attempts:      int32(c.Attempts),
		Depth:         int32(c.Depth),
		Idempotent:    p.request.mayRepeat(),
		Last:          last,
		Key:           p.request.key,
		Priority:      int32(p.request.priority),
		Workspace:     string(p.request.workspace),
	}
	if !p.request.objective.IsZero() {
		msg.ObjectiveNanos = int64(mono.Until(p.request.objective))
	}
	return msg
}

// run sends one copy to its exit, which may be the exit of this node.
func (e *Entry) run(ctx context.Context, target Target, msg *wirepb.CallRequest) *wirepb.CallResponse {
	if target.Member.Node == e.opts.Node {
		return e.opts.Local.run(ctx, msg)
	}
	r := &remoteCall{peers: e.opts.Peers, address: target.Address, request: msg}
	r.onUnconfirmed = func() {
		e.reportUnconfirmed(target.Member.Node)
		e.opts.Emit(event.ConnectionSilent,
			event.NewField(event.Peer, target.Member.Node),
			event.NewField(event.Address, target.Address),
			event.NewField(event.Elapsed, confirmTimeout))
	}
	r.onResolved = func(resp *wirepb.CallResponse, elapsed time.Duration) {
		e.opts.Emit(event.RequestResolved,
			event.NewField(event.Request, call.RequestID(msg.GetId())),
			event.NewField(event.Peer, target.Member.Node),
			event.NewField(event.Outcome, call.OutcomeOf(resp.GetOutcome())),
			event.NewField(event.Elapsed, elapsed))
	}
	return r.run(ctx)
}

// reportUnconfirmed notifies the chooser that a member's exit did not confirm a
// request.
func (e *Entry) reportUnconfirmed(n ident.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chooser.RecordStall(n, mono.Now())
}

// hedgeDelay returns the delay after which a second copy of the request is
// sent. The retry plan hedges only idempotent requests.
func (p *placement) hedgeDelay() time.Duration {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	d, ok := p.entry.hedgeDelays[p.request.service]
	if !ok {
		return maxTimeout
	}
	delay, ok := d.Value()
	if !ok {
		return maxTimeout
	}
	return delay
}

// recordResult passes the result of a copy to the chooser. It must also be
// called for abandoned copies, which otherwise would remain counted as in
// flight.
func (e *Entry) recordResult(s ident.Service, result copyResult, abandoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	resp := result.response
	switch {
	case abandoned:
		e.chooser.RecordAbandonment(result.node)
	case resp.GetHint() == nil:
		e.chooser.RecordFailure(result.node, now)
	case resp.GetReason() == wirepb.Reason_REASON_SHED:
		e.chooser.RecordFailure(result.node, now)
	case resp.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED:
		e.chooser.RecordRefusal(result.node, hintOf(resp.GetHint()), now)
	case resp.GetOutcome() == wirepb.Outcome_OUTCOME_RAN && resp.GetStatus() < http.StatusInternalServerError:
		e.chooser.RecordAnswer(result.node, hintOf(resp.GetHint()), result.latency, now)
		e.hedgeDelayOf(s).Observe(result.latency)
	default:
		e.chooser.RecordFailure(result.node, now)
	}
}

func (e *Entry) hedgeDelayOf(s ident.Service) *retry.HedgeDelay {
	d, ok := e.hedgeDelays[s]
	if !ok {
		d = &retry.HedgeDelay{}
		e.hedgeDelays[s] = d
	}
	return d
}
