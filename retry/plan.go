// Package retry implements the retry and hedging policy of the entry node: it
// decides what follows the outcome of each try. Its types are pure state
// machines: the caller passes the time and serializes the calls.
//
// Invariants: a non-idempotent request is sent again only after proof that it
// hasn't run; the outcome NotRun is reported only if every try is proved not to
// have run; the extra runs over a whole call chain are bounded by Plan.Attempts.
package retry

import "time"

const (
	// MaxDepth is the greatest depth of a call chain; the first call has depth 0.
	MaxDepth = 19
	// MaxAttempts bounds the number of runs that a caller can request.
	MaxAttempts = 8
	// DefaultAttempts allows two extra runs in the call chain of a request.
	DefaultAttempts = 3
	// MaxTimeout is the longest timeout of a call.
	MaxTimeout = 5 * time.Minute
	// DefaultTimeout is the timeout of a call that doesn't specify one.
	DefaultTimeout = 10 * time.Second
	// ImmediateTries is the number of tries that are refused at once if there
	// is no free slot. Further tries have MayQueue set and may queue at their
	// exits.
	ImmediateTries = 3
	// TriesWithoutPause is the number of tries without a pause. More are needed
	// only if exits expire requests that they had queued.
	TriesWithoutPause = 6
	// DefaultMaxTries bounds the tries of one request. At 95 % load with noisy
	// neighbours, 4 tries refused 0.1 to 0.2 % of the requests that could have
	// met their deadline.
	DefaultMaxTries = 16
	// RetryPause precedes each try after TriesWithoutPause, because all queues
	// are full by then.
	RetryPause = 10 * time.Millisecond

	// A resolve without an answer is repeated after an exponentially growing pause.
	minResolvePause = 20 * time.Millisecond
	maxResolvePause = time.Second
)

// Outcome is what is known about one try. The first three have the values of
// the wire messages.
type Outcome uint8

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Ran means that the complete answer is present.
	Ran
	// NotRun means that the request is proved not to have run and not to run later.
	NotRun
	// Pending means that no answer has arrived within the hedge delay.
	Pending
)

// String returns the outcome as it appears in headers and logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "ran", "not-run", "pending"}[o]
}

// Reason is the reason for the outcome of a try.
type Reason uint8

// Reasons with the values of the wire messages.
const (
	None Reason = iota
	Full
	Late
	Leaving
	Domain
	// Start means that another process of the exit node answered. It comes with
	// NotRun only if the sender wrote the message once, on the connection that
	// carried the answer; a copy on another connection may have run in the
	// earlier process.
	Start
	Cancelled
	Duplicate
	Shed
	Service
	Depth
	Size
	// AnswerLost means that the request ran but its answer is no longer stored.
	AnswerLost
	// Broken means that the upstream exited or closed the connection.
	Broken
	Key
)

// Reasons that the entry node detects itself.
const (
	// NoAnswer means that no answer arrived or the connection broke.
	NoAnswer Reason = 100 + iota
	// ExitEnded means that the process of the exit node is known to have ended.
	ExitEnded
)

// Kind is the kind of an Action.
type Kind uint8

const (
	// Deliver returns the answer to the caller.
	Deliver Kind = iota
	// TryOther sends the request to another member.
	TryOther
	// Hedge sends a second copy to another member and keeps waiting for the first.
	Hedge
	// Resolve queries the same exit for the outcome over a new connection.
	Resolve
	// Wait does nothing, because the answer of another copy is still expected.
	Wait
	// GiveUp ends the request with Action.Outcome.
	GiveUp
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	return [...]string{"deliver", "elsewhere", "hedge", "resolve", "wait", "give-up"}[k]
}

// Action is the next step of the entry node.
type Action struct {
	Kind Kind
	// Outcome is NotRun or Unknown if Kind is GiveUp.
	Outcome Outcome
	// MayQueue marks a try that may queue at the exit.
	MayQueue bool
	// Pause is the time to wait before a resolve or another try.
	Pause time.Duration
}

// Plan is the state of one request at its entry node.
//
// Attempts bounds the runs of this call and, through Child, the runs at every
// level below it. Each extra run costs one attempt plus the extra runs granted
// to the previous copy's child calls, and a child call gets 1+(Attempts-1)/2.
// Let L(a) be the greatest number of runs at any one level of a chain that
// starts with a attempts. The tries of one plan get a1+a2+... <= a, so that
// L(a) <= L(a1)+L(a2)+... <= a by induction over the levels. A chain of any
// depth with 3 attempts runs at most 3 times at each level, whereas independent
// retries would run 3^19 times.
type Plan struct {
	Attempts int
	Deadline time.Time
	Depth    int

	budget   *Budget
	refusals int
	// inflight counts the copies whose outcome isn't known yet.
	inflight int
	hedged   bool
	// outcomeUnknown is set once a copy has ended with an unknown outcome.
	outcomeUnknown bool
	resolvePause   time.Duration
}

