package probe

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// window is the interval in which the number of probes is bounded.
const window = time.Second

// Budget bounds the probes of one upstream. In every window of one second,
// both ends included, there are at most as many probes as the rate allows in a
// second, and at least one is allowed if the rate isn't 0. Burst is how many of
// them may follow at once; it doesn't add to the bound of the window.
//
// A Budget outlives the Probers that use it, so that a restarted Prober doesn't
// start with a new burst. It is not safe for concurrent use.
type Budget struct {
	bucket *rate.Limiter
	rate   float64
	recent []time.Time // times of the probes within the last window, oldest first
	latest time.Time
}

// NewBudget returns a budget of perSecond probes per second and burst probes at
// once. Negative values count as 0, which means no probes.
func NewBudget(perSecond float64, burst int) *Budget {
	perSecond = sanitizeRate(perSecond)
	return &Budget{
		bucket: rate.NewLimiter(rate.Limit(perSecond), max(burst, 0)),
		rate:   perSecond,
	}
}

// sanitizeRate returns 0 for rates that are negative, infinite or NaN.
func sanitizeRate(perSecond float64) float64 {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0
	}
	return perSecond
}

// SetRate applies the values of a new manifest. Earlier probes still count, and
// unused allowance above the new burst is lost.
func (b *Budget) SetRate(perSecond float64, burst int, now time.Time) {
	now = b.clampTime(now)
	b.rate = sanitizeRate(perSecond)
	b.bucket.SetLimitAt(now, rate.Limit(b.rate))
	b.bucket.SetBurstAt(now, max(burst, 0))
}

// MaxPerSecond returns the maximum number of probes in one second.
func (b *Budget) MaxPerSecond() int {
	if b.rate == 0 {
		return 0
	}
	return max(1, int(min(b.rate, math.MaxInt32)))
}

// Allow reports whether a probe may be sent now. If so, it counts the probe.
func (b *Budget) Allow(now time.Time) bool {
	now = b.clampTime(now)
	for len(b.recent) > 0 && now.Sub(b.recent[0]) > window {
		b.recent = b.recent[1:]
	}
	// A rate of 0 allows no probe, but the bucket may still hold a burst.
	if len(b.recent) >= b.MaxPerSecond() || !b.bucket.AllowN(now, 1) {
		return false
	}
	b.recent = append(b.recent, now)
	return true
}

// clampTime returns the latest time seen if the clock was set back, because a
// window could otherwise be used twice.
func (b *Budget) clampTime(now time.Time) time.Time {
	if now.Before(b.latest) {
		return b.latest
	}
	b.latest = now
	return now
}
