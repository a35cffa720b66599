package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

// maxCopies bounds the copies of one request: those after refusals, one hedge
// and what the attempts allow after unknown outcomes.
const maxCopies = retry.MostTries + 1 + retry.MaxAttempts

// copyEnd is the end of one copy of a request.
type copyEnd struct {
	node   ident.Node
	answer *wirepb.CallResponse
	took   time.Duration
}

// placement is one request on its way to an upstream.
type placement struct {
	e       *Entry
	q       *request
	id      ident.Request
	version ident.Version
	plan    *retry.Plan
	ends    chan copyEnd
	tried   []ident.Node
	// closed are those of tried to which the last try must not go.
	closed []ident.Node
	copies int
	flying int
	// last is the latest end of a copy, whose reason the caller is told.
	last copyEnd
	// doubt is set once a copy has ended with an unknown outcome.
	doubt bool
	// failure is an upstream's own failure, kept while another one is tried.
	failure *wirepb.CallResponse
}

// place runs a request and returns what is known about it in the end.
func (e *Entry) place(ctx context.Context, id ident.Request, q *request) *wirepb.CallResponse {
	now := mono.Now()
	version := q.version
	if version == "" {
		version = e.o.Cohort(q.service, id.Low(), now)
	}
	p := &placement{
		e:       e,
		q:       q,
		id:      id,
		version: version,
		ends:    make(chan copyEnd, maxCopies),
	}
	e.mu.Lock()
	p.plan = retry.New(q.chain, e.budget, now)
	e.mu.Unlock()
	copies, cancel := context.WithCancel(ctx)
	defer cancel()
	a := p.run(copies)
	// Nobody waits for the answer of a request that its caller has aborted,
	// such as a call made by the slower copy of a hedged request.
	aborted := a.GetReason() == wirepb.Reason_REASON_ABORTED
	if a.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN && !aborted {
		e.o.Emit(event.RequestUnknown,
			event.F(event.Request, id),
			event.F(event.Service, q.service),
			event.F(event.Route, q.route),
			event.F(event.Caller, q.caller),
			event.F(event.Peer, p.last.node),
			event.F(event.Reason, call.ReasonOf(a.GetReason())))
	}
	return a
}

func (p *placement) run(ctx context.Context) *wirepb.CallResponse {
	if !p.send(ctx, p.q.key != "") {
		return p.giveUp(retry.NotRun)
	}
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for {
		var action retry.Action
		select {
		case end := <-p.ends:
			action = p.ended(end)
		case now := <-hedge.C:
			action = p.next(retry.Pending, retry.None, now)
		case <-ctx.Done():
			a := p.giveUp(retry.Unknown)
			if errors.Is(ctx.Err(), context.Canceled) {
				a.Reason = wirepb.Reason_REASON_ABORTED
			}
			return a
		}
		if a := p.act(ctx, action); a != nil {
			return a
		}
	}
}

// act follows the plan and returns the answer once there is one.
func (p *placement) act(ctx context.Context, a retry.Action) *wirepb.CallResponse {
	switch a.Kind {
	case retry.Deliver:
		return p.last.answer
	case retry.Elsewhere:
		if a.Pause > 0 {
			mono.Sleep(ctx, a.Pause)
		}
		if p.send(ctx, a.Last) || p.flying > 0 {
			return nil
		}
		if p.failure != nil {
			return p.failure
		}
		return p.giveUp(p.proved())
	case retry.Hedge:
		p.send(ctx, false)
		return nil
	case retry.Wait:
		return nil
	default:
		if p.failure != nil {
			return p.failure
		}
		return p.giveUp(a.Outcome)
	}
}

// proved returns what is known if no copy is left.
func (p *placement) proved() retry.Outcome {
	if p.doubt {
		return retry.Unknown
	}
	return retry.NotRun
}

// passing are the reasons of refusals after which the same member may run the
// request if it gets more time or another connection.
var passing = []wirepb.Reason{
	wirepb.Reason_REASON_FULL,
	wirepb.Reason_REASON_SHED,
	wirepb.Reason_REASON_CANCELLED,
	wirepb.Reason_REASON_DUPLICATE,
}

