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

// Request is a request received by a front end other than ServeHTTP.
type Request struct {
	Service ident.Service
	Route   ident.Route
	Caller  ident.Service
	// Workspace is the workspace of the caller; empty if it has none.
	Workspace ident.Workspace
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of upstreams on which the request may
	// run.
	MaxAttempts int
	// Timeout is the remaining time until the caller's timeout. Objective is
	// the time within which a response has its full value.
	Timeout   time.Duration
	Objective time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	Host     string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
}

// Place runs a request on a member of its service and returns its outcome. It
// returns no later than the end of ctx or of the remaining time.
func (e *Entry) Place(ctx context.Context, id ident.Request, r Request) *wirepb.CallResponse {
	req := &request{
		service:    r.Service,
		route:      r.Route,
		caller:     r.Caller,
		workspace:  r.Workspace,
		idempotent: repeatabilityOf(r.Idempotent),
		chain:      retry.Chain{Attempts: max(1, r.MaxAttempts), Timeout: r.Timeout},
		hasTimeout: true,
		priority:   r.Priority,
		host:       r.Host,
		method:     r.Method,
		path:       r.Path,
		header:     r.Header,
		body:       r.Body,
	}
	if r.Objective > 0 {
		req.objective = mono.Now().Add(r.Objective)
	}
	placeCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return e.place(placeCtx, id, req)
}
