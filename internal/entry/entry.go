// Package entry accepts callers' requests and routes them to members. It drives
// the state machines of packages choose and retry.
//
// Invariants: every copy of a request has its own fence id and is sent on one
// connection only; a non-idempotent request is sent again only after proof that
// its earlier copies have not run and will not run; the outcome reported to the
// caller never claims more than is proved.
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

// Options configures an Entry. All function fields are required.
type Options struct {
	Node   ident.Node
	Domain ident.Domain
	Region ident.Region
	// MaxBodyBytes is the maximum size of a request body in bytes; MaxInflight
	// is the maximum number of requests in flight.
	MaxBodyBytes int64
	MaxInflight  int
	// Rand returns 64 uniformly distributed random bits. It must be safe for
	// concurrent use.
	Rand func() uint64
	// DomainWeight returns the fraction of its normal traffic that a failure
	// domain receives, from 0 to 1.
	DomainWeight func(d ident.Domain, now time.Time) float64
	// SelectVersion selects the version for a request; empty means any version.
	SelectVersion func(s ident.Service, key uint64, now time.Time) ident.Version
	// Peers calls the exits of other nodes, Local the exit of this node.
	Peers Peers
	Local Local
	// Emit records an event.
	Emit func(code event.Code, fields ...event.Field)
	// Budget bounds the extra executions of each service's requests; zero fields
	// use the defaults of package retry.
	Budget retry.BudgetOptions
	// RetryServerErrors is set if an idempotent request is tried on another
	// upstream, within Budget, after an upstream responded with a server error.
	RetryServerErrors bool
	// FallBackToAnyVersion is set if a request may run on any version of the
	// service after the exit of the selected version refused it.
	FallBackToAnyVersion bool
}

// Target is a member with its address and the start identity of its node.
type Target struct {
	Member  choose.Member
	Address string
	Start   ident.Start
}

// Entry routes requests to members. It is safe for concurrent use.
type Entry struct {
	opts     Options
	inflight chan struct{}
	catalog  atomic.Pointer[Catalog]

	mu          sync.Mutex
	chooser     *choose.Chooser
	targets     map[ident.Node]Target
	keyHomes    map[ident.Service][]ident.Node
	budgets     *retry.Budgets
	hedgeDelays map[ident.Service]*retry.HedgeDelay
	unfinished  sync.WaitGroup
}

// New returns an Entry without members and without a manifest.
func New(o Options) *Entry {
	return &Entry{
		opts:     o,
		inflight: make(chan struct{}, o.MaxInflight),
		chooser: choose.New(choose.Options{
			Domain:       o.Domain,
			Region:       o.Region,
			Rand:         o.Rand,
			DomainWeight: o.DomainWeight,
		}),
		targets:     map[ident.Node]Target{},
		budgets:     retry.NewBudgets(o.Budget),
		hedgeDelays: map[ident.Service]*retry.HedgeDelay{},
	}
}

// SetRetryRate changes the limit on extra executions of each service; see
// retry.Budget.
func (e *Entry) SetRetryRate(floor, burst float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.SetRate(floor, burst)
}

// SetCatalog replaces the catalog of services.
func (e *Entry) SetCatalog(c *Catalog) {
	e.catalog.Store(c)
}

// SetMembers replaces the members. It returns, in order for each service, the
// members that can be the home node of an idempotency key. The exits must use
// the same members.
func (e *Entry) SetMembers(targets []Target) map[ident.Service][]ident.Node {
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
	e.keyHomes = homesOf(members)
	return e.keyHomes
}

func homesOf(members []choose.Member) map[ident.Service][]ident.Node {
	homes := map[ident.Service][]ident.Node{}
	for _, m := range members {
		if m.State != choose.Leaving {
			homes[m.Service] = append(homes[m.Service], m.Node)
		}
	}
	for _, nodes := range homes {
		slices.Sort(nodes)
	}
	return homes
}

// Close waits until all copies of requests have ended.
func (e *Entry) Close() {
	e.unfinished.Wait()
}

// hintOf converts the load reported in a response.
func hintOf(h *wirepb.Hint) choose.Hint {
	return choose.Hint{
		Inflight:        h.GetInflight(),
		Queued:          h.GetQueued(),
		Limit:           h.GetLimit(),
		ServiceTime:     time.Duration(h.GetServiceNanos()),
		SlowdownPercent: h.GetSlow(),
		At:              time.Unix(0, h.GetAtNanos()),
	}
}
