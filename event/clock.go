// Package event records the events of a node with hybrid logical timestamps,
// keeps the latest of them in a bounded ring, and merges the records of several
// nodes into one timeline.
//
// Invariants: the timestamps of one log are strictly increasing, sequence numbers
// have no gap, and a reader gets the number of records that it has missed. A
// record sorts after all records whose timestamps its node has passed to Observe
// before.
package event

import (
	"fmt"
	"math"
	"time"
)

// Time is a hybrid logical timestamp: a physical time and a counter that orders
// events of the same physical time. See Kulkarni et al., "Logical Physical
// Clocks", 2014.
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

// Physical returns the physical part in UTC.
func (t Time) Physical() time.Time { return time.Unix(0, t.Wall).UTC() }

// next returns the smallest timestamp after t.
func (t Time) next() Time {
	if t.Logical == math.MaxUint32 {
		return Time{Wall: t.Wall + 1}
	}
	return Time{Wall: t.Wall, Logical: t.Logical + 1}
}

// DriftError is returned for a timestamp that is too far ahead of the local
// clock.
type DriftError struct {
	Ahead    time.Duration
	MaxDrift time.Duration
}

// Error states the drift and its limit.
func (e DriftError) Error() string {
	return fmt.Sprintf("timestamp is %v ahead of the local clock, more than the limit of %v", e.Ahead, e.MaxDrift)
}

// Clock is a hybrid logical clock. It never reads the time itself and isn't safe
// for concurrent use. The zero Clock rejects every timestamp ahead of the local
// clock.
type Clock struct {
	// MaxDrift is how far an observed timestamp may be ahead of the local clock.
	// Without a limit, one node with a wrong clock would move the clocks of all
	// nodes into the future.
	MaxDrift time.Duration
	last     Time
}

// Now returns a timestamp after all returned and observed ones. The argument is
// the physical time.
func (c *Clock) Now(now time.Time) Time {
	t := Time{Wall: now.UnixNano()}
	if !c.last.Before(t) {
		t = c.last.next()
	}
	c.last = t
	return t
}

// Observe advances the clock to a timestamp from another node. If the timestamp
// is more than MaxDrift ahead of the physical time now, Observe ignores it and
// returns a DriftError.
func (c *Clock) Observe(t Time, now time.Time) error {
	ahead := time.Duration(t.Wall - now.UnixNano())
	if ahead > c.MaxDrift {
		return DriftError{Ahead: ahead, MaxDrift: c.MaxDrift}
	}
	if c.last.Before(t) {
		c.last = t
	}
	return nil
}
