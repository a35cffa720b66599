package move

import (
	"fmt"
	"math"
	"time"
)

const (
	// falseRate bounds the probability that a good move is ever reverted. It
	// is below P4's 1 in 1,000, because nodes look at partly merged windows,
	// which the bound doesn't cover.
	falseRate = 0.0008
	// fineMost and wideMost cap the log likelihood ratio of one window. With
	// the fine cap, three windows can't set the latch alone: that is how many
	// a common sickness makes one-sided when clocks differ by 500 ms.
	fineMost, wideMost = 6, 8
)

// judge tests the merged evidence and sets the latch. Tests exist for each
// route and for all routes together, for errors and latency, and on both
// scales. Their parts of falseRate add up to it.
func (m *Mover) judge() {
	if m.fault.Set || m.final.outcome != Open || len(m.stale) == 0 {
		return
	}
	m.refresh()
	for s := range scales {
		m.test(s)
	}
}

// refresh recomputes the evidence of changed windows.
func (m *Mover) refresh() {
	for _, s := range m.stale {
		if t := m.tables[s]; t != nil {
			t.ratios = [kinds]ratios{errorGains(t).ratios(), latencyGains(t).ratios()}
			t.stale = false
		}
	}
	m.stale = m.stale[:0]
}

// budget returns the part of falseRate for one test. The tests of all routes
// together take half of it, because a fault of every route must be found
// fastest; the single routes share the other half equally (Bonferroni).
func budget(r, routes int) float64 {
	part := falseRate / float64(kinds) / float64(scales) / 2
	if r < routes {
		part /= float64(routes)
	}
	return part
}

// test runs both kinds of test on one scale for every route and for all.
func (m *Mover) test(s scale) {
	first, last, prior, most := m.bounds(s)
	routes := len(m.opt.Plan.Routes) + 1
	chains := make([][kinds]chain, routes+1)
	for w := first; w <= last; w++ {
		filled := false
		all := unit
		for r := range routes {
			t := m.tables[span{s, uint8(r), uint32(w)}]
			if t == nil {
				continue
			}
			filled = true
			for k := range kinds {
				chains[r][k].step(&t.ratios[k], prior, most)
				all[k].times(&t.ratios[k])
			}
		}
		for k := range kinds {
			if filled {
				chains[routes][k].step(&all[k], prior, most)
			}
		}
	}
	m.latch(chains)
}

// unit holds ratios of 1, the evidence of nothing.
var unit = func() (u [kinds]ratios) {
	for k := range u {
		for i := range u[k] {
			u[k][i] = 1
		}
	}
	return u
}()

// latch sets the fault for every chain that exceeds its budget.
func (m *Mover) latch(chains [][kinds]chain) {
	for r := range chains {
		for k := range kinds {
			if chains[r][k].value() >= 1/budget(r, len(chains)-1) {
				m.fault.join(Fault{Set: true, Reason: m.reason(r, k)})
			}
		}
	}
}

// bounds returns the windows of a scale that are kept, the prior probability
// of a fault starting in one of them, and the cap of one window.
func (m *Mover) bounds(s scale) (first, last int, prior, most float64) {
	p := &m.opt.Plan
	if s == wide {
		return 0, min(wideCount-1, p.window(wide, m.now)), 1.0 / wideCount, math.Exp(wideMost)
	}
	w := p.window(fine, m.now)
	windows := float64(p.Deadline.Sub(p.Begin)) / float64(fineWindow)
	return max(0, w-fineKept+1), w + fineAhead, 1 / max(1, windows), math.Exp(fineMost)
}

func (m *Mover) reason(r int, k kind) string {
	p := &m.opt.Plan
	switch {
	case r < len(p.Routes):
		return fmt.Sprintf("%s on route %s", k, p.Routes[r])
	case r == len(p.Routes):
		return fmt.Sprintf("%s on other routes", k)
	default:
		return fmt.Sprintf("%s on all routes", k)
	}
}

// Fault returns the latch.
func (m *Mover) Fault() Fault {
	return m.fault
}

// Tick judges the evidence and works towards the final row. The shell calls
// it about every 100 ms.
func (m *Mover) Tick(now time.Time) {
	m.advance(now)
	if w := m.opt.Plan.window(fine, m.now); w != m.pruned {
		m.prune()
		m.pruned = w
	}
	m.cache.valid = false
	m.judge()
	m.conclude(now)
}
