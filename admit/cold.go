package admit

import "time"

// ColdBound is the bound on the requests that a cold upstream may get: at most
// Rate*Overage + Slack in any second.
type ColdBound struct {
	// Rate is in requests per second.
	Rate float64
	// Overage is at least 1.
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// coldShare is the fraction of overage and slack that is used. The rest is a
// reserve for requests that are bunched on their way to the upstream.
const coldShare = 0.9

// Pace returns the rate and the burst of the requests that are started. It
// answers the load after a common restart, when all upstreams are cold and their
// pace is what binds.
func (b ColdBound) Pace() (rate, burst float64) {
	return b.Rate * (1 + coldShare*(b.Overage-1)), max(1, coldShare*b.Slack)
}

// coldBucket is a token bucket that limits the rate at which a cold upstream
// starts requests: at most burst at once and rate per second after that.
type coldBucket struct {
	rate      float64
	burst     float64
	coldUntil time.Time
	// tokens is the fill level at refilledAt.
	tokens     float64
	refilledAt time.Time
}

// reset discards the state of the previous process. The new one starts without
// tokens, so that a restart can't double the burst.
func (c *coldBucket) reset() {
	c.coldUntil = time.Time{}
	c.tokens = 0
}

// set sets the remaining time for which the upstream is cold.
func (c *coldBucket) set(remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		c.coldUntil = time.Time{}
		return
	}
	if !c.active(now) {
		c.tokens = 0
		c.refilledAt = now
	}
	c.coldUntil = now.Add(remaining)
}

// active reports whether the upstream is still cold.
func (c *coldBucket) active(now time.Time) bool {
	return now.Before(c.coldUntil)
}

// wait returns the time until the bucket admits the n-th start from now.
func (c *coldBucket) wait(n int, now time.Time) time.Duration {
	if !c.active(now) || c.rate <= 0 {
		return 0
	}
	missing := float64(n) - c.tokens - c.rate*now.Sub(c.refilledAt).Seconds()
	pace := time.Duration(max(0, missing) / c.rate * float64(time.Second))
	return min(pace, c.coldUntil.Sub(now))
}

// take reports whether a request may start now and consumes a token if the
// upstream is cold.
func (c *coldBucket) take(now time.Time) bool {
	if !c.active(now) {
		return true
	}
	if elapsed := now.Sub(c.refilledAt); elapsed > 0 {
		c.tokens = min(c.burst, c.tokens+c.rate*elapsed.Seconds())
		c.refilledAt = now
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
