// Package duty gives a task of the system to one node at a time. The node holds a
// lease in a row of the platform's store, with a token that increases at each
// change of holder.
//
// Lease is a pure state machine, the Runner its driver. The expiry of a lease is
// on the store's clock, which is the same for all nodes and never steps. The
// holder checks its own validity on its monotonic clock, counted from the moment
// at which it sent the commit. Wall clocks are not used.
//
// Invariants: two holders are never valid at the same time; the token never
// decreases; after another holder, a node returns only once its own previous time
// has been over for the length of a lease.
package duty

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

const (
	rowFormat = 1
	// marginDivisor sets the part of a lease that the holder leaves unused. It
	// covers the rate difference of two clocks and the time from the check to the
	// first byte of a call.
	marginDivisor = 10
	// renewDivisor sets the part of a lease that remains at its renewal, which
	// leaves time for a retry after a call that was lost.
	renewDivisor = 3
	// driftDivisor bounds the difference of the rates of two clocks: 1 ms in 1 s.
	driftDivisor = 1000
	// maxReadAge is the age up to which a read row is used for an acquisition
	// without another read. A conflict would cost more calls than a read.
	maxReadAge = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Token is the fencing token of a lease, from 1.
type Token uint64

// ErrUnreadable means that the lease row can't be decoded.
var ErrUnreadable = errors.New("lease row can't be decoded")

// tenure is the end of a node's time as holder, on the store's clock.
type tenure struct {
	Node        ident.Node `json:"node"`
	UntilMillis int64      `json:"until_ms"`
}

// leaseRow is the JSON value of a lease row.
type leaseRow struct {
	Format int         `json:"format"`
	Node   ident.Node  `json:"node"`
	Start  ident.Start `json:"start"`
	Token  Token       `json:"token"`
	// Sequence differs between all commits that one process start attempts, so
	// that a row shows which of them took effect.
	Sequence    uint64 `json:"sequence"`
	UntilMillis int64  `json:"until_ms"`
	// Past has the previous holders whose tenure ended less than the length of a
	// lease before the holder acquired it.
	Past []tenure `json:"past,omitempty"`
}

// Options configures a Lease.
type Options struct {
	Node  ident.Node
	Start ident.Start
	// Key is the key of the lease row.
	Key    string
	Length time.Duration
	// Stagger is the time that a node waits for each candidate ranked before it.
	Stagger time.Duration
	// FirstCall is the earliest time of a call. A node that has just started
	// doesn't know the other candidates.
	FirstCall time.Time
	// Rand returns a random number in [0, 1) that spreads retries.
	Rand func() float64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Wait means that nothing is to be done before Action.At.
	Wait ActionKind = iota
	// Read means that the lease row is to be read and passed to HandleRow.
	Read
	// Commit means that Prepare is to be called and its write committed.
	Commit
)

// Action is what the caller has to do next.
type Action struct {
	Kind ActionKind
	At   time.Time
}

// Lease is the part of one process start in the contention for a lease. It is a
// pure state machine. The caller has at most one call of the store in progress.
type Lease struct {
	options Options
	row     leaseRow
	version uint64
	// known is set while row and version are the latest that the store has shown.
	known        bool
	readAt       time.Time
	lastSequence uint64
	// nowMillis is the store's clock in the latest answer, which was after
	// sampleSentAt and before sampleReceivedAt.
	nowMillis        int64
	sampleSentAt     time.Time
	sampleReceivedAt time.Time
	validUntil       time.Time
	heldSince        time.Time
	// attempt is the latest commit, and unresolved is set while its outcome is
	// unknown.
	attempt       leaseRow
	attemptSentAt time.Time
	unresolved    bool
	failures      int
	nextCall      time.Time
	// heardUntil is the time until which the holder is known to hold the lease
	// from a message of its own.
	heardUntil time.Time
	released   bool
}

// New returns a Lease that isn't held.
func New(o Options) *Lease {
	return &Lease{options: o, nextCall: o.FirstCall}
}

// Valid returns the token and the time until which the holder may act. It returns
// false if this process doesn't hold the lease at now.
func (l *Lease) Valid(now time.Time) (Token, time.Time, bool) {
	if l.released || !now.Before(l.validUntil) {
		return 0, time.Time{}, false
	}
	return l.row.Token, l.validUntil, true
}

// HeldSince returns the time of the latest acquisition by this process.
func (l *Lease) HeldSince() time.Time { return l.heldSince }

// Holder returns the holder in the latest row known, or "".
func (l *Lease) Holder() ident.Node { return l.row.Node }

// RecordHolder records a message of the holder that its lease is valid for
// remaining, so that this node needn't ask the store before.
func (l *Lease) RecordHolder(remaining time.Duration, now time.Time) {
	if t := now.Add(min(remaining, l.options.Length)); t.After(l.heardUntil) {
		l.heardUntil = t
	}
}

// RecordRelease records a message of the holder that it has released the lease.
// The row is read before the lease is acquired.
func (l *Lease) RecordRelease(now time.Time) {
	if l.isOwn(l.row) {
		return
	}
	l.heardUntil = time.Time{}
	l.known = false
	if l.nowMillis > 0 {
		l.row.UntilMillis = min(l.row.UntilMillis, l.minStoreMillis(now))
	}
}

// NoCandidate is the rank of a node that doesn't contend for the lease. It still
// renews a lease that it holds.
const NoCandidate = -1

// Next returns what to do at now for a node with the given number of candidates
// ranked before it.
func (l *Lease) Next(rank int, now time.Time) Action {
	if l.released {
		return Action{Kind: Wait, At: now.Add(l.options.Length)}
	}
	due := func(k ActionKind, at time.Time) Action {
		if at.Before(l.nextCall) {
			at = l.nextCall
		}
		if now.Before(at) {
			return Action{Kind: Wait, At: at}
		}
		return Action{Kind: k, At: at}
	}
	switch {
	case l.unresolved:
		return due(Read, now)
	case l.isOwn(l.row) && !l.known:
		return due(Read, now)
	case l.isOwn(l.row):
		return due(Commit, l.validUntil.Add(-l.options.Length/renewDivisor))
	case rank == NoCandidate:
		return Action{Kind: Wait, At: now.Add(l.options.Length)}
	}
	at := l.earliestAcquisition().Add(time.Duration(rank) * l.options.Stagger)
	if t := l.heardUntil.Add(time.Duration(rank+1) * l.options.Stagger); !l.heardUntil.IsZero() && t.After(at) {
		at = t
	}
	if l.known && now.Sub(l.readAt) <= maxReadAge {
		return due(Commit, at)
	}
	return due(Read, at)
}

// earliestAcquisition returns the time from which this node may acquire the
// lease, according to the latest row known.
func (l *Lease) earliestAcquisition() time.Time {
	at := l.whenPassed(l.row.UntilMillis)
	for _, p := range l.row.Past {
		if p.Node == l.options.Node {
			at = later(at, l.whenPassed(p.UntilMillis+l.options.Length.Milliseconds()))
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// whenPassed returns a time at which the store's clock has surely passed millis.
func (l *Lease) whenPassed(millis int64) time.Time {
	if millis == 0 || l.nowMillis == 0 {
		return l.options.FirstCall
	}
	left := time.Duration(millis-l.nowMillis) * time.Millisecond
	return l.sampleReceivedAt.Add(left + max(0, left)/driftDivisor + time.Millisecond)
}

// maxStoreMillis returns an upper bound of the store's clock at now.
func (l *Lease) maxStoreMillis(now time.Time) int64 {
	age := now.Sub(l.sampleSentAt)
	return l.nowMillis + (age + age/driftDivisor).Milliseconds() + 1
}

// minStoreMillis returns a lower bound of the store's clock at now.
func (l *Lease) minStoreMillis(now time.Time) int64 {
	age := now.Sub(l.sampleReceivedAt)
	return l.nowMillis + (age - age/driftDivisor).Milliseconds()
}

// Prepare returns the write that acquires or renews the lease. It returns false if
// that isn't allowed at now. The caller commits the write, alone or together with
// others, and passes the result to HandleCommit.
func (l *Lease) Prepare(now time.Time) (store.Write, bool) {
	if l.released || l.unresolved || !l.known || l.nowMillis == 0 {
		return store.Write{}, false
	}
	next := l.row
	if !l.isOwn(l.row) {
		if now.Before(l.earliestAcquisition()) {
			return store.Write{}, false
		}
		next = leaseRow{Node: l.options.Node, Start: l.options.Start, Token: l.row.Token + 1, Past: l.pastHolders(now)}
	}
	next.UntilMillis = l.maxStoreMillis(now) + l.options.Length.Milliseconds()
	return l.write(next, now)
}

// Stop ends the validity of the lease on this node for good. The row stays as it
// is until the write of PrepareRelease is committed.
func (l *Lease) Stop() { l.released = true }

// PrepareRelease stops this Lease and returns the write that ends the lease before
// its expiry. It returns false if there is nothing to release or the latest
// version of the row isn't known.
func (l *Lease) PrepareRelease(now time.Time) (store.Write, bool) {
	l.Stop()
	if l.unresolved || !l.known || !l.isOwn(l.row) || l.row.UntilMillis <= l.minStoreMillis(now) {
		return store.Write{}, false
	}
	next := l.row
	next.UntilMillis = min(next.UntilMillis, l.maxStoreMillis(now))
	return l.write(next, now)
}

func (l *Lease) write(next leaseRow, now time.Time) (store.Write, bool) {
	next.Format = rowFormat
	l.lastSequence = max(l.lastSequence, l.row.Sequence) + 1
	next.Sequence = l.lastSequence
	value, err := json.Marshal(next)
	if err != nil {
		return store.Write{}, false
	}
	l.attempt, l.attemptSentAt = next, now
	return store.Write{Key: l.options.Key, Value: value, ExpectedVersion: l.version}, true
}

// pastHolders returns the previous holders that may not return yet, including the
// one in the row.
func (l *Lease) pastHolders(now time.Time) []tenure {
	var out []tenure
	last := tenure{Node: l.row.Node, UntilMillis: l.row.UntilMillis}
	for _, p := range append(l.row.Past, last) {
		if p.Node != "" && p.Node != l.options.Node && p.UntilMillis+l.options.Length.Milliseconds() > l.minStoreMillis(now) {
			out = append(out, p)
		}
	}
	return out
}

// HandleCommit applies the result of the commit of a prepared write.
func (l *Lease) HandleCommit(r store.Result, now time.Time) {
	if r.NowMillis > 0 {
		l.setSample(r.NowMillis, l.attemptSentAt, now)
	}
	switch {
	case r.OK():
		l.failures = 0
		l.confirm(now)
		l.version, l.known, l.readAt = r.Version, r.Version > 0, now
	case r.Conflict:
		l.known = false
		l.nextCall = now
	case r.Outcome == store.Unknown:
		l.unresolved, l.known = true, false
		l.backOff(now)
	default:
		l.backOff(now)
	}
}

// confirm records that the latest attempt has taken effect.
func (l *Lease) confirm(now time.Time) {
	if !l.isOwn(l.row) || l.row.Token != l.attempt.Token {
		l.heldSince = now
	}
	l.row = l.attempt
	if !l.released {
		l.validUntil = l.attemptSentAt.Add(l.options.Length - l.options.Length/marginDivisor)
	}
}

// HandleRow applies a read of the lease row that was sent at sentAt. A failed read
// is passed with its result.
func (l *Lease) HandleRow(row store.Row, r store.Result, sentAt, now time.Time) error {
	if !r.OK() {
		l.backOff(now)
		return r.Err
	}
	var next leaseRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &next); err != nil || next.Format != rowFormat {
			l.backOff(now)
			return fmt.Errorf("%w: key %s: version %d", ErrUnreadable, row.Key, row.Version)
		}
	}
	l.failures = 0
	if r.NowMillis > 0 {
		l.setSample(r.NowMillis, sentAt, now)
	}
	if l.unresolved && next.isCommit(l.attempt) {
		l.confirm(now)
	}
	l.unresolved = false
	if !l.isOwn(next) {
		l.validUntil = time.Time{}
	}
	l.row, l.version, l.known, l.readAt = next, row.Version, true, now
	return nil
}

func (l *Lease) setSample(millis int64, sentAt, receivedAt time.Time) {
	l.nowMillis, l.sampleSentAt, l.sampleReceivedAt = millis, sentAt, receivedAt
}

// isOwn reports whether this process start wrote the row.
func (l *Lease) isOwn(v leaseRow) bool {
	return v.Token > 0 && v.Node == l.options.Node && v.Start == l.options.Start
}

// isCommit reports whether the row is the result of the commit of another value.
func (v leaseRow) isCommit(o leaseRow) bool {
	return v.Node == o.Node && v.Start == o.Start && v.Token == o.Token && v.Sequence == o.Sequence
}

func (l *Lease) backOff(now time.Time) {
	pause := min(maxBackoff, minBackoff<<min(l.failures, 10))
	l.failures++
	l.nextCall = now.Add(pause/2 + time.Duration(l.options.Rand()*float64(pause)/2))
}
