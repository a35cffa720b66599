package accept

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/internal/control/intake"
)

const (
	// unreadTimeout bounds the time in which a caller reads nothing of a response.
	// At 417 bytes/s the system takes more of it every 13 s at its smallest buffer.
	unreadTimeout = time.Minute
	// lingerTimeout is the longest time that a closed connection waits for the
	// caller to read the last response and to close it, too.
	lingerTimeout = 2 * time.Second
)

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	gate      *Gate
	id        intake.ID
	deadlines deadlines
	once      sync.Once

	// The following are used by the goroutine that serves the connection, or by the
	// one that reads ahead for it.
	framer intake.Framer
	// ready holds the rest of a complete head, extra the bytes after it that were
	// read too early, and given counts the bytes of an incomplete head that
	// net/http has got.
	ready, extra []byte
	given        int
	// broken is an error found while a request ran, which ends the connection
	// after that request.
	broken error
	// writeDeadline is the deadline that net/http has set for writes.
	writeDeadline time.Time
	// windowEnd is the end of the current window of the pace, received the bytes
	// in it.
	windowEnd time.Time
	received  int
	limits    Limits

	mu sync.Mutex
	// active is set as http.StateActive, and started while a head is incomplete.
	active, started bool
}

// Read returns bytes of a complete head or of a body.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if len(c.ready) == 0 && c.framer.InHead() {
		if len(p) == 1 {
			return c.readAhead(p)
		}
		if c.broken != nil {
			return 0, c.reject(c.broken)
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if n := copy(p, c.ready); n > 0 {
		if c.ready = c.ready[n:]; len(c.ready) == 0 {
			c.ready = nil
		}
		return n, nil
	}
	return c.readBody(p)
}

// readAhead reads one byte while a request runs, by which net/http notices that
// the caller has closed the connection. An error would cancel the request, so it is
// returned by the next read.
func (c *conn) readAhead(p []byte) (int, error) {
	for {
		n, err := c.readRaw(p)
		if n == 0 {
			return n, err
		}
		before := c.framer.Buffered()
		_, _, c.broken = c.framer.Head(p, c.gate.options.Limits().HeadBytes)
		if c.broken != nil {
			return n, nil
		}
		if c.framer.Buffered() > before {
			c.given++
			return n, nil
		}
	}
}

// readHead reads until a head is complete. Its time-out begins with its first
// byte.
func (c *conn) readHead() error {
	c.limits = c.gate.options.Limits()
	buffer := make([]byte, headPiece)
	for {
		b := buffer[:max(1, min(len(buffer), c.framer.HeadRoom(c.limits.HeadBytes)))]
		n, err := c.readRaw(b)
		if n == 0 {
			return c.headError(err)
		}
		if !c.start() || !c.gate.move(c.id, n, false, 0) {
			return errEvicted
		}
		used, info, err := c.framer.Head(b[:n], c.limits.HeadBytes)
		if err != nil {
			return c.reject(err)
		}
		if info != nil {
			c.unread(b[used:n])
			return c.endHead(info)
		}
	}
}

// headPiece is how much of a head is read at a time.
const headPiece = 1 << 10

// errEvicted ends a connection without a response: net/http doesn't answer a
// connection whose time is up.
var errEvicted = os.ErrDeadlineExceeded

// headError returns the error of a read that ended before a head was complete.
func (c *conn) headError(err error) error {
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	if started && errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.note("late", HeadLate)
		return errEvicted
	}
	return err
}

// start begins a head, unless that has happened, and reports whether there is
// room for it.
func (c *conn) start() bool {
	c.mu.Lock()
	started, active := c.started, c.active
	c.started = true
	c.mu.Unlock()
	if started {
		return true
	}
	if !c.gate.charge(c.id, c.gate.headCharge(c.limits)) {
		c.gate.note("refused", Full)
		return false
	}
	// A connection on which a request runs isn't closed for another one.
	if !active && !c.gate.move(c.id, 0, true, intake.Head) {
		return false
	}
	c.deadlines.setOwn(c.TCPConn, time.Now().Add(c.limits.HeadTimeout))
	return true
}

// endHead hands a complete head to net/http.
func (c *conn) endHead(info *intake.HeadInfo) error {
	c.mu.Lock()
	c.started = false
	active := c.active
	c.mu.Unlock()
	c.ready, c.given = info.Bytes[c.given:], 0
	state, charge := intake.Running, connBytes+max(intake.Bytes(len(info.Bytes)), intake.Bytes(info.Lines)*lineBytes)+intake.Bytes(len(c.extra))
	if !c.framer.InHead() {
		if !active {
			state = intake.Body
		}
		c.windowEnd, c.received = time.Now().Add(c.limits.HeadTimeout), c.limits.PaceBytes
	}
	c.deadlines.setOwn(c.TCPConn, c.windowEnd)
	if !c.gate.charge(c.id, charge) {
		if !active {
			_, _ = c.Write([]byte(refusal)) // an error means that the caller has disconnected
		}
		c.gate.note("refused", Full)
		return errEvicted
	}
	if !c.gate.move(c.id, 0, true, state) {
		return errEvicted
	}
	if state == intake.Body {
		c.gate.setBody(c.id, c.framer.BodyLength())
	}
	return nil
}

