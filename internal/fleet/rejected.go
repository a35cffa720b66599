package fleet

import (
	"fmt"
	"sync"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

// maxRejectedRows bounds the remembered rows; beyond it, a row may be logged
// more than once.
const maxRejectedRows = 256

// rejectedRows remembers the rows that were logged as rejected, since each read
// of the table returns them again.
type rejectedRows struct {
	mu       sync.Mutex
	versions map[rejectedKey]uint64
}

type rejectedKey struct{ table, key string }

// isNew records a rejected row and reports whether this version of it wasn't
// recorded before.
func (rr *rejectedRows) isNew(row store.Unreadable) bool {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	key := rejectedKey{row.Table, row.Key}
	version, known := rr.versions[key]
	if known && version == row.Version {
		return false
	}
	if len(rr.versions) >= maxRejectedRows || rr.versions == nil {
		rr.versions = map[rejectedKey]uint64{}
	}
	rr.versions[key] = row.Version
	return true
}

// rejectRow counts a row of the store that is unusable and logs it once for each
// of its versions.
func (n *Node) rejectRow(row store.Unreadable) {
	n.counter("store.rows.rejected").Inc(1)
	if !n.rejected.isNew(row) {
		return
	}
	n.log.Emit(event.RowRejected,
		event.NewField(event.Store, row.Table),
		event.NewField(event.Key, row.Key),
		event.NewField(event.Revision, row.Version),
		event.NewField(event.Error, row.Err))
}

// rejectOrder logs an operator's order for a part that the settings leave off.
func (n *Node) rejectOrder(change store.Change, part spec.Part) {
	n.counter("orders.rejected").Inc(1)
	n.log.Emit(event.RowRejected,
		event.NewField(event.Store, platform.OperatorTable),
		event.NewField(event.Key, change.Key),
		event.NewField(event.Revision, change.Version),
		event.NewField(event.Error, fmt.Errorf("%s is off in the settings of this node", part)))
}
