package super

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Window decides whether a failed child may start again. It is a pure state
// machine and isn't safe for concurrent use.
type Window struct {
	Limit  int           // restarts that are allowed within Length
	Length time.Duration // time after which a failure no longer counts
	times  []time.Time
}

// Fail records a failure. It returns the number of failures within the window,
// this one included, and whether the child may start again.
func (w *Window) Fail(now time.Time) (count int, again bool) {
	old := func(t time.Time) bool { return now.Sub(t) >= w.Length }
	w.times = slices.DeleteFunc(w.times, old)
	w.times = append(w.times, now)
	return len(w.times), len(w.times) <= w.Limit
}

// maxFrames bounds the search for the frame that panicked.
const maxFrames = 32

// newPanicError finds the place of a panic. It must be called by the deferred
// function that has recovered it.
func newPanicError(v any) PanicError {
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(0, pcs)])
	panicking := false
	for {
		f, more := frames.Next()
		inRuntime := strings.HasPrefix(f.Function, "runtime.")
		if panicking && !inRuntime {
			return PanicError{Value: v, Place: fmt.Sprintf("%s (%s:%d)", f.Function, filepath.Base(f.File), f.Line)}
		}
		if f.Function == "runtime.gopanic" {
			panicking = true
		}
		if !more {
			return PanicError{Value: v, Place: "unknown place"}
		}
	}
}
