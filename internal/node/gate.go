package node

import (
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/domain"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/spec"
)

// gate makes a domain.Weights safe for concurrent use and emits an event for
// each domain whose state changes.
type gate struct {
	emit func(event.Code, ...event.Field)
	mu   sync.Mutex
	gate *domain.Weights
	// out holds the state of each domain that was last reported.
	out map[ident.Domain]bool
}

func newGate(emit func(event.Code, ...event.Field)) *gate {
	return &gate{emit: emit, gate: domain.New(domain.Options{}), out: map[ident.Domain]bool{}}
}

// setDomains applies the domain states of the manifest with revision r.
func (g *gate) setDomains(domains []spec.Domain, r ident.Revision, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make([]domain.State, 0, len(domains))
	for _, d := range domains {
		out := d.State == spec.Out
		states = append(states, domain.State{Domain: d.Name, Out: out})
		g.emitChange(d.Name, out, r)
	}
	g.gate.Set(states, now)
}

func (g *gate) emitChange(d ident.Domain, out bool, r ident.Revision) {
	if g.out[d] == out {
		return
	}
	g.out[d] = out
	code := event.DomainIn
	if out {
		code = event.DomainOut
	}
	g.emit(code, event.NewField(event.Domain, d), event.NewField(event.Revision, r))
}

func (g *gate) weight(d ident.Domain, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Weight(d, now)
}

func (g *gate) admits(d ident.Domain, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admits(d, now)
}
