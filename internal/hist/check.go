package hist

import (
	"errors"
	"fmt"

	"github.com/cicadahall/cicadahall/retry"
)

// Errors of Check.
var (
	ErrWrongResponse = errors.New("caller received a wrong or truncated response")
	ErrNotRunButRan  = errors.New("caller received outcome not-run for a request that ran")
	ErrRanTwice      = errors.New("non-idempotent request ran more than once")
	ErrNoOutcome     = errors.New("caller received no outcome by the deadline")
)

// Check returns an error for the first request whose guarantees were violated,
// or nil. Drain must have been called before.
func (w *World) Check() error {
	for _, r := range w.Requests {
		if err := w.check(r); err != nil {
			return fmt.Errorf("request %s (idempotent %t, runs %d, outcome %s, body %q): %w",
				r.ID, r.Idempotent, r.Runs, r.Outcome, r.Body, err)
		}
	}
	return nil
}

func (w *World) check(r *Request) error {
	switch {
	case !r.HasOutcome || r.Latency > w.options.Timeout:
		return ErrNoOutcome
	case r.Outcome == retry.NotRun && r.Runs > 0:
		return ErrNotRunButRan
	case r.Outcome == retry.Ran && !isOwnResponse(r):
		return ErrWrongResponse
	case !r.Idempotent && r.Runs > 1:
		return ErrRanTwice
	}
	return nil
}

// isOwnResponse reports whether the body is the complete response of one of the
// runs of the request.
func isOwnResponse(r *Request) bool {
	for run := 1; run <= r.Runs; run++ {
		if r.Body == bodyOf(r.ID, run) {
			return true
		}
	}
	return false
}
