package retry

import "time"

const (
	// DefaultRatio allows one extra run for ten first attempts.
	DefaultRatio = 0.1
	// DefaultFloor keeps retries possible at low traffic, in runs per second.
	DefaultFloor = 1
	// DefaultBurst bounds the extra runs that quiet times can save up.
	DefaultBurst = 10
)

// BudgetOptions configure a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	// Ratio is the number of extra runs per first attempt.
	Ratio float64
	// Floor is the number of extra runs per second without any traffic.
	Floor float64
	// Burst bounds the extra runs that can be saved up.
	Burst float64
	// Sheds is set if a try after an upstream's own refusal counts as an extra
	// run: the request has reached the upstream, and upstreams that shed much
	// would get a flood of tries.
	Sheds bool
	// Tries bounds the tries of one request that end in a refusal; 0 means MostTries.
	Tries int
}

// Budget limits the extra runs of one entry node: retries after an unknown
// outcome and hedges. In any interval it allows at most Burst, plus Ratio for
// each first attempt, plus Floor for each second. Retries after a refusal as
// not run are free, because they cost the upstreams nothing; see also Sheds.
type Budget struct {
	options BudgetOptions
	tokens  float64
	latest  time.Time
}

// NewBudget returns a budget that has Burst extra runs saved up.
func NewBudget(o BudgetOptions) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = DefaultRatio
	}
	if o.Floor <= 0 {
		o.Floor = DefaultFloor
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	return &Budget{options: o, tokens: o.Burst}
}

// SetRate changes Floor and Burst, such as after the number of nodes that
// share a common bound has changed.
func (b *Budget) SetRate(floor, burst float64) {
	b.options.Floor = floor
	b.options.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.refill(now)
	b.tokens = min(b.options.Burst, b.tokens+b.options.Ratio)
}

// Allow takes one extra run from the budget and reports whether there was one.
func (b *Budget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.latest.IsZero() {
		b.latest = now
	}
	if now.After(b.latest) {
		b.tokens = min(b.options.Burst, b.tokens+b.options.Floor*now.Sub(b.latest).Seconds())
		b.latest = now
	}
}
