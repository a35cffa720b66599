// Package fence deduplicates requests at the exit node. A fence is the record
// of one request id; it ensures that the request runs at most once, and that a
// request reported as not run never runs later.
//
// Table is a pure state machine: it has no goroutine, lock, clock or socket.
// The caller passes the time and serializes the calls. Invariants:
//
//   - Begin returns Run at most once for an id.
//   - After an id was reported as not run, Begin never returns Run for it.
//   - A fence is kept until the request's deadline plus the clock bound, and
//     Begin returns Run for no request after that time.
//
// The deadline passed with a late copy must not be later than that of its
// fence. A caller whose messages carry the remaining time instead of a deadline
// must therefore add the longest delay that its connections allow to the
// deadline that it computes.
//
// Time never goes back inside a table, so after a forward jump of the clock the
// table refuses requests until the real time has caught up. The caller should
// therefore pass the wall time of the process start plus the monotonic time
// since then.
package fence

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// ClockBound is the largest tolerated clock skew between two nodes.
	ClockBound = 500 * time.Millisecond
	// MaxTimeout is the largest remaining time until the deadline of a request.
	MaxTimeout = 5 * time.Minute
	// DefaultEntries holds twice the fences of 75 requests/s with MaxTimeout.
	DefaultEntries = 1 << 16
	// DefaultBytes bounds the stored answers to a quarter of a node's 128 MB.
	DefaultBytes = 32 << 20
)

// State is the state of one request at its exit node.
type State uint8

const (
	// Unseen means that the table has no fence for the id.
	Unseen State = iota
	// Running means that Begin returned Run and Finish was not called yet.
	Running
	// Ran means that the request was sent to the upstream, in whole or in part.
	Ran
	// Refused means that the request didn't run and won't run on this node.
	Refused
	// Cancelled means that Cancel came before the request, which won't run on
	// this node.
	Cancelled
)

// String returns the name of the state in logs.
func (s State) String() string {
	return [...]string{"unseen", "running", "ran", "refused", "cancelled"}[s]
}

// Kind is the decision that Begin or Cancel made on a message.
type Kind uint8

const (
	// Run means that the request is new: run it or refuse it, then call Finish.
	Run Kind = iota
	// DuplicateRunning means that the request is running; Options.Done is
	// called when it ends.
	DuplicateRunning
	// DuplicateFinished means that the request ran; see Verdict.Stored.
	DuplicateFinished
	// DuplicateRefused means that the request was refused and won't run on this
	// node.
	DuplicateRefused
	// CancelledFirst means that the request was cancelled before it arrived. It
	// didn't run and won't run on this node.
	CancelledFirst
	// WrongStart means that the message is addressed to another process start
	// of this node. The outcome is unknown: a copy may have run under the
	// earlier start.
	WrongStart
	// Expired means that the deadline has passed or is further away than
	// MaxTimeout. The outcome is unknown: the fence of a copy may have expired.
	Expired
	// Full means that the table is full; the request won't run on this node.
	Full
	// NoRecord is returned by Cancel only, if Options.NoTombstone is set: the
	// request has not arrived, and may arrive and run later.
	NoRecord
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{
		"run", "duplicate-running", "duplicate-finished", "duplicate-refused",
		"cancelled", "wrong-start", "expired", "full", "no-record",
	}[k]
}

// Answer is the result of a request: its final state, Ran or Refused, and the
// value to return to duplicates.
type Answer[A any] struct {
	State State
	Value A
}

// Verdict is the decision on one message.
type Verdict[A any] struct {
	Kind   Kind
	Answer Answer[A]
	// Stored reports whether Answer.Value is present. If a request ran and its
	// answer was dropped, its result is unknown.
	Stored bool
}

// NotRun reports whether the verdict proves that the request has not run on
// this node and won't run on it later.
func (v Verdict[A]) NotRun() bool {
	return v.Kind == DuplicateRefused || v.Kind == CancelledFirst || v.Kind == Full
}

