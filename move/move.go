// Package move runs version moves without a leader. Every node has a Mover
// for each move of the manifest. A Mover counts the requests of both versions,
// merges the counters of other nodes, and derives the share of the new
// version from the manifest's stages and the merged evidence alone.
//
// Invariants: counters, the fault latch and the outcome only grow, so merging
// in any order, repeatedly or late gives the same state; equal evidence gives
// an equal share; a latched fault or a passed deadline sends new requests to
// the old version until the final row says otherwise; the row, once read,
// decides on every node. The row becomes "done" only by a commit issued
// before the deadline, and "reverted" only after a fault or the deadline.
package move

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// fineWindow is short against the 2 s that a late fault may last, and long
	// against the 200 ms of a noisy neighbour.
	fineWindow = 250 * time.Millisecond
	// fineKept is the number of fine windows kept, 16 s.
	fineKept = 64
	// fineAhead accepts windows of nodes whose clocks are ahead by the clock
	// bound of 500 ms, and as much again.
	fineAhead = 4
	// pruneEvery is the number of fine windows between two removals of those
	// that aren't kept any more. They are left out of all results before.
	pruneEvery = 8
	// wideCount is the number of wide windows of a move. The share only rises
	// between them, because within one window a rising share and a rising
	// common error rate would look like a fault of the new version.
	wideCount = 64
	// clockBound is the largest clock skew that the system tolerates.
	clockBound = 500 * time.Millisecond
)

// ErrPlan reports a plan that can't be run.
var ErrPlan = errors.New("invalid move plan")

// Stage is the largest share of the new version from a time after the begin.
type Stage struct {
	After time.Duration
	Share float64
}

// Plan is one move of the manifest.
type Plan struct {
	Move     ident.Move
	From, To ident.Version
	Begin    time.Time
	Deadline time.Time
	// Stages are ordered by After.
	Stages []Stage
	// Routes are compared one by one; requests of others count as one route.
	Routes []ident.Route
}

// Proposal is a final row to commit.
type Proposal struct {
	Outcome Outcome
	Write   store.Write
	// Before is the latest time of the local clock at which the commit may be
	// sent. Zero means any time.
	Before time.Time
}

// Options configures a Mover.
type Options struct {
	Plan  Plan
	Node  ident.Node
	Start ident.Start
	// Commit sends the proposal and later calls Committed.
	Commit func(Proposal)
	// Read gets the row of Key and later calls Row.
	Read func()
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
	// Spread is the range of the random delay before a commit, default 5 s.
	// It lets one node write and the others learn of it.
	Spread time.Duration
}

// Sample is one finished request.
type Sample struct {
	Route   ident.Route
	Version ident.Version
	Failed  bool
	Latency time.Duration
}

// owner identifies one node start.
type owner struct {
	node  ident.Node
	start ident.Start
}

// Mover is one node's view of one move. It isn't safe for concurrent use.
type Mover struct {
	opt    Options
	self   owner
	salt   uint64
	now    time.Time
	rows   map[owner]map[cell]*counts
	tables map[span]*table
	// stale lists the tables whose evidence must be computed again.
	stale [scales][]span
	// widened is the fine window of the last test on the wide scale.
	widened int
	// pruned is the fine window of the last prune.
	pruned int
	// loads are the sums over all routes in each wide window.
	loads [wideCount][cohorts]load
	cache shareCache
	fault Fault
	final final
}

// New returns a Mover, or ErrPlan.
func New(o Options) (*Mover, error) {
	if err := o.Plan.check(); err != nil {
		return nil, err
	}
	if o.Spread <= 0 {
		o.Spread = defaultSpread
	}
	m := &Mover{opt: o, self: owner{o.Node, o.Start}, salt: xxhash.Sum64String(string(o.Plan.Move))}
	m.rows = map[owner]map[cell]*counts{m.self: {}}
	m.tables = map[span]*table{}
	m.widened = -wideEvery
	return m, nil
}

func (p Plan) check() error {
	problem := ""
	switch {
	case p.Move == "":
		problem = "move has no name"
	case p.From == p.To:
		problem = "from and to are the same version"
	case !p.Deadline.After(p.Begin):
		problem = "deadline is not after begin"
	case len(p.Stages) == 0:
		problem = "move has no stages"
	case len(p.Routes) >= math.MaxUint8:
		problem = "move has more than 254 routes"
	case !slices.IsSortedFunc(p.Stages, func(a, b Stage) int { return int(a.After - b.After) }):
		problem = "stages are not in order"
	}
	if problem == "" {
		return nil
	}
	return oops.In("move").With("step", "check plan", "move", p.Move, "problem", problem).Wrap(ErrPlan)
}

