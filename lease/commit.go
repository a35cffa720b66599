package lease

import (
	"context"
	"encoding/json"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/store"
)

// commit replaces the row, if it still has the given version, by next. If w isn't
// nil, the same commit applies w. The caller must hold mu.
func (l *Lease) commit(ctx context.Context, step string, next leaseRow, version uint64, w *store.Write) error {
	encoded, err := json.Marshal(next)
	if err != nil {
		return l.wrap(step, err)
	}
	writes := []store.Write{{Key: l.Key(), Value: encoded, ExpectedVersion: version}}
	if w != nil {
		writes = append(writes, *w)
	}
	res := l.options.Table.Commit(ctx, writes)
	switch {
	case res.OK():
		l.setHeld(next, version+1)
		return nil
	case res.Outcome == store.Refused && !res.Conflict:
		return l.wrap(step, ErrStore)
	}
	conflictKey := ""
	if res.Conflict && w != nil {
		conflictKey = w.Key
	}
	return l.resolve(ctx, step, next, version, conflictKey)
}

// resolve reads the row after a conflict or a lost answer to determine the outcome
// of a commit. The table increments a row's version with each commit, so the
// commit took effect if and only if the row equals next and has the version after
// the given one. If a commit with a guarded write was refused by a conflict,
// conflictKey is the key of that write; otherwise it is empty.
func (l *Lease) resolve(ctx context.Context, step string, next leaseRow, version uint64, conflictKey string) error {
	current, currentVersion, err := l.readRow(ctx)
	if err == nil && currentVersion == version+1 && current.equal(next) {
		l.setHeld(next, currentVersion)
		return nil
	}
	if err == nil && currentVersion == version && conflictKey != "" {
		return l.wrap(step, &ConflictError{Key: conflictKey})
	}
	// A commit without an answer may still take effect later. The lease must then
	// be acquired again, which starts a new epoch and increments the version, so
	// that the table refuses the late commit.
	l.held = false
	if err != nil || currentVersion == version {
		return l.wrap(step, ErrUnknown)
	}
	return l.wrap(step, ErrLost)
}

// setHeld records a row that this Lease has written.
func (l *Lease) setHeld(v leaseRow, version uint64) {
	l.written, l.version, l.held = v, version, true
}

// readRow returns the row and its version; both are zero if there is no row.
func (l *Lease) readRow(ctx context.Context) (leaseRow, uint64, error) {
	row, res := l.options.Table.Get(ctx, l.Key())
	if !res.OK() {
		return leaseRow{}, 0, ErrStore
	}
	if row.Version == 0 {
		return leaseRow{}, 0, nil
	}
	var v leaseRow
	if json.Unmarshal(row.Value, &v) != nil || v.Format != rowFormat {
		return leaseRow{}, 0, ErrUnsupportedFormat
	}
	return v, row.Version, nil
}

// isOwn reports whether this process start wrote the row.
func (l *Lease) isOwn(v leaseRow) bool {
	return v.Node == l.options.Node && v.Start == l.options.Start && v.Epoch > 0
}

// equal reports whether both values are of the same commit.
func (v leaseRow) equal(o leaseRow) bool {
	return v.Node == o.Node && v.Start == o.Start && v.Epoch == o.Epoch && v.Sequence == o.Sequence
}

// wrap adds the step and the lease to an error.
func (l *Lease) wrap(step string, err error) error {
	return oops.In("lease").With("step", step, "lease", l.options.Name, "peer", "table").Wrap(err)
}
