package fence

import (
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// KeyKind is the decision on a request that carries a caller's key.
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
	// KeyUnknown means that this node can't determine whether the key was used.
	KeyUnknown
	// KeyElsewhere means that the key's home is another node; this request is
	// refused as not run.
	KeyElsewhere
	// KeyFull means that the table is full; this request is refused as not run.
	KeyFull
)

// String returns the name of the kind in logs.
func (k KeyKind) String() string {
	return [...]string{"run", "running", "finished", "unknown", "elsewhere", "full"}[k]
}

// KeyVerdict is the decision on a request that carries a caller's key.
type KeyVerdict[A any] struct {
	Kind   KeyKind
	Answer Answer[A]
	Stored bool // whether Answer.Value is present
}

// KeyOptions configure Keys.
type KeyOptions[A any] struct {
	// Self is this node.
	Self ident.Node
	// Entries is the maximum number of keys; 0 means DefaultEntries.
	Entries int
	// Bytes is the maximum total size of stored answers; 0 means DefaultBytes.
	Bytes int
	// Size returns the size of an answer in bytes. If nil, each counts as 1 byte.
	Size func(A) int
}

// keyRetention is how long a key is kept after its request ended, and how long
// a node that may lack a key's history returns KeyUnknown. Both are one value,
// because a key may run again once its earlier home has removed it.
const keyRetention = MaxTimeout + ClockBound

// departure is a member that left the service, with the time when it left.
type departure struct {
	node ident.Node
	at   time.Time
}

// keyRecord is the fence of one key.
type keyRecord[A any] struct {
	answer   Answer[A]
	stored   bool
	size     int       // of the stored answer, in bytes
	lastUsed time.Time // when the latest request with the key began or ended
}

// Keys holds the fences of callers' keys at their home member.
//
// Within one process start, and while the home of a key doesn't change, a
// second request with the same key gets the stored answer or is refused as not
// run. This holds until MaxTimeout plus ClockBound after the first request
// ended; then the key is removed. A request that was refused frees its key.
// After a restart or a change of the key's home, Begin returns KeyUnknown until
// MaxTimeout plus ClockBound has passed. If two nodes disagree about the
// members for longer than that, for example in a network partition, both may
// accept the key.
//
// Keys is a pure state machine like Table. The caller must distinguish the keys
// of different services or callers by a prefix.
type Keys[A any] struct {
	options KeyOptions[A]
	records map[string]*keyRecord[A]
	// uses lists the uses of keys by time. An entry whose time differs from
	// that of the key's record is outdated.
	uses    []keyUse
	answers []keyUse // the uses of keys with stored answers, oldest first
	bytes   int
	members []ident.Node
	// departed lists the members that left within keyRetention, oldest first. A
	// key whose home would be one of them may have run there.
	departed []departure
	// since is the time from which this node has the history of its keys.
	since  time.Time
	latest time.Time
}

// keyUse is the end of a request with the key.
type keyUse struct {
	key string
	at  time.Time
}

// NewKeys returns an empty table of a node that started now.
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

// SetMembers replaces the members of the service.
func (k *Keys[A]) SetMembers(members []ident.Node, now time.Time) {
	now = k.advance(now)
	for _, m := range k.members {
		if !slices.Contains(members, m) {
			k.departed = append(k.departed, departure{node: m, at: now})
		}
	}
	if !slices.Contains(k.members, k.options.Self) {
		// This node has been the home of no key until now.
		k.since = now
	}
	k.members = slices.Clone(members)
}

// Begin decides whether a request with the key may run. If it returns KeyRun,
// the caller must call Finish.
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
	if !k.hasHistory(key, now) {
		return KeyVerdict[A]{Kind: KeyUnknown}
	}
	if len(k.records) >= k.options.Entries {
		return KeyVerdict[A]{Kind: KeyFull}
	}
	k.records[key] = &keyRecord[A]{answer: Answer[A]{State: Running}, lastUsed: now}
	return KeyVerdict[A]{Kind: KeyRun}
}

// Finish ends the running request of a key. An answer in state Refused frees
// the key, because its request didn't run. Finish reports false if the key has
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
	*r = keyRecord[A]{answer: a, stored: true, size: k.options.Size(a.Value), lastUsed: now}
	k.bytes += r.size
	k.uses = append(k.uses, keyUse{key: key, at: now})
	k.answers = append(k.answers, keyUse{key: key, at: now})
	for k.bytes > k.options.Bytes && len(k.answers) > 0 {
		k.dropAnswer(k.answers[0])
		k.answers = k.answers[1:]
	}
	return true
}

// Len returns the number of keys.
func (k *Keys[A]) Len() int {
	return len(k.records)
}

// hasHistory reports whether this node was the key's home during the whole
// keyRetention: it was a member all the time, and no member that left within it
// would have been the key's home.
func (k *Keys[A]) hasHistory(key string, now time.Time) bool {
	if !now.After(k.since.Add(keyRetention)) {
		return false
	}
	for _, d := range k.departed {
		if home, _ := Home(key, []ident.Node{k.options.Self, d.node}); home != k.options.Self {
			return false
		}
	}
	return true
}

// advance moves the time of the table forward to now, removes keys and departed
// members that are older than keyRetention, and returns the time of the table.
func (k *Keys[A]) advance(now time.Time) time.Time {
	if now.After(k.latest) {
		k.latest = now
	}
	cutoff := k.latest.Add(-keyRetention)
	for len(k.uses) > 0 && k.uses[0].at.Before(cutoff) {
		u := k.uses[0]
		k.uses = k.uses[1:]
		k.dropAnswer(u)
		if r, ok := k.records[u.key]; ok && r.lastUsed.Equal(u.at) && r.answer.State != Running {
			delete(k.records, u.key)
		}
	}
	for len(k.departed) > 0 && k.departed[0].at.Before(cutoff) {
		k.departed = k.departed[1:]
	}
	return k.latest
}

// dropAnswer removes the stored answer of a key, but not its state.
func (k *Keys[A]) dropAnswer(u keyUse) {
	r, ok := k.records[u.key]
	if !ok || !r.stored || !r.lastUsed.Equal(u.at) {
		return
	}
	k.bytes -= r.size
	r.answer = Answer[A]{State: r.answer.State}
	r.stored = false
	r.size = 0
}
