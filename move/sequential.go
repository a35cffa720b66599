package move

import "math"

// The test of one window is conditional on its margins: given the number of
// requests of each cohort and the number of events (errors, or latencies above a
// threshold) in both, the events of the canary follow Fisher's noncentral
// hypergeometric distribution with the odds ratio of the cohorts as its
// parameter. The likelihood ratio of two odds ratios is therefore independent of
// the common event rate: a degradation that affects both cohorts cancels out.
//
// The ratios of consecutive windows multiply to a test martingale under the
// hypothesis that the odds ratio is at most the tolerance. By Ville's inequality
// the probability that it ever reaches 1/a is at most a, however often it is
// evaluated. Averaging over several odds ratios, thresholds and start windows
// preserves that property (Robbins' method of mixtures, the mixture sequential
// probability ratio test; over start windows, the Shiryaev-Roberts procedure).

// metric is the quantity that a test compares.
type metric uint8

const (
	errorMetric metric = iota
	latencyMetric
	metricCount
)

func (k metric) String() string {
	if k == errorMetric {
		return "errors"
	}
	return "latency"
}

const (
	// tolerance is the odds ratio up to which the new version counts as good.
	// With a typical latency distribution it corresponds to about 15 % more
	// latency.
	tolerance = 1.5
	// maxWindowEvents bounds the events of one window and thereby the cost of its
	// test. Larger windows are scaled down, with rounding in favour of the new
	// version.
	maxWindowEvents = 256
	// componentCount is the number of mixture components of the test of one
	// metric.
	componentCount = 6
	// minLatencies is the least number of latencies that are compared.
	minLatencies = 4
)

// errorOdds are the odds ratios that the error test mixes over: from twice the
// failures to a version that nearly always fails.
var errorOdds = [componentCount]float64{3, 6, 12, 30, 100, 1000}

// latencyComponent is a latency threshold and an odds ratio. The threshold is a
// quantile of both cohorts in the window or, if fromHistory is set, of the old
// version in the windows before.
type latencyComponent struct {
	quantile    float64
	fromHistory bool
	odds        float64
}

// latencyComponents are the mixture components of the latency test. A threshold
// from earlier windows doesn't depend on the tested window and so keeps its
// evidence when one cohort has only a few requests; a quantile of the window
// also works at the beginning of a move and separates best when the new version
// is a little slower.
var latencyComponents = [componentCount]latencyComponent{
	{historyQuantile, true, 30},
	{historyQuantile, true, 300},
	{0.5, false, 4},
	{0.5, false, 30},
	{0.9, false, 4},
	{0.9, false, 30},
}

const (
	// historyQuantile of the old version's latencies is exceeded by nearly all
	// answers of a version that is several times slower.
	historyQuantile = 0.9
	// historyWindows is the number of earlier windows that give the threshold; in
	// fine windows they are 4 s.
	historyWindows = 16
	// minHistory is the least number of latencies for that threshold. With fewer,
	// startQuantile of the tested window replaces it, which separates best at the
	// largest share of the new version.
	minHistory    = 16
	startQuantile = 0.4
)

// logRatios are the logarithms of the likelihood ratios of one window, for each
// component.
type logRatios [componentCount]float64

// errorLogRatios returns the evidence from the errors of one window.
func errorLogRatios(t *windowCounts) (l logRatios) {
	oldCounts, newCounts := &t.cohorts[baseline], &t.cohorts[canary]
	table := newContingencyTable(oldCounts.requests(), newCounts.requests(), int(oldCounts.errors), int(newCounts.errors))
	for i, odds := range errorOdds {
		l[i] = table.logRatio(odds)
	}
	return l
}

// latencyLogRatios returns the evidence from the latencies of one window.
// history counts the old version's latencies before the window. The threshold
// that it gives depends on the past only, so the test remains a martingale.
func latencyLogRatios(t *windowCounts, history *counts) (l logRatios) {
	oldCounts, newCounts := &t.cohorts[baseline], &t.cohorts[canary]
	nb, nc := oldCounts.served(), newCounts.served()
	if nb == 0 || nc == 0 || nb+nc < minLatencies {
		return l
	}
	var table contingencyTable
	lastThreshold := -1
	for i, c := range latencyComponents {
		threshold := 0
		switch {
		case !c.fromHistory:
			threshold = quantileBucket(c.quantile, oldCounts, newCounts)
		case history.served() >= minHistory:
			threshold = quantileBucket(c.quantile, history)
		default:
			threshold = quantileBucket(startQuantile, oldCounts, newCounts)
		}
		if threshold != lastThreshold {
			table = newContingencyTable(nb, nc, oldCounts.countFrom(threshold), newCounts.countFrom(threshold))
			lastThreshold = threshold
		}
		l[i] = table.logRatio(c.odds)
	}
	return l
}

