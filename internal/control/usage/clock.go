// Package usage counts requests by workspace in windows of true time and decides
// which report is sent for each window.
//
// Ledger holds the counts of one start of a node, Table merges those of all nodes
// at the holder of the duty, Reporter decides and sends, and Clock maps the
// process's time to true time. All are pure state machines.
//
// Invariants: a report, once decided, never changes, whoever sends it; a count is
// merged by maximum, so that a repeated message has no effect; true time follows
// the store's clock by an offset that is decided once, so that a step of a wall
// clock moves no window.
package usage

import (
	"slices"
	"time"
)

// driftDivisor bounds the difference of the rates of two clocks: 1 ms in 10 s.
const driftDivisor = 10_000

// Clock maps the monotonic time of this process to the store's clock, and that to
// true time. The error of the store's clock is at most half the round trip of the
// best answer, about 2 ms.
type Clock struct {
	// millis is the store's clock at a moment between sentAt and receivedAt.
	millis             int64
	sentAt, receivedAt time.Time
	offset             time.Duration
	hasOffset          bool
}

// Observe records an answer with the store's clock. It replaces the previous one
// if it is more precise, considering the drift since then.
func (c *Clock) Observe(millis int64, sentAt, receivedAt time.Time) {
	width := receivedAt.Sub(sentAt)
	if c.millis != 0 && width > c.receivedAt.Sub(c.sentAt)+receivedAt.Sub(c.receivedAt)/driftDivisor {
		return
	}
	c.millis, c.sentAt, c.receivedAt = millis, sentAt, receivedAt
}

// StoreMillis returns the store's clock at now, and whether it is known.
func (c *Clock) StoreMillis(now time.Time) (int64, bool) {
	middle := c.sentAt.Add(c.receivedAt.Sub(c.sentAt) / 2)
	return c.millis + now.Sub(middle).Milliseconds(), c.millis != 0
}

// WallOffset returns the difference of a reading of the wall clock at now to the
// store's clock.
func (c *Clock) WallOffset(wall, now time.Time) (time.Duration, bool) {
	millis, ok := c.StoreMillis(now)
	return time.Duration(wall.UnixMilli()-millis) * time.Millisecond, ok
}

// SetOffset sets the agreed difference of true time to the store's clock.
func (c *Clock) SetOffset(d time.Duration) { c.offset, c.hasOffset = d, true }

// Offset returns the agreed difference of true time to the store's clock.
func (c *Clock) Offset() (time.Duration, bool) { return c.offset, c.hasOffset }

// True returns the true time at now, and whether it is known.
func (c *Clock) True(now time.Time) (time.Time, bool) {
	millis, ok := c.StoreMillis(now)
	return time.UnixMilli(millis).Add(c.offset).UTC(), ok && c.hasOffset
}

// MedianOffset returns the median of the nodes' samples, of which there must be at
// least one. It is within the range of the correct clocks if fewer than half of
// the clocks are wrong.
func MedianOffset(samples []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[len(sorted)/2]
}

// Window is the number of a window: window k begins k times its length after the
// start of 1970 in true time.
type Window int64

// WindowAt returns the window of a true time.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the true time at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length)).UTC()
}