// ended learns from the end of a copy and asks the plan what follows.
func (p *placement) ended(end copyEnd) retry.Action {
	p.flying--
	p.last = end
	o := retry.Outcome(end.answer.GetOutcome())
	if o != retry.NotRun || !slices.Contains(passing, end.answer.GetReason()) {
		p.closed = append(p.closed, end.node)
	}
	p.doubt = p.doubt || o == retry.Unknown
	if o == retry.NotRun && end.answer.GetReason() == wirepb.Reason_REASON_SERVICE && p.e.o.AnyVersion {
		p.version = ""
	}
	if p.e.o.Again && o == retry.Ran && end.answer.GetStatus() >= http.StatusInternalServerError && p.q.mayRepeat() {
		p.failure = end.answer
		if a := p.next(retry.Unknown, retry.Broken, mono.Now()); a.Kind != retry.GiveUp {
			return a
		}
		return retry.Action{Kind: retry.Deliver}
	}
	return p.next(o, retry.Reason(end.answer.GetReason()), mono.Now())
}

func (p *placement) next(o retry.Outcome, r retry.Reason, now time.Time) retry.Action {
	p.e.mu.Lock()
	defer p.e.mu.Unlock()
	return p.plan.Next(o, r, p.q.mayRepeat(), now)
}

// giveUp makes the answer for a request without one.
func (p *placement) giveUp(o retry.Outcome) *wirepb.CallResponse {
	a := &wirepb.CallResponse{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: wirepb.Reason_REASON_LATE}
	if o == retry.NotRun {
		a.Outcome = wirepb.Outcome_OUTCOME_REFUSED
		a.Reason = wirepb.Reason_REASON_NONE_LEFT
	}
	if p.last.answer != nil && p.last.answer.GetOutcome() == a.GetOutcome() {
		a.Reason = p.last.answer.GetReason()
		a.RetryNanos = p.last.answer.GetRetryNanos()
	}
	return a
}

// send starts one more copy on another member. It reports false if there is
// none to choose.
func (p *placement) send(ctx context.Context, last bool) bool {
	now := mono.Now()
	p.e.mu.Lock()
	defer p.e.mu.Unlock()
	chain, ok := p.plan.Child(now)
	if !ok || p.copies >= maxCopies {
		return false
	}
	t, last, ok := p.target(last, now)
	if !ok {
		return false
	}
	m := p.message(t, chain, last)
	p.copies++
	p.flying++
	p.tried = append(p.tried, t.Member.Node)
	p.e.chooser.Sent(t.Member.Node, now)
	p.e.running.Add(1)
	go func() {
		defer p.e.running.Done()
		answer := p.e.run(ctx, t, m)
		end := copyEnd{node: t.Member.Node, answer: answer, took: mono.Now().Sub(now)}
		p.tell(m, end)
		p.e.learn(p.q.service, end, errors.Is(ctx.Err(), context.Canceled))
		p.ends <- end
	}()
	return true
}

// tell records the end of a copy with the load that its exit has told.
func (p *placement) tell(m *wirepb.CallRequest, end copyEnd) {
	h := end.answer.GetHint()
	p.e.o.Emit(event.TryEnded,
		event.F(event.Request, p.id),
		event.F(event.Peer, end.node),
		event.F(event.Last, m.GetLast()),
		event.F(event.Outcome, call.OutcomeOf(end.answer.GetOutcome())),
		event.F(event.Reason, call.ReasonOf(end.answer.GetReason())),
		event.F(event.Status, end.answer.GetStatus()),
		event.F(event.Slow, h.GetSlow()),
		event.F(event.Running, h.GetInflight()),
		event.F(event.Queued, h.GetQueued()),
		event.F(event.Limit, h.GetLimit()),
		event.F(event.Elapsed, end.took))
}

// target chooses the member of the next copy and tells whether the copy may
// queue there. It may do so before its last try, too, if no other member is
// left that admits anything: it then waits where the wait is shortest. A
// caller's key binds a request to the key's home.
func (p *placement) target(last bool, now time.Time) (t Target, queue, ok bool) {
	if p.q.key != "" {
		t, ok = p.home()
		return t, true, ok
	}
	q := choose.Query{Service: p.q.service, Version: p.version, Tried: p.tried, Last: last}
	pick, ok := p.e.chooser.Choose(q, now)
	if !last && len(p.tried) > 0 && (!ok || pick.Doubtful) {
		q.Last = true
		pick, ok = p.e.chooser.Choose(q, now)
	}
	if ok && slices.Contains(p.closed, pick.Member.Node) {
		pick, ok = p.e.chooser.Choose(choose.Query{Service: p.q.service, Version: p.version, Tried: p.closed}, now)
	}
	if !ok {
		return Target{}, false, false
	}
	t, ok = p.e.targets[pick.Member.Node]
	return t, q.Last, ok
}