// Options configure a Table.
type Options[A any] struct {
	// Start identifies this process start of the node. Messages that are
	// addressed to another start are refused.
	Start ident.Start
	// Entries is the maximum number of fences; 0 means DefaultEntries.
	Entries int
	// Bytes is the maximum total size of stored answers; 0 means DefaultBytes.
	Bytes int
	// Size returns the size of an answer in bytes. If nil, each counts as 1 byte.
	Size func(A) int
	// Done is called by Finish when a running request ends. Lookup called from
	// Done returns the answer even if it is too large to be kept.
	Done func(ident.Request)
	// NoTombstone makes Cancel record no tombstone for a request that has not
	// arrived. It is only for tests and measurements that compare both modes.
	NoTombstone bool
}

// record is one fence. Records are kept in a slab, so that Begin doesn't
// allocate.
type record[A any] struct {
	id     ident.Request
	expire time.Time
	answer Answer[A]
	size   int // of the stored answer, in bytes
	stored bool
	// inHeap reports whether the record is in the expiry heap.
	inHeap bool
	// older and newer link the records with stored answers in order of age.
	older, newer int32
}

// noSlot is the slot number that means no slot.
const noSlot int32 = -1

// Table holds the fences of one process start of an exit node.
type Table[A any] struct {
	options  Options[A]
	index    map[ident.Request]int32
	slab     []record[A]
	free     []int32
	expiries expiryHeap
	bytes    int
	oldest   int32
	newest   int32
	// latest is the largest time passed to the table. If time could go back, a
	// request whose fence has expired could run again.
	latest   time.Time
	overflow overflowFilter
}

// New returns an empty table.
func New[A any](o Options[A]) *Table[A] {
	if o.Entries <= 0 {
		o.Entries = DefaultEntries
	}
	if o.Bytes <= 0 {
		o.Bytes = DefaultBytes
	}
	if o.Size == nil {
		o.Size = func(A) int { return 1 }
	}
	return &Table[A]{
		options:  o,
		index:    make(map[ident.Request]int32),
		oldest:   noSlot,
		newest:   noSlot,
		overflow: newOverflowFilter(o.Entries),
	}
}

// Begin decides whether a request that arrived may run. If it returns Run, the
// caller must call Finish exactly once, also if admission control refuses the
// request.
func (t *Table[A]) Begin(id ident.Request, start ident.Start, deadline, now time.Time) Verdict[A] {
	now = t.advance(now)
	if v, ok := t.existingVerdict(id, start, deadline, now); ok {
		return v
	}
	if !t.insert(id, Running, deadline) {
		t.overflow.add(id, deadline.Add(ClockBound), now)
		return Verdict[A]{Kind: Full}
	}
	return Verdict[A]{Kind: Run}
}

// Cancel returns the state of a request whose answer the caller didn't receive.
// If the request has not arrived, Cancel records a tombstone, and the request
// never runs.
func (t *Table[A]) Cancel(id ident.Request, start ident.Start, deadline, now time.Time) Verdict[A] {
	now = t.advance(now)
	if v, ok := t.existingVerdict(id, start, deadline, now); ok {
		return v
	}
	if t.options.NoTombstone {
		return Verdict[A]{Kind: NoRecord}
	}
	if !t.insert(id, Cancelled, deadline) {
		t.overflow.add(id, deadline.Add(ClockBound), now)
	}
	return Verdict[A]{Kind: CancelledFirst}
}

// Finish ends a running request. The state of the answer must be Ran or
// Refused; Refused is allowed only if no byte was sent to the upstream. If the
// request isn't running, Finish changes nothing and returns false.
func (t *Table[A]) Finish(id ident.Request, a Answer[A], now time.Time) bool {
	t.advance(now)
	i, ok := t.index[id]
	if !ok || t.slab[i].answer.State != Running || (a.State != Ran && a.State != Refused) {
		return false
	}
	r := &t.slab[i]
	r.answer = a
	r.size = t.options.Size(a.Value)
	r.stored = true
	t.bytes += r.size
	t.linkAnswer(i)
	if !r.inHeap {
		r.inHeap = true
		t.expiries.push(expiryEntry{at: r.expire, slot: i})
	}
	if t.options.Done != nil {
		t.options.Done(id)
	}
	t.trimAnswers()
	return true
}

