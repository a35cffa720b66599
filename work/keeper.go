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
	// DefaultMaxStarts is the default bound on the node starts that a keeper
	// holds. A node receives the snapshots of only a few peers; the remaining
	// room is for a long outage of the store.
	DefaultMaxStarts = 256
	// maxSilence is the time without a snapshot after which a peer's latest one
	// is written and dropped, even if MarkEnded isn't called for the peer.
	maxSilence = 2 * WriteInterval
	// maxWriteAttempts bounds the attempts to write one row when other nodes
	// write it, too.
	maxWriteAttempts = 3
)

// ErrKeeperFull reports that a keeper holds too many snapshots. The sender then
// chooses another peer.
var ErrKeeperFull = errors.New("keeper holds too many work snapshots")

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	// Node is the node whose own snapshots are written at each interval.
	Node  ident.Node
	Table store.Table
	// MaxStarts bounds the node starts that are held; 0 means DefaultMaxStarts.
	MaxStarts int
}

// heldSnapshot is the latest snapshot of one node start.
type heldSnapshot struct {
	snapshot Snapshot
	// writtenSequence is the sequence number that is known to be in the table
	// service.
	writtenSequence uint64
	// ended is set when the node start has ended, so that this keeper writes its
	// row.
	ended bool
	// receivedAt is the time at which the latest snapshot was received.
	receivedAt time.Time
}

// Keeper holds the latest snapshots of its own node and of peers, and writes
// them to the table service: its own every WriteInterval, those of a peer after
// the peer's start has ended. A row is only replaced by a higher sequence
// number, so repeated writes, lost answers and several keepers for one peer are
// harmless. A Keeper is safe for concurrent use and holds no lock during a store
// call.
type Keeper struct {
	options   KeeperOptions
	mu        sync.Mutex
	held      map[NodeStart]*heldSnapshot
	nextWrite time.Time
}

// NewKeeper returns a keeper whose first write is due within WriteInterval, at a
// phase derived from the node's name. Otherwise nodes that start together would
// write in the same second, initially and in every later minute: 1,100 writes,
// while the platform allows several hundred.
func NewKeeper(o KeeperOptions, now time.Time) *Keeper {
	if o.MaxStarts <= 0 {
		o.MaxStarts = DefaultMaxStarts
	}
	phase := time.Duration(xxhash.Sum64String(string(o.Node)) % uint64(WriteInterval))
	return &Keeper{options: o, held: map[NodeStart]*heldSnapshot{}, nextWrite: now.Add(phase + 1)}
}

// Keep holds a snapshot of this node or of a peer, unless a later one is held. A
// new start implies that earlier starts of the same node have ended. It returns
// ErrKeeperFull if there is no room for a peer's start.
func (k *Keeper) Keep(s Snapshot, now time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	nodeStart := NodeStart{Node: s.Node, Start: s.Start}
	if held, ok := k.held[nodeStart]; ok {
		if s.later(held.snapshot) {
			held.snapshot = s
			held.ended = held.ended || s.Final
			held.receivedAt = now
		}
		return nil
	}
	if len(k.held) >= k.options.MaxStarts && s.Node != k.options.Node {
		return oops.In("work").With("node", s.Node).Wrapf(ErrKeeperFull, "keep snapshot")
	}
	for other, held := range k.held {
		if other.Node == s.Node {
			// The order of the starts isn't known; writing the row of one that is
			// still running is harmless.
			held.ended = true
		}
	}
	k.held[nodeStart] = &heldSnapshot{snapshot: s, ended: s.Final, receivedAt: now}
	return nil
}

// MarkEnded states that a peer's start has ended, for example according to
// membership. If the peer is still running, writing its row is harmless.
func (k *Keeper) MarkEnded(nodeStart NodeStart) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held, ok := k.held[nodeStart]; ok {
		held.ended = true
	}
}

// Snapshots returns the held snapshots, for a report that reads them from
// nodes.
func (k *Keeper) Snapshots() []Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]Snapshot, 0, len(k.held))
	for _, held := range k.held {
		all = append(all, held.snapshot)
	}
	return all
}

// Due reports whether a write is due. The caller calls it about twice a second.
func (k *Keeper) Due(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !now.Before(k.nextWrite)
}

// Write writes the snapshots that are due: the node's own and those of peer
// starts that have ended. The next Write retries the failed ones. The error
// joins all failures.
func (k *Keeper) Write(ctx context.Context, now time.Time) error {
	k.mu.Lock()
	k.nextWrite = now.Add(WriteInterval)
	var due []Snapshot
	for nodeStart, held := range k.held {
		held.ended = held.ended || now.Sub(held.receivedAt) >= maxSilence
		if (held.ended || nodeStart.Node == k.options.Node) && held.writtenSequence < held.snapshot.Sequence {
			due = append(due, held.snapshot)
		}
	}
	k.mu.Unlock()
	var errs error
	for _, s := range due {
		written, err := k.writeRow(ctx, s)
		errs = errors.Join(errs, err)
		k.recordWritten(s, written)
	}
	return errs
}

// writeRow writes the row if s is later than the snapshot in it. It returns the
// sequence number that is then in the row, or 0 if that isn't known.
func (k *Keeper) writeRow(ctx context.Context, s Snapshot) (uint64, error) {
	errBuilder := oops.In("work").With("node", s.Node, "start", s.Start, "sequence", s.Sequence)
	for range maxWriteAttempts {
		row, result := k.options.Table.Get(ctx, s.RowKey())
		if !result.OK() {
			return 0, errBuilder.Wrapf(result.Err, "read work row: %s", result.Outcome)
		}
		if row.Version > 0 {
			old, err := Decode(row.Value)
			if err != nil {
				// The row may have a newer format and must not be overwritten then.
				return 0, errBuilder.Wrapf(err, "replace work row %s: delete it if it is damaged", row.Key)
			}
			if !s.later(old) {
				return old.Sequence, nil
			}
		}
		result = k.options.Table.Commit(ctx, []store.Write{{Key: s.RowKey(), Value: s.Encode(), ExpectedVersion: row.Version}})
		switch {
		case result.OK():
			return s.Sequence, nil
		case !result.Conflict:
			return 0, errBuilder.Wrapf(result.Err, "write work row: %s", result.Outcome)
		}
	}
	return 0, errBuilder.Errorf("write work row: %d consecutive conflicts", maxWriteAttempts)
}

// recordWritten records the sequence number that is in the table service. It
// drops a start that has ended once its latest snapshot is written.
func (k *Keeper) recordWritten(s Snapshot, written uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	nodeStart := NodeStart{Node: s.Node, Start: s.Start}
	held, ok := k.held[nodeStart]
	if !ok {
		return
	}
	held.writtenSequence = max(held.writtenSequence, written)
	if held.ended && held.writtenSequence >= held.snapshot.Sequence {
		delete(k.held, nodeStart)
	}
}
