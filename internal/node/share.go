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

// shareTimeout bounds one exchange of evidence.
const shareTimeout = time.Second

// exchangeEvidence sends the evidence of each move that this node follows to one
// random member of the move's service and merges the evidence in the response.
// Only members of that service have counters, so the cost doesn't grow with the
// number of other services.
func (v *moves) exchangeEvidence(ctx context.Context) {
	now := time.Now()
	own := v.n.exit.Upstream().Service
	v.mu.Lock()
	v.exchanges++
	full := v.exchanges%fullExchangePeriod == 1
	byPeer := map[string]*wirepb.ShareRequest{}
	for _, r := range v.runs {
		if !r.followed(own, now) || r.mover.Outcome() != move.Open || now.Before(r.plan.Start) {
			continue
		}
		address, ok := v.n.roster.randomPeer(r.plan.Service)
		if !ok {
			continue
		}
		q := byPeer[address]
		if q == nil {
			q = &wirepb.ShareRequest{Source: string(v.n.settings.Node), Full: full}
			byPeer[address] = q
		}
		e := collectEvidence(r, full, now)
		q.Rows = append(q.Rows, v.rowsToSend(e, full)...)
		q.Moves = append(q.Moves, wireState(e))
	}
	v.mu.Unlock()
	for address, q := range byPeer {
		v.wait.Add(1)
		go func() {
			defer v.wait.Done()
			callCtx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			a, err := v.n.pool.ControlClient(address).Share(callCtx, q)
			if err == nil {
				v.mergeEvidence(a.GetRows(), a.GetMoves())
			}
		}()
	}
}

// rowsToSend returns the rows of a request: this node's counters, or all rows in
// a full exchange. The response contains the rows of other nodes; sending those
// in the request as well doubled the bytes of a move.
func (v *moves) rowsToSend(e move.Evidence, full bool) []*wirepb.EvidenceRow {
	if !full {
		e.Rows = slices.DeleteFunc(e.Rows, func(r move.EvidenceRow) bool {
			return r.Node != v.n.settings.Node || r.Start != v.n.start
		})
	}
	return wireRows(e)
}

func collectEvidence(r *moveRun, full bool, now time.Time) move.Evidence {
	if full {
		return r.mover.Evidence()
	}
	return r.mover.Recent(now)
}

func wireRows(e move.Evidence) []*wirepb.EvidenceRow {
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

func wireState(e move.Evidence) *wirepb.MoveState {
	return &wirepb.MoveState{
		Move:    string(e.Move),
		Fault:   e.Fault.Set,
		Reason:  e.Fault.Reason,
		Outcome: e.Outcome.String(),
	}
}

// handleShare merges the evidence of a peer and returns this node's.
func (v *moves) handleShare(q *wirepb.ShareRequest) *wirepb.ShareResponse {
	v.mergeEvidence(q.GetRows(), q.GetMoves())
	now := time.Now()
	a := &wirepb.ShareResponse{}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range q.GetMoves() {
		r, ok := v.runs[ident.Move(m.GetMove())]
		if !ok {
			continue
		}
		e := collectEvidence(r, q.GetFull(), now)
		a.Rows = append(a.Rows, wireRows(e)...)
		a.Moves = append(a.Moves, wireState(e))
	}
	return a
}

func (v *moves) mergeEvidence(rows []*wirepb.EvidenceRow, states []*wirepb.MoveState) {
	byMove := map[ident.Move]*move.Evidence{}
	for _, s := range states {
		byMove[ident.Move(s.GetMove())] = &move.Evidence{
			Move:    ident.Move(s.GetMove()),
			Fault:   move.Fault{Set: s.GetFault(), Reason: s.GetReason()},
			Outcome: parseOutcome(s.GetOutcome()),
		}
	}
	for _, r := range rows {
		e, ok := byMove[ident.Move(r.GetMove())]
		if ok {
			e.Rows = append(e.Rows, move.EvidenceRow{
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
			v.n.log.Emit(event.ManifestRejected, event.NewField(event.Error, err))
		}
	}
}

func parseOutcome(text string) move.Outcome {
	for _, o := range []move.Outcome{move.Done, move.Reverted} {
		if o.String() == text {
			return o
		}
	}
	return move.Open
}

// wireStates returns the moves for the status of the node. A status request
// counts as use of all moves, so that the node follows them.
func (v *moves) wireStates() []*wirepb.MoveState {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*wirepb.MoveState
	for n, r := range v.runs {
		r.lastUsed = now
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
