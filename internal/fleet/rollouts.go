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
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// rolloutInterval is the time between two evaluations of a rollout and
	// exchanges of its evidence. Every node has to know of a fault within a
	// second.
	rolloutInterval = 200 * time.Millisecond
	// shareTimeout bounds one exchange of evidence.
	shareTimeout = 500 * time.Millisecond
	// statusWriteStagger is the time that a node waits for each node ranked
	// before it to write the outcome.
	statusWriteStagger = 400 * time.Millisecond
	// statusRetryInterval is the mean pause after a failed write or read of the
	// status row.
	statusRetryInterval = 300 * time.Millisecond
)

// rollout is one version rollout that the operator has ordered.
type rollout struct {
	order platform.Rollout
	// orderVersion is the version of the order's row. A status row belongs to
	// this rollout only if its version is higher.
	orderVersion uint64
	analysis     *move.ShortMove
	// wantedOutcome is the outcome to write, and wantedSince the time of its
	// latest change.
	wantedOutcome move.Outcome
	wantedSince   time.Time
	// statusState is the state in the status row.
	statusState   platform.RolloutState
	writing       bool
	nextWrite     time.Time
	shifted       bool
	faultReported bool
	// rounds counts the exchanges of evidence, and clocks holds the analysis
	// clocks at the latest ones.
	rounds int
	clocks []uint64
}

// rollouts runs the version rollouts that the operator has ordered.
type rollouts struct {
	node        *Node
	statusTable store.Table
	background  sync.WaitGroup

	mu        sync.Mutex
	byService map[ident.Service]*rollout
}

func newRollouts(node *Node) *rollouts {
	return &rollouts{node: node, statusTable: node.store.Table(platform.StatusTable), byService: map[ident.Service]*rollout{}}
}

// applyOrder handles a rollout row. A newer row replaces the service's previous
// rollout.
func (rs *rollouts) applyOrder(s ident.Service, change store.Change) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if change.Deleted {
		return
	}
	exposure := rs.node.settings.Exposure
	if exposure == nil {
		rs.node.rejectOrder(change, spec.Rollouts)
		return
	}
	order, err := platform.DecodeRollout(change.Value)
	if err != nil || order.Service != s {
		rs.node.log.Emit(event.ManifestRejected, event.NewField(event.Service, s), event.NewField(event.Revision, change.Version), event.NewField(event.Error, err))
		return
	}
	if previous := rs.byService[s]; previous != nil && previous.orderVersion >= change.Version {
		return
	}
	rs.byService[s] = &rollout{
		order:        order,
		orderVersion: change.Version,
		analysis: move.NewShortMove(move.ShortMoveOptions{
			Node:          rs.node.settings.Node,
			Start:         rs.node.start,
			Length:        order.Duration,
			Share:         exposure.Share,
			ExtraRequests: exposure.Slack,
		}, time.Now()),
		nextWrite: time.Now().Add(jitter(statusRetryInterval)),
	}
	rs.node.log.Emit(event.MoveStarted, event.NewField(event.Service, s), event.NewField(event.Version, order.Target), event.NewField(event.Revision, change.Version))
}

// chooseVersion returns the version for a request of a service; empty means
// any. The hash assigns a request to the new version by its current share.
func (rs *rollouts) chooseVersion(s ident.Service, hash uint64, now time.Time) ident.Version {
	rs.mu.Lock()
	r := rs.byService[s]
	var share float64
	var newVersion ident.Version
	if r != nil {
		share, newVersion = r.analysis.Share(now), r.order.Target
	}
	rs.mu.Unlock()
	if r == nil {
		return ""
	}
	counts := rs.node.membership.versionsOf(s)
	oldVersion := ident.Version("")
	for version := range counts {
		if version != newVersion && (oldVersion == "" || counts[version] > counts[oldVersion]) {
			oldVersion = version
		}
	}
	switch {
	case oldVersion == "" && counts[newVersion] == 0:
		return ""
	case counts[newVersion] == 0 || oldVersion != "" && float64(hash>>11)/(1<<53) >= share:
		return oldVersion
	default:
		return newVersion
	}
}

// admits reports whether this node's exit may run a new request on its version.
func (rs *rollouts) admits(s ident.Service, version ident.Version, now time.Time) bool {
	rs.mu.Lock()
	r := rs.byService[s]
	rs.mu.Unlock()
	if r == nil || version != r.order.Target {
		return true
	}
	exitCount := rs.node.membership.versionsOf(s)[version]
	rs.mu.Lock()
	defer rs.mu.Unlock()
	admitted := r.analysis.CanAdmit(exitCount, now)
	if admitted {
		r.analysis.RecordSent("", true)
	}
	return admitted
}

// recordEnd counts a request that has ended at this node's exit.
func (rs *rollouts) recordEnd(ended exit.RequestResult) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.byService[ended.Service]
	if r == nil || ended.Outcome == wirepb.Outcome_OUTCOME_REFUSED || ended.Reason == wirepb.Reason_REASON_ABORTED {
		return
	}
	isNew := ended.Version == r.order.Target
	if !isNew {
		r.analysis.RecordSent("", false)
	}
	failed := !ended.DeadlineExceeded && (ended.Failed || ended.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN)
	r.analysis.RecordEnd(ended.Route, isNew, failed, ended.NormalizedTime, time.Now())
}

// Run evaluates the rollouts until ctx ends.
func (rs *rollouts) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	defer rs.background.Wait()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			for s, r := range rs.pending() {
				if rs.step(ctx, s, r) {
					rs.notifyFault(ctx, r)
				}
				rs.exchangeCounters(ctx, s, r)
			}
		}
	}
}

