// Package retry decides at the entry node what follows the outcome of a try.
// Its machines are pure: the caller passes the time and serializes the calls.
//
// Invariants: a non-idempotent request is sent again only after a proof that
// it hasn't run; "not run" is told only if every try was proved not run; the
// extra runs over a whole call chain are bounded by Plan.Attempts.
package retry

import "time"

const (
	// MaxDepth is the deepest level of a call chain; the first call has depth 0.
	MaxDepth = 19
	// MaxAttempts bounds the runs that a caller can ask for.
	MaxAttempts = 8
	// DefaultAttempts allows two extra runs below one call from outside.
	DefaultAttempts = 3
	// MaxTimeout is the largest time left of a call.
	MaxTimeout = 5 * time.Minute
	// DefaultTimeout is the time left of a call that doesn't state one.
	DefaultTimeout = 10 * time.Second
	// DefaultTries is the number of tries with immediate refusal. The ones after
	// them are marked as the last and may queue at their exits.
	DefaultTries = 3
	// PromptTries is the number of tries without a pause. More are needed only
	// when exits give up requests that they had queued.
	PromptTries = 6
	// MostTries bounds the tries of one request. Measured at 95 % load with
	// noisy neighbours, 4 tries refused 0.1 to 0.2 % that fitted their deadline.
	MostTries = 16
	// TryPause comes before each try after PromptTries: all queues are full then.
	TryPause = 10 * time.Millisecond

	// A resolve that got no answer is repeated after a growing pause.
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
)

// Outcome is what is known about one try. The first three have the values of
// the wire messages.
type Outcome uint8

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Ran means that the whole answer is present.
	Ran
	// NotRun means that the request provably hasn't run and won't run.
	NotRun
	// Pending means that no answer has come within the hedge delay.
	Pending
)

// String returns the outcome as used in headers and logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "ran", "not-run", "pending"}[o]
}

// Reason tells why a try ended as it did.
type Reason uint8

// Reasons with the values of the wire messages.
const (
	None Reason = iota
	Full
	Late
	Leaving
	Domain
	// Start is an answer by another run of the exit node. It comes with NotRun
	// only if the sender wrote the message once, on the connection that carried
	// the answer; a copy on another connection may have run under the earlier start.
	Start
	Cancelled
	Duplicate
	Shed
	Service
	Depth
	Size
	// Lost means that the request ran and its answer is no longer stored.
	Lost
	// Broken means that the upstream died or broke the connection.
	Broken
	Key
)

// Reasons found by the entry node itself.
const (
	// Silent means that no answer came, or the connection broke.
	Silent Reason = 100 + iota
	// Gone means that the exit node is known to have ended.
	Gone
)

// Kind is the kind of an Action.
type Kind uint8

const (
	// Deliver passes the answer on to the caller.
	Deliver Kind = iota
	// Elsewhere sends the request to another member now.
	Elsewhere
	// Hedge sends a second copy to another member and keeps waiting.
	Hedge
	// Resolve asks the same exit for the outcome over a new connection.
	Resolve
	// Wait changes nothing: the answer of another copy is still expected.
	Wait
	// GiveUp ends the request with Action.Outcome.
	GiveUp
)

// String returns the kind as used in logs.
func (k Kind) String() string {
	return [...]string{"deliver", "elsewhere", "hedge", "resolve", "wait", "give-up"}[k]
}

// Action is what the entry node does next.
type Action struct {
	Kind Kind
	// Outcome is NotRun or Unknown with GiveUp.
	Outcome Outcome
	// Last marks a try that may queue at the exit.
	Last bool
	// Pause is the time to wait before a Resolve or another try.
	Pause time.Duration
}

// Plan is the state of one request at its entry node.
//
// Attempts bounds the runs of this call, and through Child the runs at every
// level below. Each extra run costs itself plus what its predecessor handed
// down, and a child gets 1+(Attempts-1)/2. With L(a) for the most runs at any
// one level of a chain that starts with a: the tries of one plan get
// a1+a2+... <= a, so that L(a) <= L(a1)+L(a2)+... <= a by induction over the
// levels. A chain of any depth with 3 attempts runs at most 3 times at each
// level, where independent retries would run 3^19 times.
type Plan struct {
	Attempts int
	Deadline time.Time
	Depth    int

	budget   *Budget
	refusals int
	// flying counts the copies whose outcome isn't known yet.
	flying int
	hedged bool
	// doubt is set once a copy ended with an unknown outcome.
	doubt bool
	pause time.Duration
}

