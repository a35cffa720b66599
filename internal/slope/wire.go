package slope

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// wireCalls is the number of calls over which the bytes of one are averaged.
const wireCalls = 16

// wire is a server on loopback that counts the bytes of its connections: what
// HTTP adds to a message is counted, TCP and IP headers are not.
type wire struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
	done    chan struct{}
}

func newWire(h http.Handler) (*wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("slope").With("step", "listen").Wrap(err)
	}
	w := &wire{
		address: l.Addr().String(),
		server:  &http.Server{Handler: h, ReadHeaderTimeout: time.Second},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		_ = w.server.Serve(&countedListener{Listener: l, bytes: &w.bytes})
	}()
	return w, nil
}

// Close ends the server and waits for it.
func (w *wire) Close() {
	_ = w.server.Close()
	<-w.done
}

// perCall returns the bytes of one call, both ways, on an open connection.
func (w *wire) perCall(call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := w.bytes.Load()
	for range wireCalls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()-before) / wireCalls, nil
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection with its bytes counted.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts received bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedPeer is a node that gives fixed answers.
type fixedPeer struct {
	wirepb.UnimplementedPeerHandler
	body   *wirepb.BodyResponse
	status *wirepb.StatusResponse
	share  *wirepb.ShareResponse
	call   *wirepb.CallResponse
}

// Call answers with the body of an upstream.
func (p *fixedPeer) Call(context.Context, *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return p.call, nil
}

// Body answers with a manifest body.
func (p *fixedPeer) Body(context.Context, *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	return p.body, nil
}

// Status answers with the members.
func (p *fixedPeer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	return p.status, nil
}

// Share answers with evidence.
func (p *fixedPeer) Share(context.Context, *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	return p.share, nil
}

// Keep takes every snapshot.
func (p *fixedPeer) Keep(context.Context, *wirepb.KeepRequest) (*wirepb.KeepResponse, error) {
	return &wirepb.KeepResponse{}, nil
}

// bodyLimit is the largest message between nodes by default.
const bodyLimit = 4 << 20

// servePeer serves a node's peer port.
func servePeer(p *fixedPeer) (*wire, error) {
	return newWire(peer.NewServer(p, peer.Options{Body: bodyLimit}).Handler)
}

// peerBytes returns the bytes of one call between two nodes, both ways.
func peerBytes(p *fixedPeer, call func(wirepb.PeerClient) error) (float64, error) {
	w, err := servePeer(p)
	if err != nil {
		return 0, err
	}
	defer w.Close()
	pool := peer.NewPool(peer.Options{Body: bodyLimit})
	defer pool.Close()
	return w.perCall(func() error { return call(pool.Client(w.address)) })
}
