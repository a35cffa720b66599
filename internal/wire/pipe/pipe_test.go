package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/wire/pipe"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dial starts a server and returns a connection to it.
func dial(t *testing.T, s *pipe.Server) (net.Conn, *bufio.Reader) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		assert.NilError(t, s.Close())
		assert.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return c, bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

func receive(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// awaitEnd reads to the end of the connection.
func awaitEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

// Guards against pipelined requests that wait for those before them, and against
// responses in another order than the requests: the first request ends only once
// the second one has run.
func TestRequestsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	c, r := dial(t, &pipe.Server{MaxConcurrent: 4, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		echo(w, r)
	})})
	send(t, c, get("/1")+get("/2"))
	for _, want := range []string{"/1", "/2"} {
		_, body := receive(t, r)
		assert.Equal(t, body, want)
	}
}

// Guards against more concurrent requests of one connection than are allowed, each
// of which holds memory.
func TestConcurrencyIsBounded(t *testing.T) {
	running := make(chan struct{}, 2)
	exceeded := make(chan struct{}, 100)
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case running <- struct{}{}:
		default:
			exceeded <- struct{}{}
		}
		time.Sleep(time.Millisecond)
		<-running
		echo(w, r)
	})})
	var all strings.Builder
	for range 20 {
		all.WriteString(get("/x"))
	}
	send(t, c, all.String())
	for range 20 {
		_, body := receive(t, r)
		assert.Equal(t, body, "/x")
	}
	assert.Equal(t, len(exceeded), 0)
}

// Guards against a request that is taken from the middle of another one's body.
func TestBodiesSeparateRequests(t *testing.T) {
	c, r := dial(t, &pipe.Server{MaxConcurrent: 4, Handler: http.HandlerFunc(echo)})
	inner := get("/smuggled")
	send(t, c, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner))
	send(t, c, fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner))
	send(t, c, get("/3"))
	for _, want := range []string{"/1" + inner, "/2" + inner, "/3"} {
		_, body := receive(t, r)
		assert.Equal(t, body, want)
	}
}

// Guards against a body that the handler leaves unread and whose rest is then read
// as a request.
func TestUnreadBody(t *testing.T) {
	for length, closed := range map[int]bool{1000: false, 1 << 20: true} {
		c, r := dial(t, &pipe.Server{MaxConcurrent: 4, ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusUnauthorized)
		})})
		go func() {
			_, _ = fmt.Fprintf(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s%s", length, strings.Repeat("x", length), get("/2"))
		}()
		resp, _ := receive(t, r)
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, resp.Close, closed)
		if !closed {
			resp, _ = receive(t, r)
			assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
		}
	}
}

// Guards against a closing connection that loses requests which were already
// passed to the handler: only the last response says that it closes.
func TestClosingAnswersAllRequests(t *testing.T) {
	started := make(chan struct{}, 3)
	release := make(chan struct{})
	c, r := dial(t, &pipe.Server{MaxConcurrent: 4, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		started <- struct{}{}
		<-release
		echo(w, r)
	})})
	send(t, c, get("/1")+get("/2")+get("/3"))
	for range 3 {
		<-started
	}
	close(release)
	for i, want := range []string{"/1", "/2", "/3"} {
		resp, body := receive(t, r)
		assert.Equal(t, body, want)
		assert.Equal(t, resp.Close, i == 2)
	}
	awaitEnd(t, r)
}

// Guards against requests that keep running for a client that has left, also
// where its last request asked to close the connection.
func TestContextEndsWithClient(t *testing.T) {
	for _, head := range []string{get("/1"), "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"} {
		started, ended := make(chan struct{}), make(chan error, 1)
		c, _ := dial(t, &pipe.Server{MaxConcurrent: 4, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			ended <- r.Context().Err()
		})})
		send(t, c, head)
		<-started
		assert.NilError(t, c.Close())
		assert.ErrorIs(t, <-ended, context.Canceled)
	}
}

