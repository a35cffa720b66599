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
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/retry"
)

const (
	// idleConnTimeout is shorter than the idle timeout of most servers, so that
	// a request is rarely sent on a connection that the upstream is closing.
	idleConnTimeout = 4 * time.Second
	// dialTimeout bounds the time to connect to an upstream on the same
	// instance.
	dialTimeout = time.Second
	// maxUnsizedBytes bounds the bodies of unknown length that are read at one
	// time, unless a single one may be longer. An upstream in trouble may send them
	// without end in all its slots. A body takes up to three times its size while
	// it grows.
	maxUnsizedBytes quota.Bytes = 16 << 20
)

// dispatcher sends admitted requests to the upstream over HTTP.
type dispatcher struct {
	client       *http.Client
	maxBodyBytes int64
	// unsized bounds the bodies of unknown length.
	unsized *quota.Meter
}

func newDispatcher(maxBodyBytes int64, maxIdleConns int) *dispatcher {
	transport := reply.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	limit := max(maxUnsizedBytes, quota.Bytes(maxBodyBytes))
	return &dispatcher{client: client, maxBodyBytes: maxBodyBytes, unsized: quota.NewMeter(limit, quota.ErrFull)}
}

// close closes the idle connections.
func (d *dispatcher) close() {
	d.client.CloseIdleConnections()
}

// run implements Send for upstreams that are called over HTTP.
func (d *dispatcher) run(ctx context.Context, u Upstream, req *wirepb.CallRequest) *wirepb.CallResponse {
	return d.send(ctx, u.Address, req)
}

// send runs one request on the upstream at address. The outcome is Refused only
// if no byte of the request can have reached the upstream, or if the upstream
// reports that it shed the request.
func (d *dispatcher) send(ctx context.Context, address string, req *wirepb.CallRequest) *wirepb.CallResponse {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpReq, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), address, req)
	if err != nil {
		return refusal(req, wirepb.Reason_REASON_MALFORMED)
	}
	resp, err := d.client.Do(httpReq)
	if err != nil && !connected.Load() {
		return refusal(req, wirepb.Reason_REASON_DOWN)
	}
	if err != nil {
		return unknown(req, IncompleteReason(ctx))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderShed) == "true" {
		return refusal(req, wirepb.Reason_REASON_SHED)
	}
	return d.readResponse(ctx, req, resp)
}

// IncompleteReason returns the reason for a request that ended without a
// complete response. A request that was aborted or exceeded its deadline is not
// evidence of a broken connection.
func IncompleteReason(ctx context.Context) wirepb.Reason {
	switch ctx.Err() {
	case nil:
		return wirepb.Reason_REASON_BROKEN
	case context.Canceled:
		return wirepb.Reason_REASON_ABORTED
	default:
		return wirepb.Reason_REASON_LATE
	}
}

// readResponse reads the complete response. A truncated body makes the outcome
// unknown, because the caller must not mistake it for a complete one.
func (d *dispatcher) readResponse(ctx context.Context, req *wirepb.CallRequest, resp *http.Response) *wirepb.CallResponse {
	body, err := d.readBody(ctx, resp)
	switch {
	case errors.Is(err, quota.ErrTooLarge):
		return unknown(req, wirepb.Reason_REASON_SIZE)
	case errors.Is(err, quota.ErrFull):
		return unknown(req, wirepb.Reason_REASON_MEMORY)
	case err != nil:
		return unknown(req, IncompleteReason(ctx))
	}
	return &wirepb.CallResponse{
		Id:      req.GetId(),
		Outcome: wirepb.Outcome_OUTCOME_RAN,
		Status:  int32(resp.StatusCode),
		Headers: call.EndToEndHeaders(resp.Header),
		Body:    body,
	}
}

func (d *dispatcher) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	lease := quota.FromContext(ctx)
	if resp.ContentLength != quota.UnknownLength || lease != nil {
		return lease.ReadAll(quota.Response, resp.Body, resp.ContentLength, d.maxBodyBytes)
	}
	m := d.unsized.NewReader(resp.Body)
	defer m.Close()
	return lease.ReadAll(quota.Response, m, quota.UnknownLength, d.maxBodyBytes)
}

// replayedMethods are the methods of requests that net/http retries by itself.
var replayedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// newHTTPRequest builds the request to the upstream.
//
// net/http retries a request by itself after a connection failure if the
// request has an Idempotency-Key header or a method without side effects,
// unless its body cannot be rewound. Retries must be decided by the entry node:
// even a GET may be a request that must not run twice. The key is therefore set
// under a spelling that the transport does not look up, and no body can be
// rewound, not even an empty one.
func newHTTPRequest(ctx context.Context, address string, req *wirepb.CallRequest) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+address+req.GetPath(), http.NoBody)
	if err != nil {
		return nil, err
	}
	if len(req.GetBody()) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(req.GetBody()))
		httpReq.ContentLength = int64(len(req.GetBody()))
	}
	if len(req.GetBody()) == 0 && slices.Contains(replayedMethods, req.GetMethod()) {
		// The encoding "identity" prevents the transport from sending an empty
		// chunked body.
		httpReq.Body = io.NopCloser(bytes.NewReader(nil))
		httpReq.TransferEncoding = []string{"identity"}
	}
	httpReq.GetBody = nil
	call.CopyHeaders(httpReq.Header, req.GetHeaders())
	if key := httpReq.Header.Get(call.HeaderKey); key != "" {
		httpReq.Header.Del(call.HeaderKey)
		httpReq.Header[strings.ToLower(call.HeaderKey)] = []string{key}
	}
	if host := httpReq.Header.Get("Host"); host != "" {
		httpReq.Host = host
		httpReq.Header.Del("Host")
	}
	setChainHeaders(httpReq.Header, req, mono.Until(time.Unix(0, req.GetDeadlineNanos())))
	return httpReq, nil
}

// setChainHeaders sets the headers that an upstream propagates to the services
// it calls.
func setChainHeaders(h http.Header, req *wirepb.CallRequest, remaining time.Duration) {
	retry.Chain{Attempts: int(req.GetAttempts()), Depth: int(req.GetDepth()), Timeout: remaining}.Set(h)
	h.Set(call.HeaderRequest, call.RequestID(req.GetId()).String())
	h.Set(call.HeaderCaller, req.GetCaller())
}

func refusal(req *wirepb.CallRequest, reason wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_REFUSED, Reason: reason}
}

func unknown(req *wirepb.CallRequest, reason wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
