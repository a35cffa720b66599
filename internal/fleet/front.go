package fleet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/route"
)

const (
	// defaultLeft is the time left of a request that doesn't tell.
	defaultLeft = 10 * time.Second
	// deadlineMargin is kept for the way of an answer to the caller.
	deadlineMargin = 15 * time.Millisecond
	// pauseShare is the part of a caller's time left that it waits at most
	// before it comes back.
	pauseShare = 3
	// pauseLeast is the shortest pause after a refusal. The slowness of an
	// instance, the most frequent reason, lasts for about half a second.
	pauseLeast = 100 * time.Millisecond
)

// front takes the callers' requests.
type front struct {
	n      *Node
	active atomic.Int64
	mu     sync.Mutex
	splits *route.Splitter
}

func newFront(n *Node) *front {
	return &front{n: n, splits: route.NewSplitter(rand.Float64)}
}

// open returns the number of requests in progress.
func (f *front) open() int { return int(f.active.Load()) }

// ServeHTTP answers one caller.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	began := time.Now()
	if f.n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	in := platform.ReadHeaders(r.Header)
	t := f.n.orders.table()
	if t == nil {
		f.refuse(w, in, "no configuration", pauseLeast)
		return
	}
	rule, ok := t.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		f.fail(w, in, http.StatusNotFound, "no route", began, "")
		return
	}
	body, status := f.read(w, r, t)
	if status != 0 {
		f.fail(w, in, status, "body", began, rule.Name)
		return
	}
	f.place(w, r, in, rule, body, began)
}

// read returns the body, or the status of the answer if it can't be taken.
func (f *front) read(w http.ResponseWriter, r *http.Request, t *route.Table) ([]byte, int) {
	limit := int64(t.Limits.Body)
	if limit <= 0 {
		limit = maxBody
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

func (f *front) place(w http.ResponseWriter, r *http.Request, in platform.Incoming, rule route.Rule, body []byte, began time.Time) {
	left := in.Left
	if left <= 0 {
		left = defaultLeft
	}
	if rule.Timeout > 0 {
		left = min(left, rule.Timeout)
	}
	left = max(time.Millisecond, left-deadlineMargin-time.Since(began))
	platform.StripOwn(r.Header)
	id := ident.NewRequest(rand.Uint64(), rand.Uint64())
	q := entry.Request{
		Service:    f.part(rule),
		Route:      rule.Name,
		Caller:     f.caller(),
		Repeatable: rule.Repeatable,
		Attempts:   rule.Attempts,
		Left:       left,
		Objective:  rule.Objective - time.Since(began),
		Priority:   rule.Priority,
		Host:       r.Host,
		Method:     r.Method,
		Path:       r.RequestURI,
		Header:     r.Header,
		Body:       body,
	}
	a := f.n.entry.Place(r.Context(), id, q)
	f.answer(w, r, in, a, left-time.Since(began))
	f.report(in, id, q, a, began)
}

// part deals the requests of a split route.
func (f *front) part(rule route.Rule) ident.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.splits.Next(rule)
}

// caller is the service of the upstream beside this node, where all of its
// callers are.
func (f *front) caller() ident.Service {
	return f.n.settings.Service
}

func (f *front) answer(w http.ResponseWriter, r *http.Request, in platform.Incoming, a *wirepb.CallResponse, left time.Duration) {
	switch a.GetOutcome() {
	case wirepb.Outcome_OUTCOME_RAN:
		writeAnswer(w, r.Method, a)
	case wirepb.Outcome_OUTCOME_REFUSED:
		pause := max(pauseLeast, time.Duration(a.GetRetryNanos()))
		platform.WriteRefusal(w, in.ID, min(pause, max(0, left)/pauseShare))
	default:
		status := http.StatusBadGateway
		if a.GetReason() == wirepb.Reason_REASON_LATE {
			status = http.StatusGatewayTimeout
		}
		platform.WriteFailure(w, in.ID, status)
	}
}

// writeAnswer passes an upstream's answer on. The length comes first, so that
// a caller whose connection breaks can tell that the body isn't whole.
func writeAnswer(w http.ResponseWriter, method string, a *wirepb.CallResponse) {
	h := w.Header()
	closing := h.Get("Connection")
	call.Restore(h, a.GetHeaders())
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		h["Content-Type"] = nil
	}
	status := int(a.GetStatus())
	bodyless := status == http.StatusNoContent || status == http.StatusNotModified || method == http.MethodHead
	if !bodyless {
		h.Set("Content-Length", strconv.Itoa(len(a.GetBody())))
	}
	w.WriteHeader(status)
	if !bodyless {
		_, _ = w.Write(a.GetBody()) // a caller that has gone needs no answer
	}
}

func (f *front) refuse(w http.ResponseWriter, in platform.Incoming, reason string, pause time.Duration) {
	platform.WriteRefusal(w, in.ID, pause)
	f.n.counter("front.refused").Inc(1)
	f.n.log.Emit(event.RequestRefused, event.F(event.Request, in.ID), event.F(event.Reason, reason))
}

func (f *front) fail(w http.ResponseWriter, in platform.Incoming, status int, reason string, began time.Time, r ident.Route) {
	platform.WriteFailure(w, in.ID, status)
	f.n.counter("front.failed").Inc(1)
	f.n.log.Emit(event.RequestFailed,
		event.F(event.Request, in.ID),
		event.F(event.Route, r),
		event.F(event.Status, status),
		event.F(event.Reason, reason),
		event.F(event.Elapsed, time.Since(began)))
}

// report writes the line about a request's end and counts it.
func (f *front) report(in platform.Incoming, id ident.Request, q entry.Request, a *wirepb.CallResponse, began time.Time) {
	code := event.RequestServed
	name := "front.served"
	switch {
	case a.GetOutcome() == wirepb.Outcome_OUTCOME_REFUSED:
		code, name = event.RequestRefused, "front.refused"
	case a.GetOutcome() == wirepb.Outcome_OUTCOME_UNKNOWN, a.GetStatus() >= http.StatusInternalServerError:
		code, name = event.RequestFailed, "front.failed"
	}
	f.n.counter(name).Inc(1)
	f.n.histogram(name+".milliseconds", time.Since(began))
	f.n.log.Emit(code,
		event.F(event.Request, in.ID),
		event.F(event.Fence, id),
		event.F(event.Route, q.Route),
		event.F(event.Service, q.Service),
		event.F(event.Outcome, call.OutcomeOf(a.GetOutcome())),
		event.F(event.Reason, call.ReasonOf(a.GetReason())),
		event.F(event.Status, a.GetStatus()),
		event.F(event.Deadline, q.Left),
		event.F(event.Elapsed, time.Since(began)))
}
