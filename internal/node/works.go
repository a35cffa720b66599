package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"

	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/work"
)

const (
	// finalLimit bounds the writing of the last snapshot of a planned stop.
	finalLimit = 5 * time.Second
	// keepLimit bounds one message to the keeping peer.
	keepLimit = 400 * time.Millisecond
)

// works counts the work of the exit, hands it to a peer and writes it to the
// table service.
type works struct {
	n      *Node
	keeper *work.Keeper

	mu     sync.Mutex
	ledger *work.Ledger
	// peer holds the copies of this node; it changes only when it fails.
	peer string
}

func newWorks(n *Node) *works {
	now := time.Now()
	return &works{
		n:      n,
		ledger: work.NewLedger(work.Options{Node: n.settings.Node, Start: n.start}, now),
		keeper: work.NewKeeper(work.KeeperOptions{Node: n.settings.Node, Table: n.table}, now),
	}
}

// record counts one request; it is called with the exit locked.
func (w *works) record(x exit.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Record(work.Entry{
		Key:     work.Key{Service: x.Service, Version: x.Version, Route: x.Route, Caller: x.Caller},
		Outcome: outcomeOfRun(x),
		Busy:    x.Busy,
		Bytes:   uint64(x.In) + uint64(x.Out),
	})
}

func outcomeOfRun(x exit.Run) work.Outcome {
	switch {
	case x.Outcome == wirepb.Outcome_OUTCOME_REFUSED:
		return work.Refused
	case x.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN:
		return work.Unknown
	case x.Failed:
		return work.Failed
	default:
		return work.Ran
	}
}

// Run hands over and writes the counts until ctx ends.
func (w *works) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(work.KeepEvery)
	defer t.Stop()
	ready()
	// Nodes that have started together don't send their copies together.
	mono.Sleep(ctx, time.Duration(rand.Int64N(int64(work.KeepEvery))))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			w.copy(ctx, now)
			w.write(ctx, now)
		}
	}
}

// copy takes a snapshot and sends it to the keeping peer.
func (w *works) copy(ctx context.Context, now time.Time) {
	w.mu.Lock()
	if !w.ledger.Changed() {
		w.mu.Unlock()
		return
	}
	s := w.ledger.Snapshot(now)
	w.mu.Unlock()
	w.hand(ctx, s, now)
}

// hand keeps a snapshot here and at a peer. A peer that doesn't take it is
// replaced at the next snapshot, half a second later.
func (w *works) hand(ctx context.Context, s work.Snapshot, now time.Time) {
	_ = w.keeper.Keep(s, now)
	if w.peer == "" {
		w.peer, _ = w.n.roster.random("")
	}
	if w.peer == "" {
		return
	}
	limited, cancel := context.WithTimeout(ctx, keepLimit)
	defer cancel()
	_, err := w.n.pool.Client(w.peer).Keep(limited, &wirepb.KeepRequest{
		Node:     string(s.Node),
		Start:    uint64(s.Start),
		Sequence: s.Sequence,
		Snapshot: s.Encode(),
	})
	if err != nil {
		w.peer = ""
	}
}

// keep takes the snapshot of a peer.
func (w *works) keep(q *wirepb.KeepRequest) error {
	s, err := work.Decode(q.GetSnapshot())
	if err != nil {
		return err
	}
	w.n.log.Emit(event.ReportKept,
		event.F(event.Peer, s.Node),
		event.F(event.Count, s.Sequence),
		event.F(event.Bytes, len(q.GetSnapshot())))
	return w.keeper.Keep(s, time.Now())
}

// gone is told by membership that a node start has ended.
func (w *works) gone(c member.Record) {
	w.keeper.Gone(work.Run{Node: c.Node, Start: c.Start})
}

func (w *works) write(ctx context.Context, now time.Time) {
	if !w.keeper.Due(now) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	if w.keeper.Write(limited, now) != nil {
		return // the table's watch has reported it; the rows stay due
	}
	w.n.log.Emit(event.ReportWritten, event.F(event.Elapsed, time.Since(now)))
}

// finish writes the last snapshot of a planned stop. If the table service is
// down, the keeping peer writes it later.
func (w *works) finish(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, finalLimit)
	defer cancel()
	now := time.Now()
	w.mu.Lock()
	s := w.ledger.Final(now)
	w.mu.Unlock()
	w.hand(limited, s, now)
	_ = w.keeper.Write(limited, now)
}

// held returns the snapshots that this node holds, its own one brought up to
// date, for a report that needs more than the table has.
func (w *works) held() []work.Snapshot {
	now := time.Now()
	w.mu.Lock()
	s := w.ledger.Snapshot(now)
	w.mu.Unlock()
	_ = w.keeper.Keep(s, now)
	return w.keeper.Held()
}
