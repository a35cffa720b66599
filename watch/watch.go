// Package watch selects the nodes that poll a table of the store on behalf of the
// whole system, so that the load on the store doesn't grow with the system.
//
// Some members of each failure domain are watchers: they poll the store
// continuously and send beats, which are heartbeats, to their listeners while the
// store answers them. Every node is a listener of one watcher in its own domain
// and of one in the next domain, if there is one. A node that receives no beat
// polls the store itself until it receives one again.
//
// A Watch is a pure state machine of one node: the caller passes the time and
// serializes the calls. Roles depend only on the members. If nodes disagree about
// the members, a domain may have too many watchers, which costs additional polls,
// or too few, so that nodes poll the store themselves after the beat timeout.
package watch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// minPollTimeout and maxPollTimeout bound how long a poll may wait for changes
	// at the store. Each answer, with or without changes, shows that the store is
	// reachable. The more watchers there are, the longer each may be mistaken
	// about that, since all nodes follow a change that one of them notices.
	minPollTimeout = 2 * time.Second
	maxPollTimeout = 6 * time.Second
	// watchersPerPollSecond is the number of watchers that lengthens a poll by
	// a second.
	watchersPerPollSecond = 2
	// answerSlack is added to the poll timeout to get the time since the latest
	// answer of the store after which a watcher stops sending beats.
	answerSlack = 500 * time.Millisecond
	// BeatPeriod is the time between two beats to the same listener.
	BeatPeriod = 400 * time.Millisecond
	// beatTimeout is the time without a beat after which a node polls the store.
	// A change must be in force 2 s after it was accepted, and two successive
	// beats may be lost. Each node adds a random time up to beatTimeoutJitter, so
	// that not all nodes poll at once.
	beatTimeout = 1200 * time.Millisecond
	// firstBeatTimeout replaces beatTimeout until the first beat: a node that has
	// just started isn't a listener before the watchers know it.
	firstBeatTimeout  = 2500 * time.Millisecond
	beatTimeoutJitter = 300 * time.Millisecond
	// membersPerWatcher is the number of members of a domain for each watcher in
	// it. A watcher then has about 32 listeners, to which it sends 5 KB/s in
	// total.
	membersPerWatcher = 16
	// minRetryDelay and maxRetryDelay bound the delay of a watcher after a failed
	// poll; it doubles with each failure. Other nodes wait listenerDelayFactor
	// times as long, since they get beats once the store answers a watcher.
	minRetryDelay       = 150 * time.Millisecond
	maxRetryDelay       = time.Second
	listenerDelayFactor = 6
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

// Watch decides whether and when one node polls the store and sends beats.
type Watch struct {
	options   Options
	watcher   bool         // whether this node is a watcher
	watchers  int          // in all domains
	alone     bool         // whether this node knows no other member
	heard     bool         // whether this node has received a beat
	listeners []ident.Node // that this watcher sends beats to
	// lastContact is the time of the latest received beat or answer of the store;
	// lastAnswer is that of the latest answer. Both are zero before the first.
	lastContact, lastAnswer time.Time
	jitter                  time.Duration // added to beatTimeout by this node
	retryDelay              time.Duration // before the next poll after a failure; zero after an answer
	nextPoll                time.Time     // the earliest time of the next poll
	lastBeat                time.Time     // when this watcher last sent its beats
}

// New returns a Watch of a node that knows no other member. Until it knows some,
// the node isn't a watcher: it polls the store once and then after each beat
// timeout, since a node that starts soon learns of other members.
func New(options Options) *Watch {
	w := &Watch{options: options, jitter: time.Duration(options.Rand() * float64(beatTimeoutJitter))}
	w.Update(nil)
	return w
}

