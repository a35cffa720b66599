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
	// finalTimeout bounds the writing of the last snapshot of a planned stop.
	finalTimeout = 5 * time.Second
	// keepTimeout bounds one Keep call to the peer that stores the copies.
	keepTimeout = 400 * time.Millisecond
)

// workReporter counts the work of the exit, copies the counts to a peer and
// writes them to the table service.
type workReporter struct {
	n      *Node
	keeper *work.Keeper

	mu     sync.Mutex
	ledger *work.Ledger
	// keeperAddress is the peer that stores the copies of this node's snapshots;
	// it changes only when a call to it fails. It is empty if none is chosen.
	keeperAddress string
}

func newWorkReporter(n *Node) *workReporter {
	now := time.Now()
	return &workReporter{
		n:      n,
		ledger: work.NewLedger(work.LedgerOptions{Node: n.settings.Node, Start: n.start}, now),
		keeper: work.NewKeeper(work.KeeperOptions{Node: n.settings.Node, Table: n.table}, now),
	}
}

// record counts one request. It is called with the exit locked.
func (w *workReporter) record(x exit.RequestResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Record(work.RequestWork{
		Key:     work.Key{Service: x.Service, Version: x.Version, Route: x.Route, Caller: x.Caller},
		Outcome: workOutcome(x),
		Busy:    x.SlotTime,
		Bytes:   uint64(x.RequestBytes) + uint64(x.ResponseBytes),
	})
}

func workOutcome(x exit.RequestResult) work.Outcome {
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

// Run copies and writes the counts until ctx ends.
func (w *workReporter) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(work.KeepInterval)
	defer t.Stop()
	ready()
	// The random delay keeps nodes that started at the same time from sending
	// their copies at the same time.
	mono.Sleep(ctx, time.Duration(rand.Int64N(int64(work.KeepInterval))))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			w.copyChanges(ctx, now)
			w.writeDue(ctx, now)
		}
	}
}

// copyChanges takes a snapshot, if counts have changed, and stores it locally and
// at the peer.
func (w *workReporter) copyChanges(ctx context.Context, now time.Time) {
	w.mu.Lock()
	if !w.ledger.Changed() {
		w.mu.Unlock()
		return
	}
	s := w.ledger.Snapshot(now)
	w.mu.Unlock()
	w.replicate(ctx, s, now)
}

// replicate stores a snapshot locally and at the peer. A peer that doesn't accept
// it is replaced at the next snapshot, half a second later.
func (w *workReporter) replicate(ctx context.Context, s work.Snapshot, now time.Time) {
	_ = w.keeper.Keep(s, now)
	if w.keeperAddress == "" {
		w.keeperAddress, _ = w.n.roster.randomPeer("")
	}
	if w.keeperAddress == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err := w.n.pool.ControlClient(w.keeperAddress).Keep(callCtx, &wirepb.KeepRequest{
		Node:     string(s.Node),
		Start:    uint64(s.Start),
		Sequence: s.Sequence,
		Snapshot: s.Encode(),
	})
	if err != nil {
		w.keeperAddress = ""
	}
}

// keep stores the snapshot of a peer.
func (w *workReporter) keep(q *wirepb.KeepRequest) error {
	s, err := work.Decode(q.GetSnapshot())
	if err != nil {
		return err
	}
	w.n.log.Emit(event.ReportStored,
		event.NewField(event.Peer, s.Node),
		event.NewField(event.Count, s.Sequence),
		event.NewField(event.Bytes, len(q.GetSnapshot())))
	return w.keeper.Keep(s, time.Now())
}

// markEnded records that the node start of a member has ended.
func (w *workReporter) markEnded(c member.Record) {
	w.keeper.MarkEnded(work.NodeStart{Node: c.Node, Start: c.Start})
}

func (w *workReporter) writeDue(ctx context.Context, now time.Time) {
	if !w.keeper.Due(now) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if w.keeper.Write(callCtx, now) != nil {
		return // the storeMonitor has reported it; the rows stay due
	}
	w.n.log.Emit(event.ReportWritten, event.NewField(event.Elapsed, time.Since(now)))
}

// writeFinal writes the last snapshot of a planned stop. If the table service is
// down, the peer that stores the copy writes it later.
func (w *workReporter) writeFinal(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	now := time.Now()
	w.mu.Lock()
	s := w.ledger.Final(now)
	w.mu.Unlock()
	w.replicate(callCtx, s, now)
	_ = w.keeper.Write(callCtx, now)
}

// snapshots updates this node's own snapshot and returns all snapshots stored at
// this node, for a report that needs counts not yet written to the table service.
func (w *workReporter) snapshots() []work.Snapshot {
	now := time.Now()
	w.mu.Lock()
	s := w.ledger.Snapshot(now)
	w.mu.Unlock()
	_ = w.keeper.Keep(s, now)
	return w.keeper.Snapshots()
}
