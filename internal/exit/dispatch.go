package exit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

const (
	// idleUpstream closes idle connections to the upstream before most
	// servers do, which avoids requests on a connection about to close.
	idleUpstream = 4 * time.Second
	// dialLimit bounds the time to connect to an upstream on the same instance.
	dialLimit = time.Second
)

// errSize reports an answer of an upstream above the body limit.
var errSize = errors.New("answer exceeds the body limit")

// dispatcher sends admitted requests to the upstream.
type dispatcher struct {
	http  *http.Client
	bytes int64
}

func newDispatcher(bodyLimit int64, connections int) *dispatcher {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleUpstream,
		DisableCompression:  true,
	}
	c := &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &dispatcher{http: c, bytes: bodyLimit}
}

// close drops the idle connections.
func (d *dispatcher) close() {
	d.http.CloseIdleConnections()
}

// run is the Send of the upstreams' own interface.
func (d *dispatcher) run(ctx context.Context, u Upstream, q *wirepb.CallRequest) *wirepb.CallResponse {
	return d.send(ctx, u.Address, q)
}

// send runs one request on the upstream at address. The outcome is Refused
// only if no byte of the request can have reached the upstream, or if the
// upstream itself states that it shed the request.
func (d *dispatcher) send(ctx context.Context, address string, q *wirepb.CallRequest) *wirepb.CallResponse {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := request(httptrace.WithClientTrace(ctx, trace), address, q)
	if err != nil {
		return refusal(q, wirepb.Reason_REASON_MALFORMED)
	}
	resp, err := d.http.Do(req)
	if err != nil && !connected.Load() {
		return refusal(q, wirepb.Reason_REASON_DOWN)
	}
	if err != nil {
		return unknown(q, BrokenBy(ctx))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderShed) == "true" {
		return refusal(q, wirepb.Reason_REASON_SHED)
	}
	return d.answer(ctx, q, resp)
}

// BrokenBy tells why a request ended without a whole answer. One that was
// aborted, or ran into its deadline, says nothing about the connection.
func BrokenBy(ctx context.Context) wirepb.Reason {
	switch ctx.Err() {
	case nil:
		return wirepb.Reason_REASON_BROKEN
	case context.Canceled:
		return wirepb.Reason_REASON_ABORTED
	default:
		return wirepb.Reason_REASON_LATE
	}
}

// answer reads the whole answer. A body that ends early leaves the outcome
// unknown to the caller, who must not take it for the whole.
func (d *dispatcher) answer(ctx context.Context, q *wirepb.CallRequest, resp *http.Response) *wirepb.CallResponse {
	body, err := readAll(resp.Body, d.bytes)
	if errors.Is(err, errSize) {
		return unknown(q, wirepb.Reason_REASON_SIZE)
	}
	if err != nil {
		return unknown(q, BrokenBy(ctx))
	}
	return &wirepb.CallResponse{
		Id:      q.GetId(),
		Outcome: wirepb.Outcome_OUTCOME_RAN,
		Status:  int32(resp.StatusCode),
		Headers: call.Strip(resp.Header),
		Body:    body,
	}
}

func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errSize
	}
	return body, nil
}

// resent are the methods of requests that net/http resends on its own.
var resent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// request builds the upstream's request.
//
// net/http resends a request on its own after a broken connection if the
// request has a header named Idempotency-Key or a method without side
// effects, unless its body can't be rewound. Resending is this system's
// decision: even a GET may be one that must not run twice. So the key is set
// under a spelling that the transport doesn't look up, and no body can be
// rewound, not even an empty one.
func request(ctx context.Context, address string, q *wirepb.CallRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.GetMethod(), "http://"+address+q.GetPath(), http.NoBody)
	if err != nil {
		return nil, err
	}
	if len(q.GetBody()) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.GetBody()))
		req.ContentLength = int64(len(q.GetBody()))
	}
	if len(q.GetBody()) == 0 && slices.Contains(resent, q.GetMethod()) {
		// The encoding "identity" keeps the transport from sending an empty
		// chunked body.
		req.Body = io.NopCloser(bytes.NewReader(nil))
		req.TransferEncoding = []string{"identity"}
	}
	req.GetBody = nil
	call.Restore(req.Header, q.GetHeaders())
	if key := req.Header.Get(call.HeaderKey); key != "" {
		req.Header.Del(call.HeaderKey)
		req.Header[strings.ToLower(call.HeaderKey)] = []string{key}
	}
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	chain(req.Header, q, mono.Until(time.Unix(0, q.GetDeadlineNanos())))
	return req, nil
}

// chain sets the headers that an upstream hands down when it calls further.
func chain(h http.Header, q *wirepb.CallRequest, left time.Duration) {
	retry.Chain{Attempts: int(q.GetAttempts()), Depth: int(q.GetDepth()), Left: left}.Set(h)
	h.Set(call.HeaderRequest, call.RequestID(q.GetId()).String())
	h.Set(call.HeaderCaller, q.GetCaller())
}

func refusal(q *wirepb.CallRequest, r wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: q.GetId(), Outcome: wirepb.Outcome_OUTCOME_REFUSED, Reason: r}
}

func unknown(q *wirepb.CallRequest, r wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: q.GetId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: r}
}
