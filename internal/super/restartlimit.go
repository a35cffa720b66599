package super

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"
)

// RestartLimit decides whether a failed child may be restarted. It has no clock of
// its own and isn't safe for concurrent use.
type RestartLimit struct {
	MaxRestarts int           // restarts allowed within Window
	Window      time.Duration // time after which a failure no longer counts
	failures    []time.Time
}

// RecordFailure records a failure. It returns the number of failures within the
// window, including this one, and whether the child may be restarted.
func (l *RestartLimit) RecordFailure(now time.Time) (count int, restart bool) {
	expired := func(t time.Time) bool { return now.Sub(t) >= l.Window }
	l.failures = slices.DeleteFunc(l.failures, expired)
	l.failures = append(l.failures, now)
	return len(l.failures), len(l.failures) <= l.MaxRestarts
}

// maxFrames bounds the number of stack frames searched for the one that panicked.
const maxFrames = 32

// newPanicError returns a PanicError with the location of a panic. It must be
// called by the deferred function that has recovered the panic.
func newPanicError(v any) PanicError {
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(0, pcs)])
	panicking := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if panicking && !inRuntime {
			return PanicError{Value: v, Location: fmt.Sprintf("%s (%s:%d)", f.Function, filepath.Base(f.File), f.Line)}
		}
		if f.Function == "runtime.gopanic" {
			panicking = true
		}
		if !more {
			return PanicError{Value: v, Location: "unknown location"}
		}
	}
}
