package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// moveTick is how often moves are looked at and evidence is exchanged while
	// one runs: a fault has to be known everywhere within a second.
	moveTick = 200 * time.Millisecond
	// shareLimit bounds one exchange of evidence.
	shareLimit = 500 * time.Millisecond
	// writeTurn is the time that each node waits for those before it to write
	// the outcome.
	writeTurn = 400 * time.Millisecond
	// writePause is the pause after a write or read of the status that failed.
	writePause = 300 * time.Millisecond
)

// run is one ordered move.
type run struct {
	order platform.Move
	// version is that of the order's row. A status row counts only if it is newer.
	version uint64
	brief   *move.Brief
	// wanted is the outcome to write, and since when.
	wanted move.Outcome
	since  time.Time
	// told is the state that the status row has.
	told  platform.MoveState
	busy  bool
	again time.Time
	moved bool
	fault bool
	// rounds counts the exchanges, and clocks are those of the latest ones.
	rounds int
	clocks []uint64
}

// moves drives the version moves that the operator has ordered.
type moves struct {
	n      *Node
	status store.Table
	wait   sync.WaitGroup

	mu   sync.Mutex
	runs map[ident.Service]*run
}

func newMoves(n *Node) *moves {
	return &moves{n: n, status: n.store.Table(platform.StatusTable), runs: map[ident.Service]*run{}}
}

// ordered takes the row of a move. A newer row replaces the move before it.
func (v *moves) ordered(s ident.Service, c store.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Gone {
		return
	}
	m, err := platform.DecodeMove(c.Value)
	if err != nil || m.Service != s {
		v.n.log.Emit(event.ManifestRejected, event.F(event.Service, s), event.F(event.Revision, c.Version), event.F(event.Error, err))
		return
	}
	if old := v.runs[s]; old != nil && old.version >= c.Version {
		return
	}
	x := v.n.settings.Exposure
	v.runs[s] = &run{
		order:   m,
		version: c.Version,
		brief: move.NewBrief(move.BriefOptions{
			Node:   v.n.settings.Node,
			Start:  v.n.start,
			Length: m.Length,
			Share:  x.Share,
			Slack:  x.Slack,
		}, time.Now()),
		again: time.Now().Add(jitter(writePause)),
	}
	v.n.log.Emit(event.MoveStarted, event.F(event.Service, s), event.F(event.Version, m.To), event.F(event.Revision, c.Version))
}

// cohort returns the version for a request of a service; empty means any.
func (v *moves) cohort(s ident.Service, key uint64, now time.Time) ident.Version {
	v.mu.Lock()
	r := v.runs[s]
	var share float64
	var to ident.Version
	if r != nil {
		share, to = r.brief.Share(now), r.order.To
	}
	v.mu.Unlock()
	if r == nil {
		return ""
	}
	versions := v.n.roster.versions(s)
	old := ident.Version("")
	for version := range versions {
		if version != to && (old == "" || versions[version] > versions[old]) {
			old = version
		}
	}
	switch {
	case old == "" && versions[to] == 0:
		return ""
	case versions[to] == 0 || old != "" && float64(key>>11)/(1<<53) >= share:
		return old
	default:
		return to
	}
}

// serves reports whether this node's exit may run new requests on its version.
func (v *moves) serves(s ident.Service, version ident.Version, now time.Time) bool {
	v.mu.Lock()
	r := v.runs[s]
	v.mu.Unlock()
	if r == nil || version != r.order.To {
		return true
	}
	exits := v.n.roster.versions(s)[version]
	v.mu.Lock()
	defer v.mu.Unlock()
	ok := r.brief.Admits(exits, now)
	if ok {
		r.brief.Sent("", true)
	}
	return ok
}

// ended counts a request that has ended at this node's exit.
func (v *moves) ended(x exit.Run) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.runs[x.Service]
	if r == nil || x.Outcome == wirepb.Outcome_OUTCOME_REFUSED || x.Reason == wirepb.Reason_REASON_ABORTED {
		return
	}
	fresh := x.Version == r.order.To
	if !fresh {
		r.brief.Sent("", false)
	}
	failed := !x.Late && (x.Failed || x.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN)
	r.brief.Ended(x.Route, fresh, failed, x.Work, time.Now())
}

// Run drives the moves until ctx ends.
func (v *moves) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(moveTick)
	defer t.Stop()
	defer v.wait.Wait()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			for s, r := range v.open() {
				if v.tick(ctx, s, r) {
					v.alarm(ctx, r)
				}
				v.exchange(ctx, s, r)
			}
		}
	}
}

