// Package entry takes callers' requests and places them on members. It is the
// shell of the choose and retry machines.
//
// Invariants: every copy of a request has a fence id of its own and is sent
// on one connection only; a request that must not run twice is sent again
// only after the proof that the copies before it have not run and won't run;
// what the caller is told is never more than what is proved.
package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

// Options configure an Entry. All function fields are required.
type Options struct {
	Node   ident.Node
	Domain ident.Domain
	Region ident.Region
	// Body bounds a request's body in bytes, Inflight the requests in flight.
	Body     int64
	Inflight int
	// Rand returns 64 uniform random bits and is safe for concurrent use.
	Rand func() uint64
	// Weight is the share that a failure domain gets, from 0 to 1.
	Weight func(d ident.Domain, now time.Time) float64
	// Cohort chooses the version for a request; empty means any.
	Cohort func(s ident.Service, key uint64, now time.Time) ident.Version
	// Peers reaches the other nodes, Local the exit of this node.
	Peers Peers
	Local Local
	// Emit records an event.
	Emit func(code event.Code, fields ...event.Field)
	// Budget bounds the extra runs; zero fields take the defaults of retry.
	Budget retry.BudgetOptions
	// Again is set if a failure that an upstream reports of a request that may
	// run twice is worth another upstream, within Budget.
	Again bool
	// AnyVersion is set if a request that the exit of a version doesn't take
	// may run on any version of the service.
	AnyVersion bool
}

// Target is a member and how to reach it.
type Target struct {
	Member  choose.Member
	Address string
	Start   ident.Start
}

// Entry is safe for concurrent use.
type Entry struct {
	o       Options
	places  chan struct{}
	catalog atomic.Pointer[Catalog]

	mu      sync.Mutex
	chooser *choose.Chooser
	targets map[ident.Node]Target
	homes   map[ident.Service][]ident.Node
	budget  *retry.Budget
	delays  map[ident.Service]*retry.Delay
	running sync.WaitGroup
}

// New returns an Entry without members and manifest.
func New(o Options) *Entry {
	return &Entry{
		o:      o,
		places: make(chan struct{}, o.Inflight),
		chooser: choose.New(choose.Options{
			Domain: o.Domain,
			Region: o.Region,
			Rand:   o.Rand,
			Weight: o.Weight,
		}),
		targets: map[ident.Node]Target{},
		budget:  retry.NewBudget(o.Budget),
		delays:  map[ident.Service]*retry.Delay{},
	}
}

// SetRate changes the bound of extra runs; see retry.Budget.
func (e *Entry) SetRate(floor, burst float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.SetRate(floor, burst)
}

// SetCatalog puts the services of a manifest in force.
func (e *Entry) SetCatalog(c *Catalog) {
	e.catalog.Store(c)
}

// Update replaces the members. It returns, by service and in order, the members
// that can be the home of a caller's key: the exits have to use the same.
func (e *Entry) Update(targets []Target) map[ident.Service][]ident.Node {
	e.mu.Lock()
	defer e.mu.Unlock()
	members := make([]choose.Member, 0, len(targets))
	byNode := make(map[ident.Node]Target, len(targets))
	for _, t := range targets {
		members = append(members, t.Member)
		byNode[t.Member.Node] = t
	}
	e.chooser.Update(members)
	e.targets = byNode
	e.homes = homesOf(members)
	return e.homes
}

func homesOf(members []choose.Member) map[ident.Service][]ident.Node {
	homes := map[ident.Service][]ident.Node{}
	for _, m := range members {
		if m.State != choose.Leaving {
			homes[m.Service] = append(homes[m.Service], m.Node)
		}
	}
	for _, l := range homes {
		slices.Sort(l)
	}
	return homes
}

// Close waits until all copies of requests have ended.
func (e *Entry) Close() {
	e.running.Wait()
}

// hint converts the load that an answer carries.
func hint(h *wirepb.Hint) choose.Hint {
	return choose.Hint{
		Inflight: h.GetInflight(),
		Queued:   h.GetQueued(),
		Limit:    h.GetLimit(),
		Service:  time.Duration(h.GetServiceNanos()),
		Slow:     h.GetSlow(),
		At:       time.Unix(0, h.GetAtNanos()),
	}
}
