package fleet

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/policy/access"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

// workspaces returns the table of keys of the active configuration; nil if there
// is no configuration or it has no workspaces.
func (st *operatorState) workspaces() *access.Table {
	t := st.table()
	if t == nil {
		return nil
	}
	return t.Access
}

// redact replaces the keys in configuration rows by their digests, before the
// rows are stored and passed on to other nodes. It skips known rows, because each
// read of the table returns all rows again and a configuration may be large.
func (st *operatorState) redact(rows []store.Change) {
	for i, row := range rows {
		if kind, _ := platform.ParseKey(row.Key); kind != platform.ConfigRow || row.Deleted {
			continue
		}
		st.mu.Lock()
		isNew := row.Version > st.replica.byKey[row.Key].Version
		st.mu.Unlock()
		if isNew {
			rows[i].Value = platform.RedactConfig(row.Value)
		}
	}
}

// reasonUnauthorized is why a key is refused.
type reasonUnauthorized string

const (
	// keyMalformed means that the header holds no key or more than one.
	keyMalformed reasonUnauthorized = "malformed"
	// keyWithdrawn means that an earlier configuration had the key.
	keyWithdrawn reasonUnauthorized = "withdrawn"
	keyUnknown   reasonUnauthorized = "unknown"
)

// authorize finds the workspace of a request, replaces the key in its headers by
// the name of the workspace, and reports whether the request may go on.
// Otherwise, it is answered. A request without a key is a call from the upstream
// beside the node.
func (f *frontend) authorize(q *inbound, table *access.Table) bool {
	if table == nil {
		return true
	}
	if key, sent := platform.CallerKey(q.request.Header); sent && !q.rule.Public {
		grant, known := table.Find(key)
		if !known {
			f.rejectKey(q, table, key)
			return false
		}
		q.grant = grant
		f.node.workspaces.countRequest(grant.Workspace)
	}
	platform.SetWorkspace(q.request.Header, q.grant.Workspace)
	return true
}

// rejectKey counts and answers a request with an unknown key.
func (f *frontend) rejectKey(q *inbound, table *access.Table, key access.Key) {
	reason := keyUnknown
	former, withdrawn := table.FindFormer(key)
	switch {
	case key == access.Key{}:
		reason = keyMalformed
	case withdrawn:
		reason = keyWithdrawn
		f.node.workspaces.countUnauthorized(former)
	}
	f.node.counter("front.unauthorized." + string(reason)).Inc(1)
	if count, ok := f.unauthorized.next(time.Now()); ok {
		f.node.log.Emit(event.RequestUnauthorized,
			event.NewField(event.Request, q.headers.RequestID),
			event.NewField(event.Route, q.rule.Name),
			event.NewField(event.Reason, reason),
			event.NewField(event.Workspace, former),
			event.NewField(event.Count, count))
	}
	answerUnread(q, func() { platform.WriteUnauthorized(q.writer, q.headers.RequestID) })
}

const (
	// maxDiscardBytes bounds the body that is read after its request was
	// answered, so that the connection can be used again.
	maxDiscardBytes = quota.ReceiveBuffer
	// discardTimeout is the time for such a body: 64 KiB need 1.6 s on a link of
	// 10 Mbit/s that is shared by 30.
	discardTimeout = 2 * time.Second
)

// answerUnread writes the response to a request before its body is read. Left to
// itself, net/http reads a small body first and waits for it without a limit.
func answerUnread(q *inbound, write func()) {
	r := q.request
	if r.ContentLength == 0 {
		write()
		return
	}
	control := http.NewResponseController(q.writer)
	// All are supported by net/http for HTTP/1.
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	discard := r.ContentLength <= maxDiscardBytes
	if !discard {
		q.writer.Header().Set("Connection", "close")
	}
	write()
	_ = control.Flush()
	if !discard {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes+1); !errors.Is(err, io.EOF) {
		// The rest of the body must not be read as the next request.
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
}

// lineInterval is the shortest time between two log lines about unknown keys,
// which a single caller may send in any number.
const lineInterval = time.Second

// lineLimit lets one line pass in lineInterval. It is safe for concurrent use.
type lineLimit struct {
	mu     sync.Mutex
	lastAt time.Time
	count  int
}

// next counts one occurrence. It returns the number of occurrences since the last
// line and whether a line may be written.
func (l *lineLimit) next(now time.Time) (count int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if !l.lastAt.IsZero() && now.Sub(l.lastAt) < lineInterval {
		return 0, false
	}
	count, l.count, l.lastAt = l.count, 0, now
	return count, true
}
