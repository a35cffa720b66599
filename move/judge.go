package move

import (
	"fmt"
	"math"
	"time"
)

const (
	// falsePositiveRate bounds the probability that a good version is ever
	// reverted. It is below the required 1 in 1,000, because nodes test windows
	// that are only partly merged, which the bound doesn't cover.
	falsePositiveRate = 0.0008
	// fineCappedWindows and wideCappedWindows are the numbers of windows whose
	// likelihood ratios are capped so that these windows can't set the latch
	// alone. With clock differences of 500 ms, a degradation of both versions
	// looks one-sided in that many windows.
	fineCappedWindows, wideCappedWindows = 3, 2
	// windowsPerWideTest is the number of fine windows between two tests on the
	// wide scale. Wide windows are large and take most of a tick's time; the fine
	// scale detects sudden faults.
	windowsPerWideTest = 4
)

// evaluate tests the merged evidence and sets the latch. Tests exist for each
// route and for all routes together, for errors and latency, and on both scales.
// Their significance levels add up to falsePositiveRate.
func (m *Mover) evaluate() {
	if m.fault.Set || m.decision.outcome != Open {
		return
	}
	if len(m.staleWindows[fine]) > 0 {
		m.refresh(fine)
		m.runTests(fine)
	}
	w := m.options.Plan.windowIndex(fine, m.now)
	if len(m.staleWindows[wide]) > 0 && w >= m.lastWideTest+windowsPerWideTest {
		m.lastWideTest = w
		m.refresh(wide)
		m.runTests(wide)
	}
}

// refresh recomputes the evidence of the changed windows of a scale.
func (m *Mover) refresh(k scale) {
	for _, s := range m.staleWindows[k] {
		if t := m.windows[s]; t != nil {
			t.ratios = [metricCount]ratios{errorLogRatios(t).ratios(), latencyLogRatios(t, m.priorLatencies(s)).ratios()}
			t.stale = false
		}
	}
	m.staleWindows[k] = m.staleWindows[k][:0]
}

// priorLatencies returns the sum of the old version's latencies in the
// historyWindows windows before s.
func (m *Mover) priorLatencies(s windowKey) *counts {
	sum := &counts{}
	for w := max(0, int(s.window)-historyWindows); w < int(s.window); w++ {
		if t := m.windows[windowKey{s.scale, s.route, uint32(w)}]; t != nil {
			sum.add(&t.cohorts[baseline])
		}
	}
	return sum
}

// significance returns the significance level of the test of one route, of one
// metric and on one scale. The test of all routes together, with r equal to
// routes, gets half of the sum, because a fault that affects every route must be
// found fastest; the single routes share the other half equally (Bonferroni
// correction).
func significance(r, routes int) float64 {
	level := falsePositiveRate / float64(metricCount) / float64(scaleCount) / 2
	if r < routes {
		level /= float64(routes)
	}
	return level
}

// runTests tests both metrics on one scale, for every route and for all routes
// together.
func (m *Mover) runTests(s scale) {
	tested := m.testRange(s)
	routes := len(m.options.Plan.Routes) + 1
	statistics := make([][metricCount]testStatistic, routes+1)
	for w := tested.first; w <= tested.last; w++ {
		filled := false
		all := unitRatios
		for r := range routes {
			t := m.windows[windowKey{s, uint8(r), uint32(w)}]
			if t == nil {
				continue
			}
			filled = true
			for k := range metricCount {
				statistics[r][k].update(k, &t.ratios[k], tested.prior, tested.maxRatio[k])
				all[k].multiply(&t.ratios[k])
			}
		}
		for k := range metricCount {
			if filled {
				statistics[routes][k].update(k, &all[k], tested.prior, tested.maxRatio[k])
			}
		}
	}
	m.latchFaults(statistics)
}

// unitRatios holds ratios of 1, which are no evidence either way.
var unitRatios = func() (u [metricCount]ratios) {
	for k := range u {
		for i := range u[k] {
			u[k][i] = 1
		}
	}
	return u
}()

// latchFaults sets the fault for every statistic that reaches its limit, the
// inverse of its significance level.
func (m *Mover) latchFaults(statistics [][metricCount]testStatistic) {
	for r := range statistics {
		for k := range metricCount {
			if statistics[r][k].value() >= 1/significance(r, len(statistics)-1) {
				m.fault.merge(Fault{Set: true, Reason: m.faultReason(r, k)})
			}
		}
	}
}

// testRange is the range of kept windows of a scale, the prior probability that
// a fault starts in one of them, and the cap of one window's likelihood ratio
// for each metric.
type testRange struct {
	first, last int
	prior       float64
	maxRatio    [metricCount]float64
}

func (m *Mover) testRange(s scale) testRange {
	p := &m.options.Plan
	w := p.windowIndex(s, m.now)
	if s == wide {
		tested := testRange{last: min(wideWindows-1, w), prior: 1.0 / wideWindows}
		tested.maxRatio = [metricCount]float64{maxWindowRatio(1, wideCappedWindows), maxWindowRatio(tested.prior, wideCappedWindows)}
		return tested
	}
	prior := 1 / max(1, float64(p.Deadline.Sub(p.Begin))/float64(fineWindow))
	tested := testRange{first: max(0, w-fineWindowsKept+1), last: w + fineWindowsAhead, prior: prior}
	tested.maxRatio = [metricCount]float64{maxWindowRatio(min(1, fineWindowsKept*prior), fineCappedWindows), maxWindowRatio(prior, fineCappedWindows)}
	return tested
}

// maxWindowRatio returns the cap of one window's likelihood ratio. With it, the
// given number of windows keeps a statistic just below the lowest limit, if the
// statistic was at most priorStatistic before them.
func maxWindowRatio(priorStatistic float64, windows int) float64 {
	return math.Pow(1/(significance(1, 1)*priorStatistic), 1/float64(windows)) * 0.99
}

func (m *Mover) faultReason(r int, k metric) string {
	p := &m.options.Plan
	switch {
	case r < len(p.Routes):
		return fmt.Sprintf("%s on route %s", k, p.Routes[r])
	case r == len(p.Routes):
		return fmt.Sprintf("%s on other routes", k)
	default:
		return fmt.Sprintf("%s on all routes", k)
	}
}

// Fault returns the fault latch.
func (m *Mover) Fault() Fault {
	return m.fault
}

// Tick tests the evidence and starts the next store call if one is due. The
// caller calls it about every 100 ms.
func (m *Mover) Tick(now time.Time) {
	m.advanceClock(now)
	if w := m.options.Plan.windowIndex(fine, m.now); w >= m.lastPrune+windowsPerPrune {
		m.prune()
		m.lastPrune = w
	}
	m.cache.valid = false
	m.evaluate()
	m.startDueCall(now)
}
