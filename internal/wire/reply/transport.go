package reply

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// MaxHeadBytes bounds the status line and the fields of a response in bytes.
const MaxHeadBytes = 64 << 10

// Transport is an http.Transport that returns an error for a response that Check
// or a Conn rejects.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t, which it changes to connections
// of this package and to heads of at most MaxHeadBytes.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{Transport: t}
}

// RoundTrip sends a request and returns the final response to it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			_ = c.ExpectResponse(nil) // there is nothing to reject
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
