package retry

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Budgets holds a Budget for each service, because extra runs load the service
// that they are sent to: with a common budget, the first attempts for all
// services would pay for the extra runs of a single one in trouble.
//
// Budgets answers the load of a service whose upstreams refuse or fail many
// requests while others are well.
type Budgets struct {
	options   BudgetOptions
	byService map[ident.Service]*Budget
}

// NewBudgets returns budgets without a service.
func NewBudgets(o BudgetOptions) *Budgets {
	return &Budgets{options: o, byService: map[ident.Service]*Budget{}}
}

// Of returns the budget of a service, which is new with the first call.
func (bs *Budgets) Of(s ident.Service) *Budget {
	b, ok := bs.byService[s]
	if !ok {
		b = NewBudget(bs.options)
		bs.byService[s] = b
	}
	return b
}

// SetRate changes MinRate and Burst of all budgets; see Budget.SetRate.
func (bs *Budgets) SetRate(minRate, burst float64) {
	bs.options.MinRate, bs.options.Burst = minRate, burst
	for _, b := range bs.byService {
		b.SetRate(minRate, burst)
	}
}

// FleetBound is the bound on the extra runs at one service over all entry nodes:
// in any window at most Ratio for each request for it, plus Slack.
type FleetBound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ownShare is the fraction of the ratio that pays for a service's own extra
	// runs. The rest is for calls that extra runs of other services make to it,
	// which no budget counts.
	ownShare = 0.5
	// sustainedShare is the fraction of the slack that refills the budgets
	// continuously, burstShare the fraction that may accumulate. As with the
	// ratio, the rest is for calls made by extra runs.
	sustainedShare = 0.25
	burstShare     = 0.15
	// minFleet is the smallest number of entry nodes that the slack is divided
	// by. A node that knows fewer may have just started.
	minFleet = 10
)

// NodeRatio returns the ratio of one node's budgets.
func (f FleetBound) NodeRatio() float64 { return ownShare * f.Ratio }

// NodeRate returns the minimum rate and the burst of the budgets of one of the
// given number of entry nodes. Each of them may start at least one extra run, so
// the bound holds only if Slack is well above the number of nodes.
func (f FleetBound) NodeRate(nodes int) (minRate, burst float64) {
	slack := f.Slack / float64(max(minFleet, nodes))
	return sustainedShare * slack / f.Window.Seconds(), 1 + burstShare*slack
}
