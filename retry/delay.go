package retry

import "time"

// minHedge keeps hedges off calls that are faster than a timer.
const minHedge = time.Millisecond

// Delay estimates the latency after which a copy is worth hedging: the mean
// plus four mean deviations, with the gains 1/8 and 1/4 of RFC 6298.
type Delay struct {
	mean      time.Duration
	deviation time.Duration
	seen      bool
}

// Observe adds the latency of one answer.
func (d *Delay) Observe(latency time.Duration) {
	if !d.seen {
		d.mean = latency
		d.deviation = latency / 2
		d.seen = true
		return
	}
	d.deviation += ((latency - d.mean).Abs() - d.deviation) / 4
	d.mean += (latency - d.mean) / 8
}

// Hedge returns the delay. It reports false before the first observation.
func (d *Delay) Hedge() (time.Duration, bool) {
	return max(minHedge, d.mean+4*d.deviation), d.seen
}