// home returns the member that keeps the fence of the request's key, whatever
// version it runs: a home that moved with the cohort would forget the key. A
// home that has been tried isn't tried again.
func (p *placement) home() (Target, bool) {
	n, ok := fence.Home(p.q.key, p.e.homes[p.q.service])
	if !ok || slices.Contains(p.tried, n) {
		return Target{}, false
	}
	return p.e.targets[n], true
}

func (p *placement) message(t Target, c retry.Chain, last bool) *wirepb.CallRequest {
	id := fence.TryID(p.id, uint8(p.copies))
	headers := call.Strip(p.q.header)
	if p.q.host != "" {
		headers = append(headers, &wirepb.Header{Name: "Host", Values: []string{p.q.host}})
	}
	m := &wirepb.CallRequest{
		Id:            id[:],
		Start:         uint64(t.Start),
		Service:       string(p.q.service),
		Version:       string(t.Member.Version),
		Route:         string(p.q.route),
		Caller:        string(p.q.caller),
		Method:        p.q.method,
		Path:          p.q.path,
		Headers:       headers,
		Body:          p.q.body,
		DeadlineNanos: p.plan.Deadline.UnixNano(),
		Attempts:      int32(c.Attempts),
		Depth:         int32(c.Depth),
		Idempotent:    p.q.mayRepeat(),
		Last:          last,
		Key:           p.q.key,
		Priority:      int32(p.q.priority),
	}
	if !p.q.objective.IsZero() {
		m.ObjectiveNanos = int64(mono.Until(p.q.objective))
	}
	return m
}

// run sends one copy to its exit, which may be that of this node.
func (e *Entry) run(ctx context.Context, t Target, m *wirepb.CallRequest) *wirepb.CallResponse {
	if t.Member.Node == e.o.Node {
		return e.o.Local.run(ctx, m)
	}
	r := &remote{peers: e.o.Peers, address: t.Address, q: m}
	r.silent = func() {
		e.doubt(t.Member.Node)
		e.o.Emit(event.ConnectionSilent,
			event.F(event.Peer, t.Member.Node),
			event.F(event.Address, t.Address),
			event.F(event.Elapsed, progressLimit))
	}
	r.resolved = func(a *wirepb.CallResponse, took time.Duration) {
		e.o.Emit(event.RequestResolved,
			event.F(event.Request, call.RequestID(m.GetId())),
			event.F(event.Peer, t.Member.Node),
			event.F(event.Outcome, call.OutcomeOf(a.GetOutcome())),
			event.F(event.Elapsed, took))
	}
	return r.run(ctx)
}

// doubt tells the chooser about a member whose exit confirms nothing.
func (e *Entry) doubt(n ident.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chooser.Doubt(n, mono.Now())
}

// hedgeDelay returns when a copy is worth sending a second time. Only
// requests that may run twice are hedged; the plan sees to that.
func (p *placement) hedgeDelay() time.Duration {
	p.e.mu.Lock()
	defer p.e.mu.Unlock()
	d, ok := p.e.delays[p.q.service]
	if !ok {
		return maxTimeout
	}
	after, ok := d.Hedge()
	if !ok {
		return maxTimeout
	}
	return after
}

// learn passes the end of a copy on to the chooser, also if nobody waits for
// the copy any more: it has to leave the count of requests in flight.
func (e *Entry) learn(s ident.Service, end copyEnd, abandoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := mono.Now()
	a := end.answer
	switch {
	case abandoned:
		e.chooser.Abandoned(end.node)
	case a.GetHint() == nil:
		e.chooser.Failed(end.node, now)
	case a.GetReason() == wirepb.Reason_REASON_SHED:
		e.chooser.Failed(end.node, now)
	case a.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED:
		e.chooser.Refused(end.node, hint(a.GetHint()), now)
	case a.GetOutcome() == wirepb.Outcome_OUTCOME_RAN && a.GetStatus() < http.StatusInternalServerError:
		e.chooser.Done(end.node, hint(a.GetHint()), end.took, now)
		e.delay(s).Observe(end.took)
	default:
		e.chooser.Failed(end.node, now)
	}
}

func (e *Entry) delay(s ident.Service) *retry.Delay {
	d, ok := e.delays[s]
	if !ok {
		d = &retry.Delay{}
		e.delays[s] = d
	}
	return d
}
