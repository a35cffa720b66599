package probe

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// span is the window for which the budget is promised.
const span = time.Second

// Budget bounds the probes of one upstream. In every window of one second,
// ends included, there are at most as many probes as the rate allows in a
// second, and at least one if the rate isn't 0. Burst is how many of them may
// follow at once; it doesn't add to the window.
//
// A Budget outlives the Probers that use it, so that a restarted Prober doesn't
// start with a new burst. It is not safe for concurrent use.
type Budget struct {
	bucket *rate.Limiter
	rate   float64
	taken  []time.Time // probes within the last span, oldest first
	last   time.Time
}

// NewBudget returns a budget of so many probes per second and so many at once.
// Rates and bursts below 0 count as 0, which means no probes.
func NewBudget(perSecond float64, burst int) *Budget {
	perSecond = clean(perSecond)
	return &Budget{
		bucket: rate.NewLimiter(rate.Limit(perSecond), max(burst, 0)),
		rate:   perSecond,
	}
}

// clean maps rates that mean nothing to 0.
func clean(perSecond float64) float64 {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0
	}
	return perSecond
}

// Set takes over the values of a new manifest. Probes made before count, and
// unused allowance above the new burst is lost.
func (b *Budget) Set(perSecond float64, burst int, now time.Time) {
	now = b.forward(now)
	b.rate = clean(perSecond)
	b.bucket.SetLimitAt(now, rate.Limit(b.rate))
	b.bucket.SetBurstAt(now, max(burst, 0))
}

// Window returns the most probes in one second.
func (b *Budget) Window() int {
	if b.rate == 0 {
		return 0
	}
	return max(1, int(min(b.rate, math.MaxInt32)))
}

// Take uses the budget for one probe, if there is enough.
func (b *Budget) Take(now time.Time) bool {
	now = b.forward(now)
	for len(b.taken) > 0 && now.Sub(b.taken[0]) > span {
		b.taken = b.taken[1:]
	}
	// A rate of 0 has no allowance, but its bucket may still hold a burst.
	if len(b.taken) >= b.Window() || !b.bucket.AllowN(now, 1) {
		return false
	}
	b.taken = append(b.taken, now)
	return true
}

// forward ignores a clock that was set back, which could open a window twice.
func (b *Budget) forward(now time.Time) time.Time {
	if now.Before(b.last) {
		return b.last
	}
	b.last = now
	return now
}
