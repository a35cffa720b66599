package move

import "math"

// The test of one window is conditional on its margins: given the number of
// requests of each cohort and the number of events (errors, or latencies
// above a threshold) in both, the events of the new cohort follow Fisher's
// noncentral hypergeometric distribution with the odds ratio of the cohorts
// as its parameter. The likelihood ratio of two odds ratios is therefore free
// of the common event rate: a sickness that hits both cohorts cancels out.
//
// The ratios of consecutive windows multiply to a test martingale under the
// hypothesis that the odds ratio is at most the tolerance, so by Ville's
// inequality the probability that it ever reaches 1/a is at most a, whenever
// one looks. Averaging over several odds ratios, thresholds and start windows
// keeps that property (Robbins' method of mixtures, the mixture sequential
// probability ratio test; over start windows, the Shiryaev-Roberts form).

// kind is what a test compares.
type kind uint8

const (
	errorsKind kind = iota
	latencyKind
	kinds
)

func (k kind) String() string {
	if k == errorsKind {
		return "errors"
	}
	return "latency"
}

const (
	// tolerance is the odds ratio up to which the new version counts as
	// good. At a usual spread of latencies it corresponds to about 15 % more.
	tolerance = 1.5
	// eventsMost bounds the events of one window and so the cost of its test.
	// Larger windows are thinned in proportion, in favour of the new version.
	eventsMost = 256
	// gainsCount is the number of mixture components of one kind of test.
	gainsCount = 6
	// latencyLeast is the least number of latencies that are compared.
	latencyLeast = 4
)

// alternatives are the odds ratios that the errors test mixes over: from
// twice the failures to a version that fails nearly always.
var alternatives = [gainsCount]float64{3, 6, 12, 30, 100, 1000}

// component is a threshold on latencies and an odds ratio. The threshold is a
// quantile of both cohorts in the window or, if usual is set, of the old
// version in the windows before.
type component struct {
	quantile float64
	usual    bool
	odds     float64
}

// components are what the latency test mixes over. A threshold that the window
// itself doesn't move keeps its evidence when one cohort has a few requests
// only; a quantile of the window also works at the begin of a move and
// separates best when the new version is a little slower.
var components = [gainsCount]component{
	{usualQuantile, true, 30},
	{usualQuantile, true, 300},
	{0.5, false, 4},
	{0.5, false, 30},
	{0.9, false, 4},
	{0.9, false, 30},
}

const (
	// usualQuantile of the old version's latencies is exceeded by nearly all
	// answers of a version that is several times slower.
	usualQuantile = 0.9
	// usualWindows is the number of windows before one that tell what is usual;
	// in fine windows they are 4 s.
	usualWindows = 16
	// usualLeast is the least number of latencies that tell what is usual, and
	// startQuantile of the window replaces it before; it separates best at the
	// largest share of the new version.
	usualLeast    = 16
	startQuantile = 0.4
)

// gains are the logarithms of the likelihood ratios of one window.
type gains [gainsCount]float64

// errorGains returns the evidence in the errors of one window.
func errorGains(t *table) (g gains) {
	o, f := &t.cohorts[old], &t.cohorts[fresh]
	s := newSplit(o.requests(), f.requests(), int(o.errors), int(f.errors))
	for i, odds := range alternatives {
		g[i] = s.gain(odds)
	}
	return g
}

// latencyGains returns the evidence in the latencies of one window. Usually
// counts the old version's latencies before; the threshold that it gives
// depends on the past only, so that the test stays a martingale.
func latencyGains(t *table, usually *counts) (g gains) {
	o, f := &t.cohorts[old], &t.cohorts[fresh]
	no, nf := o.served(), f.served()
	if no == 0 || nf == 0 || no+nf < latencyLeast {
		return g
	}
	var s split
	last := -1
	for i, c := range components {
		from := 0
		switch {
		case !c.usual:
			from = quantile(c.quantile, o, f)
		case usually.served() >= usualLeast:
			from = quantile(c.quantile, usually)
		default:
			from = quantile(startQuantile, o, f)
		}
		if from != last {
			s = newSplit(no, nf, o.above(from), f.above(from))
			last = from
		}
		g[i] = s.gain(c.odds)
	}
	return g
}

