package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/conns"
)

// upstream accepts connections and writes, for each request, the text that
// script returns. An empty text closes the connection.
type upstream struct {
	net.Listener
	accepted atomic.Int64
}

func serve(t *testing.T, script func(connection, request int, req *http.Request) string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serveConn(c, int(u.accepted.Add(1)), script)
		}
	}()
	return u
}

func (u *upstream) serveConn(c net.Conn, connection int, script func(int, int, *http.Request) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := script(connection, n, req)
		_, _ = io.WriteString(c, text)
		if text == "" || !strings.Contains(text, "Content-Length") {
			return
		}
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *conns.Pool, u *upstream, id string, idle time.Duration) (*conns.Response, error) {
	req := &conns.Request{Method: http.MethodPost, Path: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), MaxIdle: idle}
	return p.Do(t.Context(), u.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == id })
}

// Guards against returning the response to an earlier request as the response
// to the current one.
func TestLateResponseIsSkipped(t *testing.T) {
	u := serve(t, func(_, n int, req *http.Request) string {
		id := req.Header.Get("Id")
		if n == 2 {
			return response("1", "late") + response(id, "right")
		}
		return response(id, "first")
	})
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	resp, err := do(t, p, u, "1", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "first")
	resp, err = do(t, p, u, "2", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "right")
	assert.Equal(t, u.accepted.Load(), int64(1))
}

// Guards against reading extra bytes after a response as the next response.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := serve(t, func(_, _ int, req *http.Request) string {
		return response(req.Header.Get("Id"), "x") + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong"
	})
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		resp, err := do(t, p, u, id, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "x")
	}
	assert.Equal(t, u.accepted.Load(), int64(2))
}

// Guards against returning a truncated response as complete, and against
// accepting invalid data as a response.
func TestInvalidResponses(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 500\r\n\r\n" + strings.Repeat("x", 500),
		"no answer in the protocol\r\n\r\n",
		"",
	} {
		firstRequest := true
		u := serve(t, func(int, int, *http.Request) string {
			if !firstRequest {
				return ""
			}
			firstRequest = false
			return strings.Replace(text, "Content-Length: 50\r\n", "X: Content-Length\r\nContent-Length: 50\r\n", 1)
		})
		p := conns.New(conns.Options{MaxBodyBytes: 100})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		req := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		_, err := p.Do(ctx, u.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == "1" })
		cancel()
		var failure *conns.Error
		assert.Assert(t, errors.As(err, &failure), "%q", text)
		assert.Assert(t, failure.Sent)
		p.Close()
	}
}

// Guards against accepting a response without a length whose connection is
// reset, and against rejecting one whose connection is closed regularly.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		p := conns.New(conns.Options{MaxBodyBytes: 100})
		req := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		resp, err := p.Do(t.Context(), l.Addr().String(), req, func(h http.Header) bool { return h.Get("Id") == "1" })
		if reset {
			assert.Assert(t, err != nil)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(resp.Body), "whole")
		}
		p.Close()
		assert.NilError(t, l.Close())
	}
}

// Guards against sending a request that may run only once on a connection that
// has been idle: a reset there leaves its outcome unknown.
func TestOldConnectionsAreNotReused(t *testing.T) {
	u := serve(t, func(_, _ int, req *http.Request) string { return response(req.Header.Get("Id"), "x") })
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		_, err := do(t, p, u, id, 0)
		assert.NilError(t, err)
	}
	assert.Equal(t, u.accepted.Load(), int64(1))
	time.Sleep(5 * time.Millisecond)
	_, err := do(t, p, u, "3", time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, u.accepted.Load(), int64(2))
}

// Guards against reporting a request as sent although no byte of it left this
// process.
func TestUnreachableUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	p := conns.New(conns.Options{MaxBodyBytes: 100})
	defer p.Close()
	_, err = do(t, p, &upstream{Listener: l}, "1", 0)
	var failure *conns.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
}
