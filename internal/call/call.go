// Package call holds the vocabulary of the callers' and upstreams' HTTP
// interfaces: header names, outcomes, reasons and the headers that must not
// cross a hop.
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

// Headers of the callers' interface.
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

// Outcome is what a caller is told about the execution of its request.
type Outcome string

// Outcomes in HeaderOutcome. NotRun is a promise; Unknown is the absence of one.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// OutcomeOf maps the outcome between nodes to the callers' word.
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

// RequestID reads a request id from its wire form.
func RequestID(b []byte) ident.Request {
	var id ident.Request
	copy(id[:], b)
	return id
}

// ReasonOf returns the short word for a reason, as used in headers and logs.
func ReasonOf(r wirepb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// hopHeaders are meaningful for one connection only (RFC 9110, section 7.6.1).
// The length is set anew by each hop.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Strip returns the headers that may cross a hop, in the wire form, sorted by
// name. Headers of the system itself are dropped: each hop sets its own.
func Strip(h http.Header) []*wirepb.Header {
	listed := listedHeaders(h)
	out := make([]*wirepb.Header, 0, len(h))
	for n, v := range h {
		if slices.Contains(hopHeaders, n) || slices.Contains(listed, n) || strings.HasPrefix(n, "Cicadahall-") {
			continue
		}
		out = append(out, &wirepb.Header{Name: n, Values: v})
	}
	slices.SortFunc(out, func(a, b *wirepb.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// listedHeaders returns the names that the Connection header lists.
func listedHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n)))
		}
	}
	return names
}

// Restore copies wire headers into h.
func Restore(h http.Header, headers []*wirepb.Header) {
	for _, w := range headers {
		h[w.GetName()] = w.GetValues()
	}
}

// idempotentMethods follow RFC 9110, section 9.2.2.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// Idempotent returns whether a method is idempotent by its definition.
func Idempotent(method string) bool {
	return slices.Contains(idempotentMethods, method)
}
