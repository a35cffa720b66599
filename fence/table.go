// Package fence keeps the exit node's record of which requests it has seen,
// so that a request runs at most once and a refusal as not run is true.
//
// Table is a pure machine: it has no goroutine, lock, clock or socket. The
// caller passes the time and serializes the calls. Invariants:
//
//   - Begin gives Run at most once for an id.
//   - An id that was reported as not run never gets Run afterwards.
//   - A fence is kept until the request's deadline plus the clock bound, and
//     no request gets Run after that moment.
//
// The deadline of a late copy must not lie beyond that of its fence. A shell
// whose messages carry the time left therefore passes a deadline that is later
// than the request's by the longest delay that its connections allow.
//
// Time never steps back inside a table, so that a jump forward makes it refuse
// requests until the real time has caught up. The shell therefore passes the
// wall time of the process start plus the monotonic time since then.
package fence

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// ClockBound is the largest clock skew between two nodes that is tolerated.
	ClockBound = 500 * time.Millisecond
	// Longest is the largest time left that a request may have.
	Longest = 5 * time.Minute
	// DefaultEntries holds 75 requests/s with the longest deadline twice over.
	DefaultEntries = 1 << 16
	// DefaultBytes bounds stored answers to a quarter of a node's 128 MB.
	DefaultBytes = 32 << 20
)

// State is the state of one request at its exit.
type State uint8

const (
	// Unseen means that the table has no fence for the id.
	Unseen State = iota
	// Running means that the request was given to the shell and not finished.
	Running
	// Ran means that the request was handed to the upstream, whole or in part.
	Ran
	// Refused means that the request didn't run and won't run here.
	Refused
	// Cancelled means that a cancel came first and the request won't run here.
	Cancelled
)

// String returns the state as used in logs.
func (s State) String() string {
	return [...]string{"unseen", "running", "ran", "refused", "cancelled"}[s]
}

// Kind tells what a caller of Begin or Cancel has to do.
type Kind uint8

const (
	// Run means that the request is new: run it or refuse it, then call Finish.
	Run Kind = iota
	// DuplicateRunning means that the request is running; Done tells its end.
	DuplicateRunning
	// DuplicateFinished means that the request ran; see Verdict.Stored.
	DuplicateFinished
	// DuplicateRefused means that the request was refused and won't run here.
	DuplicateRefused
	// CancelledFirst means that the request didn't run and won't run here.
	CancelledFirst
	// WrongStart means that the message was meant for another run of this
	// node. It proves nothing: a copy may have run under the earlier start.
	WrongStart
	// Expired means that the deadline has passed or is further away than
	// Longest. It proves nothing: the fence of a copy may have expired.
	Expired
	// Full means that no room is left; the request won't run here.
	Full
	// NoRecord is given by Cancel only, if NoMark is set: the request has not
	// arrived, and may arrive and run later.
	NoRecord
)

// String returns the kind as used in logs.
func (k Kind) String() string {
	return [...]string{
		"run", "duplicate-running", "duplicate-finished", "duplicate-refused",
		"cancelled", "wrong-start", "expired", "full", "no-record",
	}[k]
}

// Answer is the end of a request: Ran or Refused, and what to tell duplicates.
type Answer[A any] struct {
	State State
	Value A
}

// Verdict is the decision on one message.
type Verdict[A any] struct {
	Kind   Kind
	Answer Answer[A]
	// Stored is set if Answer.Value is present. A request that ran and whose
	// answer was dropped has an unknown result.
	Stored bool
}

// NotRun reports whether the verdict proves that the request has not run here
// and won't run here.
func (v Verdict[A]) NotRun() bool {
	return v.Kind == DuplicateRefused || v.Kind == CancelledFirst || v.Kind == Full
}

// Options configure a Table.
type Options[A any] struct {
	// Start is the identity of this run of the node; messages for another
	// start are refused.
	Start ident.Start
	// Entries bounds the number of fences; 0 means DefaultEntries.
	Entries int
	// Bytes bounds the total size of stored answers; 0 means DefaultBytes.
	Bytes int
	// Size gives the size of an answer in bytes. Nil counts each as 1 byte.
	Size func(A) int
	// Done is called by Finish when a running request ends. A Lookup inside
	// Done sees the answer even if it is too large to be kept.
	Done func(ident.Request)
	// NoMark makes Cancel leave no mark for a request that has not arrived.
	// It exists for measuring the effect of the mark only.
	NoMark bool
}

// record is one fence. Records live in a slab, so that Begin allocates nothing.
type record[A any] struct {
	id     ident.Request
	expire time.Time
	answer Answer[A]
	size   int
	stored bool
	// queued is set while the record is in the expiry heap.
	queued bool
	// older and newer link the records with stored answers by age.
	older, newer int32
}

