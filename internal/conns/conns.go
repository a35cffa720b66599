// Package conns exchanges HTTP/1.1 messages with one upstream over connections
// that it keeps.
//
// net/http's transport resends some requests on its own and doesn't tell
// whether a request was written; both matter where a request may run only once.
//
// Invariants: a request is written on one connection only; a connection carries
// one request at a time and is kept only after a whole answer with nothing
// after it; an answer whose body ends early is an error.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialLimit bounds the time to connect to an upstream on the same instance.
	dialLimit = time.Second
	// idleLimit is how long an idle connection is kept if the upstream doesn't
	// tell; upstreams usually close after 5 s or more.
	idleLimit = 3 * time.Second
	// idleShare of the time that the upstream tells is used, so that a request
	// doesn't meet a connection that is just being closed.
	idleShare = 0.7
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 4
	// inlineBody is the largest body that is written before the answer is
	// read; it fits into the socket's buffer. An upstream may answer before it
	// has read a longer one.
	inlineBody = 16 << 10
	// bufferSize of a reader; larger than most answers.
	bufferSize = 4 << 10
)

// ErrStray reports answers that belong to other requests only.
var ErrStray = errors.New("upstream sent answers to other requests")

// ErrSize reports an answer above the limit.
var ErrSize = errors.New("answer exceeds the size limit")

// Request is what is sent.
type Request struct {
	Method string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Idle is the longest time that a reused connection may have been idle; 0
	// means any that the upstream still keeps by its own word.
	Idle time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Failure is an exchange without a whole answer.
type Failure struct {
	// Sent is set once a byte of the request may have reached the upstream.
	Sent bool
	// Reused is set if the connection had carried a request before.
	Reused bool
	// Begun is set once a byte of an answer has arrived.
	Begun bool
	Err   error
}

func (f *Failure) Error() string { return f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// Options configure a Pool.
type Options struct {
	// Body bounds an answer's body in bytes.
	Body int64
	// Dialed counts new connections; may be nil.
	Dialed func()
}

// Pool keeps the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	o      Options
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool
	since   time.Time
	keep    time.Duration
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.Dialed == nil {
		o.Dialed = func() {}
	}
	return &Pool{o: o}
}

// Close closes the idle connections; those in use close after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.drop()
}

// Forget closes the idle connections, such as those to an upstream that has ended.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

func (p *Pool) drop() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Do sends a request and returns the first whole answer that match accepts.
// Answers that it doesn't accept belong to earlier requests and are skipped.
// An error is a *Failure.
func (p *Pool) Do(ctx context.Context, address string, q *Request, match func(http.Header) bool) (*Answer, error) {
	c, err := p.take(ctx, address, q.Idle)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	e := &exchange{pool: p, c: c, q: q, match: match, reused: c.used}
	a, err := e.run()
	if !stop() || err != nil || !e.keep {
		_ = c.Close()
	} else {
		p.put(c)
	}
	if err == nil {
		return a, nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &Failure{Sent: true, Reused: e.reused, Begun: e.begun, Err: err}
}

// take returns a kept connection or opens one.
func (p *Pool) take(ctx context.Context, address string, idle time.Duration) (*conn, error) {
	for {
		c := p.kept(address, idle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	n, err := Dial(ctx, "tcp", address, dialLimit)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.o.Dialed()
	return &conn{Conn: n, address: address, reader: bufio.NewReaderSize(n, bufferSize), keep: idleLimit}, nil
}

// Dial opens a connection that is reset when it is closed: what a connection
// that was given up still holds must not arrive later.
func Dial(ctx context.Context, network, address string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return c, nil
}

// kept takes the connection that was used last, which is the least likely to
// be closed by the upstream. Connections that are too old are closed.
func (p *Pool) kept(address string, idle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		age := now.Sub(c.since)
		if idle > 0 && age > idle && age <= c.keep && c.address == address {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if c.address == address && age <= c.keep {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) put(c *conn) {
	c.used = true
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && c.since.Sub(p.idle[0].since) > p.idle[0].keep {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *conn) quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return !ok
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange is one request on one connection.
type exchange struct {
	pool   *Pool
	c      *conn
	q      *Request
	match  func(http.Header) bool
	reused bool
	begun  bool
	keep   bool
}

func (e *exchange) run() (*Answer, error) {
	head := e.q.head()
	written := make(chan error, 1)
	if len(e.q.Body) <= inlineBody {
		_, err := e.c.Write(append(head, e.q.Body...))
		written <- err
	} else {
		go func() {
			_, err := e.c.Write(append(head, e.q.Body...))
			written <- err
		}()
	}
	for range maxStrays {
		a, err := e.read()
		if err != nil {
			return nil, err
		}
		if a.Status < http.StatusOK && a.Status != http.StatusSwitchingProtocols {
			continue
		}
		if e.match(a.Header) {
			e.settle(written)
			return a, nil
		}
		if !e.keep {
			break
		}
	}
	return nil, ErrStray
}

// settle keeps the connection only if the whole request was written and
// nothing follows the answer.
func (e *exchange) settle(written <-chan error) {
	select {
	case err := <-written:
		e.keep = e.keep && err == nil && e.c.reader.Buffered() == 0
	default:
		e.keep = false
	}
}

func (e *exchange) read() (*Answer, error) {
	if _, err := e.c.reader.Peek(1); err != nil {
		return nil, err
	}
	e.begun = true
	resp, err := http.ReadResponse(e.c.reader, &http.Request{Method: e.q.Method})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, e.pool.o.Body+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > e.pool.o.Body {
		return nil, ErrSize
	}
	e.keep = !resp.Close
	if k := keepOf(resp.Header.Get("Keep-Alive")); k > 0 {
		e.c.keep = k
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// keepOf reads how long the upstream keeps an idle connection; 0 if it doesn't tell.
func keepOf(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return 0
}

// head returns the request line and the headers. The length is always written
// for a request with a body, so that the message is framed.
func (q *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Path, q.Host)
	_ = q.Header.Write(&b) // a buffer takes every write
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
