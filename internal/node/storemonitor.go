package node

import (
	"context"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/store"
)

// storeMonitor emits an event when a service of the platform stops or resumes
// responding.
type storeMonitor struct {
	name string
	emit func(event.Code, ...event.Field)

	mu        sync.Mutex
	downSince time.Time
}

// record records the result of one call. A conflict counts as a response; so does
// a refusal by the object store, which may mean that the object doesn't exist.
func (w *storeMonitor) record(responded bool, r store.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case responded && !w.downSince.IsZero():
		w.emit(event.StoreUp, event.NewField(event.Store, w.name), event.NewField(event.Elapsed, time.Since(w.downSince)))
		w.downSince = time.Time{}
	case !responded && w.downSince.IsZero():
		w.emit(event.StoreDown, event.NewField(event.Store, w.name), event.NewField(event.Error, r.Err))
		w.downSince = time.Now()
	}
}

// wrapTable returns t with the results of its calls recorded.
func (w *storeMonitor) wrapTable(t store.Table) store.Table {
	record := func(r store.Result) { w.record(r.OK() || r.Conflict, r) }
	return store.Table{
		Get: func(ctx context.Context, key string) (store.Row, store.Result) {
			row, r := t.Get(ctx, key)
			record(r)
			return row, r
		},
		Commit: func(ctx context.Context, writes []store.Write) store.Result {
			r := t.Commit(ctx, writes)
			record(r)
			return r
		},
		Scan: func(ctx context.Context, prefix string) ([]store.Row, store.Result) {
			rows, r := t.Scan(ctx, prefix)
			record(r)
			return rows, r
		},
	}
}

// wrapObjects returns o with the results of its calls recorded.
func (w *storeMonitor) wrapObjects(o store.Objects) store.Objects {
	return store.Objects{
		Get: func(ctx context.Context, key string) ([]byte, store.Result) {
			body, r := o.Get(ctx, key)
			w.record(r.Outcome != store.Unknown, r)
			return body, r
		},
		Put: func(ctx context.Context, key string, body []byte) store.Result {
			r := o.Put(ctx, key, body)
			w.record(r.OK(), r)
			return r
		},
	}
}
