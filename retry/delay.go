package retry

import "time"

// minHedgeDelay avoids hedging calls that are faster than a timer.
const minHedgeDelay = time.Millisecond

// Delay estimates the latency after which hedging a request is worthwhile: the
// mean plus four mean deviations, with the gains 1/8 and 1/4 of RFC 6298.
type Delay struct {
	mean      time.Duration
	deviation time.Duration
	observed  bool
}

// Observe records the latency of one answer.
func (d *Delay) Observe(latency time.Duration) {
	if !d.observed {
		d.mean = latency
		d.deviation = latency / 2
		d.observed = true
		return
	}
	d.deviation += ((latency - d.mean).Abs() - d.deviation) / 4
	d.mean += (latency - d.mean) / 8
}

// Hedge returns the hedge delay. It reports false before the first observation.
func (d *Delay) Hedge() (time.Duration, bool) {
	return max(minHedgeDelay, d.mean+4*d.deviation), d.observed
}
