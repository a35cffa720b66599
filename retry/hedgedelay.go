package retry

import "time"

// minHedgeDelay is the shortest hedge delay. The timer that triggers a hedge
// isn't precise enough for a shorter one.
const minHedgeDelay = time.Millisecond

// HedgeDelay estimates the latency after which hedging a request is worthwhile:
// the mean plus four mean deviations, with the gains 1/8 and 1/4 of RFC 6298.
type HedgeDelay struct {
	mean      time.Duration
	deviation time.Duration
	observed  bool
}

// Observe records the latency of one answer.
func (d *HedgeDelay) Observe(latency time.Duration) {
	if !d.observed {
		d.mean = latency
		d.deviation = latency / 2
		d.observed = true
		return
	}
	d.deviation += ((latency - d.mean).Abs() - d.deviation) / 4
	d.mean += (latency - d.mean) / 8
}

// Value returns the hedge delay. It reports false before the first observation.
func (d *HedgeDelay) Value() (time.Duration, bool) {
	return max(minHedgeDelay, d.mean+4*d.deviation), d.observed
}
