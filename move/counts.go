package move

import (
	"slices"
	"time"
)

const (
	// bucketCount, bucketBase and bucketRatio define the latency histogram: 32
	// buckets from 100 microseconds to 29 s. The ratio of 1.5 is fine enough to
	// detect a median that doubles and keeps the encoding of a window at a few
	// bytes.
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

// bucketOf returns the index of the histogram bucket of a latency.
func bucketOf(d time.Duration) int {
	i, _ := slices.BinarySearch(bounds[:], d)
	return i
}

// cohort is one of the two versions of a move: baseline is the old version,
// canary the new one.
type cohort uint8

const (
	baseline cohort = iota
	canary
	cohortCount
)

// scale is one of two window lengths. Fine windows detect a sudden fault within
// 2 s and are kept for the recent past only; wide windows divide the whole move
// and detect faults that take more evidence.
type scale uint8

const (
	fine scale = iota
	wide
	scaleCount
)

// counts are the grow-only counters of one cohort, route and window. The number
// of requests is errors plus the sum of the buckets, because failed requests
// have no meaningful latency.
type counts struct {
	errors  uint32
	buckets [bucketCount]uint32
}

func (c *counts) record(s Sample) {
	if s.Failed {
		c.errors++
		return
	}
	c.buckets[bucketOf(s.Latency)]++
}

// mergeMax raises each counter of c to the maximum of c and o and returns the
// increase.
func (c *counts) mergeMax(o *counts) (increase counts) {
	if o.errors > c.errors {
		increase.errors = o.errors - c.errors
		c.errors = o.errors
	}
	for i, n := range o.buckets {
		if n > c.buckets[i] {
			increase.buckets[i] = n - c.buckets[i]
			c.buckets[i] = n
		}
	}
	return increase
}

// add adds o to c.
func (c *counts) add(o *counts) {
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

// countFrom returns the number of latencies in the given bucket and those above
// it.
func (c *counts) countFrom(bucket int) int {
	n := 0
	for _, b := range c.buckets[bucket:] {
		n += int(b)
	}
	return n
}

func (c *counts) requests() int {
	return int(c.errors) + c.served()
}

// windowKey identifies one window of one route. Windows are numbered from the
// begin of the move.
type windowKey struct {
	scale  scale
	route  uint8
	window uint32
}

// counterKey identifies one set of counters of a node start.
type counterKey struct {
	windowKey
	cohort cohort
}

// compare orders counters for the encoding.
func (c counterKey) compare(o counterKey) int {
	return c.sortKey() - o.sortKey()
}

func (c counterKey) sortKey() int {
	return ((int(c.scale)<<8|int(c.route))<<32|int(c.window))<<1 | int(c.cohort)
}

// windowCounts holds the counters of both cohorts in one window, summed over all
// node starts, and the cached evidence of the window.
type windowCounts struct {
	cohorts [cohortCount]counts
	ratios  [metricCount]ratios
	stale   bool
}
