// Package store describes the platform's table service and object store as
// two types with function fields. Every call returns a Result that separates
// a write that didn't take effect from one whose effect isn't known.
package store

import "context"

// Outcome tells what is known about the effect of a call.
type Outcome uint8

const (
	// Unknown means that the answer was lost; a write may have taken effect.
	Unknown Outcome = iota
	// Done means that the call took effect.
	Done
	// Refused means that the call took no effect.
	Refused
)

// String returns the outcome as used in logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Result is the outcome of a call and, unless it is Done, the reason.
type Result struct {
	Outcome Outcome
	Err     error
	// Conflict is set on a Refused commit when a row's version differed from
	// the expected one, as opposed to a service that is out of reach.
	Conflict bool
	// Compacted is set on a Refused read of a feed whose history is gone.
	Compacted bool
}

// OK reports whether the call took effect.
func (r Result) OK() bool {
	return r.Outcome == Done
}

// Row is one row of the table service. Version 0 means that it doesn't exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write sets one row if its version still is Expect. Expect 0 requires that
// the row doesn't exist. A successful write raises the version.
type Write struct {
	Key    string
	Value  []byte
	Expect uint64
}

// Table is the platform's transactional table service. Callers set a deadline
// on every context.
type Table struct {
	// Get reads one row; a missing row gives Done and Version 0.
	Get func(ctx context.Context, key string) (Row, Result)
	// Commit applies all writes or none.
	Commit func(ctx context.Context, writes []Write) Result
	// Scan lists the rows whose key starts with prefix, ordered by key.
	Scan func(ctx context.Context, prefix string) ([]Row, Result)
}

// Objects is the platform's object store. Callers set a deadline on every
// context. A missing object is Refused.
type Objects struct {
	Get func(ctx context.Context, key string) ([]byte, Result)
	Put func(ctx context.Context, key string, body []byte) Result
}