// none is the missing index in the slab.
const none int32 = -1

// Table holds the fences of one start of an exit node.
type Table[A any] struct {
	options Options[A]
	index   map[ident.Request]int32
	slab    []record[A]
	free    []int32
	due     dueHeap
	bytes   int
	oldest  int32
	newest  int32
	// latest is the largest time seen. A clock that steps back must not
	// revive a request whose fence has expired.
	latest time.Time
	spill  spill
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
		options: o,
		index:   make(map[ident.Request]int32),
		oldest:  none,
		newest:  none,
		spill:   newSpill(o.Entries),
	}
}

// Begin decides on an arrived request. After Run the shell calls Finish
// exactly once, also if admission refuses the request.
func (t *Table[A]) Begin(id ident.Request, start ident.Start, deadline, now time.Time) Verdict[A] {
	now = t.advance(now)
	if v, ok := t.known(id, start, deadline, now); ok {
		return v
	}
	if !t.insert(id, Running, deadline) {
		t.spill.add(id, deadline.Add(ClockBound), now)
		return Verdict[A]{Kind: Full}
	}
	return Verdict[A]{Kind: Run}
}

// Cancel asks for the outcome of a request whose answer is missing. If the
// request has not arrived, Cancel leaves a mark and the request never runs.
func (t *Table[A]) Cancel(id ident.Request, start ident.Start, deadline, now time.Time) Verdict[A] {
	now = t.advance(now)
	if v, ok := t.known(id, start, deadline, now); ok {
		return v
	}
	if t.options.NoMark {
		return Verdict[A]{Kind: NoRecord}
	}
	if !t.insert(id, Cancelled, deadline) {
		t.spill.add(id, deadline.Add(ClockBound), now)
	}
	return Verdict[A]{Kind: CancelledFirst}
}

// Finish ends a running request. The answer's state must be Ran or Refused;
// Refused is allowed only if no byte was sent to the upstream. Finish reports
// false, and changes nothing, if the request isn't running.
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
	t.link(i)
	if !r.queued {
		r.queued = true
		t.due.push(due{at: r.expire, slot: i})
	}
	if t.options.Done != nil {
		t.options.Done(id)
	}
	t.trim()
	return true
}

// Lookup returns the state of an id and its answer, if it is still stored.
func (t *Table[A]) Lookup(id ident.Request) (answer Answer[A], stored bool) {
	i, ok := t.index[id]
	if !ok {
		return Answer[A]{}, false
	}
	return t.slab[i].answer, t.slab[i].stored
}

// Expire removes the fences whose deadline plus clock bound has passed. Begin
// and Cancel do the same, so that Expire only matters for an idle table.
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

// known gives the verdict on a message that needs no new fence.
func (t *Table[A]) known(id ident.Request, start ident.Start, deadline, now time.Time) (Verdict[A], bool) {
	if start == 0 || start != t.options.Start {
		return Verdict[A]{Kind: WrongStart}, true
	}
	if i, ok := t.index[id]; ok {
		return t.verdict(i, deadline), true
	}
	if now.After(deadline.Add(ClockBound)) || deadline.After(now.Add(Longest+ClockBound)) {
		return Verdict[A]{Kind: Expired}, true
	}
	if t.spill.has(id, now) {
		// On a false positive the refusal has to last as long as this request.
		t.spill.add(id, deadline.Add(ClockBound), now)
		return Verdict[A]{Kind: DuplicateRefused, Answer: Answer[A]{State: Refused}}, true
	}
	return Verdict[A]{}, false
}

// verdict describes an existing fence and keeps it for the longest deadline
// that any message about the request has shown.
func (t *Table[A]) verdict(i int32, deadline time.Time) Verdict[A] {
	r := &t.slab[i]
	// A bogus deadline must not hold the fence for longer than any request.
	if e := deadline.Add(ClockBound); e.After(r.expire) && !e.After(t.latest.Add(Longest+2*ClockBound)) {
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

// insert adds a fence and reports false if the table is full.
func (t *Table[A]) insert(id ident.Request, s State, deadline time.Time) bool {
	i, ok := t.slot()
	if !ok {
		return false
	}
	r := &t.slab[i]
	*r = record[A]{
		id:     id,
		expire: deadline.Add(ClockBound),
		answer: Answer[A]{State: s},
		queued: true,
		older:  none,
		newer:  none,
	}
	t.index[id] = i
	t.due.push(due{at: r.expire, slot: i})
	return true
}

// slot finds a free place in the slab.
func (t *Table[A]) slot() (int32, bool) {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i, true
	}
	if len(t.slab) >= t.options.Entries {
		return none, false
	}
	t.slab = append(t.slab, record[A]{})
	return int32(len(t.slab) - 1), true
}
