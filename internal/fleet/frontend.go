package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/policy/access"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/route"
)

const (
	// defaultTimeout applies to requests without a deadline header.
	defaultTimeout = 10 * time.Second
	// deadlineMargin is reserved for returning the response to the caller.
	deadlineMargin = 15 * time.Millisecond
	// retryAfterDivisor bounds Retry-After to the caller's remaining time divided
	// by it.
	retryAfterDivisor = 3
	// minRetryAfter is the shortest Retry-After. The usual reason for a refusal
	// is a slow instance, which stays slow for about half a second.
	minRetryAfter = 100 * time.Millisecond
)

// frontend serves the callers' HTTP requests.
type frontend struct {
	node     *Node
	inFlight atomic.Int64
	mu       sync.Mutex
	splitter *route.Splitter
	// unauthorized limits the log lines about unknown keys.
	unauthorized lineLimit
}

func newFrontend(node *Node) *frontend {
	return &frontend{node: node, splitter: route.NewSplitter(rand.Float64)}
}

// inProgress returns the number of requests in progress.
func (f *frontend) inProgress() int { return int(f.inFlight.Load()) }

// ServeHTTP routes one request to an upstream and writes the response.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	startedAt := time.Now()
	if f.node.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	in := platform.ParseCallerHeaders(r.Header)
	if f.node.stopping.Load() {
		f.refuse(w, in, "stopping")
		return
	}
	lease, err := f.node.quota.NewLease()
	if err != nil {
		f.refuse(w, in, "memory")
		return
	}
	defer lease.Release()
	t := f.node.operator.table()
	if t == nil {
		f.refuse(w, in, "no configuration")
		return
	}
	rule, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		f.fail(w, in, http.StatusNotFound, "no route", startedAt, "")
		return
	}
	q := &inbound{writer: w, request: r, headers: in, rule: rule, lease: lease, startedAt: startedAt}
	if !f.authorize(q, t.Access) {
		return
	}
	q.timeout = q.effectiveTimeout()
	body, err := q.readBody(int64(t.Limits.MaxBodyBytes))
	if err != nil {
		f.rejectBody(q, err)
		return
	}
	f.forward(q, body)
}

// inbound is a request of a caller.
type inbound struct {
	writer  http.ResponseWriter
	request *http.Request
	headers platform.CallerHeaders
	rule    route.Rule
	grant   access.Grant
	lease   *quota.Lease
	// timeout is the time from startedAt in which the caller expects a response.
	timeout   time.Duration
	startedAt time.Time
}

// effectiveTimeout returns the shorter one of the caller's and the operator's
// timeouts.
func (q *inbound) effectiveTimeout() time.Duration {
	timeout := q.headers.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.rule.Timeout > 0 {
		timeout = min(timeout, q.rule.Timeout)
	}
	return timeout
}

// readBody returns the request's body of at most limit bytes; 0 means
// maxBodyBytes. A caller that stops sending a body must not hold its memory
// beyond the timeout.
func (q *inbound) readBody(limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = maxBodyBytes
	}
	length := q.request.ContentLength
	if length >= 0 && length <= quota.ReceiveBuffer {
		return q.lease.ReadAll(quota.Body, q.request.Body, length, limit)
	}
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(q.startedAt.Add(q.timeout)) // supported by net/http
	body, err := q.lease.ReadAll(quota.Body, q.request.Body, length, limit)
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}

// rejectBody responds to a request whose body can't be read or stored.
func (f *frontend) rejectBody(q *inbound, err error) {
	switch {
	case errors.Is(err, quota.ErrFull):
		f.node.workspaces.countRefusal(q.grant.Workspace)
		f.refuse(q.writer, q.headers, "memory")
	case errors.Is(err, quota.ErrTooLarge):
		f.fail(q.writer, q.headers, http.StatusRequestEntityTooLarge, "body size", q.startedAt, q.rule.Name)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.fail(q.writer, q.headers, http.StatusRequestTimeout, "body late", q.startedAt, q.rule.Name)
	default:
		f.fail(q.writer, q.headers, http.StatusBadRequest, "body", q.startedAt, q.rule.Name)
	}
}

func (f *frontend) forward(q *inbound, body []byte) {
	r := q.request
	timeout := max(time.Millisecond, q.timeout-deadlineMargin-time.Since(q.startedAt))
	platform.StripReservedHeaders(r.Header)
	id := ident.NewRequest(rand.Uint64(), rand.Uint64())
	req := entry.Request{
		Service:     f.chooseService(q.rule),
		Route:       q.rule.Name,
		Caller:      f.callerService(),
		Workspace:   q.grant.Workspace,
		Idempotent:  q.rule.Idempotent,
		MaxAttempts: q.rule.MaxAttempts,
		Timeout:     timeout,
		Objective:   q.rule.Objective - time.Since(q.startedAt),
		Priority:    q.grant.Priority(q.rule.Priority),
		Host:        r.Host,
		Method:      r.Method,
		Path:        r.RequestURI,
		Header:      r.Header,
		Body:        body,
	}
	if f.node.calls.isCall(q.rule) {
		req.Priority = admit.CallPriority
	}
	ctx, cancel := context.WithCancel(quota.NewContext(r.Context(), q.lease))
	defer cancel()
	defer context.AfterFunc(f.node.aborted, cancel)()
	resp := f.node.entry.Place(ctx, id, req)
	f.writeResponse(q, resp, timeout-time.Since(q.startedAt))
	f.recordOutcome(q.headers, id, req, resp, q.startedAt)
}

