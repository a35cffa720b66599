package procs

import (
	"fmt"
	"io"
	"time"

	"github.com/cicadahall/cicadahall/internal/call"
)

// Verdict compares what callers were told with what upstreams executed.
type Verdict struct {
	// Twice counts orders that ran more than once and must not.
	Twice int
	// False counts orders reported as not run that ran.
	False int
	// Missing counts orders reported as run that no upstream ran.
	Missing int
}

// Judge compares all fates with the executions by order. The load and the
// upstreams have to have ended.
func (l *Load) Judge(runs map[string]int) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Verdict
	for order, f := range l.fates {
		n := runs[order]
		if f.Once && n > 1 {
			v.Twice++
		}
		if f.Outcome == call.NotRun && n > 0 {
			v.False++
		}
		if f.Outcome == call.Ran && n == 0 {
			v.Missing++
		}
	}
	return v
}

// Totals returns the callers' view of the requests so far.
func (l *Load) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// Ended returns the number of requests that callers have an end of.
func (l *Load) Ended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// Latency returns a percentile of the latencies of answers that ran.
func (l *Load) Latency(percentile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// Note returns how often one kind of failure was reported to callers.
func (l *Load) Note(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notes[kind]
}

// PrintNotes lists how often each kind of failure was reported to callers.
func (l *Load) PrintNotes(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range sorted(l.notes) {
		fmt.Fprintf(w, "        %6d  %s\n", l.notes[n], n)
	}
}
