// Package admin serves metrics, liveness, readiness and events of a node over
// HTTP. It is read-only: no request changes the state of the node.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
)

// Options configure the handler. All fields are required.
type Options struct {
	Registry metrics.Registry
	Log      *event.Log
	// NotReadyReason returns "" if the node accepts calls, otherwise the reason
	// why it doesn't.
	NotReadyReason func() (reason string)
}

// Content types of the responses.
const (
	contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeText    = "text/plain; charset=utf-8"
	contentTypeJSON    = "application/json"
)

// eventsResponse is the body of a response to /events. A client continues with
// since=Next as long as Start stays the same. If Start changes, the node has
// restarted and the client continues with since=0.
type eventsResponse struct {
	Start  string         `json:"start"`
	Next   uint64         `json:"next"`
	Lost   uint64         `json:"lost"`
	Events []event.Record `json:"events"`
}

// New returns the handler for /metrics, /live, /ready and /events.
func New(o Options) http.Handler {
	r := mux.NewRouter()
	get := func(path string, h http.HandlerFunc) {
		r.HandleFunc(path, h).Methods(http.MethodGet, http.MethodHead)
	}
	get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, contentTypeMetrics, exposition(o.Registry))
	})
	get("/live", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, contentTypeText, []byte("live\n"))
	})
	get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := o.NotReadyReason(); reason != "" {
			writeResponse(w, http.StatusServiceUnavailable, contentTypeText, []byte("not ready: "+reason+"\n"))
			return
		}
		writeResponse(w, http.StatusOK, contentTypeText, []byte("ready\n"))
	})
	get("/events", func(w http.ResponseWriter, q *http.Request) {
		serveEvents(w, q, o.Log)
	})
	return r
}

func serveEvents(w http.ResponseWriter, q *http.Request, l *event.Log) {
	since, err := parseSince(q.URL.Query().Get("since"))
	if err != nil {
		writeResponse(w, http.StatusBadRequest, contentTypeText, []byte("since: write a sequence number, such as 0\n"))
		return
	}
	records, lost := l.Since(since)
	a := eventsResponse{
		Start:  fmt.Sprintf("%016x", uint64(l.Start())),
		Next:   since,
		Lost:   lost,
		Events: []event.Record{},
	}
	if n := len(records); n > 0 {
		a.Next = records[n-1].Sequence
		a.Events = records
	}
	body, err := json.Marshal(a)
	if err != nil {
		writeResponse(w, http.StatusInternalServerError, contentTypeText, []byte(err.Error()+"\n"))
		return
	}
	writeResponse(w, http.StatusOK, contentTypeJSON, append(body, '\n'))
}

// parseSince parses the parameter since. Without it, the events start with the
// oldest one.
func parseSince(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may have disconnected
}
