package hist

import (
	"errors"
	"fmt"

	"github.com/cicadahall/cicadahall/retry"
)

// Broken promises of a history.
var (
	ErrWhole  = errors.New("P5 whole: wrong or partial response passed on")
	ErrNotRun = errors.New("P6 notrun: told not run, but it ran")
	ErrOnce   = errors.New("P7 once: ran more than once")
	ErrSilent = errors.New("caller was told nothing by the deadline")
)

// Check returns the first broken promise of a drained history, or nil.
func (w *World) Check() error {
	for _, r := range w.Requests {
		if err := w.check(r); err != nil {
			return fmt.Errorf("request %s (idempotent %t, runs %d, told %s %q): %w",
				r.ID, r.Idempotent, r.Runs, r.Outcome, r.Body, err)
		}
	}
	return nil
}

func (w *World) check(r *Request) error {
	switch {
	case !r.Told || r.Took > w.options.Timeout:
		return ErrSilent
	case r.Outcome == retry.NotRun && r.Runs > 0:
		return ErrNotRun
	case r.Outcome == retry.Ran && !own(r):
		return ErrWhole
	case !r.Idempotent && r.Runs > 1:
		return ErrOnce
	}
	return nil
}

// own reports whether the response is the complete one of a run of the request.
func own(r *Request) bool {
	for run := 1; run <= r.Runs; run++ {
		if r.Body == bodyOf(r.ID, run) {
			return true
		}
	}
	return false
}
