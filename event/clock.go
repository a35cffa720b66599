// Package event records what a node does as numbered events with hybrid
// logical timestamps, keeps the latest of them in a bounded ring, and merges
// the records of several nodes into one time line.
//
// Invariants: the timestamps of one log ascend strictly, sequence numbers have
// no gap, and a reader learns how many records it has lost. A record that was
// caused by another one, as known through Observe, sorts after it.
package event

import (
	"fmt"
	"math"
	"time"
)

// Time is a hybrid logical timestamp: physical time and a counter that orders
// events of the same physical time.
// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
type Time struct {
	Wall    int64 // nanoseconds since 1970, UTC
	Logical uint32
}

// Before reports whether t sorts before u.
func (t Time) Before(u Time) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Physical returns the physical part.
func (t Time) Physical() time.Time { return time.Unix(0, t.Wall).UTC() }

// next returns the smallest timestamp after t.
func (t Time) next() Time {
	if t.Logical == math.MaxUint32 {
		return Time{Wall: t.Wall + 1}
	}
	return Time{Wall: t.Wall, Logical: t.Logical + 1}
}

// DriftError reports a timestamp that is too far ahead of the own clock.
type DriftError struct {
	Ahead time.Duration
	Bound time.Duration
}

// Error states by how much the bound is exceeded.
func (e DriftError) Error() string {
	return fmt.Sprintf("timestamp is %v ahead of the own clock, more than the bound %v", e.Ahead, e.Bound)
}

// Clock is a hybrid logical clock. It is a pure state machine and isn't safe
// for concurrent use. The zero Clock accepts no timestamp of the future.
type Clock struct {
	// Bound is the largest accepted drift. Without it, one node with a wrong
	// clock would move the clocks of all nodes into the future.
	Bound time.Duration
	last  Time
}

// Now returns a timestamp above all earlier ones.
func (c *Clock) Now(now time.Time) Time {
	t := Time{Wall: now.UnixNano()}
	if !c.last.Before(t) {
		t = c.last.next()
	}
	c.last = t
	return t
}

// Observe moves the clock past a timestamp from another node. It returns a
// DriftError, and ignores the timestamp, if that is more than Bound ahead.
func (c *Clock) Observe(t Time, now time.Time) error {
	ahead := time.Duration(t.Wall - now.UnixNano())
	if ahead > c.Bound {
		return DriftError{Ahead: ahead, Bound: c.Bound}
	}
	if c.last.Before(t) {
		c.last = t
	}
	return nil
}
