package pipe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"
)

// exchange is one request and its response. It is the http.ResponseWriter of the
// handler.
type exchange struct {
	conn     *conn
	request  *http.Request
	cancel   context.CancelFunc
	sequence uint64
	// previous is closed once the responses before this one are written, done once
	// this one is.
	previous <-chan struct{}
	done     chan struct{}
	// bodyDone is closed once the request's body is read or given up.
	bodyDone chan struct{}
	bodyOnce sync.Once
	// unread is set if the body was given up before its end.
	unread bool

	header    http.Header
	wroteHead bool
	// head is the part of the response that isn't written yet: its head and the
	// first bytes of a short body.
	head     []byte
	closes   bool
	chunked  bool
	bodyless bool
	// duplex is set if the response may be written before the body is read.
	duplex bool
	// continued is set once the client was told to send the body.
	continued bool
	err       error
}

// maxDiscardedBytes is the part of an unread body up to which the connection
// stays open for further requests, as in net/http.
const maxDiscardedBytes = 256 << 10

// discardTimeout bounds the time in which the rest of a body is discarded.
const discardTimeout = 3 * time.Second

// maxHeldBytes is the size up to which a response is written only once the handler
// has returned, as in net/http. The client can't send its next request before the
// handler has released the memory of this one.
const maxHeldBytes = 4 << 10

// maxJoinedBytes bounds the part of a body that is copied to be written together
// with the head.
const maxJoinedBytes = 16 << 10

func newExchange(c *conn, req *http.Request, sequence uint64, previous <-chan struct{}) *exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	e := &exchange{
		conn: c, cancel: cancel, sequence: sequence, previous: previous,
		done: make(chan struct{}), bodyDone: make(chan struct{}), header: http.Header{},
	}
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = http.NoBody
		e.endBody(true)
	} else {
		req.Body = &requestBody{exchange: e, body: req.Body}
	}
	e.request = req.WithContext(ctx)
	return e
}

// requestBody signals its end, so that the next request can be read.
type requestBody struct {
	exchange *exchange
	body     io.ReadCloser
}

func (b *requestBody) Read(p []byte) (int, error) {
	e := b.exchange
	select {
	case <-e.bodyDone:
		if e.unread {
			return 0, http.ErrBodyReadAfterClose
		}
		return 0, io.EOF
	default:
	}
	if !e.continued && !e.wroteHead && strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") {
		e.continued = true
		<-e.previous
		if _, err := io.WriteString(e.conn.rwc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		e.endBody(true)
	}
	return n, err
}

// Close is called by the handler and has no effect; the rest of the body is
// discarded after the response.
func (b *requestBody) Close() error { return nil }

// endBody lets the next request be read, unless the body was left incomplete.
func (e *exchange) endBody(complete bool) {
	e.bodyOnce.Do(func() {
		e.unread = !complete
		close(e.bodyDone)
	})
}

// run calls the handler and completes the response. A handler that panics leaves
// the connection closed.
func (e *exchange) run(h http.Handler) {
	defer e.cancel()
	defer func() {
		if v := recover(); v != nil {
			e.abandon()
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				// As in net/http, a fault of one handler doesn't end the process.
				fmt.Fprintf(os.Stderr, "panic while serving a request: %v\n%s", v, debug.Stack())
			}
		}
	}()
	h.ServeHTTP(e, e.request)
	e.finish()
}

// abandon closes the connection without completing the response.
func (e *exchange) abandon() {
	<-e.previous
	e.endBody(false)
	e.conn.abort()
}

// finish writes what is left of the response and discards the rest of the body.
func (e *exchange) finish() {
	if !e.wroteHead {
		if e.header.Get("Content-Length") == "" {
			e.header.Set("Content-Length", "0")
		}
		e.WriteHeader(http.StatusOK)
	}
	e.flushHead(nil)
	if e.chunked {
		e.write([]byte("0\r\n\r\n"))
	}
	e.endBody(false)
	if e.err != nil {
		e.conn.abort()
	}
}

// Header returns the header of the response.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader prepares the head of the response. It is written together with the
// first part of the body, after the responses before it.
func (e *exchange) WriteHeader(status int) {
	if e.wroteHead {
		return
	}
	e.wroteHead = true
	e.discardBody()
	<-e.previous
	closes := e.request.Close || e.unread || !e.request.ProtoAtLeast(1, 1) || strings.EqualFold(e.header.Get("Connection"), "close")
	last, closing := e.conn.isLast(e.sequence, closes)
	e.header.Del("Connection")
	e.closes = last && closing
	if e.closes {
		e.header.Set("Connection", "close")
	}
	e.bodyless = e.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if !e.bodyless && e.header.Get("Content-Length") == "" {
		e.chunked = e.request.ProtoAtLeast(1, 1)
		if e.chunked {
			e.header.Set("Transfer-Encoding", "chunked")
		}
	}
	if _, ok := e.header["Date"]; !ok {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = e.header.Write(&head) // a bytes.Buffer doesn't fail
	head.WriteString("\r\n")
	e.head = head.Bytes()
}

// discardBody reads what is left of a short body. A longer one ends the
// connection after the response.
func (e *exchange) discardBody() {
	select {
	case <-e.bodyDone:
		return
	default:
	}
	if strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") && !e.continued {
		e.endBody(false) // the client may or may not send the body
		return
	}
	if e.duplex {
		return
	}
	_ = e.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.CopyN(io.Discard, e.request.Body, maxDiscardedBytes+1)
	e.endBody(errors.Is(err, io.EOF) && n <= maxDiscardedBytes)
}

// Write writes a part of the body.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.bodyless {
		return 0, http.ErrBodyNotAllowed
	}
	if len(p) == 0 {
		return 0, e.err
	}
	switch {
	case e.chunked:
		e.flushHead(fmt.Appendf(nil, "%x\r\n", len(p)))
		e.write(p)
		e.write([]byte("\r\n"))
	case len(e.head)+len(p) <= maxHeldBytes:
		e.head = append(e.head, p...)
	default:
		e.flushHead(p)
	}
	if e.err != nil {
		return 0, e.err
	}
	return len(p), nil
}

// flushHead writes the part of the response that is held back, then p.
func (e *exchange) flushHead(p []byte) {
	head := e.head
	e.head = nil
	switch {
	case len(head) == 0:
		e.write(p)
	case len(p) == 0:
		e.write(head)
	case len(p) <= maxJoinedBytes:
		e.write(append(head, p...))
	default:
		e.write(head)
		e.write(p)
	}
}

func (e *exchange) write(p []byte) {
	if e.err == nil && len(p) > 0 {
		_, e.err = e.conn.rwc.Write(p)
	}
}

// EnableFullDuplex lets the response be written before the body is read; see
// http.ResponseController.
func (e *exchange) EnableFullDuplex() error {
	e.duplex = true
	return nil
}

// Flush writes what the handler has written so far.
func (e *exchange) Flush() {
	e.WriteHeader(http.StatusOK)
	e.flushHead(nil)
}

// SetReadDeadline sets the deadline of reading the request's body; see
// http.ResponseController. It has no effect once the body is read, since the next
// request has deadlines of its own.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	select {
	case <-e.bodyDone:
		return nil
	default:
		return e.conn.setDeadline(e.conn.rwc.SetReadDeadline, deadline)
	}
}

// SetWriteDeadline sets the deadline of writing the response; see
// http.ResponseController. It waits for the responses before this one, whose
// deadlines it must not change.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	<-e.previous
	return e.conn.setDeadline(e.conn.rwc.SetWriteDeadline, deadline)
}
