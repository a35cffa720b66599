package lease

import (
	"context"
	"encoding/json"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/store"
)

// commit moves the row from version to next, with an optional guarded write.
func (l *Lease) commit(ctx context.Context, step string, next value, version uint64, w *store.Write) error {
	text, err := json.Marshal(next)
	if err != nil {
		return l.fail(step, err)
	}
	writes := []store.Write{{Key: l.Key(), Value: text, Expect: version}}
	if w != nil {
		writes = append(writes, *w)
	}
	res := l.opt.Table.Commit(ctx, writes)
	switch {
	case res.OK():
		l.keep(next, version+1)
		return nil
	case res.Outcome == store.Refused && !res.Conflict:
		return l.fail(step, ErrStore)
	}
	refused := ""
	if res.Conflict && w != nil {
		refused = w.Key
	}
	return l.resolve(ctx, step, next, version, refused)
}

// resolve reads the row after a conflict or a lost answer. The table raises a
// row's version with each commit, so the commit took effect if and only if
// the row is next at the version that follows. Refused names the guarded row
// of a commit that was refused by a conflict.
func (l *Lease) resolve(ctx context.Context, step string, next value, version uint64, refused string) error {
	cur, now, err := l.read(ctx)
	if err == nil && now == version+1 && cur.same(next) {
		l.keep(next, now)
		return nil
	}
	if err == nil && now == version && refused != "" {
		return l.fail(step, &ConflictError{Key: refused})
	}
	// A lost commit may still land. Acquire then starts a new epoch, which
	// moves the row past the version that the lost commit expects.
	l.held = false
	if err != nil || now == version {
		return l.fail(step, ErrUnknown)
	}
	return l.fail(step, ErrLost)
}

func (l *Lease) keep(v value, version uint64) {
	l.own, l.version, l.held = v, version, true
}

// read returns the row; a missing one is the zero value.
func (l *Lease) read(ctx context.Context) (value, uint64, error) {
	row, res := l.opt.Table.Get(ctx, l.Key())
	if !res.OK() {
		return value{}, 0, ErrStore
	}
	if row.Version == 0 {
		return value{}, 0, nil
	}
	var v value
	if json.Unmarshal(row.Value, &v) != nil || v.Format != rowFormat {
		return value{}, 0, ErrFormat
	}
	return v, row.Version, nil
}

// mine reports whether this process wrote the row.
func (l *Lease) mine(v value) bool {
	return v.Node == l.opt.Node && v.Start == l.opt.Start && v.Epoch > 0
}

func (v value) same(o value) bool {
	return v.Node == o.Node && v.Start == o.Start && v.Epoch == o.Epoch && v.Sequence == o.Sequence
}

func (l *Lease) fail(step string, err error) error {
	return oops.In("lease").With("step", step, "lease", l.opt.Name, "peer", "table").Wrap(err)
}
