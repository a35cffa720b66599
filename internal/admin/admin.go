// Package admin serves metrics, liveness, readiness and events of a node over
// HTTP. It only reads; nothing here changes the node.
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
	// Ready returns an empty text, or why the node takes no calls.
	Ready func() (reason string)
}

// Content types of the responses.
const (
	typeMetrics = "text/plain; version=0.0.4; charset=utf-8"
	typeText    = "text/plain; charset=utf-8"
	typeJSON    = "application/json"
)

// eventsAnswer is the response of /events. A reader goes on with Next as
// long as Start stays the same; otherwise it begins again at 0.
type eventsAnswer struct {
	Start  string         `json:"start"`
	Next   uint64         `json:"next"`
	Lost   uint64         `json:"lost"`
	Events []event.Record `json:"events"`
}

// New makes the handler.
func New(o Options) http.Handler {
	r := mux.NewRouter()
	get := func(path string, h http.HandlerFunc) {
		r.HandleFunc(path, h).Methods(http.MethodGet, http.MethodHead)
	}
	get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, typeMetrics, exposition(o.Registry))
	})
	get("/live", func(w http.ResponseWriter, _ *http.Request) {
		write(w, http.StatusOK, typeText, []byte("live\n"))
	})
	get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := o.Ready(); reason != "" {
			write(w, http.StatusServiceUnavailable, typeText, []byte("not ready: "+reason+"\n"))
			return
		}
		write(w, http.StatusOK, typeText, []byte("ready\n"))
	})
	get("/events", func(w http.ResponseWriter, q *http.Request) {
		events(w, q, o.Log)
	})
	return r
}

func events(w http.ResponseWriter, q *http.Request, l *event.Log) {
	since, err := sequence(q.URL.Query().Get("since"))
	if err != nil {
		write(w, http.StatusBadRequest, typeText, []byte("since: write a sequence number, such as 0\n"))
		return
	}
	records, lost := l.Since(since)
	a := eventsAnswer{
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
		write(w, http.StatusInternalServerError, typeText, []byte(err.Error()+"\n"))
		return
	}
	write(w, http.StatusOK, typeJSON, append(body, '\n'))
}

// sequence reads the parameter since; without it the list begins at the start.
func sequence(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func write(w http.ResponseWriter, status int, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = w.Write(body) // a reader that has gone needs no response
}