// readBody reads a part of a body.
func (c *conn) readBody(p []byte) (int, error) {
	for {
		p = p[:c.framer.Most(len(p))]
		n, err := c.readRaw(p)
		if n == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) && c.keepsPace() {
				continue
			}
			return 0, err
		}
		used, err := c.framer.Body(p[:n])
		if err != nil {
			return 0, c.reject(err)
		}
		c.received += used
		c.unread(p[used:n])
		ended := c.framer.InHead()
		if !c.gate.move(c.id, used, ended, intake.Running) {
			return 0, errEvicted
		}
		if ended {
			c.windowEnd = time.Time{}
			c.deadlines.setOwn(c.TCPConn, c.windowEnd)
		} else if !time.Now().Before(c.windowEnd) && !c.keepsPace() {
			return 0, os.ErrDeadlineExceeded
		}
		return used, nil
	}
}

// keepsPace begins the next window of the pace, if the current one has ended and
// the body has kept the pace in it.
func (c *conn) keepsPace() bool {
	now := time.Now()
	if now.Before(c.windowEnd) {
		return false // the deadline of net/http
	}
	if c.received < c.limits.PaceBytes {
		c.gate.note("late", BodyPace)
		return false
	}
	c.windowEnd, c.received = now.Add(c.limits.PaceWindow), 0
	c.deadlines.setOwn(c.TCPConn, c.windowEnd)
	return true
}

// readRaw reads bytes that were read too early, or from the connection.
func (c *conn) readRaw(p []byte) (int, error) {
	if n := copy(p, c.extra); n > 0 {
		if c.extra = c.extra[n:]; len(c.extra) == 0 {
			c.extra = nil
		}
		return n, nil
	}
	return c.TCPConn.Read(p)
}

// unread puts back bytes that were read too early.
func (c *conn) unread(b []byte) {
	if len(b) > 0 {
		c.extra = append(append(make([]byte, 0, len(b)+len(c.extra)), b...), c.extra...)
	}
}

const (
	tooLarge   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	badRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusal    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 0.100\r\n\r\n"
)

// reject answers a head that isn't handed to net/http, or ends a body.
func (c *conn) reject(err error) error {
	answer, status, reason := badRequest, http.StatusBadRequest, Framing
	switch {
	case errors.Is(err, intake.ErrHeadTooLarge):
		answer, status, reason = tooLarge, http.StatusRequestHeaderFieldsTooLarge, HeadSize
	case errors.Is(err, intake.ErrEmptyLines):
		reason = EmptyLines
	}
	c.gate.note("rejected", reason)
	c.mu.Lock()
	active := c.active
	c.mu.Unlock()
	if active {
		return invalidInput{err, status} // the server answers it after the requests that run
	}
	_, _ = c.Write([]byte(answer)) // an error means that the caller has disconnected
	return errEvicted
}

// invalidInput is a pipe.StatusError.
type invalidInput struct {
	error
	status int
}

func (e invalidInput) Status() int   { return e.status }
func (e invalidInput) Unwrap() error { return e.error }

func (c *conn) setID(id intake.ID) { c.id = id }

func (c *conn) recordState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gate
	if active := s == http.StateActive; active != c.active {
		c.active = active
		g.mu.Lock()
		if active {
			g.active++
		} else {
			g.active--
		}
		g.mu.Unlock()
	}
	if s != http.StateIdle || c.started {
		return // the time-out and the charge of an incomplete head stay
	}
	c.deadlines.setOwn(c.TCPConn, time.Now().Add(g.options.Limits().IdleTimeout))
	g.charge(c.id, connBytes)
	g.move(c.id, 0, true, intake.Idle)
}

// SetReadDeadline sets the deadline of net/http.
func (c *conn) SetReadDeadline(t time.Time) error { return c.deadlines.setOuter(c.TCPConn, t) }

// SetDeadline sets the deadlines of net/http.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// writePiece is the size of the pieces of a response between which its progress is
// recorded.
const writePiece = 64 << 10

// Write sends a response. Without a deadline of net/http, it ends if the caller reads
// nothing for unreadTimeout.
func (c *conn) Write(p []byte) (int, error) {
	c.gate.startWriting(c.id)
	written := 0
	for {
		if c.writeDeadline.IsZero() {
			_ = c.TCPConn.SetWriteDeadline(time.Now().Add(unreadTimeout)) // an error means that the connection is closed
		}
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.gate.move(c.id, n, false, 0)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline sets the deadline of net/http.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.TCPConn.SetWriteDeadline(t)
}

// Close ends the output and closes the connection once the caller has closed it,
// too, or lingerTimeout has passed. The system resets a connection that is closed
// with unread input, which discards what is still on its way to the caller. The
// input of a caller that sends requests without waiting for the responses is
// therefore read to its end.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		if err = c.CloseWrite(); err != nil {
			c.gate.remove(c.id)
			err = c.TCPConn.Close()
			return
		}
		if !c.gate.move(c.id, 0, true, intake.Lingering) {
			err = c.TCPConn.Close()
			return
		}
		go func() {
			defer c.gate.remove(c.id)
			defer func() { _ = c.TCPConn.Close() }()
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
			// An error means that the connection has ended.
			_, _ = io.Copy(io.Discard, c.TCPConn)
		}()
	})
	return err
}

// deadlines is the earlier one of the deadline that net/http sets for reads and of
// the connection's own.
type deadlines struct {
	mu         sync.Mutex
	outer, own time.Time
}

func (d *deadlines) setOuter(c *net.TCPConn, t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outer = t
	return d.apply(c)
}

func (d *deadlines) setOwn(c *net.TCPConn, t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = t
	_ = d.apply(c) // an error means that the connection is closed
}

func (d *deadlines) apply(c *net.TCPConn) error {
	t := d.outer
	if t.IsZero() || !d.own.IsZero() && d.own.Before(t) {
		t = d.own
	}
	return c.SetReadDeadline(t)
}