// quantile returns the first bucket above the quantile q of all counts together.
func quantile(q float64, all ...*counts) int {
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

// split is a two-by-two table with the logarithms of its hypergeometric
// weights, from the least possible number of events in the new cohort.
type split struct {
	least   int
	events  int
	weights []float64
	norm    float64
}

// newSplit returns the table of no old and nf new requests with eo and ef
// events. It is empty if the margins leave only one possibility.
func newSplit(no, nf, eo, ef int) split {
	no, nf, eo, ef = thin(no, nf, eo, ef)
	e := eo + ef
	least, most := max(0, e-no), min(nf, e)
	if least >= most {
		return split{}
	}
	s := split{least: least, events: ef, weights: make([]float64, most-least+1)}
	w := 0.0
	for k := least; k < most; k++ {
		w += math.Log(float64(nf-k) * float64(e-k) / (float64(k+1) * float64(no-e+k+1)))
		s.weights[k-least+1] = w
	}
	s.norm = s.total(math.Log(tolerance))
	return s
}

// thin scales a large table down to eventsMost events. It rounds against the
// evidence.
func thin(no, nf, eo, ef int) (int, int, int, int) {
	e := eo + ef
	if e <= eventsMost {
		return no, nf, eo, ef
	}
	f := float64(eventsMost) / float64(e)
	ef = int(float64(ef) * f)
	eo = int(math.Ceil(float64(eo) * f))
	nf = max(ef, int(math.Ceil(float64(nf)*f)))
	no = max(eo, int(float64(no)*f))
	return no, nf, eo, ef
}

// gain returns the log likelihood ratio of an odds ratio to the tolerance.
func (s split) gain(odds float64) float64 {
	if len(s.weights) == 0 {
		return 0
	}
	l := math.Log(odds)
	return float64(s.events)*(l-math.Log(tolerance)) + s.norm - s.total(l)
}

// total returns the log of the sum of weights times odds to the power of the
// events.
func (s split) total(logOdds float64) float64 {
	top := math.Inf(-1)
	for i, w := range s.weights {
		top = max(top, w+float64(s.least+i)*logOdds)
	}
	sum := 0.0
	for i, w := range s.weights {
		// Terms below e^-30 of the largest don't change the sum.
		if d := w + float64(s.least+i)*logOdds - top; d > -30 {
			sum += math.Exp(d)
		}
	}
	return top + math.Log(sum)
}

// ratios are the likelihood ratios of one window, for each component.
type ratios [gainsCount]float64

// ratioLogMost keeps products of ratios within the range of float64.
const ratioLogMost = 50

func (g gains) ratios() (r ratios) {
	for i, x := range g {
		r[i] = math.Exp(max(-ratioLogMost, min(ratioLogMost, x)))
	}
	return r
}

func (r *ratios) times(o *ratios) {
	for i, x := range o {
		r[i] *= x
	}
}

// chain is the statistic of one test for each component. For errors it is the
// Shiryaev-Roberts sum over start windows of the product of likelihood ratios
// since then; for latency it is the largest of these products (CUSUM), which
// never exceeds the sum. Windows without errors leave the sum untouched, so it
// gains from many possible starts; latencies always differ a little, so their
// sum gains nothing, and the maximum allows a higher cap.
type chain [gainsCount]float64

// step adds one window with the prior probability that a fault starts in it.
// The ratio of one window is capped: cohorts whose clocks differ by 500 ms
// show a common sickness in up to three fine windows as one-sided.
func (c *chain) step(k kind, r *ratios, prior, most float64) {
	for i := range c {
		start := max(c[i], prior)
		if k == errorsKind {
			start = c[i] + prior
		}
		c[i] = start * min(r[i], most)
	}
}

// value returns the mean over the components.
func (c *chain) value() float64 {
	sum := 0.0
	for _, s := range c {
		sum += s
	}
	return sum / gainsCount
}
