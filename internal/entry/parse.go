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
	// maxTimeout bounds how long fences and stored responses must be kept.
	maxTimeout = retry.MaxTimeout
	// maxNameBytes is the maximum length of a name in a header in bytes.
	maxNameBytes = 128
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 256
)

// repeatability states whether a request may run more than once.
type repeatability uint8

const (
	// byMethod defers to the route's configuration and then to the HTTP method.
	byMethod repeatability = iota
	repeatable
	runOnce
)

func repeatabilityOf(idempotent bool) repeatability {
	if idempotent {
		return repeatable
	}
	return runOnce
}

// mayRepeat reports whether the request may run more than once. It must be
// called after complete.
func (r *request) mayRepeat() bool {
	if r.idempotent == byMethod {
		return call.IdempotentMethod(r.method)
	}
	return r.idempotent == repeatable
}

// request is a validated request of a caller.
type request struct {
	service    ident.Service
	version    ident.Version
	route      ident.Route
	caller     ident.Service
	workspace  ident.Workspace
	key        string
	idempotent repeatability
	chain      retry.Chain
	// hasTimeout is set if the caller specified a timeout.
	hasTimeout bool
	// priority and objective are used for admission at the exit; see
	// admit.Request.
	priority  int
	objective time.Time
	host      string
	method    string
	path      string
	header    http.Header
	body      []byte
}

// requestError is the reason why a request is rejected before it is routed.
type requestError struct {
	status int
	err    error
	// reason defaults to REASON_MALFORMED.
	reason wirepb.Reason
}

func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

func malformedHeader(header, problem string) *requestError {
	return &requestError{
		status: http.StatusBadRequest,
		err:    oops.With("step", "parse", "peer", "caller", "field", header).Errorf("%s: %s", header, problem),
	}
}

// parse validates a caller's request and reads its body, up to maxBodyBytes.
func parse(w http.ResponseWriter, r *http.Request, maxBodyBytes int64) (*request, *requestError) {
	req := &request{method: r.Method, path: r.URL.RequestURI(), header: r.Header, host: r.Host}
	parsers := []func(*request, http.Header) *requestError{parseNames, parseIdempotent, parseChain}
	for _, p := range parsers {
		if err := p(req, r.Header); err != nil {
			return nil, err
		}
	}
	if r.URL.Host != "" {
		req.path = r.URL.EscapedPath()
		if r.URL.RawQuery != "" {
			req.path += "?" + r.URL.RawQuery
		}
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return nil, &requestError{status: http.StatusMethodNotAllowed, err: errors.New("method is not supported")}
	}
	body, err := readBody(w, r, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	req.body = body
	return req, nil
}

func parseNames(req *request, h http.Header) *requestError {
	fields := []struct {
		header string
		set    func(string)
	}{
		{call.HeaderService, func(s string) { req.service = ident.Service(s) }},
		{call.HeaderVersion, func(s string) { req.version = ident.Version(s) }},
		{call.HeaderRoute, func(s string) { req.route = ident.Route(s) }},
		{call.HeaderCaller, func(s string) { req.caller = ident.Service(s) }},
	}
	for _, f := range fields {
		name := h.Get(f.header)
		if !validName(name) {
			return malformedHeader(f.header, "write at most 128 letters, digits, dots, dashes or underscores")
		}
		f.set(name)
	}
	if req.service == "" {
		return malformedHeader(call.HeaderService, "name the service to call")
	}
	req.key = h.Get(call.HeaderKey)
	if len(req.key) > maxKeyBytes {
		return malformedHeader(call.HeaderKey, "write at most 256 bytes")
	}
	return nil
}

func validName(s string) bool {
	if len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func parseIdempotent(req *request, h http.Header) *requestError {
	switch h.Get(call.HeaderIdempotent) {
	case "":
		req.idempotent = byMethod
	case "true":
		req.idempotent = repeatable
	case "false":
		req.idempotent = runOnce
	default:
		return malformedHeader(call.HeaderIdempotent, "write true or false")
	}
	return nil
}

// parseChain parses the remaining time, attempts and depth. A missing timeout
// is later taken from the manifest.
func parseChain(req *request, h http.Header) *requestError {
	chain, err := retry.ParseChain(h)
	if err != nil {
		return &requestError{status: http.StatusBadRequest, err: err}
	}
	req.chain = chain
	req.hasTimeout = h.Get(call.HeaderTimeout) != ""
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, maxBodyBytes int64) ([]byte, *requestError) {
	if r.ContentLength > maxBodyBytes {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, err: errors.New("body exceeds the limit")}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, err: errors.New("body exceeds the limit")}
	}
	if err != nil {
		return nil, &requestError{status: http.StatusBadRequest, err: errors.New("body ends early")}
	}
	return body, nil
}
