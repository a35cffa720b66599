package node

import (
	"context"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
)

// shareLimit bounds one exchange of evidence.
const shareLimit = time.Second

// exchange trades the evidence of each move that this node follows with one
// random member of its service. Only those have counters, so the cost doesn't
// grow with the number of other services.
func (v *moves) exchange(ctx context.Context) {
	now := time.Now()
	own := v.n.exit.Upstream().Service
	v.mu.Lock()
	v.rounds++
	full := v.rounds%fullEvery == 1
	byPeer := map[string]*wirepb.ShareRequest{}
	for _, r := range v.runs {
		if !r.follows(own, now) || r.mover.Outcome() != move.Open || now.Before(r.plan.Start) {
			continue
		}
		address, ok := v.n.roster.random(r.plan.Service)
		if !ok {
			continue
		}
		q := byPeer[address]
		if q == nil {
			q = &wirepb.ShareRequest{Source: string(v.n.settings.Node), Full: full}
			byPeer[address] = q
		}
		e := evidence(r, full, now)
		q.Rows = append(q.Rows, v.pushed(e, full)...)
		q.Moves = append(q.Moves, stateOfMove(e))
	}
	v.mu.Unlock()
	for address, q := range byPeer {
		v.wait.Add(1)
		go func() {
			defer v.wait.Done()
			limited, cancel := context.WithTimeout(ctx, shareLimit)
			defer cancel()
			a, err := v.n.pool.Client(address).Share(limited, q)
			if err == nil {
				v.merge(a.GetRows(), a.GetMoves())
			}
		}()
	}
}

// pushed returns what a request carries: the own counters, or everything in a
// full exchange. The answer brings the others'; pushing them, too, doubled the
// bytes of a move.
func (v *moves) pushed(e move.Evidence, full bool) []*wirepb.EvidenceRow {
	if !full {
		e.Rows = slices.DeleteFunc(e.Rows, func(r move.Row) bool {
			return r.Node != v.n.settings.Node || r.Start != v.n.start
		})
	}
	return rowsOf(e)
}

func evidence(r *run, full bool, now time.Time) move.Evidence {
	if full {
		return r.mover.Evidence()
	}
	return r.mover.Fresh(now)
}

func rowsOf(e move.Evidence) []*wirepb.EvidenceRow {
	var out []*wirepb.EvidenceRow
	for _, r := range e.Rows {
		out = append(out, &wirepb.EvidenceRow{
			Move:     string(e.Move),
			Node:     string(r.Node),
			Start:    uint64(r.Start),
			Counters: r.Counters,
		})
	}
	return out
}

func stateOfMove(e move.Evidence) *wirepb.MoveState {
	return &wirepb.MoveState{
		Move:    string(e.Move),
		Fault:   e.Fault.Set,
		Reason:  e.Fault.Reason,
		Outcome: e.Outcome.String(),
	}
}

// answer merges the evidence of a peer and returns the own.
func (v *moves) answer(q *wirepb.ShareRequest) *wirepb.ShareResponse {
	v.merge(q.GetRows(), q.GetMoves())
	now := time.Now()
	a := &wirepb.ShareResponse{}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range q.GetMoves() {
		r, ok := v.runs[ident.Move(m.GetMove())]
		if !ok {
			continue
		}
		e := evidence(r, q.GetFull(), now)
		a.Rows = append(a.Rows, rowsOf(e)...)
		a.Moves = append(a.Moves, stateOfMove(e))
	}
	return a
}

func (v *moves) merge(rows []*wirepb.EvidenceRow, states []*wirepb.MoveState) {
	byMove := map[ident.Move]*move.Evidence{}
	for _, s := range states {
		byMove[ident.Move(s.GetMove())] = &move.Evidence{
			Move:    ident.Move(s.GetMove()),
			Fault:   move.Fault{Set: s.GetFault(), Reason: s.GetReason()},
			Outcome: outcomeOf(s.GetOutcome()),
		}
	}
	for _, r := range rows {
		e, ok := byMove[ident.Move(r.GetMove())]
		if ok {
			e.Rows = append(e.Rows, move.Row{
				Node:     ident.Node(r.GetNode()),
				Start:    ident.Start(r.GetStart()),
				Counters: r.GetCounters(),
			})
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for m, e := range byMove {
		r, ok := v.runs[m]
		if !ok {
			continue
		}
		if err := r.mover.Merge(*e); err != nil {
			v.n.log.Emit(event.ManifestRejected, event.F(event.Error, err))
		}
	}
}

func outcomeOf(text string) move.Outcome {
	for _, o := range []move.Outcome{move.Done, move.Reverted} {
		if o.String() == text {
			return o
		}
	}
	return move.Open
}

// states returns the moves for the status of the node. Asking is an interest.
func (v *moves) states() []*wirepb.MoveState {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*wirepb.MoveState
	for n, r := range v.runs {
		r.used = now
		f := r.mover.Fault()
		out = append(out, &wirepb.MoveState{
			Move:    string(n),
			Fault:   f.Set,
			Reason:  f.Reason,
			Outcome: r.mover.Outcome().String(),
			Share:   r.mover.Share(now),
			Service: string(r.plan.Service),
			From:    string(r.plan.From),
			To:      string(r.plan.To),
		})
	}
	return out
}
