// Package conns implements an HTTP/1.1 client for one upstream with a pool of
// persistent connections.
//
// The transport of net/http retries some requests by itself and does not report
// whether a request was written. Both matter for requests that may run only
// once.
//
// Invariants: a request is written on one connection only; a connection carries
// one request at a time and is reused only after a complete response with no
// data after it; a response whose body is truncated is an error; a request isn't
// sent again on a connection that has carried an unsuccessful response to it,
// since a late copy of that response can't be told from the next one.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/wire/bound"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
)

const (
	// dialTimeout bounds the time to connect to an upstream on the same
	// instance.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce a timeout. Upstreams usually close idle connections
	// after 5 s or more.
	defaultIdleTimeout = 3 * time.Second
	// idleFraction is the fraction of the announced keep-alive timeout after
	// which an idle connection is no longer used, so that a request is not sent
	// on a connection that the upstream is closing.
	idleFraction = 0.7
	// maxSkipped is the maximum number of responses that are skipped: interim
	// responses and responses to other requests.
	maxSkipped = 4
	// maxInlineBody is the largest request body, in bytes, that is written
	// before the response is read. It fits into the socket buffer. An upstream
	// may respond before it has read a longer body.
	maxInlineBody = 16 << 10
	// bufferSize is the size of a connection's read buffer in bytes; most
	// responses are smaller.
	bufferSize = 4 << 10
	// maxUnsuccessful is the maximum number of unsuccessful responses on one
	// connection, which bounds the memory of their IDs.
	maxUnsuccessful = 32
	// bodiesPerPool bounds the memory of the bodies that a pool reads at a time
	// to this many bodies of the largest size. Upstreams in trouble may send
	// bodies without end on all connections.
	bodiesPerPool = 2
)

// ErrMismatchedResponse reports that the upstream sent only responses to other
// requests.
var ErrMismatchedResponse = errors.New("upstream sent only responses to other requests")

// ErrHeadTooLarge reports a response head above reply.MaxHeadBytes.
var ErrHeadTooLarge = errors.New("upstream response head exceeds the size limit")

// ErrBodyTooLarge reports a response body above the size limit.
var ErrBodyTooLarge = errors.New("upstream response body exceeds the size limit")

// Request is an HTTP request to the upstream.
type Request struct {
	// ID identifies the request over all of its transmissions; may be empty.
	ID     string
	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time for which a reused connection may have been
	// idle; 0 allows any time within the keep-alive timeout.
	MaxIdle time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused is set if the connection had already carried a request.
	Reused bool
}

// Error is the error of an exchange without a complete response.
type Error struct {
	// Sent is set once a byte of the request may have reached the upstream.
	Sent bool
	// Reused is set if the connection had already carried a request.
	Reused bool
	// ResponseBegun is set once a byte of a response has arrived.
	ResponseBegun bool
	Err           error
}

func (f *Error) Error() string { return f.Err.Error() }
func (f *Error) Unwrap() error { return f.Err }

// Options configures a Pool.
type Options struct {
	// MaxBodyBytes is the maximum size of a response body in bytes.
	MaxBodyBytes int64
	// OnDial is called for each new connection; may be nil.
	OnDial func()
}

// Pool holds the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	opts   Options
	bodies *quota.Meter

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	*reply.Conn
	address string
	// source is the connection with a limit, and reader buffers it.
	source      *io.LimitedReader
	reader      *bufio.Reader
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
	// unsuccessful are the IDs of the requests to which this connection has
	// carried a response with an error status.
	unsuccessful []string
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.OnDial == nil {
		o.OnDial = func() {}
	}
	return &Pool{opts: o, bodies: quota.NewMeter(bodiesPerPool*quota.Bytes(o.MaxBodyBytes), ErrBodyTooLarge)}
}

// Close closes the idle connections; connections in use are closed after their
// request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// CloseIdle closes the idle connections, for example after the upstream has
// exited.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Do sends a request and returns the first complete response that match
// accepts. Responses that match rejects belong to earlier requests and are
// skipped. The error, if any, is an *Error; it wraps quota.ErrFull if the lease
// of ctx has no memory for the response.
func (p *Pool) Do(ctx context.Context, address string, req *Request, match func(http.Header) bool) (*Response, error) {
	c, err := p.acquire(ctx, address, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &exchange{pool: p, lease: quota.FromContext(ctx), conn: c, request: req, match: match, reused: c.reused}
	resp, err := e.run()
	if !stop() || err != nil || !e.reusable {
		_ = c.Close()
	} else {
		p.release(c)
	}
	if err == nil {
		return resp, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Error{Sent: true, Reused: e.reused, ResponseBegun: e.begun, Err: err}
}

// acquire returns a pooled connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, address string, req *Request) (*conn, error) {
	for {
		c := p.popIdle(address, req)
		if c == nil {
			break
		}
		if c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := Dial(ctx, "tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.opts.OnDial()
	rc := reply.NewConn(nc)
	source := &io.LimitedReader{R: rc}
	return &conn{Conn: rc, address: address, source: source, reader: bufio.NewReaderSize(source, bufferSize), idleTimeout: defaultIdleTimeout}, nil
}

// Dial opens a connection that is reset when it is closed, so that data still
// buffered in an abandoned connection is not delivered later.
func Dial(ctx context.Context, network, address string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.SetReadBuffer(quota.ReceiveBuffer)
	}
	return c, nil
}

// Listen opens a listener whose connections have a receive buffer of
// quota.ReceiveBuffer bytes.
func Listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(quota.ReceiveBuffer)
	}
	return c, err
}