// Update replaces the live members. This node is always one of them, whether
// listed or not.
func (w *Watch) Update(members []Member) {
	w.watcher = false
	w.listeners = nil
	domains := groupByDomain(members, w.options.Self)
	w.watchers = 0
	for _, d := range domains {
		w.watchers += len(d.watchers)
	}
	w.alone = len(domains) == 1 && len(domains[0].members) == 1
	if w.alone {
		return
	}
	for i, d := range domains {
		for rank, n := range d.watchers {
			if n == w.options.Self.Node {
				w.watcher = true
				w.listeners = selectListeners(n, rank, d, domains[(i+len(domains)-1)%len(domains)])
			}
		}
	}
}

// domain is one failure domain. The watchers are the first of its members.
type domain struct {
	name     ident.Domain
	members  []ident.Node
	watchers []ident.Node
}

// groupByDomain returns the domains of the members sorted by name. It sorts the
// members of a domain by hash, so that all nodes select the same watchers.
func groupByDomain(members []Member, self Member) []domain {
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
		count := (len(nodes) + membersPerWatcher - 1) / membersPerWatcher
		out = append(out, domain{name: name, members: nodes, watchers: nodes[:count]})
	}
	slices.SortFunc(out, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return out
}

func hash(n ident.Node) uint64 { return xxhash.Sum64String(string(n)) }

// selectListeners returns the listeners of the watcher with the given rank in its
// domain: its share of the members of its own domain and of the previous one.
func selectListeners(self ident.Node, rank int, own, previous domain) []ident.Node {
	candidates := own.members
	if previous.name != own.name {
		candidates = slices.Concat(candidates, previous.members)
	}
	var out []ident.Node
	for _, n := range candidates {
		if n != self && int(hash(n)%uint64(len(own.watchers))) == rank {
			out = append(out, n)
		}
	}
	return out
}

// IsWatcher reports whether this node is a watcher.
func (w *Watch) IsWatcher() bool { return w.watcher }

// Listeners returns the nodes that this watcher sends beats to; none if this node
// isn't a watcher.
func (w *Watch) Listeners() []ident.Node { return w.listeners }

// RecordBeat records a beat received from a watcher.
func (w *Watch) RecordBeat(now time.Time) { w.lastContact, w.heard = now, true }

// PollTimeout returns how long the next poll may wait for changes at the store.
func (w *Watch) PollTimeout() time.Duration {
	if !w.watcher {
		return minPollTimeout
	}
	return min(maxPollTimeout, max(minPollTimeout, time.Duration(w.watchers)*time.Second/watchersPerPollSecond))
}

// RecordAnswer records an answer of the store to a poll of this node.
func (w *Watch) RecordAnswer(now time.Time) {
	w.lastContact, w.lastAnswer = now, now
	w.retryDelay, w.nextPoll = 0, now
}

// RecordFailure records a poll that the store didn't answer, and delays the
// next one.
func (w *Watch) RecordFailure(now time.Time) {
	w.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*w.retryDelay))
	retryDelay := w.retryDelay/2 + time.Duration(w.options.Rand()*float64(w.retryDelay))
	if !w.watcher {
		retryDelay *= listenerDelayFactor
	}
	w.nextPoll = now.Add(retryDelay)
}

// ShouldPoll reports whether this node must poll the store now.
func (w *Watch) ShouldPoll(now time.Time) bool {
	if now.Before(w.nextPoll) {
		return false
	}
	timeout := beatTimeout
	if !w.heard && !w.alone {
		timeout = firstBeatTimeout
	}
	return w.watcher || w.lastContact.IsZero() || now.Sub(w.lastContact) > timeout+w.jitter
}

// TakeBeat reports whether this watcher must send its beats now, and records
// them as sent if so.
func (w *Watch) TakeBeat(now time.Time) bool {
	if !w.watcher || w.lastAnswer.IsZero() || now.Sub(w.lastAnswer) > w.PollTimeout()+answerSlack || now.Sub(w.lastBeat) < BeatPeriod {
		return false
	}
	w.lastBeat = now
	return true
}
