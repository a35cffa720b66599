package reply

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.Transport that returns an error for a response that Check
// rejects.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses t and changes its connections to
// those of this package.
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
	return &Transport{Transport: t}
}

// RoundTrip sends a request and returns the final response to it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