// popIdle removes and returns the most recently used connection that may carry
// the request; it is the least likely to be closed by the upstream. Connections
// that were idle for too long are closed.
func (p *Pool) popIdle(address string, req *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		age := now.Sub(c.idleSince)
		usable := c.address == address && age <= c.idleTimeout
		if usable && req.MaxIdle > 0 && age > req.MaxIdle {
			return nil
		}
		if usable && c.hasFailed(req) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// hasFailed reports whether the connection has carried an unsuccessful response
// to the request.
func (c *conn) hasFailed(req *Request) bool {
	return req.ID != "" && slices.Contains(c.unsuccessful, req.ID)
}

func (p *Pool) release(c *conn) {
	c.reused = true
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && c.idleSince.Sub(p.idle[0].idleSince) > p.idle[0].idleTimeout {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// isIdle reports whether an unused connection is open and has no data to read.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// exchange is one request on one connection.
type exchange struct {
	pool     *Pool
	lease    *quota.Lease
	conn     *conn
	request  *Request
	match    func(http.Header) bool
	reused   bool
	begun    bool
	reusable bool
}

func (e *exchange) run() (*Response, error) {
	head := e.request.encodeHead()
	written := make(chan error, 1)
	if len(e.request.Body) <= maxInlineBody {
		_, err := e.conn.Write(append(head, e.request.Body...))
		written <- err
	} else {
		go func() {
			parts := net.Buffers{head, e.request.Body}
			_, err := parts.WriteTo(e.conn.Conn)
			written <- err
		}()
	}
	for range maxSkipped {
		resp, err := e.readResponse()
		if err != nil {
			return nil, err
		}
		if resp.Status < http.StatusOK {
			continue
		}
		if e.match(resp.Header) {
			e.checkReusable(written)
			e.recordStatus(resp.Status)
			return resp, nil
		}
		if !e.reusable {
			break
		}
	}
	return nil, ErrMismatchedResponse
}

// recordStatus remembers on the connection that the request was unsuccessful.
func (e *exchange) recordStatus(status int) {
	if e.request.ID == "" || status < http.StatusBadRequest {
		return
	}
	e.conn.unsuccessful = append(e.conn.unsuccessful, e.request.ID)
	e.reusable = e.reusable && len(e.conn.unsuccessful) < maxUnsuccessful
}

// checkReusable clears reusable unless the whole request was written and no
// data follows the response.
func (e *exchange) checkReusable(written <-chan error) {
	select {
	case err := <-written:
		e.reusable = e.reusable && err == nil && e.conn.reader.Buffered() == 0
	default:
		e.reusable = false
	}
}

func (e *exchange) readResponse() (*Response, error) {
	e.conn.source.N = reply.MaxHeadBytes
	if _, err := e.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	e.begun = true
	buffered, _ := e.conn.reader.Peek(e.conn.reader.Buffered()) // can't fail
	if err := e.conn.ExpectResponse(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
	if err != nil && e.conn.source.N <= 0 {
		return nil, ErrHeadTooLarge
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := e.checkAndReadBody(resp)
	if err != nil {
		// Otherwise closing the body reads it to its end.
		_ = e.conn.Close()
	}
	if err != nil && e.conn.source.N <= 0 || errors.Is(err, quota.ErrTooLarge) {
		return nil, ErrBodyTooLarge
	}
	if err != nil {
		return nil, err
	}
	e.reusable = !resp.Close
	if timeout := keepAliveTimeout(resp.Header.Get("Keep-Alive")); timeout > 0 {
		e.conn.idleTimeout = timeout
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: e.reused}, nil
}

// checkAndReadBody checks a response's head and reads its body.
func (e *exchange) checkAndReadBody(resp *http.Response) ([]byte, error) {
	// The limit leaves room for the frames of chunks and for trailers.
	e.conn.source.N = 2*e.pool.opts.MaxBodyBytes + reply.MaxHeadBytes
	if err := reply.Check(resp); err != nil {
		return nil, err
	}
	return e.pool.readBody(e.lease, resp)
}

// readBody reads a body within the limits of one body and of all bodies that
// the pool reads at the same time, and within the lease.
func (p *Pool) readBody(l *quota.Lease, resp *http.Response) ([]byte, error) {
	m := p.bodies.NewReader(resp.Body)
	defer m.Close()
	return l.ReadAll(quota.Response, m, resp.ContentLength, p.opts.MaxBodyBytes)
}

// keepAliveTimeout returns how long the upstream keeps an idle connection,
// scaled by idleFraction; 0 if it does not announce a timeout.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		d, err := bound.Duration(idleFraction*float64(seconds), time.Second, bound.MaxDuration)
		if err != nil {
			return 0
		}
		return d
	}
	return 0
}

// encodeHead returns the encoded request line and headers. The length is always
// written for a request with a body, so that the message is framed.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	_ = r.Header.Write(&b) // writing to a bytes.Buffer does not fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