// New returns the plan of a call whose first copy is about to be sent.
func New(c Chain, b *Budget, now time.Time) *Plan {
	b.RecordFirst(now)
	return &Plan{
		Attempts: c.Attempts,
		Deadline: now.Add(c.Timeout),
		Depth:    c.Depth,
		budget:   b,
		inflight: 1,
	}
}

// Child returns the chain headers to send with the next copy, for the calls
// that its run makes. It reports false if the deadline has passed or the chain is
// too deep; the request is then refused without having run.
func (p *Plan) Child(now time.Time) (Chain, bool) {
	c := Chain{
		Attempts: 1 + p.childExtraRuns(),
		Depth:    p.Depth + 1,
		Timeout:  p.Deadline.Sub(now),
	}
	return c, c.Timeout > 0 && c.Depth <= MaxDepth
}

// Next returns the action that follows the outcome of a copy or of a resolve.
func (p *Plan) Next(o Outcome, r Reason, idempotent bool, now time.Time) Action {
	switch o {
	case Ran:
		return Action{Kind: Deliver, Outcome: Ran}
	case NotRun:
		return p.afterRefusal(r, now)
	case Pending:
		return p.afterHedgeDelay(idempotent, now)
	default:
		return p.afterUnknown(r, idempotent, now)
	}
}

// childExtraRuns returns the number of extra runs granted to the child calls of
// the current copy.
func (p *Plan) childExtraRuns() int {
	return max(0, p.Attempts-1) / 2
}

// takeExtraRun takes one extra run from the attempts and the budget, and reports
// whether both allowed it.
func (p *Plan) takeExtraRun(now time.Time) bool {
	remaining := p.Attempts - 1 - p.childExtraRuns()
	if remaining < 1 || !p.budget.Allow(now) {
		return false
	}
	p.Attempts = remaining
	return true
}

// maxTries returns the number of refusals after which the request ends.
func (p *Plan) maxTries() int {
	if n := p.budget.options.MaxTries; n > 0 {
		return n
	}
	return DefaultMaxTries
}

func (p *Plan) afterRefusal(r Reason, now time.Time) Action {
	p.inflight--
	p.refusals++
	p.resolvePause = 0
	if r == Depth || r == Size || p.refusals >= p.maxTries() || !now.Before(p.Deadline) {
		return p.end(now)
	}
	if r == Shed && p.budget.options.ChargeSheds && !p.budget.Allow(now) {
		return p.end(now)
	}
	p.inflight++
	a := Action{Kind: TryOther, MayQueue: p.refusals >= ImmediateTries}
	if p.refusals >= TriesWithoutPause {
		a.Pause = RetryPause
	}
	return a
}

func (p *Plan) afterHedgeDelay(idempotent bool, now time.Time) Action {
	if !now.Before(p.Deadline) {
		return Action{Kind: GiveUp, Outcome: Unknown}
	}
	if !idempotent || p.hedged || !p.takeExtraRun(now) {
		return Action{Kind: Wait}
	}
	p.hedged = true
	p.inflight++
	return Action{Kind: Hedge}
}

func (p *Plan) afterUnknown(r Reason, idempotent bool, now time.Time) Action {
	beforeDeadline := now.Before(p.Deadline)
	if idempotent && beforeDeadline && p.takeExtraRun(now) {
		// The new copy replaces the one with the unknown outcome, which may still run.
		p.outcomeUnknown = true
		return Action{Kind: TryOther}
	}
	if beforeDeadline && (r == NoAnswer || r == Duplicate) {
		a := Action{Kind: Resolve, Pause: p.resolvePause}
		p.resolvePause = min(maxResolvePause, max(minResolvePause, 2*p.resolvePause))
		return a
	}
	p.inflight--
	p.outcomeUnknown = true
	return p.end(now)
}

// end gives up, unless another copy may still answer before the deadline.
func (p *Plan) end(now time.Time) Action {
	switch {
	case p.inflight > 0 && now.Before(p.Deadline):
		return Action{Kind: Wait}
	case p.inflight > 0 || p.outcomeUnknown:
		return Action{Kind: GiveUp, Outcome: Unknown}
	default:
		return Action{Kind: GiveUp, Outcome: NotRun}
	}
}
