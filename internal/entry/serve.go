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

// ServeHTTP routes one caller's request and writes its response.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.NewRequest(e.opts.Rand(), e.opts.Rand())
	w.Header().Set(call.HeaderRequest, id.String())
	if !e.acquireSlot() {
		writeNotRun(w, http.StatusServiceUnavailable, wirepb.Reason_REASON_FULL, minRetryAfter)
		return
	}
	defer e.releaseSlot()
	req, reqErr := parse(w, r, e.opts.MaxBodyBytes)
	if reqErr == nil {
		reqErr = e.complete(req)
	}
	if reqErr != nil {
		writeRequestError(w, reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.chain.Timeout)
	defer cancel()
	writeResponse(w, r.Method, e.place(ctx, id, req))
}

// acquireSlot takes one of the slots for requests in flight and reports whether
// one was free. The slots bound the memory used by request bodies.
func (e *Entry) acquireSlot() bool {
	select {
	case e.inflight <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *Entry) releaseSlot() {
	<-e.inflight
}

// complete applies the manifest to the request.
func (e *Entry) complete(req *request) *requestError {
	catalog := e.catalog.Load()
	if catalog == nil {
		return &requestError{
			status: http.StatusServiceUnavailable,
			err:    errors.New("no manifest is in force yet"),
			reason: wirepb.Reason_REASON_CONFIG,
		}
	}
	service, ok := catalog.Service(req.service)
	if !ok {
		return &requestError{
			status: http.StatusNotFound,
			err:    errors.New("the manifest has no service of this name"),
			reason: wirepb.Reason_REASON_SERVICE,
		}
	}
	req.complete(service)
	return nil
}

// minRetryAfter is the shortest Retry-After; the header has a resolution of one
// second.
const minRetryAfter = time.Second

// writeRequestError writes the response to a request that is rejected before it
// is routed.
func writeRequestError(w http.ResponseWriter, err *requestError) {
	w.Header().Set(call.HeaderOutcome, string(call.NotRun))
	reason := err.reason
	if reason == wirepb.Reason_REASON_NONE {
		reason = wirepb.Reason_REASON_MALFORMED
	}
	w.Header().Set(call.HeaderReason, call.ReasonName(reason))
	if err.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, err.Error(), err.status)
}

func writeNotRun(w http.ResponseWriter, status int, reason wirepb.Reason, retryAfter time.Duration) {
	seconds := int(math.Ceil(max(retryAfter, minRetryAfter).Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.Header().Set(call.HeaderOutcome, string(call.NotRun))
	w.Header().Set(call.HeaderReason, call.ReasonName(reason))
	http.Error(w, "the request was not run: "+call.ReasonName(reason), status)
}

func writeUnknown(w http.ResponseWriter, reason wirepb.Reason) {
	w.Header().Set(call.HeaderOutcome, string(call.Unknown))
	w.Header().Set(call.HeaderReason, call.ReasonName(reason))
	http.Error(w, "it is not known whether the request ran: "+call.ReasonName(reason), http.StatusGatewayTimeout)
}

// writeResponse writes the outcome of a request to the caller.
func writeResponse(w http.ResponseWriter, method string, resp *wirepb.CallResponse) {
	switch resp.GetOutcome() {
	case wirepb.Outcome_OUTCOME_RAN:
		writeRan(w, method, resp)
	case wirepb.Outcome_OUTCOME_REFUSED:
		writeNotRun(w, http.StatusServiceUnavailable, resp.GetReason(), time.Duration(resp.GetRetryNanos()))
	default:
		writeUnknown(w, resp.GetReason())
	}
}

// writeRan writes the upstream's response. It sets Content-Length first, so
// that a caller whose connection breaks can detect a truncated body.
func writeRan(w http.ResponseWriter, method string, resp *wirepb.CallResponse) {
	call.CopyHeaders(w.Header(), resp.GetHeaders())
	w.Header().Set(call.HeaderOutcome, string(call.Ran))
	status := int(resp.GetStatus())
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified || method == http.MethodHead
	if !bodyless {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
	}
	w.WriteHeader(status)
	if !bodyless {
		_, _ = w.Write(resp.GetBody())
	}
}
