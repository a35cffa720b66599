// Package move runs the rollout of a new service version, the move, without a
// leader. Every node has a Mover for each move of the manifest. A Mover counts
// the requests of both versions, merges the counters of other nodes, and derives
// the new version's share of requests from the manifest's stages and the merged
// evidence alone.
//
// Invariants: counters, the fault latch and the outcome only grow, so merging in
// any order, repeatedly or late gives the same state; equal evidence gives an
// equal share; a latched fault or a passed deadline sends new requests to the
// old version until the final row says otherwise; the final row, once read,
// decides on every node. The row becomes "done" only by a commit issued before
// the deadline, and "reverted" only after a fault or the deadline.
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
	// fineWindow is the length of a fine window. It is short compared with a late
	// fault, which may last 2 s, and long compared with a stall of 200 ms caused
	// by a noisy neighbour.
	fineWindow = 250 * time.Millisecond
	// fineWindowsKept is the number of fine windows kept, 16 s.
	fineWindowsKept = 64
	// fineWindowsAhead accepts windows of nodes whose clocks are ahead by the
	// tolerated 500 ms, and as much again.
	fineWindowsAhead = 4
	// windowsPerPrune is the number of fine windows between two removals of
	// expired windows. Expired windows are excluded from all results even before
	// their removal.
	windowsPerPrune = 8
	// wideWindows is the number of wide windows of a move. The share rises only
	// from one wide window to the next, because a rising share and a rising
	// common error rate within one window would look like a fault of the new
	// version.
	wideWindows = 64
	// maxClockSkew is the largest clock skew that the system tolerates.
	maxClockSkew = 500 * time.Millisecond
)

// ErrInvalidPlan reports an invalid move plan.
var ErrInvalidPlan = errors.New("invalid move plan")

// Stage is the largest share of the new version from the time After, counted
// from the beginning of the move.
type Stage struct {
	After time.Duration
	Share float64
}

// Plan describes one move of the manifest.
type Plan struct {
	Move     ident.Move
	From, To ident.Version
	Begin    time.Time
	Deadline time.Time
	// Stages are ordered by After.
	Stages []Stage
	// Routes are compared separately; requests of all others count as one more
	// route.
	Routes []ident.Route
}

// Proposal is a final row that the Mover asks its caller to commit.
type Proposal struct {
	Outcome Outcome
	Write   store.Write
	// SendBefore is the latest time by the local clock at which the commit may
	// be sent. Zero means no limit.
	SendBefore time.Time
}

// Options configures a Mover.
type Options struct {
	Plan  Plan
	Node  ident.Node
	Start ident.Start
	// Commit sends the proposal to the store and later calls Committed.
	Commit func(Proposal)
	// Read reads the row of Key from the store and later calls Row.
	Read func()
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
	// CommitSpread is the range of the random delay before a commit, default 5
	// s. The delay lets one node write the row and the others read it.
	CommitSpread time.Duration
}

// Sample is one finished request.
type Sample struct {
	Route   ident.Route
	Version ident.Version
	Failed  bool
	Latency time.Duration
}

// nodeStart identifies one start of a node.
type nodeStart struct {
	node  ident.Node
	start ident.Start
}

// Mover is one node's state of one move. It isn't safe for concurrent use.
type Mover struct {
	options Options
	self    nodeStart
	salt    uint64
	now     time.Time
	rows    map[nodeStart]map[counterKey]*counts
	windows map[windowKey]*windowCounts
	// staleWindows lists the windows whose evidence must be recomputed.
	staleWindows [scaleCount][]windowKey
	// lastWideTest is the fine window of the last test on the wide scale.
	lastWideTest int
	// lastPrune is the fine window of the last call of prune.
	lastPrune int
	// wideTotals are the sums over all routes in each wide window.
	wideTotals [wideWindows][cohortCount]cohortTotals
	cache      shareCache
	fault      Fault
	decision   decision
}

// New returns a Mover, or ErrInvalidPlan if the plan is invalid.
func New(o Options) (*Mover, error) {
	if err := o.Plan.check(); err != nil {
		return nil, err
	}
	if o.CommitSpread <= 0 {
		o.CommitSpread = defaultCommitSpread
	}
	m := &Mover{options: o, self: nodeStart{o.Node, o.Start}, salt: xxhash.Sum64String(string(o.Plan.Move))}
	m.rows = map[nodeStart]map[counterKey]*counts{m.self: {}}
	m.windows = map[windowKey]*windowCounts{}
	m.lastWideTest = -windowsPerWideTest
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
	return oops.In("move").With("step", "check plan", "move", p.Move, "problem", problem).Wrap(ErrInvalidPlan)
}

