package fence

import (
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// KeyKind tells what to do with a request that carries a caller's key.
type KeyKind uint8

const (
	// KeyRun means that the key is new: run the request, then call Finish.
	KeyRun KeyKind = iota
	// KeyRunning means that a request with the key is running; this one is
	// refused as not run.
	KeyRunning
	// KeyFinished means that a request with the key ran. Without a stored
	// answer, this one is refused as not run.
	KeyFinished
	// KeyUnknown means that this node can't know whether the key was used.
	KeyUnknown
	// KeyElsewhere means that the key's home is another node; not run.
	KeyElsewhere
	// KeyFull means that no room is left for the key; not run.
	KeyFull
)

// String returns the kind as used in logs.
func (k KeyKind) String() string {
	return [...]string{"run", "running", "finished", "unknown", "elsewhere", "full"}[k]
}

// KeyVerdict is the decision on a request that carries a caller's key.
type KeyVerdict[A any] struct {
	Kind   KeyKind
	Answer Answer[A]
	Stored bool
}

// KeyOptions configure Keys.
type KeyOptions[A any] struct {
	// Self is this node, to be compared with the home of a key.
	Self ident.Node
	// Entries bounds the number of keys; 0 means DefaultEntries.
	Entries int
	// Bytes bounds the stored answers; 0 means DefaultBytes.
	Bytes int
	// Size gives the size of an answer in bytes. Nil counts each as 1 byte.
	Size func(A) int
}

// keyTime is how long a key is remembered after its request began or ended,
// and how long a node that may lack a key's history answers KeyUnknown. The
// two are equal: a key that an earlier home has forgotten may run again.
const keyTime = Longest + ClockBound

// absence is a member that left the service and the time when it did.
type absence struct {
	node ident.Node
	at   time.Time
}

// keyRecord is the fence of one key.
type keyRecord[A any] struct {
	answer  Answer[A]
	stored  bool
	size    int
	touched time.Time
}

// Keys holds the fences of callers' keys at their home member.
//
// Promise: within one node start, and while the home of a key doesn't change,
// a second request with the same key gets the stored answer or is refused as
// not run. This holds until Longest plus ClockBound after the first request
// ended; then the key is forgotten. A request that was refused frees its key.
// After a restart or a change of the key's home the node doesn't guess: it
// answers KeyUnknown until Longest plus ClockBound has passed. While two nodes
// disagree about the members for longer than that, for example in a
// partition, both may accept the key.
//
// Keys is a pure machine like Table. Keys of different services or callers
// have to be kept apart by a prefix.
type Keys[A any] struct {
	options KeyOptions[A]
	records map[string]*keyRecord[A]
	// order lists keys by time of their last touch; an entry whose time
	// differs from the record's is outdated.
	order   []touch
	answers []touch
	bytes   int
	members []ident.Node
	// gone lists the members that left within keyTime, oldest first. A key
	// that one of them would win may have run there.
	gone []absence
	// since is the time from which this node knows the history of its keys.
	since  time.Time
	latest time.Time
}

// touch is a key at the time of its begin or end.
type touch struct {
	key string
	at  time.Time
}

// NewKeys returns an empty table that was started now.
func NewKeys[A any](o KeyOptions[A], members []ident.Node, now time.Time) *Keys[A] {
	if o.Entries <= 0 {
		o.Entries = DefaultEntries
	}
	if o.Bytes <= 0 {
		o.Bytes = DefaultBytes
	}
	if o.Size == nil {
		o.Size = func(A) int { return 1 }
	}
	return &Keys[A]{
		options: o,
		records: map[string]*keyRecord[A]{},
		members: slices.Clone(members),
		since:   now,
		latest:  now,
	}
}

// Members sets the members of the service.
func (k *Keys[A]) Members(members []ident.Node, now time.Time) {
	now = k.advance(now)
	for _, m := range k.members {
		if !slices.Contains(members, m) {
			k.gone = append(k.gone, absence{node: m, at: now})
		}
	}
	if !slices.Contains(k.members, k.options.Self) {
		// Until now another member was the home of every key.
		k.since = now
	}
	k.members = slices.Clone(members)
}

// Begin decides on a request with the key.
func (k *Keys[A]) Begin(key string, now time.Time) KeyVerdict[A] {
	now = k.advance(now)
	if home, ok := Home(key, k.members); !ok || home != k.options.Self {
		return KeyVerdict[A]{Kind: KeyElsewhere}
	}
	if r, ok := k.records[key]; ok {
		if r.answer.State == Running {
			return KeyVerdict[A]{Kind: KeyRunning}
		}
		return KeyVerdict[A]{Kind: KeyFinished, Answer: r.answer, Stored: r.stored}
	}
	if !k.certain(key, now) {
		return KeyVerdict[A]{Kind: KeyUnknown}
	}
	if len(k.records) >= k.options.Entries {
		return KeyVerdict[A]{Kind: KeyFull}
	}
	k.records[key] = &keyRecord[A]{answer: Answer[A]{State: Running}, touched: now}
	return KeyVerdict[A]{Kind: KeyRun}
}

// Finish ends the running request of a key. A Refused answer frees the key,
// because the request provably didn't run. It reports false if the key has
// no running request.
func (k *Keys[A]) Finish(key string, a Answer[A], now time.Time) bool {
	now = k.advance(now)
	r, ok := k.records[key]
	if !ok || r.answer.State != Running {
		return false
	}
	if a.State == Refused {
		delete(k.records, key)
		return true
	}
	*r = keyRecord[A]{answer: a, stored: true, size: k.options.Size(a.Value), touched: now}
	k.bytes += r.size
	k.order = append(k.order, touch{key: key, at: now})
	k.answers = append(k.answers, touch{key: key, at: now})
	for k.bytes > k.options.Bytes && len(k.answers) > 0 {
		k.drop(k.answers[0])
		k.answers = k.answers[1:]
	}
	return true
}

// Len returns the number of keys.
func (k *Keys[A]) Len() int {
	return len(k.records)
}

// certain reports whether this node was the key's home for the whole keyTime:
// it was a member all the time, and no member that left would win the key.
func (k *Keys[A]) certain(key string, now time.Time) bool {
	if !now.After(k.since.Add(keyTime)) {
		return false
	}
	for _, g := range k.gone {
		if home, _ := Home(key, []ident.Node{k.options.Self, g.node}); home != k.options.Self {
			return false
		}
	}
	return true
}

// advance forgets keys and departed members that are older than keyTime.
func (k *Keys[A]) advance(now time.Time) time.Time {
	if now.After(k.latest) {
		k.latest = now
	}
	old := k.latest.Add(-keyTime)
	for len(k.order) > 0 && k.order[0].at.Before(old) {
		t := k.order[0]
		k.order = k.order[1:]
		k.drop(t)
		if r, ok := k.records[t.key]; ok && r.touched.Equal(t.at) && r.answer.State != Running {
			delete(k.records, t.key)
		}
	}
	for len(k.gone) > 0 && k.gone[0].at.Before(old) {
		k.gone = k.gone[1:]
	}
	return k.latest
}

// drop removes the stored answer of a key, but not its state.
func (k *Keys[A]) drop(t touch) {
	r, ok := k.records[t.key]
	if !ok || !r.stored || !r.touched.Equal(t.at) {
		return
	}
	k.bytes -= r.size
	r.answer = Answer[A]{State: r.answer.State}
	r.stored = false
	r.size = 0
}
