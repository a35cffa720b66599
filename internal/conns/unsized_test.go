package conns_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/stand"
)

// uploadBytes exceeds what the buffers of a loopback connection take, so that
// the upload is in progress while the response arrives.
const uploadBytes = 16 << 20

// upload sends a request with a long body to an upstream that responds at once,
// without a length.
func upload(t *testing.T, p *conns.Pool, ending stand.Ending) (*conns.Response, error) {
	s := httptest.NewServer(stand.RawResponse{
		Text:   func(*http.Request) string { return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart" },
		Ending: ending,
	})
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	req := &conns.Request{Method: http.MethodPost, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: make([]byte, uploadBytes)}
	resp, err := p.Do(ctx, s.Listener.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == "1" })
	assert.NilError(t, ctx.Err(), "the exchange lasted until its deadline")
	return resp, err
}

// Guards against a response without a length whose connection is reset while
// the request's body is being written, and that is taken for a complete one: the
// write gets the error of the reset, and the read after it only the end of data.
func TestResetDuringUpload(t *testing.T) {
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	complete := 0
	const uploads = 50
	for range uploads {
		if _, err := upload(t, p, stand.Reset); err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d truncated responses", uploads)
}

// Guards against refusing a whole response without a length because the upstream
// reads the rest of the upload only later, or not at all.
func TestResponseEndsBeforeUpload(t *testing.T) {
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	for _, ending := range []stand.Ending{stand.Finished, stand.Abandoned} {
		resp, err := upload(t, p, ending)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "part")
	}
}

// Guards against a truncated response without a length that is taken for a
// complete one because the upstream has reset the connection before a short
// request is written: then the write gets the error of the reset.
func TestResetBeforeRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	reset := make(chan struct{})
	go func() {
		defer close(reset)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"))
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	p := conns.New(conns.Options{MaxBodyBytes: 100, OnDial: func() { <-reset }})
	defer p.Close()
	req := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
	resp, err := p.Do(t.Context(), l.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == "1" })
	assert.Assert(t, err != nil, "a truncated response was returned: %+v", resp)
}
