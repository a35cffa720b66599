package accept

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/internal/control/intake"
)

// ListenPlain wraps a listener whose connections are counted only: net/http bounds
// their heads and their time-outs. The server's ConnState function is
// g.RecordState.
func (g *Gate) ListenPlain(l net.Listener) net.Listener { return plainListener{Listener: l, gate: g} }

type plainListener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room.
func (l plainListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		tcp, ok := nc.(*net.TCPConn)
		if err != nil || !ok {
			return nc, err
		}
		c := &plainConn{TCPConn: tcp, gate: l.gate}
		if l.gate.add(c, tcp, connBytes) {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// plainConn is a connection whose requests aren't followed.
type plainConn struct {
	*net.TCPConn
	gate *Gate
	id   intake.ID
	once sync.Once
}

func (c *plainConn) setID(id intake.ID) { c.id = id }

func (c *plainConn) recordState(s http.ConnState) {
	switch s {
	case http.StateActive:
		if !c.gate.move(c.id, 0, true, intake.Running) {
			_ = c.SetDeadline(time.Unix(1, 0)) // it has been closed for another one
		}
	case http.StateIdle:
		c.gate.move(c.id, 0, true, intake.Idle)
	default:
	}
}

// Close closes the connection.
func (c *plainConn) Close() error {
	c.once.Do(func() { c.gate.remove(c.id) })
	return c.TCPConn.Close()
}
