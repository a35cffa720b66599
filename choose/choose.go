// Package choose implements load balancing at the entry: it selects the member
// that a request is sent to.
//
// A Chooser holds the members of all services, the load hints from their
// answers, and the number of its own requests that each of them still has.
// It is a pure state machine: the caller passes time, randomness and domain
// weights. It is not safe for concurrent use. Choose doesn't allocate.
//
// Invariants: a leaving member, a member of a domain with weight 0 and a member
// that the query excludes are never chosen. A member that is suspect, stalled,
// failing or admits nothing is chosen only if no other member is left.
package choose

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// State is the state of a member according to membership.
type State uint8

const (
	// Alive members are chosen normally.
	Alive State = iota
	// Cold members have just started. They are assumed to admit one request at a
	// time until a hint reports more.
	Cold
	// Suspect members are chosen only if no other member is left.
	Suspect
	// Leaving members are never chosen.
	Leaving
)

// Member is an upstream with its node.
type Member struct {
	Node    ident.Node
	Service ident.Service
	Version ident.Version
	Domain  ident.Domain
	Region  ident.Region
	Slots   ident.Slots
	State   State
}

// Hint is the load of a member, as measured by its exit when it sent an answer.
type Hint struct {
	// Inflight counts the requests at the upstream, Queued those that wait for it.
	Inflight int32
	Queued   int32
	// Limit is the number of requests admitted at a time; 0 means none.
	Limit int32
	// ServiceTime is the recent mean service time.
	ServiceTime time.Duration
	// SlowdownPercent is the current service time at the upstream in percent of
	// the usual one; 0 if the upstream doesn't report it.
	SlowdownPercent int32
	// At is the time on the exit's clock. It is only compared with hints of the
	// same exit.
	At time.Time
}

// Query describes a request that needs a member.
type Query struct {
	Service ident.Service
	// Version selects the cohort of the request; empty means any version.
	Version ident.Version
	// Tried lists the members that refused the request. They aren't chosen
	// again, unless MayQueue is set.
	Tried []ident.Node
	// MayQueue selects the member with the shortest expected wait in its queue.
	// The members in Tried are compared as well, because their hints are the
	// most recent ones.
	MayQueue bool
}

// Pick is the result of Choose.
type Pick struct {
	Member Member
	// HasRoom is false if every compared member seems full, so that another
	// immediate try is unlikely to be admitted.
	HasRoom bool
	// LastResort is true if the member is suspect, stalled, failing or admits
	// nothing. A request that was refused elsewhere should rather queue at the
	// member that refused it.
	LastResort bool
}

// Options configures a Chooser.
type Options struct {
	// Domain and Region are the location of the entry.
	Domain ident.Domain
	Region ident.Region
	// Rand returns 64 uniform random bits. It is required.
	Rand func() uint64
	// DomainWeight returns the share of its full load that a domain gets, from
	// 0 (out) to 1. Nil means 1 for all domains.
	DomainWeight func(domain ident.Domain, now time.Time) float64
	// Samples is the number of members compared per tier, at most 8; 0 means 3.
	Samples int
	// HintDelay is how long a sent request may be missing from hints; 0 means 3 ms.
	HintDelay time.Duration
}

const (
	// defaultSamples keeps an idle member of n from attracting more than 3/n of
	// the entries at once.
	defaultSamples = 3
	// maxSamples bounds the time of one choice and its state on the stack.
	maxSamples = 8
	// defaultHintDelay is the round trip between two domains of Montevideo (2 x 1.5 ms).
	defaultHintDelay = 3 * time.Millisecond
	// tierCount is the number of tiers: own domain, own region, all others.
	tierCount = 3
)

// cohortKey identifies a cohort: the members of one version of a service, or of
// all its versions if the version is empty.
type cohortKey struct {
	service ident.Service
	version ident.Version
}

// cohort holds the members of a cohort by distance and their mean load.
type cohort struct {
	tiers [tierCount][]*memberState
	// otherLoad is the mean share of a member's limit that other entries use.
	otherLoad float64
	// serviceTime is the mean service time in nanoseconds.
	serviceTime float64
}

// Chooser selects members for one entry.
type Chooser struct {
	options Options
	states  map[ident.Node]*memberState
	cohorts map[cohortKey]*cohort
}

// New returns a Chooser without members.
func New(o Options) *Chooser {
	if o.Samples <= 0 {
		o.Samples = defaultSamples
	}
	o.Samples = min(o.Samples, maxSamples)
	if o.HintDelay <= 0 {
		o.HintDelay = defaultHintDelay
	}
	if o.DomainWeight == nil {
		o.DomainWeight = func(ident.Domain, time.Time) float64 { return 1 }
	}
	return &Chooser{options: o, states: map[ident.Node]*memberState{}, cohorts: map[cohortKey]*cohort{}}
}

// Update replaces the member list. It keeps the state of members that stay,
// except that the hints, the failure rate and the trial times of a member that
// becomes cold are discarded.
func (c *Chooser) Update(members []Member) {
	states := make(map[ident.Node]*memberState, len(members))
	cohorts := map[cohortKey]*cohort{}
	for _, m := range members {
		st := c.states[m.Node]
		if st == nil {
			st = &memberState{}
		}
		if m.State == Cold && st.member.State != Cold {
			st.reset()
		}
		st.member = m
		states[m.Node] = st
		c.join(cohorts, st, cohortKey{m.Service, m.Version})
		if m.Version != "" {
			c.join(cohorts, st, cohortKey{m.Service, ""})
		}
	}
	c.states, c.cohorts = states, cohorts
}

// join adds a member to a cohort. The cohort keeps its mean load across updates.
func (c *Chooser) join(cohorts map[cohortKey]*cohort, st *memberState, key cohortKey) {
	co := cohorts[key]
	if co == nil {
		co = &cohort{otherLoad: initialLoad}
		if old := c.cohorts[key]; old != nil {
			co.otherLoad, co.serviceTime = old.otherLoad, old.serviceTime
		}
		cohorts[key] = co
	}
	if key.version == st.member.Version {
		st.cohort = co
	}
	if st.member.State == Leaving {
		return
	}
	t := c.tier(st.member)
	co.tiers[t] = append(co.tiers[t], st)
}

func (c *Chooser) tier(m Member) int {
	switch {
	case m.Domain == c.options.Domain:
		return 0
	case m.Region == c.options.Region:
		return 1
	default:
		return tierCount - 1
	}
}