// chooseService returns the service for a request, by weight if the rule splits
// its requests between services.
func (f *frontend) chooseService(rule route.Rule) ident.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.splitter.Next(rule)
}

// callerService returns the service of the upstream beside this node, which is
// where all callers of the node run.
func (f *frontend) callerService() ident.Service {
	return f.node.settings.Service
}

func (f *frontend) writeResponse(q *inbound, resp *wirepb.CallResponse, remaining time.Duration) {
	if f.node.draining.Load() {
		q.writer.Header().Set("Connection", "close")
	}
	switch resp.GetOutcome() {
	case wirepb.Outcome_OUTCOME_RAN:
		if len(resp.GetBody()) > quota.ReceiveBuffer {
			control := http.NewResponseController(q.writer)
			_ = control.SetWriteDeadline(time.Now().Add(max(0, remaining) + writeTimeout)) // supported by net/http
			defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
		}
		writeUpstreamResponse(q.writer, q.request.Method, resp)
	case wirepb.Outcome_OUTCOME_REFUSED:
		retryAfter := max(minRetryAfter, time.Duration(resp.GetRetryNanos()))
		platform.WriteRefusal(q.writer, q.headers.RequestID, min(retryAfter, max(0, remaining)/retryAfterDivisor))
	default:
		status := http.StatusBadGateway
		if resp.GetReason() == wirepb.Reason_REASON_LATE {
			status = http.StatusGatewayTimeout
		}
		platform.WriteFailure(q.writer, q.headers.RequestID, status)
	}
}

// writeTimeout is the time after a request's timeout until which a caller may
// read a large response.
const writeTimeout = 5 * time.Second

// writeUpstreamResponse copies an upstream's response to the caller. It sets
// Content-Length so that the caller can detect a truncated body if the
// connection breaks.
func writeUpstreamResponse(w http.ResponseWriter, method string, resp *wirepb.CallResponse) {
	h := w.Header()
	closing := h.Get("Connection")
	call.CopyHeaders(h, resp.GetHeaders())
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from sniffing a content type.
		h["Content-Type"] = nil
	}
	status := int(resp.GetStatus())
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified || method == http.MethodHead
	if !bodyless {
		h.Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
	}
	w.WriteHeader(status)
	if !bodyless {
		_, _ = w.Write(resp.GetBody()) // an error means that the caller has disconnected
	}
}

func (f *frontend) refuse(w http.ResponseWriter, in platform.CallerHeaders, reason string) {
	platform.WriteRefusal(w, in.RequestID, minRetryAfter)
	f.node.counter("front.refused").Inc(1)
	f.node.log.Emit(event.RequestRefused, event.NewField(event.Request, in.RequestID), event.NewField(event.Reason, reason))
}

func (f *frontend) fail(w http.ResponseWriter, in platform.CallerHeaders, status int, reason string, startedAt time.Time, routeName ident.Route) {
	platform.WriteFailure(w, in.RequestID, status)
	f.node.counter("front.failed").Inc(1)
	f.node.log.Emit(event.RequestFailed,
		event.NewField(event.Request, in.RequestID),
		event.NewField(event.Route, routeName),
		event.NewField(event.Status, status),
		event.NewField(event.Reason, reason),
		event.NewField(event.Elapsed, time.Since(startedAt)))
}

// recordOutcome logs and counts the end of a request.
func (f *frontend) recordOutcome(in platform.CallerHeaders, id ident.Request, req entry.Request, resp *wirepb.CallResponse, startedAt time.Time) {
	code := event.RequestServed
	name := "front.served"
	switch {
	case resp.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED:
		code, name = event.RequestRefused, "front.refused"
		f.node.workspaces.countRefusal(req.Workspace)
	case resp.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN, resp.GetStatus() >= http.StatusInternalServerError:
		code, name = event.RequestFailed, "front.failed"
	}
	f.node.counter(name).Inc(1)
	f.node.histogram(name+".milliseconds", time.Since(startedAt))
	f.node.log.Emit(code,
		event.NewField(event.Request, in.RequestID),
		event.NewField(event.Fence, id),
		event.NewField(event.Route, req.Route),
		event.NewField(event.Service, req.Service),
		event.NewField(event.Outcome, call.OutcomeOf(resp.GetOutcome())),
		event.NewField(event.Reason, call.ReasonName(resp.GetReason())),
		event.NewField(event.Status, resp.GetStatus()),
		event.NewField(event.Deadline, req.Timeout),
		event.NewField(event.Elapsed, time.Since(startedAt)))
}
