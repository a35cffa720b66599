package pipe

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer. It holds several
	// pipelined requests without a body.
	readBufferSize = 4 << 10
	// defaultMaxHeaderBytes applies if Server.MaxHeaderBytes is not set.
	defaultMaxHeaderBytes = 1 << 20
)

// conn is one connection. Its goroutine reads the requests; each request has a
// goroutine that runs the handler and writes the response.
type conn struct {
	server *Server
	rwc    net.Conn
	in     limitedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// last is the exchange of the latest request; its done channel is closed once
	// its response is written.
	last *exchange

	mu sync.Mutex
	// changed is signalled when an exchange ends.
	changed *sync.Cond
	// running counts the exchanges whose response isn't written yet.
	running int
	// sequence counts the requests that were passed to the handler.
	sequence uint64
	// waiting is set while the reader waits for the first byte of a request.
	waiting bool
	// watching is set while the reader only detects that the client leaves.
	watching bool
	// closing is set once no further request is read, aborted once the connection
	// ends without waiting for responses.
	closing, aborted bool
}

// limitedReader bounds the bytes that are read for one request head. An endless
// head must not occupy memory.
type limitedReader struct {
	rwc       net.Conn
	remaining int64
	exceeded  bool
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, io.EOF
	}
	n, err := r.rwc.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

func newConn(s *Server, rwc net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{server: s, rwc: rwc, ctx: ctx, cancel: cancel}
	c.in.rwc = rwc
	c.reader = bufio.NewReaderSize(&c.in, readBufferSize)
	c.changed = sync.NewCond(&c.mu)
	c.last = &exchange{done: make(chan struct{})}
	close(c.last.done)
	return c
}

// isOutOfDescriptors reports a failed accept that may succeed later.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// serve reads requests until the connection ends, then waits for the responses.
func (c *conn) serve() {
	c.server.setState(c.rwc, http.StateNew)
	for c.awaitRequest() {
		if !c.readRequest() {
			break
		}
	}
	c.awaitResponses()
	c.cancel()
	_ = c.rwc.Close() // the responses are written or the client has left
	c.server.setState(c.rwc, http.StateClosed)
}

// awaitResponses waits for the responses to all requests. It ends their contexts
// if the client closes the connection before.
func (c *conn) awaitResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.running > 0 && c.ctx.Err() == nil {
		c.watching = true
		_ = c.rwc.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		c.in.remaining = c.maxHeaderBytes()
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.watching = false
		if err != nil && c.running > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}
	for c.running > 0 {
		c.changed.Wait()
	}
}

// awaitRequest waits for the first byte of a request and for capacity to handle
// it. It returns false if the connection has ended.
func (c *conn) awaitRequest() bool {
	c.in.remaining = c.maxHeaderBytes() - int64(c.reader.Buffered())
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.waiting = true
	c.setIdleDeadline()
	if c.running == 0 && c.sequence > 0 {
		c.server.setState(c.rwc, http.StateIdle)
	}
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if err != nil {
		return c.endInput(err)
	}
	if c.running == 0 {
		c.server.setState(c.rwc, http.StateActive)
	}
	for c.running >= max(1, c.server.MaxConcurrent) && !c.closing {
		c.changed.Wait()
	}
	return !c.closing
}

// endInput handles an error of the wait for a request; it returns false. Requests
// that run are answered, unless the client has closed the connection. The caller
// must hold mu.
func (c *conn) endInput(err error) bool {
	switch {
	case c.closing || errors.Is(err, os.ErrDeadlineExceeded):
	case isInvalid(err):
		c.mu.Unlock()
		c.reject(c.statusOf(err))
		c.mu.Lock()
	default:
		c.cancel()
	}
	return false
}

// StatusError is an error of a connection's Read for bytes that are no request.
// Status is the status of the response to them.
type StatusError interface {
	error
	Status() int
}

func isInvalid(err error) bool {
	var invalid StatusError
	return errors.As(err, &invalid)
}

func (c *conn) maxHeaderBytes() int64 {
	if c.server.MaxHeaderBytes > 0 {
		// As in net/http, the buffer may hold the beginning of the body.
		return int64(c.server.MaxHeaderBytes) + readBufferSize
	}
	return defaultMaxHeaderBytes
}

