// Package call defines the elements shared by the HTTP interfaces to callers
// and upstreams: header names, outcomes, reasons and the handling of hop-by-hop
// headers.
package call

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

// Headers of the HTTP interface for callers.
const (
	HeaderService    = "Cicadahall-Service"
	HeaderVersion    = "Cicadahall-Version"
	HeaderRoute      = "Cicadahall-Route"
	HeaderIdempotent = "Cicadahall-Idempotent"
	HeaderTimeout    = retry.TimeoutHeader
	HeaderCaller     = "Cicadahall-Caller"
	HeaderAttempts   = retry.AttemptsHeader
	HeaderDepth      = retry.DepthHeader
	HeaderOutcome    = "Cicadahall-Outcome"
	HeaderRequest    = "Cicadahall-Request"
	HeaderReason     = "Cicadahall-Reason"
	HeaderShed       = "Cicadahall-Shed"
	HeaderKey        = "Idempotency-Key"
)

// Outcome is the execution outcome of a request that is reported to its caller.
type Outcome string

// Values of HeaderOutcome. NotRun guarantees that the request has not run and
// will not run; Unknown guarantees nothing.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// OutcomeOf converts the wire outcome used between nodes to the outcome
// reported to callers.
func OutcomeOf(o wirepb.Outcome) Outcome {
	switch o {
	case wirepb.Outcome_OUTCOME_RAN:
		return Ran
	case wirepb.Outcome_OUTCOME_REFUSED:
		return NotRun
	default:
		return Unknown
	}
}

// RequestID converts the wire form of a request id.
func RequestID(b []byte) ident.Request {
	var id ident.Request
	copy(id[:], b)
	return id
}

// ReasonName returns the name of a reason as it is used in headers and logs.
func ReasonName(r wirepb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1). Each
// hop sets the content length itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEndHeaders returns the headers that may be forwarded, in wire form and
// sorted by name. Cicadahall headers are dropped, because each hop sets its
// own.
func EndToEndHeaders(h http.Header) []*wirepb.Header {
	connectionOnly := connectionHeaders(h)
	forwarded := make([]*wirepb.Header, 0, len(h))
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(connectionOnly, name) || strings.HasPrefix(name, "Cicadahall-") {
			continue
		}
		forwarded = append(forwarded, &wirepb.Header{Name: name, Values: values})
	}
	slices.SortFunc(forwarded, func(a, b *wirepb.Header) int { return strings.Compare(a.Name, b.Name) })
	return forwarded
}

// connectionHeaders returns the header names listed in the Connection header.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n)))
		}
	}
	return names
}

// CopyHeaders copies wire headers into h.
func CopyHeaders(h http.Header, headers []*wirepb.Header) {
	for _, header := range headers {
		h[header.GetName()] = header.GetValues()
	}
}

// idempotentMethods are the idempotent methods of RFC 9110, section 9.2.2.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// IdempotentMethod reports whether an HTTP method is idempotent by definition.
func IdempotentMethod(method string) bool {
	return slices.Contains(idempotentMethods, method)
}