// New returns the plan of a call whose first copy is about to be sent.
func New(c Chain, b *Budget, now time.Time) *Plan {
	b.First(now)
	return &Plan{
		Attempts: c.Attempts,
		Deadline: now.Add(c.Left),
		Depth:    c.Depth,
		budget:   b,
		flying:   1,
	}
}

// Child returns the chain fields to send with the next copy, for the calls
// that its run makes. It reports false if the time is over or the chain is
// too deep; the request is then refused as not run.
func (p *Plan) Child(now time.Time) (Chain, bool) {
	c := Chain{
		Attempts: 1 + p.handed(),
		Depth:    p.Depth + 1,
		Left:     p.Deadline.Sub(now),
	}
	return c, c.Left > 0 && c.Depth <= MaxDepth
}

// Next decides what follows the outcome of one copy or of a resolve.
func (p *Plan) Next(o Outcome, r Reason, idempotent bool, now time.Time) Action {
	switch o {
	case Ran:
		return Action{Kind: Deliver, Outcome: Ran}
	case NotRun:
		return p.afterRefusal(r, now)
	case Pending:
		return p.afterDelay(idempotent, now)
	default:
		return p.afterDoubt(r, idempotent, now)
	}
}

// handed returns the extra runs that the current copy may use below.
func (p *Plan) handed() int {
	return max(0, p.Attempts-1) / 2
}

// spend pays for one extra run.
func (p *Plan) spend(now time.Time) bool {
	left := p.Attempts - 1 - p.handed()
	if left < 1 || !p.budget.Allow(now) {
		return false
	}
	p.Attempts = left
	return true
}

// most returns the number of refusals after which the request is given up.
func (p *Plan) most() int {
	if n := p.budget.options.Tries; n > 0 {
		return n
	}
	return MostTries
}

func (p *Plan) afterRefusal(r Reason, now time.Time) Action {
	p.flying--
	p.refusals++
	p.pause = 0
	if r == Depth || r == Size || p.refusals >= p.most() || !now.Before(p.Deadline) {
		return p.end(now)
	}
	if r == Shed && p.budget.options.Sheds && !p.budget.Allow(now) {
		return p.end(now)
	}
	p.flying++
	a := Action{Kind: Elsewhere, Last: p.refusals >= DefaultTries}
	if p.refusals >= PromptTries {
		a.Pause = TryPause
	}
	return a
}

func (p *Plan) afterDelay(idempotent bool, now time.Time) Action {
	if !now.Before(p.Deadline) {
		return Action{Kind: GiveUp, Outcome: Unknown}
	}
	if !idempotent || p.hedged || !p.spend(now) {
		return Action{Kind: Wait}
	}
	p.hedged = true
	p.flying++
	return Action{Kind: Hedge}
}

func (p *Plan) afterDoubt(r Reason, idempotent bool, now time.Time) Action {
	timely := now.Before(p.Deadline)
	if idempotent && timely && p.spend(now) {
		// The doubtful copy is replaced; it may still run.
		p.doubt = true
		return Action{Kind: Elsewhere}
	}
	if timely && (r == Silent || r == Duplicate) {
		a := Action{Kind: Resolve, Pause: p.pause}
		p.pause = min(lastPause, max(firstPause, 2*p.pause))
		return a
	}
	p.flying--
	p.doubt = true
	return p.end(now)
}

// end gives up, unless another copy may still answer in time.
func (p *Plan) end(now time.Time) Action {
	switch {
	case p.flying > 0 && now.Before(p.Deadline):
		return Action{Kind: Wait}
	case p.flying > 0 || p.doubt:
		return Action{Kind: GiveUp, Outcome: Unknown}
	default:
		return Action{Kind: GiveUp, Outcome: NotRun}
	}
}
