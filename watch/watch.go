// Package watch decides which nodes of a system follow a table of the store
// for all others, so that the calls to the store don't grow with the system.
//
// Some members of each failure domain are watchers: they ask the store all the
// time and send beats to their listeners while the store answers them. Every
// node listens to one watcher of its own domain and to one of the next domain.
// A node that hears no beat asks the store itself until it hears one again.
//
// A Watch is a pure state machine of one node: the caller passes the time and
// serializes the calls. Roles follow from the members alone; nodes that know
// different members may both watch or both listen, which costs calls or the
// silence after which a node asks itself.
package watch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// Wait is how long a question of a watcher may wait for changes at the
	// store; each answer shows that the store can still be reached.
	Wait = 2 * time.Second
	// answerSlack is the time beyond Wait after which a watcher without an
	// answer sends no beats.
	answerSlack = 500 * time.Millisecond
	// BeatPeriod is the time between two beats to the same listener.
	BeatPeriod = 400 * time.Millisecond
	// silence is the time without a beat after which a node asks the store: a
	// change has to be in force 2 s after it was accepted, and two beats may be
	// lost. silenceSpread is added at random, so that not all nodes ask at once.
	silence       = 1200 * time.Millisecond
	silenceSpread = 300 * time.Millisecond
	// domainMembers is the number of members of a domain for each watcher in
	// it. A watcher then has about 32 listeners and sends them 5 KB/s.
	domainMembers = 16
	// pauseLeast and pauseMost bound the pause of a watcher after a question
	// without an answer; it doubles in between. Other nodes wait for
	// listenerFactor times as long: the watchers will tell them.
	pauseLeast     = 150 * time.Millisecond
	pauseMost      = time.Second
	listenerFactor = 6
)

// Member is a node that can watch.
type Member struct {
	Node   ident.Node
	Domain ident.Domain
}

// Options configure a Watch. All fields are required.
type Options struct {
	Self Member
	// Rand returns a uniform number in [0, 1).
	Rand func() float64
}

// Watch is one node's view of who watches.
type Watch struct {
	o Options
	// watcher is the role of this node, listeners those it tells.
	watcher   bool
	listeners []ident.Node
	// word is the time of the latest beat or answer, answered that of the
	// latest answer; zero before the first.
	word, answered time.Time
	// spread is this node's part of silenceSpread.
	spread time.Duration
	pause  time.Duration
	// next is the time before which the store isn't asked again.
	next time.Time
	beat time.Time
}

// New returns a Watch of a node that knows no other member. Until it does, it
// asks the store after each silence: at a start it will soon hear of others.
func New(o Options) *Watch {
	w := &Watch{o: o, spread: time.Duration(o.Rand() * float64(silenceSpread))}
	w.Update(nil)
	return w
}

// Update replaces the live members. The own node counts whether listed or not.
func (w *Watch) Update(members []Member) {
	w.watcher = false
	w.listeners = nil
	domains := domainsOf(members, w.o.Self)
	if len(domains) == 1 && len(domains[0].members) == 1 {
		return
	}
	for i, d := range domains {
		for rank, n := range d.watchers {
			if n == w.o.Self.Node {
				w.watcher = true
				w.listeners = listeners(n, rank, d, domains[(i+len(domains)-1)%len(domains)])
			}
		}
	}
}

// domain is the members of one failure domain, watchers first.
type domain struct {
	name     ident.Domain
	members  []ident.Node
	watchers []ident.Node
}

// domainsOf sorts members by domain, and those of a domain by a hash that is
// the same on all nodes.
func domainsOf(members []Member, self Member) []domain {
	byName := map[ident.Domain][]ident.Node{self.Domain: {self.Node}}
	for _, m := range members {
		if m.Node != self.Node {
			byName[m.Domain] = append(byName[m.Domain], m.Node)
		}
	}
	var out []domain
	for name, nodes := range byName {
		slices.SortFunc(nodes, func(a, b ident.Node) int {
			return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
		})
		count := (len(nodes) + domainMembers - 1) / domainMembers
		out = append(out, domain{name: name, members: nodes, watchers: nodes[:count]})
	}
	slices.SortFunc(out, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return out
}

func hash(n ident.Node) uint64 { return xxhash.Sum64String(string(n)) }

// listeners are the members of the own domain and of the one before it that
// fall to the watcher of a rank.
func listeners(self ident.Node, rank int, own, before domain) []ident.Node {
	candidates := own.members
	if before.name != own.name {
		candidates = slices.Concat(candidates, before.members)
	}
	var out []ident.Node
	for _, n := range candidates {
		if n != self && int(hash(n)%uint64(len(own.watchers))) == rank {
			out = append(out, n)
		}
	}
	return out
}

// Watcher reports whether this node watches.
func (w *Watch) Watcher() bool { return w.watcher }

// Listeners are the nodes that this watcher sends beats to.
func (w *Watch) Listeners() []ident.Node { return w.listeners }

// Heard takes a beat of a watcher.
func (w *Watch) Heard(now time.Time) { w.word = now }

// Answered takes an answer of the store to this node.
func (w *Watch) Answered(now time.Time) {
	w.word, w.answered = now, now
	w.pause, w.next = 0, now
}

// Failed takes a question to the store that got no answer.
func (w *Watch) Failed(now time.Time) {
	w.pause = min(pauseMost, max(pauseLeast, 2*w.pause))
	pause := w.pause/2 + time.Duration(w.o.Rand()*float64(w.pause))
	if !w.watcher {
		pause *= listenerFactor
	}
	w.next = now.Add(pause)
}

// Asks reports whether this node asks the store now.
func (w *Watch) Asks(now time.Time) bool {
	if now.Before(w.next) {
		return false
	}
	return w.watcher || w.word.IsZero() || now.Sub(w.word) > silence+w.spread
}

// Beats reports whether a watcher sends its beats now, and counts them as sent.
func (w *Watch) Beats(now time.Time) bool {
	if !w.watcher || w.answered.IsZero() || now.Sub(w.answered) > Wait+answerSlack || now.Sub(w.beat) < BeatPeriod {
		return false
	}
	w.beat = now
	return true
}
