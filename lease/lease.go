// Package lease implements a lease with a fencing epoch in the table service. The
// holder commits each write together with the lease row, so that the table
// refuses the write once another holder has acquired the lease, however long the
// first holder was paused between its check of the clock and the write.
//
// Invariants: the epochs of one lease only increase; a write through Guard takes
// effect only while the row is still that of the holder; a holder whose lease has
// expired by its own clock sends no write.
//
// The package is for use as a library. The node doesn't use it, since no decision
// of the node has a single owner.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// rowPrefix is the prefix of the row's key, before the name of the lease.
	rowPrefix = "lease/"
	// rowFormat is the format version of the row's JSON.
	rowFormat = 1
	// clockBound is the largest tolerated clock skew between two nodes. A lease
	// can be acquired from another holder only this long after its expiry.
	clockBound = 500 * time.Millisecond
)

var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("lease is held by another holder")
	// ErrLost means that the caller doesn't hold the lease, or no longer does.
	ErrLost = errors.New("lease is not held")
	// ErrUnknown means that it isn't known whether a call took effect. Acquire
	// and Renew may be retried; after Guard the caller must read the row that it
	// wrote.
	ErrUnknown = errors.New("outcome of the lease commit is unknown")
	// ErrStore means that a call of the store failed and had no effect.
	ErrStore = errors.New("store call for the lease failed")
	// ErrUnsupportedFormat means that the lease row has a format that this
	// release can't read.
	ErrUnsupportedFormat = errors.New("lease row has an unknown format")
)

// Epoch is the fencing token of a lease, from 1. Each acquisition increments it.
type Epoch uint64

// Options configures a Lease.
type Options struct {
	Name   string // of the lease; part of the key of its row
	Node   ident.Node
	Start  ident.Start
	Length time.Duration // from an acquisition or renewal to the expiry
	Table  store.Table
	// Now is the clock of this process. Expiry is checked against it just before
	// a write.
	Now func() time.Time
}

// leaseRow is the JSON value of the lease row. Sequence increases with each commit
// and identifies the commit after a lost answer.
type leaseRow struct {
	Format   int         `json:"format"`
	Node     ident.Node  `json:"node"`
	Start    ident.Start `json:"start"`
	Epoch    Epoch       `json:"epoch"`
	Sequence uint64      `json:"sequence"`
	Until    time.Time   `json:"until"`
}

// Lease is the handle of one contender for a lease. It is safe for concurrent
// use; calls of one Lease are serialized.
type Lease struct {
	options Options
	mu      sync.Mutex
	written leaseRow // the row as last written by this Lease
	version uint64   // of the row as last written
	held    bool     // whether this Lease has acquired the row and no loss is known
}

// New returns a Lease that doesn't hold the lease.
func New(o Options) *Lease {
	return &Lease{options: o}
}

// Key returns the key of the lease row.
func (l *Lease) Key() string {
	return rowPrefix + l.options.Name
}

// Epoch returns the epoch of the latest acquisition by this Lease, and reports
// whether the lease is held and has not expired.
func (l *Lease) Epoch() (Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written.Epoch, l.isValid()
}

// isValid reports whether the lease is held and has not expired. The caller must
// hold mu.
func (l *Lease) isValid() bool {
	return l.held && l.options.Now().Before(l.written.Until)
}

// Acquire acquires the lease if it has no holder, was released, has been
// expired for at least the clock bound, or was last acquired by the same
// process start. Otherwise it returns ErrHeld. If the row can't be read or
// written, it returns ErrStore, ErrUnsupportedFormat, ErrLost or ErrUnknown.
// Each success starts a new epoch.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, version, err := l.readRow(ctx)
	if err != nil {
		return l.wrap("acquire", err)
	}
	now := l.options.Now()
	if !l.isOwn(current) && now.Before(current.Until.Add(clockBound)) {
		l.held = false
		return l.wrap("acquire", ErrHeld)
	}
	next := leaseRow{
		Format: rowFormat, Node: l.options.Node, Start: l.options.Start,
		Epoch: current.Epoch + 1, Sequence: current.Sequence + 1, Until: now.Add(l.options.Length),
	}
	return l.commit(ctx, "acquire", next, version, nil)
}

// Renew extends the lease to Options.Length from now. It returns ErrLost if the
// lease has expired or another holder has acquired it.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isValid() {
		return l.wrap("renew", ErrLost)
	}
	next := l.written
	next.Sequence++
	next.Until = l.options.Now().Add(l.options.Length)
	return l.commit(ctx, "renew", next, l.version, nil)
}

// Release ends the lease before its expiry, so that others needn't wait for it.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isValid() {
		return l.wrap("release", ErrLost)
	}
	next := l.written
	next.Sequence++
	next.Until = time.Time{}
	err := l.commit(ctx, "release", next, l.version, nil)
	l.held = false
	return err
}

// Guard commits w together with the lease row. It returns ErrLost, and w has no
// effect, if the lease has expired or another holder has acquired it; a
// *ConflictError if the lease is held but the version of w's row isn't w.Expect;
// and ErrUnknown if the answer was lost and the lease row doesn't show whether
// the commit took effect.
func (l *Lease) Guard(ctx context.Context, w store.Write) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isValid() {
		return l.wrap("guard", ErrLost)
	}
	next := l.written
	next.Sequence++
	return l.commit(ctx, "guard", next, l.version, &w)
}

// ConflictError is the error of a guarded write that was refused because the
// version of its row differed from the expected one.
type ConflictError struct {
	Key string
}

// Error returns a message with the key of the row.
func (e *ConflictError) Error() string {
	return "row " + e.Key + " does not have the expected version"
}
