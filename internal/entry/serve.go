package entry

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// ServeHTTP answers one caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.NewRequest(e.o.Rand(), e.o.Rand())
	w.Header().Set(call.HeaderRequest, id.String())
	if !e.enter() {
		writeNotRun(w, http.StatusServiceUnavailable, wirepb.Reason_REASON_FULL, minRetry)
		return
	}
	defer e.leave()
	q, f := parse(w, r, e.o.Body)
	if f == nil {
		f = e.complete(q)
	}
	if f != nil {
		writeFault(w, f)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.chain.Left)
	defer cancel()
	write(w, r.Method, e.place(ctx, id, q))
}

// enter takes one of the entry's places for requests in flight, which bounds
// the memory that bodies take.
func (e *Entry) enter() bool {
	select {
	case e.places <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *Entry) leave() {
	<-e.places
}

// complete applies the manifest to the request.
func (e *Entry) complete(q *request) *fault {
	c := e.catalog.Load()
	if c == nil {
		return &fault{
			status: http.StatusServiceUnavailable,
			err:    errors.New("no manifest is in force yet"),
			reason: wirepb.Reason_REASON_CONFIG,
		}
	}
	s, ok := c.Service(q.service)
	if !ok {
		return &fault{
			status: http.StatusNotFound,
			err:    errors.New("the manifest has no service of this name"),
			reason: wirepb.Reason_REASON_SERVICE,
		}
	}
	q.complete(s)
	return nil
}

// minRetry is the shortest Retry-After; the header has whole seconds only.
const minRetry = time.Second

// writeFault answers a request that was turned down before it was placed.
func writeFault(w http.ResponseWriter, f *fault) {
	w.Header().Set(call.HeaderOutcome, string(call.NotRun))
	reason := f.reason
	if reason == wirepb.Reason_REASON_NONE {
		reason = wirepb.Reason_REASON_MALFORMED
	}
	w.Header().Set(call.HeaderReason, call.ReasonOf(reason))
	if f.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, f.Error(), f.status)
}

func writeNotRun(w http.ResponseWriter, status int, r wirepb.Reason, retry time.Duration) {
	seconds := int(math.Ceil(max(retry, minRetry).Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.Header().Set(call.HeaderOutcome, string(call.NotRun))
	w.Header().Set(call.HeaderReason, call.ReasonOf(r))
	http.Error(w, "the request was not run: "+call.ReasonOf(r), status)
}

func writeUnknown(w http.ResponseWriter, r wirepb.Reason) {
	w.Header().Set(call.HeaderOutcome, string(call.Unknown))
	w.Header().Set(call.HeaderReason, call.ReasonOf(r))
	http.Error(w, "it is not known whether the request ran: "+call.ReasonOf(r), http.StatusGatewayTimeout)
}

// write passes an outcome on to the caller.
func write(w http.ResponseWriter, method string, a *wirepb.CallResponse) {
	switch a.GetOutcome() {
	case wirepb.Outcome_OUTCOME_RAN:
		writeRan(w, method, a)
	case wirepb.Outcome_OUTCOME_REFUSED:
		writeNotRun(w, http.StatusServiceUnavailable, a.GetReason(), time.Duration(a.GetRetryNanos()))
	default:
		writeUnknown(w, a.GetReason())
	}
}

// writeRan writes the upstream's answer. The length is set first, so that a
// caller whose connection breaks can tell that the body isn't whole.
func writeRan(w http.ResponseWriter, method string, a *wirepb.CallResponse) {
	call.Restore(w.Header(), a.GetHeaders())
	w.Header().Set(call.HeaderOutcome, string(call.Ran))
	status := int(a.GetStatus())
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified || method == http.MethodHead
	if !bodyless {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.GetBody())))
	}
	w.WriteHeader(status)
	if !bodyless {
		_, _ = w.Write(a.GetBody())
	}
}