// pending lists the rollouts whose status row doesn't hold a final state yet.
func (rs *rollouts) pending() map[ident.Service]*rollout {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out := map[ident.Service]*rollout{}
	for s, r := range rs.byService {
		if r.statusState != platform.RolloutCompleted && r.statusState != platform.RolloutRolledBack {
			out[s] = r
		}
	}
	return out
}

// step logs changes of a rollout and writes the status row when it is this
// node's turn. It reports whether a fault has become known.
func (rs *rollouts) step(ctx context.Context, s ident.Service, r *rollout) (fault bool) {
	rank := rs.writeRank(s)
	now := time.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r.analysis.Fault() != "" && !r.faultReported {
		r.faultReported, fault = true, true
		rs.node.log.Emit(event.MoveFault, event.NewField(event.Service, s), event.NewField(event.Version, r.order.Target),
			event.NewField(event.Reason, r.analysis.Fault()), event.NewField(event.Elapsed, r.analysis.Age(now)))
	}
	if !r.shifted && !r.analysis.InTrial(now) && r.analysis.Share(now) == 1 {
		r.shifted = true
		rs.node.log.Emit(event.MoveStage, event.NewField(event.Service, s), event.NewField(event.Version, r.order.Target), event.NewField(event.Share, 1))
	}
	want := r.analysis.OutcomeToWrite(now)
	if r.analysis.Outcome() != move.Open {
		want = r.analysis.Outcome()
	}
	if want != r.wantedOutcome {
		r.wantedOutcome, r.wantedSince = want, now
	}
	if r.wantedSince.IsZero() {
		r.wantedSince = now
	}
	if r.writing || now.Before(r.nextWrite) || now.Sub(r.wantedSince) < time.Duration(rank)*statusWriteStagger || (want == move.Open && r.statusState != "") {
		return fault
	}
	r.writing = true
	rs.background.Add(1)
	go func() {
		defer rs.background.Done()
		rs.writeStatus(ctx, s, r, want)
	}()
	return fault
}

// writeRank returns the number of nodes ranked before this one for writing the
// status of a service. Any node may write; the ranking only keeps nodes from
// writing at the same time.
func (rs *rollouts) writeRank(s ident.Service) int {
	return max(0, slices.Index(rs.rankedNodes(s), rs.node.settings.Node))
}

// rankedNodes lists the members in an order that depends on the service and is
// the same on all nodes that know the same members.
func (rs *rollouts) rankedNodes(s ident.Service) []ident.Node {
	nodes := rs.node.membership.expectedNodes()
	weights := make(map[ident.Node]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = xxhash.Sum64String(string(n) + "/" + string(s))
	}
	slices.SortFunc(nodes, func(a, b ident.Node) int { return cmp.Compare(weights[a], weights[b]) })
	return nodes
}

var rolloutStates = map[move.Outcome]platform.RolloutState{
	move.Open:     platform.RolloutRunning,
	move.Done:     platform.RolloutCompleted,
	move.Reverted: platform.RolloutRolledBack,
}

// writeStatus updates the status row to the outcome, unless the row is final.
// It reads the row first, which also resolves an earlier write whose response
// was lost.
func (rs *rollouts) writeStatus(ctx context.Context, s ident.Service, r *rollout, outcome move.Outcome) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := platform.StatusKey(s)
	row, res := rs.statusTable.Get(callCtx, key)
	if res.OK() && rs.adoptStatus(r, row, outcome) {
		return
	}
	if res.OK() {
		value, err := platform.EncodeStatus(r.order, rolloutStates[outcome])
		if err != nil {
			rs.scheduleRetry(r, err)
			return
		}
		res = rs.statusTable.Commit(callCtx, []store.Write{{Key: key, Value: value, ExpectedVersion: row.Version}})
	}
	if !res.OK() {
		rs.scheduleRetry(r, res.Err)
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.writing = false
	rs.setState(s, r, rolloutStates[outcome])
}

// adoptStatus takes over the state of a row that already has the outcome or a
// final state, and reports whether it did.
func (rs *rollouts) adoptStatus(r *rollout, row store.Row, outcome move.Outcome) bool {
	if row.Version <= r.orderVersion {
		return false
	}
	state, target, err := platform.DecodeStatus(row.Value)
	if err != nil || target != r.order.Target {
		return false
	}
	final := state == platform.RolloutCompleted || state == platform.RolloutRolledBack
	if !final && state != rolloutStates[outcome] {
		return false
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.writing = false
	rs.setState(r.order.Service, r, state)
	return true
}

// setState records the state of the status row. The caller must hold mu.
func (rs *rollouts) setState(s ident.Service, r *rollout, state platform.RolloutState) {
	if r.statusState == state {
		return
	}
	r.statusState = state
	fields := []event.Field{event.NewField(event.Service, s), event.NewField(event.Version, r.order.Target), event.NewField(event.Elapsed, r.analysis.Age(time.Now()))}
	switch state {
	case platform.RolloutCompleted:
		r.analysis.SetOutcome(move.Done)
		rs.node.log.Emit(event.MoveDone, fields...)
	case platform.RolloutRolledBack:
		r.analysis.SetOutcome(move.Reverted)
		rs.node.log.Emit(event.MoveReverted, fields...)
	case platform.RolloutRunning:
	}
}

func (rs *rollouts) scheduleRetry(r *rollout, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.writing = false
	r.nextWrite = time.Now().Add(jitter(statusRetryInterval))
	rs.node.log.Emit(event.StoreDown, event.NewField(event.Store, platform.StatusTable), event.NewField(event.Error, err))
}