// wideWindow is the length of a wide window.
func (p Plan) wideWindow() time.Duration {
	return p.Deadline.Sub(p.Begin)/wideCount + 1
}

// window returns the number of the window at a time not before the begin.
func (p Plan) window(s scale, now time.Time) int {
	if s == fine {
		return int(now.Sub(p.Begin) / fineWindow)
	}
	return int(now.Sub(p.Begin) / p.wideWindow())
}

func (p Plan) runs(now time.Time) bool {
	return !now.Before(p.Begin) && now.Before(p.Deadline)
}

// route returns the number of a route; the last number is for all others.
func (p Plan) route(r ident.Route) uint8 {
	for i, x := range p.Routes {
		if x == r {
			return uint8(i)
		}
	}
	return uint8(len(p.Routes))
}

// Observe counts one finished request. Requests of other versions and
// outside the move's time are ignored.
func (m *Mover) Observe(s Sample, now time.Time) {
	m.advance(now)
	p := &m.opt.Plan
	c := old
	switch {
	case !p.runs(now):
		return
	case s.Version == p.To:
		c = fresh
	case s.Version != p.From:
		return
	}
	var one counts
	one.add(s)
	for k := range scales {
		at := cell{span{k, p.route(s.Route), uint32(p.window(k, now))}, c}
		m.slot(m.self, at).add(s)
		m.raise(at, &one)
	}
}

// advance moves the latest known time; it never goes back.
func (m *Mover) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

func (m *Mover) slot(o owner, at cell) *counts {
	row := m.rows[o]
	if row == nil {
		row = map[cell]*counts{}
		m.rows[o] = row
	}
	c := row[at]
	if c == nil {
		c = &counts{}
		row[at] = c
	}
	return c
}

func (m *Mover) table(s span) *table {
	t := m.tables[s]
	if t == nil {
		t = &table{}
		m.tables[s] = t
	}
	return t
}

// kept reports whether a window is still, or already, of use.
func (m *Mover) kept(s span) bool {
	p := &m.opt.Plan
	if int(s.route) > len(p.Routes) {
		return false
	}
	if s.scale == wide {
		return s.window < wideCount
	}
	w := p.window(fine, m.now)
	return int(s.window) > w-fineKept && int(s.window) <= w+fineAhead
}

// prune drops fine windows that are too old to be kept.
func (m *Mover) prune() {
	for s := range m.tables {
		if !m.kept(s) {
			delete(m.tables, s)
		}
	}
	for _, row := range m.rows {
		for c := range row {
			if !m.kept(c.span) {
				delete(row, c)
			}
		}
	}
}

// shareCache is the planned share in one wide window.
type shareCache struct {
	valid  bool
	window int
	share  float64
}

// Share returns the share of new requests for the new version. It depends on
// the plan, the evidence at the last Merge or Tick, the latch, the outcome and
// now only.
func (m *Mover) Share(now time.Time) float64 {
	switch {
	case m.final.outcome == Done:
		return 1
	case m.final.outcome == Reverted, m.fault.Set, !m.opt.Plan.runs(now):
		return 0
	}
	if w := m.opt.Plan.window(wide, now); !m.cache.valid || m.cache.window != w {
		m.cache = shareCache{valid: true, window: w, share: m.planned(w)}
	}
	return m.cache.share
}

// Cohort returns the version for a request key. Equal keys get the same
// version while the share rises, and each move splits the keys differently.
func (m *Mover) Cohort(key uint64, now time.Time) ident.Version {
	if position(key^m.salt) < m.Share(now) {
		return m.opt.Plan.To
	}
	return m.opt.Plan.From
}

// position maps a key to a uniform number in [0, 1) with the finalizer of
// MurmurHash3, because callers' keys needn't be uniform.
func position(k uint64) float64 {
	k ^= k >> 33
	k *= 0xff51afd7ed558ccd
	k ^= k >> 33
	k *= 0xc4ceb9fe1a85ec53
	k ^= k >> 33
	return float64(k>>11) / (1 << 53)
}
