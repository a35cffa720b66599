// Package lease is a lease with an epoch in the table service. Every write of
// its holder goes into one commit with the lease row, so that the table
// refuses it once another holder has taken over, however long the first one
// was paused between its check of the clock and the write.
//
// Invariants: epochs of one lease only rise; a write through Guard takes
// effect only while the row still is the holder's; a holder past its expiry
// by its own clock sends nothing.
//
// The package is offered as a library part. The node doesn't use it: no
// decision of the node has a single owner.
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
	// rowPrefix precedes the lease's name in the key of its row.
	rowPrefix = "lease/"
	// rowFormat is the version of the row's JSON.
	rowFormat = 1
	// clockBound is the largest clock skew that the system tolerates. Others
	// wait for so long after the expiry before they take over.
	clockBound = 500 * time.Millisecond
)

var (
	// ErrHeld reports a lease that another holder has.
	ErrHeld = errors.New("lease is held by another holder")
	// ErrLost reports a lease that this holder doesn't have, or no longer.
	ErrLost = errors.New("lease is not held")
	// ErrUnknown reports a call whose effect isn't known. Acquire and Renew
	// may be repeated; a guarded write must be read back by the caller.
	ErrUnknown = errors.New("outcome is unknown")
	// ErrStore reports a store that refused a call, which had no effect.
	ErrStore = errors.New("store refused the call")
	// ErrFormat reports a lease row that this release can't read.
	ErrFormat = errors.New("lease row has an unknown format")
)

// Epoch numbers the holders of a lease, from 1.
type Epoch uint64

// Options configures a Lease.
type Options struct {
	Name   string
	Node   ident.Node
	Start  ident.Start
	Length time.Duration
	Table  store.Table
	// Now is the clock, in which expiries are checked just before a write.
	Now func() time.Time
}

// value is the JSON value of the row. Sequence rises with each commit of a
// holder and identifies it after a lost answer.
type value struct {
	Format   int         `json:"format"`
	Node     ident.Node  `json:"node"`
	Start    ident.Start `json:"start"`
	Epoch    Epoch       `json:"epoch"`
	Sequence uint64      `json:"sequence"`
	Until    time.Time   `json:"until"`
}

// Lease is one contender's view of a lease. It is safe for concurrent use;
// calls of one Lease are run one after the other.
type Lease struct {
	opt Options
	mu  sync.Mutex
	// own is the row as last written by this Lease and version its version.
	// Held tells that no loss is known.
	own     value
	version uint64
	held    bool
}

// New returns a Lease that isn't held.
func New(o Options) *Lease {
	return &Lease{opt: o}
}

// Key returns the key of the lease's row.
func (l *Lease) Key() string {
	return rowPrefix + l.opt.Name
}

// Epoch returns the epoch, and whether the lease is held and not expired.
func (l *Lease) Epoch() (Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.Epoch, l.valid()
}

func (l *Lease) valid() bool {
	return l.held && l.opt.Now().Before(l.own.Until)
}

// Acquire takes the lease if it is free, released, or past its expiry by more
// than the clock bound. It returns ErrHeld, ErrStore or ErrUnknown otherwise.
// Each success starts a new epoch.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	cur, version, err := l.read(ctx)
	if err != nil {
		return l.fail("acquire", err)
	}
	now := l.opt.Now()
	if !l.mine(cur) && now.Before(cur.Until.Add(clockBound)) {
		l.held = false
		return l.fail("acquire", ErrHeld)
	}
	next := value{
		Format: rowFormat, Node: l.opt.Node, Start: l.opt.Start,
		Epoch: cur.Epoch + 1, Sequence: cur.Sequence + 1, Until: now.Add(l.opt.Length),
	}
	return l.commit(ctx, "acquire", next, version, nil)
}

// Renew extends the lease by its length from now. It returns ErrLost when the
// lease expired or went to another holder.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid() {
		return l.fail("renew", ErrLost)
	}
	next := l.own
	next.Sequence++
	next.Until = l.opt.Now().Add(l.opt.Length)
	return l.commit(ctx, "renew", next, l.version, nil)
}

// Release ends the lease early, so that others needn't wait for its expiry.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid() {
		return l.fail("release", ErrLost)
	}
	next := l.own
	next.Sequence++
	next.Until = time.Time{}
	err := l.commit(ctx, "release", next, l.version, nil)
	l.held = false
	return err
}

// Guard commits w together with the lease row. It returns ErrLost, without an
// effect, when the lease has expired or has another holder; a *ConflictError
// when the lease is held but w's row differed from w.Expect; and ErrUnknown
// when the answer was lost and the row couldn't be read back.
func (l *Lease) Guard(ctx context.Context, w store.Write) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid() {
		return l.fail("guard", ErrLost)
	}
	next := l.own
	next.Sequence++
	return l.commit(ctx, "guard", next, l.version, &w)
}

// ConflictError reports a guarded write whose own row had changed.
type ConflictError struct {
	Key string
}

// Error names the row.
func (e *ConflictError) Error() string {
	return "row " + e.Key + " has changed"
}
