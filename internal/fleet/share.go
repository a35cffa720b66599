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
	// collectors is the number of nodes that add up the counters of a move. Each
	// node tells one of them in turn, so that two may be out of reach; all nodes
	// telling random others what they know cost 5 s of processor time a second
	// at 130 nodes.
	collectors = 3
	// freshRounds is the number of rounds whose changes collectors tell each
	// other, and fullRounds that after which they tell everything.
	freshRounds = 5
	fullRounds  = 15
)

// exchange tells the collectors of a move what this node has counted.
func (v *moves) exchange(ctx context.Context, s ident.Service, r *run) {
	v.mu.Lock()
	r.rounds++
	r.clocks = append(r.clocks, r.brief.Clock())
	if len(r.clocks) > freshRounds {
		r.clocks = r.clocks[1:]
	}
	round := r.rounds
	v.mu.Unlock()
	first := v.order(s)
	first = first[:min(collectors, len(first))]
	if !slices.Contains(first, v.n.settings.Node) {
		if address, ok := v.n.roster.address(first[round%len(first)]); ok {
			v.trade(ctx, r, address, false)
		}
		return
	}
	for _, n := range first {
		if address, ok := v.n.roster.address(n); ok && n != v.n.settings.Node {
			v.trade(ctx, r, address, true)
		}
	}
}

// alarm tells all exits of the new version at once of a fault.
func (v *moves) alarm(ctx context.Context, r *run) {
	for _, address := range v.n.roster.exits(r.order.Service, r.order.To) {
		v.trade(ctx, r, address, false)
	}
}

// trade tells one node what this node knows of a move: all counters, or its own.
func (v *moves) trade(ctx context.Context, r *run, address string, all bool) {
	q := &wirepb.ShareRequest{Source: string(v.n.settings.Node), Full: all}
	v.mu.Lock()
	q.Rows = v.rows(r, all)
	q.Moves = []*wirepb.MoveState{stateOfMove(r)}
	v.mu.Unlock()
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		limited, cancel := context.WithTimeout(ctx, shareLimit)
		defer cancel()
		a, err := v.n.pool.Client(address).Share(limited, q)
		if err != nil {
			v.n.counter("moves.exchange.failed").Inc(1)
			return
		}
		v.merge(a.GetRows(), a.GetMoves())
	}()
}

// rows returns counters of a move: those of all nodes that have changed
// lately, or this node's own. It is called with the lock held.
func (v *moves) rows(r *run, all bool) []*wirepb.EvidenceRow {
	var out []*wirepb.EvidenceRow
	name := moveName(r)
	var after uint64
	if r.rounds%fullRounds != 0 && len(r.clocks) > 0 {
		after = r.clocks[0]
	}
	r.brief.Rows(after, func(n ident.Node, s ident.Start) bool {
		return all || n == v.n.settings.Node && s == v.n.start
	}, func(n ident.Node, s ident.Start, counters []byte) {
		out = append(out, &wirepb.EvidenceRow{Move: name, Node: string(n), Start: uint64(s), Counters: counters})
	})
	return out
}

// stateOfMove returns what a node knows of a move beside counters; it is called
// with the lock held.
func stateOfMove(r *run) *wirepb.MoveState {
	return &wirepb.MoveState{
		Move:    moveName(r),
		Service: string(r.order.Service),
		Fault:   r.brief.Fault() != "",
		Reason:  r.brief.Fault(),
		Outcome: string(r.told),
		Seconds: r.brief.Age(time.Now()).Seconds(),
		Sent:    uint64(r.brief.Total()),
	}
}

// moveName tells moves of one service apart by the version of the order's row.
func moveName(r *run) string {
	return string(r.order.Service) + "/" + strconv.FormatUint(r.version, 10)
}

// answer merges the evidence of a peer and returns the own.
func (v *moves) answer(q *wirepb.ShareRequest) *wirepb.ShareResponse {
	v.merge(q.GetRows(), q.GetMoves())
	a := &wirepb.ShareResponse{}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range q.GetMoves() {
		r := v.runs[ident.Service(m.GetService())]
		if r == nil || moveName(r) != m.GetMove() {
			continue
		}
		if q.GetFull() {
			a.Rows = append(a.Rows, v.rows(r, true)...)
		}
		a.Moves = append(a.Moves, stateOfMove(r))
	}
	return a
}

func (v *moves) merge(rows []*wirepb.EvidenceRow, found []*wirepb.MoveState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, m := range found {
		r := v.runs[ident.Service(m.GetService())]
		if r == nil || moveName(r) != m.GetMove() {
			continue
		}
		r.brief.Older(time.Duration(m.GetSeconds()*float64(time.Second)), now)
		r.brief.Told(int(m.GetSent()))
		if m.GetFault() && r.brief.Outcome() == move.Open {
			r.brief.Latch(m.GetReason())
		}
		if state := platform.MoveState(m.GetOutcome()); state == platform.MoveDone || state == platform.MoveReverted {
			v.learn(r.order.Service, r, state)
		}
		for _, w := range rows {
			if w.GetMove() != m.GetMove() {
				continue
			}
			if err := r.brief.Merge(ident.Node(w.GetNode()), ident.Start(w.GetStart()), w.GetCounters()); err != nil {
				v.n.log.Emit(event.RowRejected, event.F(event.Peer, w.GetNode()), event.F(event.Error, err))
			}
		}
		r.brief.Judge()
	}
}
