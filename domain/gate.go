// Package domain decides which failure domains get new work. Entries weigh
// members by Weight, exits refuse by Admits.
//
// Invariants: a domain that is out has weight 0 and admits nothing; every
// other domain has a weight above 0 and admits, so that no request is refused
// that its capacity could serve.
package domain

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// defaultRamp is the time from a return to full weight. The upstreams of a
	// domain that was out are cold.
	defaultRamp = 10 * time.Second
	// minWeight is the weight at the moment of return. It is above 0 so that
	// the domain is usable at once when no other has capacity.
	minWeight = 0.05
)

// State is the manifest's statement on one domain.
type State struct {
	Domain ident.Domain
	Out    bool
}

// Options configures a Gate.
type Options struct {
	// Ramp is the time from a return to full weight, default 10 s.
	Ramp time.Duration
}

// Gate holds the states of the manifest in force. It isn't safe for
// concurrent use.
type Gate struct {
	ramp time.Duration
	// out holds the domains that are out, back the time at which others
	// returned.
	out  map[ident.Domain]bool
	back map[ident.Domain]time.Time
}

// New returns a Gate to which all domains are in.
func New(o Options) *Gate {
	if o.Ramp <= 0 {
		o.Ramp = defaultRamp
	}
	return &Gate{ramp: o.Ramp, out: map[ident.Domain]bool{}, back: map[ident.Domain]time.Time{}}
}

// Set puts the states of a manifest in force. A domain ramps up only if this
// Gate saw it out before: a node that has just started can't tell how long a
// domain has been in, and holding back all domains would change nothing. A
// domain that isn't listed is in, so that a manifest without it can't take
// away capacity by mistake. If a domain is listed twice, out wins.
func (g *Gate) Set(states []State, now time.Time) {
	out := map[ident.Domain]bool{}
	for _, s := range states {
		if s.Out {
			out[s.Domain] = true
		}
	}
	for d := range g.out {
		if !out[d] {
			g.back[d] = now
		}
	}
	for d, t := range g.back {
		if out[d] || now.Sub(t) >= g.ramp {
			delete(g.back, d)
		}
	}
	g.out = out
}

// Weight returns the share of its full work that a domain gets: 0 when out, a
// linear ramp after the return, otherwise 1.
func (g *Gate) Weight(d ident.Domain, now time.Time) float64 {
	if g.out[d] {
		return 0
	}
	t, ok := g.back[d]
	if !ok {
		return 1
	}
	return min(1, max(minWeight, float64(now.Sub(t))/float64(g.ramp)))
}

// Admits reports whether an exit in the domain may take new work.
func (g *Gate) Admits(d ident.Domain, _ time.Time) bool {
	return !g.out[d]
}
