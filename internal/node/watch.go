package node

import (
	"context"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/store"
)

// watch reports when a service of the platform stops and starts answering.
type watch struct {
	name string
	emit func(event.Code, ...event.Field)

	mu   sync.Mutex
	down time.Time
}

// saw takes the result of one call. A conflict is an answer; so is a refusal
// of the object store, which may mean that the object doesn't exist.
func (w *watch) saw(answered bool, r store.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case answered && !w.down.IsZero():
		w.emit(event.StoreUp, event.F(event.Store, w.name), event.F(event.Elapsed, time.Since(w.down)))
		w.down = time.Time{}
	case !answered && w.down.IsZero():
		w.emit(event.StoreDown, event.F(event.Store, w.name), event.F(event.Error, r.Err))
		w.down = time.Now()
	}
}

// table returns t with its answers watched.
func (w *watch) table(t store.Table) store.Table {
	seen := func(r store.Result) { w.saw(r.OK() || r.Conflict, r) }
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, store.Result) {
			row, r := t.Get(ctx, key)
			seen(r)
			return row, r
		},
		Commit: func(ctx context.Context, writes []store.Write) store.Result {
			r := t.Commit(ctx, writes)
			seen(r)
			return r
		},
		Scan: func(ctx context.Context, prefix string) ([]store.Row, store.Result) {
			rows, r := t.Scan(ctx, prefix)
			seen(r)
			return rows, r
		},
	}
}

// objects returns o with its answers watched.
func (w *watch) objects(o store.Objects) store.Objects {
	return store.Objects{
		Get: func(ctx context.Context, key string) ([]byte, store.Result) {
			body, r := o.Get(ctx, key)
			w.saw(r.Outcome != store.Unknown, r)
			return body, r
		},
		Put: func(ctx context.Context, key string, body []byte) store.Result {
			r := o.Put(ctx, key, body)
			w.saw(r.OK(), r)
			return r
		},
	}
}
