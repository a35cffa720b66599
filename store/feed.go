package store

import (
	"context"
	"time"
)

// Change is one row of a feed or of a snapshot.
type Change struct {
	Row
	// Deleted is set if the row was removed.
	Deleted bool
}

// Changes is the result of one read of a feed.
type Changes struct {
	Rows []Change
	// Version is the position in the store's history up to which Rows is
	// complete.
	Version uint64
	// Complete is set if Rows and Unreadable list every existing row, so that a
	// row missing from both was removed.
	Complete bool
	// Unreadable lists the rows that exist, but can't be decoded.
	Unreadable []Unreadable
}

// Unreadable is a row that exists, but can't be decoded. Key is empty and Version
// is 0 if even they can't be.
type Unreadable struct {
	Table   string
	Key     string
	Version uint64
	Err     error
}

// Feed follows the changes of one table. Callers set a deadline on every
// context.
type Feed struct {
	// All reads every row of the table.
	All func(ctx context.Context) (Changes, Result)
	// Next waits up to wait for rows that changed after a version. A Refused
	// result with Compacted set means that the store no longer has the history
	// after that version, so that the table must be read again.
	Next func(ctx context.Context, after uint64, wait time.Duration) (Changes, Result)
}
