package fleet

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lingerTimeout is the longest time that a closed connection waits for the caller
// to read the last response and to close it, too.
const lingerTimeout = 2 * time.Second

// callerConns tracks the connections on which a request is being read, run or
// answered, or the last response may still be on its way. A response is written
// to its connection only after its handler has returned.
type callerConns struct {
	mu        sync.Mutex
	active    map[net.Conn]bool
	lingering int
}

// recordState is the ConnState function of a server.
func (cc *callerConns) recordState(c net.Conn, s http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if s != http.StateActive {
		delete(cc.active, c)
		return
	}
	if cc.active == nil {
		cc.active = map[net.Conn]bool{}
	}
	cc.active[c] = true
}

// count returns the number of tracked connections.
func (cc *callerConns) count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.active) + cc.lingering
}

func (cc *callerConns) addLingering(n int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.lingering += n
}

// listen wraps a listener so that its connections linger.
func (cc *callerConns) listen(l net.Listener) net.Listener {
	return lingerListener{Listener: l, conns: cc}
}

type lingerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return &lingerConn{TCPConn: tcp, conns: l.conns}, nil
	}
	return c, err
}

// lingerConn is a connection of a caller. The system resets a connection that is
// closed with unread input, which discards what is still on its way to the
// caller. The input of a caller that sends requests without waiting for the
// responses is therefore read to its end.
type lingerConn struct {
	*net.TCPConn
	conns *callerConns
	once  sync.Once
}

// Close ends the output and closes the connection once the caller has closed it,
// too, or lingerTimeout has passed.
func (c *lingerConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		if err = c.CloseWrite(); err != nil {
			err = c.TCPConn.Close()
			return
		}
		c.conns.addLingering(1)
		go func() {
			defer c.conns.addLingering(-1)
			defer func() { _ = c.TCPConn.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
			// An error means that the connection has ended.
			_, _ = io.Copy(io.Discard, c.TCPConn)
		}()
	})
	return err
}