// quantileBucket returns the first bucket above the quantile q of all counts
// together.
func quantileBucket(q float64, all ...*counts) int {
	n := 0
	for _, c := range all {
		n += c.served()
	}
	below := 0
	for i := range bucketCount {
		if float64(below) >= q*float64(n) {
			return i
		}
		for _, c := range all {
			below += int(c.buckets[i])
		}
	}
	return bucketCount
}

// contingencyTable is a two-by-two table with the logarithms of its
// hypergeometric weights, which start at the least possible number of events in
// the canary. The sum at the tolerance is in toleranceSum.
type contingencyTable struct {
	minEvents    int
	events       int
	weights      []float64
	toleranceSum float64
}

// newContingencyTable returns the table of nb baseline and nc canary requests
// with eb and ec events. It is empty if the margins allow only one table.
func newContingencyTable(nb, nc, eb, ec int) contingencyTable {
	nb, nc, eb, ec = downscale(nb, nc, eb, ec)
	e := eb + ec
	low, high := max(0, e-nb), min(nc, e)
	if low >= high {
		return contingencyTable{}
	}
	t := contingencyTable{minEvents: low, events: ec, weights: make([]float64, high-low+1)}
	w := 0.0
	for k := low; k < high; k++ {
		w += math.Log(float64(nc-k) * float64(e-k) / (float64(k+1) * float64(nb-e+k+1)))
		t.weights[k-low+1] = w
	}
	t.toleranceSum = t.logSum(math.Log(tolerance))
	return t
}

// downscale scales a large table down to maxWindowEvents events. It rounds in
// favour of the new version.
func downscale(nb, nc, eb, ec int) (int, int, int, int) {
	e := eb + ec
	if e <= maxWindowEvents {
		return nb, nc, eb, ec
	}
	factor := float64(maxWindowEvents) / float64(e)
	ec = int(float64(ec) * factor)
	eb = int(math.Ceil(float64(eb) * factor))
	nc = max(ec, int(math.Ceil(float64(nc)*factor)))
	nb = max(eb, int(float64(nb)*factor))
	return nb, nc, eb, ec
}

// logRatio returns the log likelihood ratio of an odds ratio against the
// tolerance.
func (t contingencyTable) logRatio(odds float64) float64 {
	if len(t.weights) == 0 {
		return 0
	}
	l := math.Log(odds)
	return float64(t.events)*(l-math.Log(tolerance)) + t.toleranceSum - t.logSum(l)
}

// logSum returns the logarithm of the sum of weights times odds to the power of
// the events.
func (t contingencyTable) logSum(logOdds float64) float64 {
	largest := math.Inf(-1)
	for i, w := range t.weights {
		largest = max(largest, w+float64(t.minEvents+i)*logOdds)
	}
	sum := 0.0
	for i, w := range t.weights {
		// Terms below e^-30 of the largest don't change the sum.
		if d := w + float64(t.minEvents+i)*logOdds - largest; d > -30 {
			sum += math.Exp(d)
		}
	}
	return largest + math.Log(sum)
}

// ratios are the likelihood ratios of one window, for each component.
type ratios [componentCount]float64

// maxLogRatio keeps products of ratios within the range of float64.
const maxLogRatio = 50

func (l logRatios) ratios() (r ratios) {
	for i, x := range l {
		r[i] = math.Exp(max(-maxLogRatio, min(maxLogRatio, x)))
	}
	return r
}

func (r *ratios) multiply(o *ratios) {
	for i, x := range o {
		r[i] *= x
	}
}

// testStatistic is the statistic of one test for each component. For errors it
// is the Shiryaev-Roberts sum over start windows of the product of the
// likelihood ratios since then. For latency it is the largest of these products
// (CUSUM), which never exceeds the sum. Windows without errors have a ratio of
// 1, so the sum gains evidence from many possible starts; latencies always
// differ a little, so their sum would gain nothing, and the maximum allows a
// higher cap of the ratios.
type testStatistic [componentCount]float64

// update adds one window with the prior probability that a fault starts in it.
// The ratio of one window is capped, because cohorts with a clock difference of
// 500 ms show a degradation of both versions as one-sided in up to three fine
// windows.
func (s *testStatistic) update(k metric, r *ratios, prior, maxRatio float64) {
	for i := range s {
		start := max(s[i], prior)
		if k == errorMetric {
			start = s[i] + prior
		}
		s[i] = start * min(r[i], maxRatio)
	}
}

// value returns the mean of the statistic over the components.
func (s *testStatistic) value() float64 {
	sum := 0.0
	for _, x := range s {
		sum += x
	}
	return sum / componentCount
}
