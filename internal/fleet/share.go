package fleet

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	// collectorCount is the number of nodes that aggregate the counters of a
	// rollout. Each other node sends its own to one collector at a time, in
	// turn, so that two of them may be unreachable. When all nodes sent
	// everything they knew to random peers, 130 nodes used 5 s of processor
	// time per second.
	collectorCount = 3
	// recentRounds is the number of rounds whose changes collectors send each
	// other, and fullExchangeRounds the number of rounds after which they send
	// all counters.
	recentRounds       = 5
	fullExchangeRounds = 15
)

// exchangeCounters sends this node's counters to a collector of the rollout, or
// from a collector to all others.
func (rs *rollouts) exchangeCounters(ctx context.Context, s ident.Service, r *rollout) {
	rs.mu.Lock()
	r.rounds++
	r.clocks = append(r.clocks, r.analysis.ChangeCount())
	if len(r.clocks) > recentRounds {
		r.clocks = r.clocks[1:]
	}
	round := r.rounds
	rs.mu.Unlock()
	collectors := rs.rankedNodes(s)
	collectors = collectors[:min(collectorCount, len(collectors))]
	if !slices.Contains(collectors, rs.node.settings.Node) {
		if address, ok := rs.node.membership.address(collectors[round%len(collectors)]); ok {
			rs.exchangeWith(ctx, r, address, false)
		}
		return
	}
	for _, n := range collectors {
		if address, ok := rs.node.membership.address(n); ok && n != rs.node.settings.Node {
			rs.exchangeWith(ctx, r, address, true)
		}
	}
}

// notifyFault sends this node's state to all exits of the new version
// immediately.
func (rs *rollouts) notifyFault(ctx context.Context, r *rollout) {
	for _, address := range rs.node.membership.exitAddresses(r.order.Service, r.order.Target) {
		rs.exchangeWith(ctx, r, address, false)
	}
}

// exchangeWith sends this node's state of a rollout, with all known counters or
// only its own, to one node and merges the response.
func (rs *rollouts) exchangeWith(ctx context.Context, r *rollout, address string, all bool) {
	req := &wirepb.ShareRequest{Source: string(rs.node.settings.Node), Full: all}
	rs.mu.Lock()
	req.Rows = rs.evidenceRows(r, all)
	req.Moves = []*wirepb.MoveState{wireState(r)}
	rs.mu.Unlock()
	rs.background.Add(1)
	go func() {
		defer rs.background.Done()
		callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		resp, err := rs.node.pool.ControlClient(address).Share(callCtx, req)
		if err != nil {
			rs.node.counter("moves.exchange.failed").Inc(1)
			return
		}
		rs.mergeEvidence(resp.GetRows(), resp.GetMoves())
	}()
}

// evidenceRows returns counters of a rollout that have changed recently: those
// of all nodes, or this node's only. The caller must hold mu.
func (rs *rollouts) evidenceRows(r *rollout, all bool) []*wirepb.EvidenceRow {
	var out []*wirepb.EvidenceRow
	id := rolloutID(r)
	var afterClock uint64
	if r.rounds%fullExchangeRounds != 0 && len(r.clocks) > 0 {
		afterClock = r.clocks[0]
	}
	r.analysis.EachRow(afterClock, func(n ident.Node, s ident.Start) bool {
		return all || n == rs.node.settings.Node && s == rs.node.start
	}, func(n ident.Node, s ident.Start, counters []byte) {
		out = append(out, &wirepb.EvidenceRow{Move: id, Node: string(n), Start: uint64(s), Counters: counters})
	})
	return out
}

// wireState returns the state of a rollout apart from its counters. The caller
// must hold the lock of rollouts.
func wireState(r *rollout) *wirepb.MoveState {
	return &wirepb.MoveState{
		Move:    rolloutID(r),
		Service: string(r.order.Service),
		Fault:   r.analysis.Fault() != "",
		Reason:  r.analysis.Fault(),
		Outcome: string(r.statusState),
		Seconds: r.analysis.Age(time.Now()).Seconds(),
		Sent:    uint64(r.analysis.Total()),
	}
}

// rolloutID identifies a rollout among those of its service by the version of
// the order's row.
func rolloutID(r *rollout) string {
	return string(r.order.Service) + "/" + strconv.FormatUint(r.orderVersion, 10)
}

// handleShare merges a peer's evidence and returns this node's.
func (rs *rollouts) handleShare(req *wirepb.ShareRequest) *wirepb.ShareResponse {
	rs.mergeEvidence(req.GetRows(), req.GetMoves())
	resp := &wirepb.ShareResponse{}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, m := range req.GetMoves() {
		r := rs.byService[ident.Service(m.GetService())]
		if r == nil || rolloutID(r) != m.GetMove() {
			continue
		}
		if req.GetFull() {
			resp.Rows = append(resp.Rows, rs.evidenceRows(r, true)...)
		}
		resp.Moves = append(resp.Moves, wireState(r))
	}
	return resp
}

func (rs *rollouts) mergeEvidence(rows []*wirepb.EvidenceRow, states []*wirepb.MoveState) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	now := time.Now()
	for _, m := range states {
		r := rs.byService[ident.Service(m.GetService())]
		if r == nil || rolloutID(r) != m.GetMove() {
			continue
		}
		r.analysis.RaiseAge(time.Duration(m.GetSeconds()*float64(time.Second)), now)
		r.analysis.RaiseTotal(int(m.GetSent()))
		if m.GetFault() && r.analysis.Outcome() == move.Open {
			r.analysis.SetFault(m.GetReason())
		}
		if state := platform.RolloutState(m.GetOutcome()); state == platform.RolloutCompleted || state == platform.RolloutRolledBack {
			rs.setState(r.order.Service, r, state)
		}
		for _, w := range rows {
			if w.GetMove() != m.GetMove() {
				continue
			}
			if err := r.analysis.Merge(ident.Node(w.GetNode()), ident.Start(w.GetStart()), w.GetCounters()); err != nil {
				rs.node.log.Emit(event.RowRejected, event.NewField(event.Peer, w.GetNode()), event.NewField(event.Error, err))
			}
		}
		r.analysis.Evaluate()
	}
}