// setIdleDeadline bounds the wait for the next request, but not while a response
// is being prepared. The caller must hold mu.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if c.running == 0 && c.server.IdleTimeout > 0 {
		deadline = time.Now().Add(c.server.IdleTimeout)
	}
	_ = c.rwc.SetReadDeadline(deadline) // fails only on a closed connection, as does the next read
}

// readRequest reads one request and starts its handler. It returns false if no
// further request can be read.
func (c *conn) readRequest() bool {
	if c.server.ReadHeaderTimeout > 0 {
		_ = c.rwc.SetReadDeadline(time.Now().Add(c.server.ReadHeaderTimeout))
	}
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		c.reject(c.statusOf(err))
		return false
	}
	_ = c.rwc.SetReadDeadline(time.Time{})
	c.in.remaining = math.MaxInt64
	if status := invalidRequest(req); status != 0 {
		c.reject(status)
		return false
	}
	req.RemoteAddr = c.rwc.RemoteAddr().String()
	e := c.begin(req)
	if e == nil {
		return false
	}
	go func() {
		defer c.end(e)
		e.run(c.server.Handler)
	}()
	// The next request begins after this one's body.
	<-e.bodyDone
	return !e.unread && !req.Close
}

// statusOf returns the status for a request that can't be read; 0 if the client
// has gone.
func (c *conn) statusOf(err error) int {
	var timeout net.Error
	var invalid StatusError
	switch {
	case errors.As(err, &invalid):
		return invalid.Status()
	case c.in.exceeded:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && c.in.remaining > 0 || errors.Is(err, net.ErrClosed):
		return 0
	default:
		return http.StatusBadRequest
	}
}

// invalidRequest returns the status for a request that http.ReadRequest accepts
// and that must not be handled; 0 if it is valid.
func invalidRequest(req *http.Request) int {
	if req.ProtoMajor != 1 {
		return http.StatusHTTPVersionNotSupported
	}
	if req.ProtoAtLeast(1, 1) && req.Host == "" && req.Method != http.MethodConnect {
		return http.StatusBadRequest
	}
	for name, values := range req.Header {
		if !validName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
				return http.StatusBadRequest
			}
		}
	}
	if expect := req.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		return http.StatusExpectationFailed
	}
	return 0
}

// validName reports whether name is a token, as the name of a header must be.
func validName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// reject answers a request that can't be handled, after the responses before it,
// and lets the connection end. A status of 0 means no answer.
func (c *conn) reject(status int) {
	if status == 0 {
		c.mu.Lock()
		if !c.closing {
			c.cancel()
		}
		c.mu.Unlock()
		return
	}
	<-c.last.done
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	_ = c.rwc.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(c.rwc, text) // the connection is closed next
}

// rejectTimeout bounds the write of a response to an invalid request.
const rejectTimeout = time.Second

// begin registers the exchange of a request. It returns nil if the connection is
// being closed; the request is then not handled.
func (c *conn) begin(req *http.Request) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	if c.running == 0 {
		c.server.setState(c.rwc, http.StateActive)
	}
	c.sequence++
	c.running++
	e := newExchange(c, req, c.sequence, c.last.done)
	c.last = e
	return e
}

// end records that the response of an exchange is written.
func (c *conn) end(e *exchange) {
	close(e.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	switch {
	case c.running > 0:
	case c.watching:
		_ = c.rwc.SetReadDeadline(time.Unix(1, 0)) // ends the wait
	case c.waiting && !c.closing:
		c.server.setState(c.rwc, http.StateIdle)
		c.setIdleDeadline()
	}
	c.changed.Broadcast()
}

// stopReading lets no further request be read. The caller must hold mu.
func (c *conn) stopReading() {
	c.closing = true
	if c.waiting {
		_ = c.rwc.SetReadDeadline(time.Unix(1, 0)) // ends the wait
	}
	c.changed.Broadcast()
}

// isLast reports whether no request was passed to the handler after the one with
// the given number, and stops reading if the connection is to be closed.
func (c *conn) isLast(sequence uint64, closes bool) (last, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes {
		c.stopReading()
	}
	return sequence == c.sequence, c.closing
}

// setDeadline calls set, unless the connection was aborted: a handler must not
// replace the deadline that ends its reads and writes.
func (c *conn) setDeadline(set func(time.Time) error, deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return net.ErrClosed
	}
	return set(deadline)
}

// abort ends the connection without waiting for responses.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.aborted = true, true
	_ = c.rwc.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.changed.Broadcast()
}
