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
	// fineAlone and wideAlone are the numbers of windows whose likelihood
	// ratios are capped so that they can't set the latch alone: a common
	// sickness is one-sided in so many windows when clocks differ by 500 ms.
	fineAlone, wideAlone = 3, 2
	// wideEvery is the number of fine windows between two tests on the wide
	// scale. Their tables are large and cost most of a tick; sudden faults
	// show on the fine scale.
	wideEvery = 4
)

// judge tests the merged evidence and sets the latch. Tests exist for each
// route and for all routes together, for errors and latency, and on both
// scales. Their parts of falseRate add up to it.
func (m *Mover) judge() {
	if m.fault.Set || m.final.outcome != Open {
		return
	}
	if len(m.stale[fine]) > 0 {
		m.refresh(fine)
		m.test(fine)
	}
	w := m.opt.Plan.window(fine, m.now)
	if len(m.stale[wide]) > 0 && w >= m.widened+wideEvery {
		m.widened = w
		m.refresh(wide)
		m.test(wide)
	}
}

// refresh recomputes the evidence of a scale's changed windows.
func (m *Mover) refresh(k scale) {
	for _, s := range m.stale[k] {
		if t := m.tables[s]; t != nil {
			t.ratios = [kinds]ratios{errorGains(t).ratios(), latencyGains(t, m.usually(s)).ratios()}
			t.stale = false
		}
	}
	m.stale[k] = m.stale[k][:0]
}

// usually sums up the old version's latencies in the windows before one.
func (m *Mover) usually(s span) *counts {
	sum := &counts{}
	for w := max(0, int(s.window)-usualWindows); w < int(s.window); w++ {
		if t := m.tables[span{s.scale, s.route, uint32(w)}]; t != nil {
			sum.sum(&t.cohorts[old])
		}
	}
	return sum
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
	b := m.reach(s)
	routes := len(m.opt.Plan.Routes) + 1
	chains := make([][kinds]chain, routes+1)
	for w := b.first; w <= b.last; w++ {
		filled := false
		all := unit
		for r := range routes {
			t := m.tables[span{s, uint8(r), uint32(w)}]
			if t == nil {
				continue
			}
			filled = true
			for k := range kinds {
				chains[r][k].step(k, &t.ratios[k], b.prior, b.most[k])
				all[k].times(&t.ratios[k])
			}
		}
		for k := range kinds {
			if filled {
				chains[routes][k].step(k, &all[k], b.prior, b.most[k])
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

// reach is the windows of a scale that are kept, the prior probability of a
// fault starting in one of them, and the cap of one window's ratio.
type reach struct {
	first, last int
	prior       float64
	most        [kinds]float64
}

func (m *Mover) reach(s scale) reach {
	p := &m.opt.Plan
	w := p.window(s, m.now)
	if s == wide {
		b := reach{last: min(wideCount-1, w), prior: 1.0 / wideCount}
		b.most = [kinds]float64{ratioMost(1, wideAlone), ratioMost(b.prior, wideAlone)}
		return b
	}
	prior := 1 / max(1, float64(p.Deadline.Sub(p.Begin))/float64(fineWindow))
	b := reach{first: max(0, w-fineKept+1), last: w + fineAhead, prior: prior}
	b.most = [kinds]float64{ratioMost(min(1, fineKept*prior), fineAlone), ratioMost(prior, fineAlone)}
	return b
}

// ratioMost returns the cap of one window's likelihood ratio with which alone
// windows stay just below the least limit, given the most that a chain can
// have before them.
func ratioMost(before float64, alone int) float64 {
	return math.Pow(1/(budget(1, 1)*before), 1/float64(alone)) * 0.99
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
	if w := m.opt.Plan.window(fine, m.now); w >= m.pruned+pruneEvery {
		m.prune()
		m.pruned = w
	}
	m.cache.valid = false
	m.judge()
	m.conclude(now)
}