// Guards against invalid requests that reach the handler, and against an answer
// that is missing, repeated or comes before those of earlier requests.
func TestInvalidRequests(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n": http.StatusBadRequest,
		"\r\n\r\n":               http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\x01c\r\n\r\n":                 http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n":                    http.StatusBadRequest,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":                              http.StatusHTTPVersionNotSupported,
		"GET / HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n":              http.StatusExpectationFailed,
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 2\r\n\r\n":      http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n":      http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 10_000): http.StatusRequestHeaderFieldsTooLarge,
	} {
		c, r := dial(t, &pipe.Server{MaxConcurrent: 4, MaxHeaderBytes: 4 << 10, Handler: http.HandlerFunc(echo)})
		go func() { _, _ = io.WriteString(c, get("/first")+text) }()
		_, body := receive(t, r)
		assert.Equal(t, body, "/first")
		resp, _ := receive(t, r)
		assert.Equal(t, resp.StatusCode, want, "%q", text)
		assert.Assert(t, resp.Close)
	}
}

// Guards against a response that is not framed, so that a client can't tell where
// it ends.
func TestFraming(t *testing.T) {
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ab")
		case "/chunks":
			_, _ = io.WriteString(w, "a")
			_, _ = io.WriteString(w, "b")
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		}
	})})
	send(t, c, get("/length")+get("/chunks")+get("/none")+get("/empty"))
	for _, want := range []string{"ab", "ab", "", ""} {
		resp, body := receive(t, r)
		assert.Equal(t, body, want)
		assert.Assert(t, resp.Header.Get("Date") != "")
	}
}

// Guards against a client that waits for the permission to send its body for ever.
func TestContinue(t *testing.T) {
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(echo)})
	send(t, c, "POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	resp, _ := receive(t, r)
	assert.Equal(t, resp.StatusCode, http.StatusContinue)
	send(t, c, "x")
	_, body := receive(t, r)
	assert.Equal(t, body, "/1x")
}

// Guards against idle connections that are kept for ever, and against an idle
// time-out that ends a connection while a request runs.
func TestIdleTimeout(t *testing.T) {
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, IdleTimeout: 50 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		echo(w, r)
	})})
	send(t, c, get("/1"))
	_, body := receive(t, r)
	assert.Equal(t, body, "/1")
	awaitEnd(t, r)
}

// Guards against a handler's panic that ends the process or leaves the client
// waiting.
func TestPanic(t *testing.T) {
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })})
	send(t, c, get("/1"))
	awaitEnd(t, r)
}

// Guards against states that miss a request: a stopping node waits for the
// connections that are active.
func TestConnState(t *testing.T) {
	states := make(chan http.ConnState, 20)
	c, r := dial(t, &pipe.Server{
		MaxConcurrent: 2, Handler: http.HandlerFunc(echo),
		ConnState: func(_ net.Conn, s http.ConnState) { states <- s },
	})
	assert.Equal(t, <-states, http.StateNew)
	send(t, c, get("/1"))
	receive(t, r)
	for state := <-states; state != http.StateIdle; state = <-states {
		assert.Equal(t, state, http.StateActive)
	}
	assert.NilError(t, c.Close())
	for state := <-states; state != http.StateClosed; state = <-states {
		assert.Assert(t, state == http.StateIdle)
	}
}

// Guards against a client that sees its response before the handler has returned
// and released the memory of the request: the next one is then refused.
func TestShortResponseFollowsHandler(t *testing.T) {
	returned := make(chan struct{})
	c, r := dial(t, &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ab")
		time.Sleep(50 * time.Millisecond)
		close(returned)
	})})
	send(t, c, get("/1"))
	_, body := receive(t, r)
	assert.Equal(t, body, "ab")
	select {
	case <-returned:
	default:
		t.Fatal("the response was written before the handler returned")
	}
}

// Guards against a server whose Close waits for a client that reads nothing,
// because the handler sets a new deadline for its response.
func TestCloseEndsUnreadResponses(t *testing.T) {
	started := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &pipe.Server{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Hour))
		for range 1000 {
			_, _ = w.Write(make([]byte, 1<<20))
		}
	})}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	send(t, c, get("/1"))
	<-started
	assert.NilError(t, s.Close())
	assert.ErrorIs(t, <-ended, http.ErrServerClosed)
}
