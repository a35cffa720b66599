package move

import (
	"slices"
	"time"
)

const (
	// bucketCount, bucketBase and bucketRatio fix the latency histogram: 32
	// buckets from 100 microseconds to 29 s. The ratio of 1.5 is fine enough
	// to see a median that doubles and keeps a window at a few bytes.
	bucketCount = 32
	bucketBase  = 100 * time.Microsecond
	bucketRatio = 1.5
)

// bounds are the upper bounds of all buckets but the last.
var bounds = func() (b [bucketCount - 1]time.Duration) {
	upper := float64(bucketBase)
	for i := range b {
		b[i] = time.Duration(upper)
		upper *= bucketRatio
	}
	return b
}()

// bucketOf returns the histogram bucket of a latency.
func bucketOf(d time.Duration) int {
	i, _ := slices.BinarySearch(bounds[:], d)
	return i
}

// cohort tells the two versions of a move apart.
type cohort uint8

const (
	old cohort = iota
	fresh
	cohorts
)

// scale is one of two window lengths. Fine windows find a sudden fault within
// 2 s and are kept for the recent past only; wide ones split the whole move
// and find faults that need much evidence.
type scale uint8

const (
	fine scale = iota
	wide
	scales
)

// counts are the grow-only counters of one cohort, route and window. The
// number of requests is errors plus the sum of the buckets, because failed
// requests have no meaningful latency.
type counts struct {
	errors  uint32
	buckets [bucketCount]uint32
}

func (c *counts) add(s Sample) {
	if s.Failed {
		c.errors++
		return
	}
	c.buckets[bucketOf(s.Latency)]++
}

// join raises c to the maximum of c and o and returns the increase.
func (c *counts) join(o *counts) (rise counts) {
	if o.errors > c.errors {
		rise.errors = o.errors - c.errors
		c.errors = o.errors
	}
	for i, n := range o.buckets {
		if n > c.buckets[i] {
			rise.buckets[i] = n - c.buckets[i]
			c.buckets[i] = n
		}
	}
	return rise
}

// sum adds o to c.
func (c *counts) sum(o *counts) {
	c.errors += o.errors
	for i, n := range o.buckets {
		c.buckets[i] += n
	}
}

func (c *counts) served() int {
	n := 0
	for _, b := range c.buckets {
		n += int(b)
	}
	return n
}

// above counts the latencies from a bucket on.
func (c *counts) above(bucket int) int {
	n := 0
	for _, b := range c.buckets[bucket:] {
		n += int(b)
	}
	return n
}

func (c *counts) requests() int {
	return int(c.errors) + c.served()
}

// span identifies one window of one route. Windows count from the move's begin.
type span struct {
	scale  scale
	route  uint8
	window uint32
}

// cell identifies one set of counters of a node start.
type cell struct {
	span
	cohort cohort
}

// compare orders cells for the encoding.
func (c cell) compare(o cell) int {
	return c.order() - o.order()
}

func (c cell) order() int {
	return ((int(c.scale)<<8|int(c.route))<<32|int(c.window))<<1 | int(c.cohort)
}

// table holds the counters of both cohorts in one window, summed over all
// node starts, and the cached evidence of the window.
type table struct {
	cohorts [cohorts]counts
	ratios  [kinds]ratios
	stale   bool
}
