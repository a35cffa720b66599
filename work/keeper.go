package work

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// DefaultPeers bounds the node starts that a keeper holds. A node gets the
	// snapshots of few peers; the rest is room for a long outage of the store.
	DefaultPeers = 256
	// quietAfter is the time without a snapshot after which a peer's latest one
	// is written and forgotten, also if nobody tells that the peer is gone.
	quietAfter = 2 * WriteEvery
	// writeTries bounds the attempts on one row when others write it, too.
	writeTries = 3
)

// ErrKeeperFull reports that a keeper holds too many snapshots. The sender
// chooses another peer.
var ErrKeeperFull = errors.New("keeper holds too many work snapshots")

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	// Node is the node whose own snapshots are written at each interval.
	Node  ident.Node
	Table store.Table
	// Peers bounds the node starts that are held; 0 means DefaultPeers.
	Peers int
}

// kept is the latest snapshot of one node start.
type kept struct {
	snapshot Snapshot
	// written is the sequence that is known to be in the table service.
	written uint64
	// gone is set when the node start has ended, so that this keeper writes
	// on its behalf.
	gone bool
	// seen is the time of the latest snapshot.
	seen time.Time
}

// Keeper holds the latest snapshots of its own node and of peers, and writes
// them to the table service: its own every WriteEvery, those of a peer after
// the peer is gone. A row is only ever replaced by a later sequence, so that
// repeated writes, lost answers and several keepers of one peer are harmless.
// A Keeper is safe for concurrent use and holds no lock during a store call.
type Keeper struct {
	options KeeperOptions
	mu      sync.Mutex
	kept    map[Run]*kept
	next    time.Time
}

// NewKeeper returns a keeper whose first write is due within WriteEvery, at a
// phase that the node's name decides. Nodes that start together would otherwise
// write in the same second, then and in every later minute: 1,100 writes,
// against the platform's several hundred.
func NewKeeper(o KeeperOptions, now time.Time) *Keeper {
	if o.Peers <= 0 {
		o.Peers = DefaultPeers
	}
	phase := time.Duration(xxhash.Sum64String(string(o.Node)) % uint64(WriteEvery))
	return &Keeper{options: o, kept: map[Run]*kept{}, next: now.Add(phase + 1)}
}

// Keep stores a snapshot of this node or of a peer, unless a later one is
// held. A new start shows that earlier starts of the same node are gone.
func (k *Keeper) Keep(s Snapshot, now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	run := Run{Node: s.Node, Start: s.Start}
	if held, ok := k.kept[run]; ok {
		if s.later(held.snapshot) {
			held.snapshot = s
			held.gone = held.gone || s.Final
			held.seen = now
		}
		return nil
	}
	if len(k.kept) >= k.options.Peers && s.Node != k.options.Node {
		return oops.In("work").With("node", s.Node).Wrapf(ErrKeeperFull, "keep snapshot")
	}
	for other, held := range k.kept {
		if other.Node == s.Node {
			// The order of the starts isn't known; a write for one that is still
			// alive is harmless.
			held.gone = true
		}
	}
	k.kept[run] = &kept{snapshot: s, gone: s.Final, seen: now}
	return nil
}

// Gone states that a peer's start has ended, for example as membership sees
// it. If the peer is alive after all, writing on its behalf does no harm.
func (k *Keeper) Gone(run Run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held, ok := k.kept[run]; ok {
		held.gone = true
	}
}

// Held returns the held snapshots, for a report that reads them directly.
func (k *Keeper) Held() []Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Snapshot, 0, len(k.kept))
	for _, held := range k.kept {
		all = append(all, held.snapshot)
	}
	return all
}

// Due reports whether a write is due. The shell calls it about twice a second.
func (k *Keeper) Due(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !now.Before(k.next)
}

// Write writes the snapshots that are due: the own one and those of peers that
// are gone. What fails is tried again by the next Write. The error joins all
// failures.
func (k *Keeper) Write(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	k.next = now.Add(WriteEvery)
	var due []Snapshot
	for run, held := range k.kept {
		held.gone = held.gone || now.Sub(held.seen) >= quietAfter
		if (held.gone || run.Node == k.options.Node) && held.written < held.snapshot.Sequence {
			due = append(due, held.snapshot)
		}
	}
	k.mu.Unlock()
	var failures error
	for _, s := range due {
		written, err := k.writeRow(ctx, s)
		failures = errors.Join(failures, err)
		k.settle(s, written)
	}
	return failures
}

// writeRow brings the row to at least the snapshot's sequence and returns the
// sequence that is in the row, or 0 if that isn't known.
func (k *Keeper) writeRow(ctx context.Context, s Snapshot) (uint64, error) {
	step := oops.In("work").With("node", s.Node, "start", s.Start, "sequence", s.Sequence)
	for range writeTries {
		row, result := k.options.Table.Get(ctx, s.RowKey())
		if !result.OK() {
			return 0, step.Wrapf(result.Err, "read work row: %s", result.Outcome)
		}
		if row.Version > 0 {
			old, err := Decode(row.Value)
			if err != nil {
				// It may be of a newer format, and then it must not be lost.
				return 0, step.Wrapf(err, "replace work row %s: delete it if it is damaged", row.Key)
			}
			if !s.later(old) {
				return old.Sequence, nil
			}
		}
		result = k.options.Table.Commit(ctx, []store.Write{{Key: s.RowKey(), Value: s.Encode(), Expect: row.Version}})
		switch {
		case result.OK():
			return s.Sequence, nil
		case !result.Conflict:
			return 0, step.Wrapf(result.Err, "write work row: %s", result.Outcome)
		}
	}
	return 0, step.Errorf("write work row: %d conflicts in a row", writeTries)
}

// settle notes what is in the table service, and forgets a peer that is gone
// once its latest snapshot is there.
func (k *Keeper) settle(s Snapshot, written uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	run := Run{Node: s.Node, Start: s.Start}
	held, ok := k.kept[run]
	if !ok {
		return
	}
	held.written = max(held.written, written)
	if held.gone && held.written >= held.snapshot.Sequence {
		delete(k.kept, run)
	}
}
