package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

const (
	// maxTimeout bounds how long fences and answers must be kept.
	maxTimeout = retry.MaxTimeout
	// maxName bounds names in headers in bytes.
	maxName = 128
	// maxKey bounds an idempotency key in bytes.
	maxKey = 256
)

// runs tells whether a request may run more than once.
type runs uint8

const (
	// byMethod leaves the decision to the route and then to the method.
	byMethod runs = iota
	repeatable
	once
)

func runsOf(idempotent bool) runs {
	if idempotent {
		return repeatable
	}
	return once
}

// mayRepeat returns the decision for a complete request.
func (q *request) mayRepeat() bool {
	if q.idempotent == byMethod {
		return call.Idempotent(q.method)
	}
	return q.idempotent == repeatable
}

// request is a caller's request after all checks.
type request struct {
	service    ident.Service
	version    ident.Version
	route      ident.Route
	caller     ident.Service
	key        string
	idempotent runs
	chain      retry.Chain
	// timed is set if the caller has named a timeout.
	timed bool
	// priority and objective serve admission at the exit; see admit.Ticket.
	priority  int
	objective time.Time
	host      string
	method    string
	path      string
	header    http.Header
	body      []byte
}

// fault is a request that is turned down before it is placed.
type fault struct {
	status int
	err    error
	// reason is REASON_MALFORMED unless it is set.
	reason wirepb.Reason
}

func (f *fault) Error() string { return f.err.Error() }

func (f *fault) Unwrap() error { return f.err }

func malformed(field, text string) *fault {
	return &fault{
		status: http.StatusBadRequest,
		err:    oops.With("step", "parse", "peer", "caller", "field", field).Errorf("%s: %s", field, text),
	}
}

// parse checks a caller's request and reads its body up to limit bytes.
func parse(w http.ResponseWriter, r *http.Request, limit int64) (*request, *fault) {
	q := &request{method: r.Method, path: r.URL.RequestURI(), header: r.Header, host: r.Host}
	steps := []func(*request, http.Header) *fault{parseNames, parseIdempotent, parseChain}
	for _, s := range steps {
		if f := s(q, r.Header); f != nil {
			return nil, f
		}
	}
	if r.URL.Host != "" {
		q.path = r.URL.EscapedPath()
		if r.URL.RawQuery != "" {
			q.path += "?" + r.URL.RawQuery
		}
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, &fault{status: http.StatusMethodNotAllowed, err: errors.New("method is not supported")}
	}
	body, f := readBody(w, r, limit)
	if f != nil {
		return nil, f
	}
	q.body = body
	return q, nil
}

func parseNames(q *request, h http.Header) *fault {
	names := []struct {
		header string
		set    func(string)
	}{
		{call.HeaderService, func(s string) { q.service = ident.Service(s) }},
		{call.HeaderVersion, func(s string) { q.version = ident.Version(s) }},
		{call.HeaderRoute, func(s string) { q.route = ident.Route(s) }},
		{call.HeaderCaller, func(s string) { q.caller = ident.Service(s) }},
	}
	for _, n := range names {
		text := h.Get(n.header)
		if !validName(text) {
			return malformed(n.header, "write at most 128 letters, digits, dots, dashes or underscores")
		}
		n.set(text)
	}
	if q.service == "" {
		return malformed(call.HeaderService, "name the service to call")
	}
	q.key = h.Get(call.HeaderKey)
	if len(q.key) > maxKey {
		return malformed(call.HeaderKey, "write at most 256 bytes")
	}
	return nil
}

func validName(s string) bool {
	if len(s) > maxName {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func parseIdempotent(q *request, h http.Header) *fault {
	switch h.Get(call.HeaderIdempotent) {
	case "":
		q.idempotent = byMethod
	case "true":
		q.idempotent = repeatable
	case "false":
		q.idempotent = once
	default:
		return malformed(call.HeaderIdempotent, "write true or false")
	}
	return nil
}

// parseChain reads time, attempts and depth. A missing timeout is left to the
// manifest.
func parseChain(q *request, h http.Header) *fault {
	c, err := retry.ParseChain(h)
	if err != nil {
		return &fault{status: http.StatusBadRequest, err: err}
	}
	q.chain = c
	q.timed = h.Get(call.HeaderTimeout) != ""
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *fault) {
	if r.ContentLength > limit {
		return nil, &fault{status: http.StatusRequestEntityTooLarge, err: errors.New("body exceeds the limit")}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &fault{status: http.StatusRequestEntityTooLarge, err: errors.New("body exceeds the limit")}
	}
	if err != nil {
		return nil, &fault{status: http.StatusBadRequest, err: errors.New("body ends early")}
	}
	return body, nil
}