// wideWindow is the length of a wide window.
func (p Plan) wideWindow() time.Duration {
	return p.Deadline.Sub(p.Begin)/wideWindows + 1
}

// windowIndex returns the index of the window that contains now, which must not
// be before the beginning.
func (p Plan) windowIndex(s scale, now time.Time) int {
	if s == fine {
		return int(now.Sub(p.Begin) / fineWindow)
	}
	return int(now.Sub(p.Begin) / p.wideWindow())
}

func (p Plan) isRunning(now time.Time) bool {
	return !now.Before(p.Begin) && now.Before(p.Deadline)
}

// routeIndex returns the index of a route; the last index stands for all routes
// that the plan doesn't list.
func (p Plan) routeIndex(r ident.Route) uint8 {
	for i, x := range p.Routes {
		if x == r {
			return uint8(i)
		}
	}
	return uint8(len(p.Routes))
}

// Observe counts one finished request. Requests of other versions and requests
// that end outside the move's time are ignored.
func (m *Mover) Observe(s Sample, now time.Time) {
	m.advanceClock(now)
	p := &m.options.Plan
	c := baseline
	switch {
	case !p.isRunning(now):
		return
	case s.Version == p.To:
		c = canary
	case s.Version != p.From:
		return
	}
	var single counts
	single.record(s)
	for k := range scaleCount {
		key := counterKey{windowKey{k, p.routeIndex(s.Route), uint32(p.windowIndex(k, now))}, c}
		m.countsAt(m.self, key).record(s)
		m.addIncrease(key, &single)
	}
}

// advanceClock raises the latest known time, which never decreases.
func (m *Mover) advanceClock(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

func (m *Mover) countsAt(o nodeStart, key counterKey) *counts {
	row := m.rows[o]
	if row == nil {
		row = map[counterKey]*counts{}
		m.rows[o] = row
	}
	c := row[key]
	if c == nil {
		c = &counts{}
		row[key] = c
	}
	return c
}

func (m *Mover) windowAt(s windowKey) *windowCounts {
	t := m.windows[s]
	if t == nil {
		t = &windowCounts{}
		m.windows[s] = t
	}
	return t
}

// isKept reports whether the window is in range: neither expired nor too far
// ahead.
func (m *Mover) isKept(s windowKey) bool {
	p := &m.options.Plan
	if int(s.route) > len(p.Routes) {
		return false
	}
	if s.scale == wide {
		return s.window < wideWindows
	}
	w := p.windowIndex(fine, m.now)
	return int(s.window) > w-fineWindowsKept && int(s.window) <= w+fineWindowsAhead
}

// prune deletes expired windows.
func (m *Mover) prune() {
	for s := range m.windows {
		if !m.isKept(s) {
			delete(m.windows, s)
		}
	}
	for _, row := range m.rows {
		for c := range row {
			if !m.isKept(c.windowKey) {
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

// Share returns the new version's share of new requests. It depends only on the
// plan, the evidence at the last Merge or Tick, the latch, the outcome and now.
func (m *Mover) Share(now time.Time) float64 {
	switch {
	case m.decision.outcome == Done:
		return 1
	case m.decision.outcome == Reverted, m.fault.Set, !m.options.Plan.isRunning(now):
		return 0
	}
	if w := m.options.Plan.windowIndex(wide, now); !m.cache.valid || m.cache.window != w {
		m.cache = shareCache{valid: true, window: w, share: m.plannedShare(w)}
	}
	return m.cache.share
}

// VersionFor returns the version that serves a request key. A key that has the
// new version keeps it while the share rises, and each move splits the keys
// differently.
func (m *Mover) VersionFor(key uint64, now time.Time) ident.Version {
	if position(key^m.salt) < m.Share(now) {
		return m.options.Plan.To
	}
	return m.options.Plan.From
}

// position maps a key to a number in [0, 1). It applies the finalizer of
// MurmurHash3, because the keys of callers may not be uniformly distributed.
func position(k uint64) float64 {
	k ^= k >> 33
	k *= 0xff51afd7ed558ccd
	k ^= k >> 33
	k *= 0xc4ceb9fe1a85ec53
	k ^= k >> 33
	return float64(k>>11) / (1 << 53)
}
