package procs

import (
	"fmt"
	"io"
	"time"

	"github.com/cicadahall/cicadahall/internal/call"
)

// Mismatches counts orders whose outcome, as reported to the caller, contradicts
// the executions at the upstreams.
type Mismatches struct {
	// DuplicateRuns counts at-most-once orders that ran more than once.
	DuplicateRuns int
	// FalseNotRun counts orders that ran but were reported as not run.
	FalseNotRun int
	// MissingRuns counts orders that were reported as run but that no upstream
	// ran.
	MissingRuns int
}

// CountMismatches compares the outcomes of all orders with runs, the executions
// by order. It must be called after the load and the upstreams have stopped.
func (l *Load) CountMismatches(runs map[string]int) Mismatches {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Mismatches
	for order, f := range l.outcomes {
		n := runs[order]
		if f.AtMostOnce && n > 1 {
			v.DuplicateRuns++
		}
		if f.Outcome == call.NotRun && n > 0 {
			v.FalseNotRun++
		}
		if f.Outcome == call.Ran && n == 0 {
			v.MissingRuns++
		}
	}
	return v
}

// Totals returns the counts of the requests so far.
func (l *Load) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Completed returns the number of requests that have completed, including those
// without an HTTP response.
func (l *Load) Completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// Latency returns a percentile (0 to 100) of the latencies of successful
// requests.
func (l *Load) Latency(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// FailureCount returns how often callers saw a kind of failure, such as
// "unknown: broken".
func (l *Load) FailureCount(failure string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures[failure]
}

// PrintFailures writes the number of occurrences of each kind of failure to w.
func (l *Load) PrintFailures(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range sortedKeys(l.failures) {
		fmt.Fprintf(w, "        %6d  %s\n", l.failures[n], n)
	}
}
