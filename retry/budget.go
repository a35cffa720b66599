package retry

import "time"

const (
	// DefaultRatio allows one extra run per ten first attempts.
	DefaultRatio = 0.1
	// DefaultMinRate allows retries at low traffic, in runs per second.
	DefaultMinRate = 1
	// DefaultBurst bounds the extra runs that accumulate at low traffic.
	DefaultBurst = 10
)

// BudgetOptions configures a Budget. Zero fields take the defaults.
type BudgetOptions struct {
	// Ratio is the number of extra runs per first attempt.
	Ratio float64
	// MinRate is the number of extra runs per second without any traffic.
	MinRate float64
	// Burst bounds the extra runs that can accumulate.
	Burst float64
	// ChargeSheds is set if a try after an upstream's own refusal counts as an
	// extra run. Such a request has reached the upstream, and upstreams that
	// shed many requests would otherwise be flooded with tries.
	ChargeSheds bool
	// Unlimited is set if extra runs have no limit beside those of each request.
	Unlimited bool
	// MaxTries bounds the refused tries of one request; 0 means
	// DefaultMaxTries.
	MaxTries int
}

// Budget limits the extra runs that one entry node sends to one service, that is,
// retries after an unknown outcome and hedged requests. In any interval it allows at most Burst,
// plus Ratio for each first attempt, plus MinRate for each second. A retry after
// a refusal is free, because the request hasn't run and cost the upstream
// nothing; see ChargeSheds for the exception.
type Budget struct {
	options    BudgetOptions
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a budget that starts with Burst extra runs.
func NewBudget(o BudgetOptions) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = DefaultRatio
	}
	if o.MinRate <= 0 {
		o.MinRate = DefaultMinRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	return &Budget{options: o, tokens: o.Burst}
}

// SetRate changes MinRate and Burst, for example when the number of nodes that
// share a common bound has changed.
func (b *Budget) SetRate(minRate, burst float64) {
	b.options.MinRate = minRate
	b.options.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst(now time.Time) {
	b.refill(now)
	b.tokens = min(b.options.Burst, b.tokens+b.options.Ratio)
}

// Allow takes one extra run from the budget and reports whether one was left.
func (b *Budget) Allow(now time.Time) bool {
	if b.options.Unlimited {
		return true
	}
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if now.After(b.refilledAt) {
		b.tokens = min(b.options.Burst, b.tokens+b.options.MinRate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}
