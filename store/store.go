// Package store describes the platform's table service and object store as
// types with function fields, which clients and test doubles fill in. Every
// call returns a Result that distinguishes a write that took no effect from
// one whose effect is unknown.
package store

import "context"

// Outcome is what is known about the effect of a call.
type Outcome uint8

const (
	// Unknown means that the response was lost; a write may have taken effect.
	Unknown Outcome = iota
	// Done means that the call took effect.
	Done
	// Refused means that the call took no effect.
	Refused
)

// String returns the outcome as written in logs.
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

// Result is the outcome of a call and, unless that is Done, the reason.
type Result struct {
	Outcome Outcome
	Err     error
	// Conflict is set on a Refused commit if a row's version differed from the
	// expected one, as opposed to a store that is unavailable.
	Conflict bool
	// Compacted is set on a Refused read of a feed if the store no longer has
	// the history after the requested version.
	Compacted bool
	// NowMillis is the store's clock when it answered, in milliseconds since an
	// unspecified moment; 0 if the answer doesn't tell. The clock is the same for
	// all clients and never steps.
	NowMillis int64
	// Version is the version of the rows written by a commit that is Done; 0 if
	// the answer doesn't tell.
	Version uint64
}

// OK reports whether the call took effect.
func (r Result) OK() bool {
	return r.Outcome == Done
}

// Row is one row of the table service. Version 0 means that the row doesn't
// exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write sets one row if its version is still ExpectedVersion. An
// ExpectedVersion of 0 requires that the row doesn't exist. A successful write
// increases the version.
type Write struct {
	Key             string
	Value           []byte
	ExpectedVersion uint64 `json:"Expect"`
}

// Table is the platform's transactional table service. Callers set a deadline
// on every context.
type Table struct {
	// Get reads one row. A missing row gives Done and a Row with Version 0; a row
	// that can't be decoded gives Refused and a Row with its Version.
	Get func(ctx context.Context, key string) (Row, Result)
	// Commit applies all writes or none.
	Commit func(ctx context.Context, writes []Write) Result
	// Scan lists the rows whose key starts with prefix, ordered by key.
	Scan func(ctx context.Context, prefix string) ([]Row, Result)
}

// Objects is the platform's object store. Callers set a deadline on every
// context. A missing object gives Refused.
type Objects struct {
	Get func(ctx context.Context, key string) ([]byte, Result)
	Put func(ctx context.Context, key string, body []byte) Result
}
