package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

// Request is a request that another front than ServeHTTP has taken.
type Request struct {
	Service ident.Service
	Route   ident.Route
	Caller  ident.Service
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Attempts bounds the upstreams to which the request may be sent.
	Attempts int
	// Left is the time that the caller waits, Objective the time within which
	// an answer has its full worth.
	Left      time.Duration
	Objective time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	Host     string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
}

// Place runs a request on a member of its service, and returns what is known
// about it in the end. It returns at the latest when ctx or the time left ends.
func (e *Entry) Place(ctx context.Context, id ident.Request, r Request) *wirepb.CallResponse {
	q := &request{
		service:    r.Service,
		route:      r.Route,
		caller:     r.Caller,
		idempotent: runsOf(r.Repeatable),
		chain:      retry.Chain{Attempts: max(1, r.Attempts), Left: r.Left},
		timed:      true,
		priority:   r.Priority,
		host:       r.Host,
		method:     r.Method,
		path:       r.Path,
		header:     r.Header,
		body:       r.Body,
	}
	if r.Objective > 0 {
		q.objective = mono.Now().Add(r.Objective)
	}
	limited, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	return e.place(limited, id, q)
}