// Lookup returns the state of an id with its answer, and reports whether the
// answer is still stored.
func (t *Table[A]) Lookup(id ident.Request) (answer Answer[A], stored bool) {
	i, ok := t.index[id]
	if !ok {
		return Answer[A]{}, false
	}
	return t.slab[i].answer, t.slab[i].stored
}

// Expire removes the fences whose deadline plus clock bound has passed. Begin
// and Cancel do the same, so only an idle table needs Expire.
func (t *Table[A]) Expire(now time.Time) {
	t.advance(now)
}

// Len returns the number of fences.
func (t *Table[A]) Len() int {
	return len(t.index)
}

// Bytes returns the total size of the stored answers.
func (t *Table[A]) Bytes() int {
	return t.bytes
}

// existingVerdict returns the verdict on a message that needs no new fence. It
// reports false if the message needs one.
func (t *Table[A]) existingVerdict(id ident.Request, start ident.Start, deadline, now time.Time) (Verdict[A], bool) {
	if start == 0 || start != t.options.Start {
		return Verdict[A]{Kind: WrongStart}, true
	}
	if i, ok := t.index[id]; ok {
		return t.duplicateVerdict(i, deadline), true
	}
	if now.After(deadline.Add(ClockBound)) || deadline.After(now.Add(MaxTimeout+ClockBound)) {
		return Verdict[A]{Kind: Expired}, true
	}
	if t.overflow.has(id, now) {
		// If this is a false positive, the filter must go on refusing this
		// request until the request itself expires.
		t.overflow.add(id, deadline.Add(ClockBound), now)
		return Verdict[A]{Kind: DuplicateRefused, Answer: Answer[A]{State: Refused}}, true
	}
	return Verdict[A]{}, false
}

// duplicateVerdict returns the verdict on a message about the existing fence in
// slot i, and extends the fence to the latest deadline in any such message.
func (t *Table[A]) duplicateVerdict(i int32, deadline time.Time) Verdict[A] {
	r := &t.slab[i]
	// An invalid deadline must not keep the fence longer than the latest valid
	// deadline would.
	if e := deadline.Add(ClockBound); e.After(r.expire) && !e.After(t.latest.Add(MaxTimeout+2*ClockBound)) {
		r.expire = e
	}
	v := Verdict[A]{Answer: r.answer, Stored: r.stored}
	switch r.answer.State {
	case Running:
		v.Kind = DuplicateRunning
	case Ran:
		v.Kind = DuplicateFinished
	case Refused:
		v.Kind = DuplicateRefused
	default:
		v.Kind = CancelledFirst
	}
	return v
}

// insert adds a fence and reports whether the table had room for it.
func (t *Table[A]) insert(id ident.Request, s State, deadline time.Time) bool {
	i, ok := t.allocSlot()
	if !ok {
		return false
	}
	r := &t.slab[i]
	*r = record[A]{
		id:     id,
		expire: deadline.Add(ClockBound),
		answer: Answer[A]{State: s},
		inHeap: true,
		older:  noSlot,
		newer:  noSlot,
	}
	t.index[id] = i
	t.expiries.push(expiryEntry{at: r.expire, slot: i})
	return true
}

// allocSlot returns a free slot of the slab, and reports whether there is one.
func (t *Table[A]) allocSlot() (int32, bool) {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i, true
	}
	if len(t.slab) >= t.options.Entries {
		return noSlot, false
	}
	t.slab = append(t.slab, record[A]{})
	return int32(len(t.slab) - 1), true
}