// open lists the moves whose outcome isn't in the status row yet.
func (v *moves) open() map[ident.Service]*run {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[ident.Service]*run{}
	for s, r := range v.runs {
		if r.told != platform.MoveDone && r.told != platform.MoveReverted {
			out[s] = r
		}
	}
	return out
}

// tick logs what has changed and writes the status when it is this node's turn.
// It reports whether a fault has become known.
func (v *moves) tick(ctx context.Context, s ident.Service, r *run) (fault bool) {
	turn := v.turn(s)
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.brief.Fault() != "" && !r.fault {
		r.fault, fault = true, true
		v.n.log.Emit(event.MoveFault, event.F(event.Service, s), event.F(event.Version, r.order.To),
			event.F(event.Reason, r.brief.Fault()), event.F(event.Elapsed, r.brief.Age(now)))
	}
	if !r.moved && !r.brief.Trial(now) && r.brief.Share(now) == 1 {
		r.moved = true
		v.n.log.Emit(event.MoveStage, event.F(event.Service, s), event.F(event.Version, r.order.To), event.F(event.Share, 1))
	}
	want := r.brief.Verdict(now)
	if r.brief.Outcome() != move.Open {
		want = r.brief.Outcome()
	}
	if want != r.wanted {
		r.wanted, r.since = want, now
	}
	if r.since.IsZero() {
		r.since = now
	}
	if r.busy || now.Before(r.again) || now.Sub(r.since) < time.Duration(turn)*writeTurn || (want == move.Open && r.told != "") {
		return fault
	}
	r.busy = true
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		v.write(ctx, s, r, want)
	}()
	return fault
}

// turn returns how many nodes come before this one in writing the status of a
// service. Any node may write; the order only keeps them from doing it at once.
func (v *moves) turn(s ident.Service) int {
	return max(0, slices.Index(v.order(s), v.n.settings.Node))
}

// order lists the members in an order that differs for each service and is the
// same at all nodes that know the same members.
func (v *moves) order(s ident.Service) []ident.Node {
	nodes := v.n.roster.alive()
	weights := make(map[ident.Node]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = xxhash.Sum64String(string(n) + "/" + string(s))
	}
	slices.SortFunc(nodes, func(a, b ident.Node) int { return cmp.Compare(weights[a], weights[b]) })
	return nodes
}

var states = map[move.Outcome]platform.MoveState{
	move.Open:     platform.MoveRuns,
	move.Done:     platform.MoveDone,
	move.Reverted: platform.MoveReverted,
}

// write brings the status row to the wanted outcome, unless it is final. The
// row is read first, which also settles a write whose answer was lost.
func (v *moves) write(ctx context.Context, s ident.Service, r *run, want move.Outcome) {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	key := platform.StatusKey(s)
	row, res := v.status.Get(limited, key)
	if res.OK() && v.settled(r, row, want) {
		return
	}
	if res.OK() {
		value, err := platform.EncodeStatus(r.order, states[want])
		if err != nil {
			v.later(r, err)
			return
		}
		res = v.status.Commit(limited, []store.Write{{Key: key, Value: value, Expect: row.Version}})
	}
	if !res.OK() {
		v.later(r, res.Err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r.busy = false
	v.learn(s, r, states[want])
}

// settled takes the state of a row that already tells what is wanted, or more.
func (v *moves) settled(r *run, row store.Row, want move.Outcome) bool {
	if row.Version <= r.version {
		return false
	}
	state, to, err := platform.DecodeStatus(row.Value)
	if err != nil || to != r.order.To {
		return false
	}
	final := state == platform.MoveDone || state == platform.MoveReverted
	if !final && state != states[want] {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r.busy = false
	v.learn(r.order.Service, r, state)
	return true
}

// learn takes the state of the status row; it is called with the lock held.
func (v *moves) learn(s ident.Service, r *run, state platform.MoveState) {
	if r.told == state {
		return
	}
	r.told = state
	fields := []event.Field{event.F(event.Service, s), event.F(event.Version, r.order.To), event.F(event.Elapsed, r.brief.Age(time.Now()))}
	switch state {
	case platform.MoveDone:
		r.brief.Learn(move.Done)
		v.n.log.Emit(event.MoveDone, fields...)
	case platform.MoveReverted:
		r.brief.Learn(move.Reverted)
		v.n.log.Emit(event.MoveReverted, fields...)
	case platform.MoveRuns:
	}
}

func (v *moves) later(r *run, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.busy = false
	r.again = time.Now().Add(jitter(writePause))
	v.n.log.Emit(event.StoreDown, event.F(event.Store, platform.StatusTable), event.F(event.Error, err))
}
