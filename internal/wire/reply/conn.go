// Package reply provides connections and transports that read the HTTP/1.1
// responses of upstreams, of other nodes and of the platform. They report as an
// error what net/http takes for a complete response although it isn't one.
package reply

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection of a client. Its Read returns io.EOF only if the peer has
// ended its output, and ErrMalformed for a response whose head has a line that
// begins with white space.
//
// The system reports a reset once, to the Read or the Write that comes first.
// After a Write that failed, it lets Read return io.EOF, which would complete a
// response without a length.
type Conn struct {
	net.Conn

	// mu is held by a Write in progress.
	mu       sync.Mutex
	writeErr error

	headMu sync.Mutex
	head   headScanner
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// ExpectResponse marks the start of a response. Buffered are the bytes after it
// that have been read already.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headScanner{active: true}
	return c.head.scan(buffered)
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. At the end of data it aborts a Write in
// progress, which may be the one that gets the error of a reset.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.headMu.Lock()
	headErr := c.head.scan(b[:n])
	c.headMu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if isConnectionLost(c.writeErr) {
		return n, c.writeErr
	}
	return n, io.EOF
}

// isConnectionLost reports whether a Write failed because the connection was
// lost before the peer had ended its output. EPIPE means that it was lost after
// that.
func isConnectionLost(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
