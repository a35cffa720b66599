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

// upstream accepts connections and answers each request with the bytes that
// script returns for it; an empty text closes the connection.
type upstream struct {
	net.Listener
	accepted atomic.Int64
}

func serve(t *testing.T, script func(connection, request int, q *http.Request) string) *upstream {
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
			go u.answer(c, int(u.accepted.Add(1)), script)
		}
	}()
	return u
}

func (u *upstream) answer(c net.Conn, connection int, script func(int, int, *http.Request) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		text := script(connection, n, q)
		_, _ = io.WriteString(c, text)
		if text == "" || !strings.Contains(text, "Content-Length") {
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, p *conns.Pool, u *upstream, id string, idle time.Duration) (*conns.Answer, error) {
	q := &conns.Request{Method: http.MethodPost, Path: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), Idle: idle}
	return p.Do(t.Context(), u.Addr().String(), q, func(h http.Header) bool { return h.Get("Id") == id })
}

// Guards against an answer to an earlier request that is passed on as that of
// the present one.
func TestLateAnswerIsSkipped(t *testing.T) {
	u := serve(t, func(_, n int, q *http.Request) string {
		id := q.Header.Get("Id")
		if n == 2 {
			return answer("1", "late") + answer(id, "right")
		}
		return answer(id, "first")
	})
	p := conns.New(conns.Options{Body: 100})
	defer p.Close()
	a, err := do(t, p, u, "1", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "first")
	a, err = do(t, p, u, "2", 0)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "right")
	assert.Equal(t, u.accepted.Load(), int64(1))
}

// Guards against bytes after an answer that are read as the next one.
func TestExtraBytesEndTheConnection(t *testing.T) {
	u := serve(t, func(_, _ int, q *http.Request) string {
		return answer(q.Header.Get("Id"), "x") + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong"
	})
	p := conns.New(conns.Options{Body: 100})
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		a, err := do(t, p, u, id, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "x")
	}
	assert.Equal(t, u.accepted.Load(), int64(2))
}

// Guards against an answer that is cut short and passed on as complete, and
// against garbage taken for an answer.
func TestBrokenAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 500\r\n\r\n" + strings.Repeat("x", 500),
		"no answer in the protocol\r\n\r\n",
		"",
	} {
		first := true
		u := serve(t, func(int, int, *http.Request) string {
			if !first {
				return ""
			}
			first = false
			return strings.Replace(text, "Content-Length: 50\r\n", "X: Content-Length\r\nContent-Length: 50\r\n", 1)
		})
		p := conns.New(conns.Options{Body: 100})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		q := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		_, err := p.Do(ctx, u.Addr().String(), q, func(h http.Header) bool { return h.Get("Id") == "1" })
		cancel()
		var f *conns.Failure
		assert.Assert(t, errors.As(err, &f), "%q", text)
		assert.Assert(t, f.Sent)
		p.Close()
	}
}

// Guards against an answer without length whose connection is reset, and for
// one whose connection ends as it should.
func TestUnframedAnswer(t *testing.T) {
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
		p := conns.New(conns.Options{Body: 100})
		q := &conns.Request{Method: http.MethodGet, Path: "/", Host: "h", Header: http.Header{"Id": {"1"}}}
		a, err := p.Do(t.Context(), l.Addr().String(), q, func(h http.Header) bool { return h.Get("Id") == "1" })
		if reset {
			assert.Assert(t, err != nil)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body), "whole")
		}
		p.Close()
		assert.NilError(t, l.Close())
	}
}

// Guards against a request that may run only once on a connection that has
// been idle: a reset there leaves its outcome unknown.
func TestOldConnectionsArentReused(t *testing.T) {
	u := serve(t, func(_, _ int, q *http.Request) string { return answer(q.Header.Get("Id"), "x") })
	p := conns.New(conns.Options{Body: 100})
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

// Guards against "sent" for a request of which no byte left this process.
func TestUnreachedUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	p := conns.New(conns.Options{Body: 100})
	defer p.Close()
	_, err = do(t, p, &upstream{Listener: l}, "1", 0)
	var f *conns.Failure
	assert.Assert(t, errors.As(err, &f))
	assert.Assert(t, !f.Sent)
}
