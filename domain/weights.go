// Package domain decides which failure domains receive new work. Entries weight
// members by Weight, exits refuse requests by Admits.
//
// Invariants: a domain that is out has weight 0 and admits nothing; every
// other domain has a weight above 0 and admits, so that no request is refused
// for which there is capacity.
package domain

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// defaultRamp is the time from a domain's return to its full weight. It is
	// needed because the upstreams of a domain that was out are cold.
	defaultRamp = 10 * time.Second
	// minWeight is the weight at the moment of return. It is above 0 so that
	// the domain is usable at once if no other domain has capacity.
	minWeight = 0.05
)

// State is the state of one domain in the manifest.
type State struct {
	Domain ident.Domain
	Out    bool
}

// Options configures Weights.
type Options struct {
	// Ramp is the time from a domain's return to its full weight; 0 means 10 s.
	Ramp time.Duration
}

// Weights holds the domain states of the manifest in force. It is not safe for
// concurrent use.
type Weights struct {
	ramp time.Duration
	// out holds the domains that are out, returnedAt the times at which the
	// others returned.
	out        map[ident.Domain]bool
	returnedAt map[ident.Domain]time.Time
}

// New returns Weights in which all domains are in.
func New(o Options) *Weights {
	if o.Ramp <= 0 {
		o.Ramp = defaultRamp
	}
	return &Weights{ramp: o.Ramp, out: map[ident.Domain]bool{}, returnedAt: map[ident.Domain]time.Time{}}
}

// Set applies the states of a manifest. A domain ramps up only if these Weights
// recorded it as out before: a node that has just started can't determine how
// long a domain has been in, and ramping up all domains would change nothing. A
// domain that isn't listed is in, so that a manifest without it can't remove
// capacity by mistake. If a domain is listed twice, out takes precedence.
func (g *Weights) Set(states []State, now time.Time) {
	out := map[ident.Domain]bool{}
	for _, s := range states {
		if s.Out {
			out[s.Domain] = true
		}
	}
	for d := range g.out {
		if !out[d] {
			g.returnedAt[d] = now
		}
	}
	for d, t := range g.returnedAt {
		if out[d] || now.Sub(t) >= g.ramp {
			delete(g.returnedAt, d)
		}
	}
	g.out = out
}

// Weight returns the share of its full load that a domain gets: 0 when out, a
// linear ramp after the return, otherwise 1.
func (g *Weights) Weight(d ident.Domain, now time.Time) float64 {
	if g.out[d] {
		return 0
	}
	t, ok := g.returnedAt[d]
	if !ok {
		return 1
	}
	return min(1, max(minWeight, float64(now.Sub(t))/float64(g.ramp)))
}

// Admits reports whether an exit in the domain may accept new work.
func (g *Weights) Admits(d ident.Domain, _ time.Time) bool {
	return !g.out[d]
}
