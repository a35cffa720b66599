package fleet

import (
	"context"
	"strconv"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/platform"
)

// exchange trades the evidence of a move with one random member of its
// service; every few rounds with any node, which has to know the outcome.
func (v *moves) exchange(ctx context.Context, s ident.Service, r *run) {
	to := s
	if v.n.exit.Upstream().Service != s {
		to = ""
	}
	if address, ok := v.n.roster.random(to); ok {
		v.trade(ctx, r, address)
	}
}

// alarm returns a function that tells all exits of the new version at once if
// a fault has become known since.
func (v *moves) alarm(ctx context.Context, r *run) func() {
	v.mu.Lock()
	known := r.fault
	v.mu.Unlock()
	return func() {
		// The caller holds the lock again.
		if known || !r.fault {
			return
		}
		for _, address := range v.n.roster.exits(r.order.Service, r.order.To) {
			v.wait.Add(1)
			go func() {
				defer v.wait.Done()
				v.trade(ctx, r, address)
			}()
		}
	}
}

// trade exchanges what is known of a move with one node.
func (v *moves) trade(ctx context.Context, r *run, address string) {
	q := &wirepb.ShareRequest{Source: string(v.n.settings.Node)}
	v.mu.Lock()
	rows, state := v.evidence(r)
	v.mu.Unlock()
	q.Rows = rows
	q.Moves = []*wirepb.MoveState{state}
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

// evidence returns what this node knows of a move; it is called with the lock held.
func (v *moves) evidence(r *run) ([]*wirepb.EvidenceRow, *wirepb.MoveState) {
	var rows []*wirepb.EvidenceRow
	name := moveName(r)
	r.brief.Rows(func(n ident.Node, s ident.Start, counters []byte) {
		rows = append(rows, &wirepb.EvidenceRow{Move: name, Node: string(n), Start: uint64(s), Counters: counters})
	})
	return rows, &wirepb.MoveState{
		Move:    name,
		Service: string(r.order.Service),
		Fault:   r.brief.Fault() != "",
		Reason:  r.brief.Fault(),
		Outcome: string(r.told),
		// Share carries how long the move has been running, in seconds.
		Share: r.brief.Age(time.Now()).Seconds(),
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
		rows, state := v.evidence(r)
		a.Rows = append(a.Rows, rows...)
		a.Moves = append(a.Moves, state)
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
		r.brief.Older(time.Duration(m.GetShare()*float64(time.Second)), now)
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
	}
}
