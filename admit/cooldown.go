package admit

import "time"

// cooldown paces the requests that a cold upstream starts: at most burst at
// once and rate a second after that.
type cooldown struct {
	rate  float64
	burst float64
	until time.Time
	// tokens were left at.
	tokens float64
	at     time.Time
}

// reset forgets the upstream before; the new one begins without tokens, so
// that a process that restarts can't double the burst.
func (c *cooldown) reset() {
	c.until = time.Time{}
	c.tokens = 0
}

// set takes how much longer the upstream stays cold.
func (c *cooldown) set(left time.Duration, now time.Time) {
	if left <= 0 {
		c.until = time.Time{}
		return
	}
	if !c.active(now) {
		c.tokens = 0
		c.at = now
	}
	c.until = now.Add(left)
}

func (c *cooldown) active(now time.Time) bool {
	return now.Before(c.until)
}

// take reports whether a request may start now.
func (c *cooldown) take(now time.Time) bool {
	if !c.active(now) {
		return true
	}
	if d := now.Sub(c.at); d > 0 {
		c.tokens = min(c.burst, c.tokens+c.rate*d.Seconds())
		c.at = now
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
