// Package choose selects the member that an entry node sends a request to.
//
// A Chooser knows the members of all services, the load hints that their
// answers carried, and how many of its own requests each of them still holds.
// It is a pure state machine: time, randomness and domain weights come from
// the caller. It isn't safe for concurrent use. Choose doesn't allocate.
//
// Invariants: a leaving member and a member of a domain with weight 0 are never
// chosen, nor is a member that the query excludes. A member that is suspect,
// failing fast or admits nothing is chosen only if no other member is left.
package choose

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// State is what membership knows about a member.
type State uint8

const (
	// Alive members are chosen normally.
	Alive State = iota
	// Cold members have just started and are assumed to hold one request until a hint says more.
	Cold
	// Suspect members are chosen only if no other member is left.
	Suspect
	// Leaving members are never chosen.
	Leaving
)

// Member is one upstream and the node beside it.
type Member struct {
	Node    ident.Node
	Service ident.Service
	Version ident.Version
	Domain  ident.Domain
	Region  ident.Region
	Slots   ident.Slots
	State   State
}

// Hint is the load of a member as its exit saw it when it sent an answer.
type Hint struct {
	// Inflight and Queued count requests at the upstream and waiting for it.
	Inflight int32
	Queued   int32
	// Limit is the number of requests admitted at a time; 0 means none.
	Limit int32
	// Service is the recent mean service time.
	Service time.Duration
	// Slow is how long work takes at the upstream now, in percent of the usual
	// time; 0 if the upstream doesn't report it.
	Slow int32
	// At is the exit's clock and is only compared with hints of the same exit.
	At time.Time
}

// Query describes the request that needs a member.
type Query struct {
	Service ident.Service
	// Version is the cohort of the request; empty means any version.
	Version ident.Version
	// Tried lists members that refused the request. They aren't chosen again,
	// unless Last is set.
	Tried []ident.Node
	// Last asks for the member where the request waits the shortest time. The
	// members in Tried are compared, too: their hints are the freshest.
	Last bool
}

// Pick is the chosen member.
type Pick struct {
	Member Member
	// Room is false if every member that was looked at seems full, so that
	// another immediate try is unlikely to be admitted.
	Room bool
	// Doubtful is true if the member is suspect, failing or admits nothing. A
	// request that has been refused elsewhere should rather queue there.
	Doubtful bool
}

// Options configures a Chooser.
type Options struct {
	// Domain and Region are the position of the entry.
	Domain ident.Domain
	Region ident.Region
	// Rand returns 64 uniform random bits. It is required.
	Rand func() uint64
	// Weight is the share that a domain gets, from 0 (out) to 1. Nil means 1 everywhere.
	Weight func(domain ident.Domain, now time.Time) float64
	// Samples is the number of members compared per tier, at most 8; 0 means 3.
	Samples int
	// Settle is how long a request sent may be missing from hints; 0 means 3 ms.
	Settle time.Duration
}

const (
	// defaultSamples keeps an idle member from drawing more than 3/n of the
	// entries at once.
	defaultSamples = 3
	// maxSamples bounds the time of one choice and its state on the stack.
	maxSamples = 8
	// defaultSettle is the round trip between two domains of Montevideo (2 x 1.5 ms).
	defaultSettle = 3 * time.Millisecond
	// tiers are: own domain, own region, the rest.
	tiers = 3
)

// cohort identifies the members of one version of a service.
type cohort struct {
	service ident.Service
	version ident.Version
}

// group holds the members of a cohort by distance and their mean load.
type group struct {
	tiers [tiers][]*peer
	// load is the mean share of a member's limit that other entries use.
	load float64
	// service is the mean service time in nanoseconds.
	service float64
}

// Chooser selects members for one entry.
type Chooser struct {
	options Options
	peers   map[ident.Node]*peer
	groups  map[cohort]*group
}

// New returns a Chooser without members.
func New(o Options) *Chooser {
	if o.Samples <= 0 {
		o.Samples = defaultSamples
	}
	o.Samples = min(o.Samples, maxSamples)
	if o.Settle <= 0 {
		o.Settle = defaultSettle
	}
	if o.Weight == nil {
		o.Weight = func(ident.Domain, time.Time) float64 { return 1 }
	}
	return &Chooser{options: o, peers: map[ident.Node]*peer{}, groups: map[cohort]*group{}}
}

// Update replaces the member list. What is known about members that stay is
// kept, except for a member that turns cold: its old hints no longer hold.
func (c *Chooser) Update(members []Member) {
	peers := make(map[ident.Node]*peer, len(members))
	groups := map[cohort]*group{}
	for _, m := range members {
		p := c.peers[m.Node]
		if p == nil {
			p = &peer{}
		}
		if m.State == Cold && p.member.State != Cold {
			p.forget()
		}
		p.member = m
		peers[m.Node] = p
		c.join(groups, p, cohort{m.Service, m.Version})
		if m.Version != "" {
			c.join(groups, p, cohort{m.Service, ""})
		}
	}
	c.peers, c.groups = peers, groups
}

// join adds a member to a cohort, which keeps its mean load across updates.
func (c *Chooser) join(groups map[cohort]*group, p *peer, key cohort) {
	g := groups[key]
	if g == nil {
		g = &group{load: initialLoad}
		if old := c.groups[key]; old != nil {
			g.load, g.service = old.load, old.service
		}
		groups[key] = g
	}
	if key.version == p.member.Version {
		p.group = g
	}
	if p.member.State == Leaving {
		return
	}
	t := c.tier(p.member)
	g.tiers[t] = append(g.tiers[t], p)
}

func (c *Chooser) tier(m Member) int {
	switch {
	case m.Domain == c.options.Domain:
		return 0
	case m.Region == c.options.Region:
		return 1
	default:
		return tiers - 1
	}
}
