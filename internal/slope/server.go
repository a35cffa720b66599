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

// averagedCalls is the number of calls over which the bytes of one call are
// averaged.
const averagedCalls = 16

// countingServer is an HTTP server on loopback that counts the bytes of its
// connections, including HTTP headers but not TCP and IP headers.
type countingServer struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
	done    chan struct{}
}

func newCountingServer(h http.Handler) (*countingServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("slope").With("step", "listen").Wrap(err)
	}
	s := &countingServer{
		address: l.Addr().String(),
		server:  &http.Server{Handler: h, ReadHeaderTimeout: time.Second},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(&countingListener{Listener: l, bytes: &s.bytes})
	}()
	return s, nil
}

// Close stops the server and waits until it has stopped.
func (s *countingServer) Close() {
	_ = s.server.Close()
	<-s.done
}

// bytesPerCall returns the mean bytes of one call, both ways, on an open
// connection.
func (s *countingServer) bytesPerCall(call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := s.bytes.Load()
	for range averagedCalls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(s.bytes.Load()-before) / averagedCalls, nil
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts received bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedPeer implements the peer service of a node with fixed responses.
type fixedPeer struct {
	wirepb.UnimplementedPeerHandler
	body   *wirepb.BodyResponse
	status *wirepb.StatusResponse
	share  *wirepb.ShareResponse
	call   *wirepb.CallResponse
}

// Call returns p.call.
func (p *fixedPeer) Call(context.Context, *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return p.call, nil
}

// Body returns p.body.
func (p *fixedPeer) Body(context.Context, *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	return p.body, nil
}

// Status returns p.status.
func (p *fixedPeer) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	return p.status, nil
}

// Share returns p.share.
func (p *fixedPeer) Share(context.Context, *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	return p.share, nil
}

// Keep accepts every snapshot.
func (p *fixedPeer) Keep(context.Context, *wirepb.KeepRequest) (*wirepb.KeepResponse, error) {
	return &wirepb.KeepResponse{}, nil
}

// bodyLimit is the default limit in bytes of a message between nodes.
const bodyLimit = 4 << 20

// servePeer starts a server that serves p like the peer port of a node.
func servePeer(p *fixedPeer) (*countingServer, error) {
	return newCountingServer(peer.NewServer(p, peer.Options{MaxBodyBytes: bodyLimit}).Handler)
}

// peerBytes returns the bytes of one call to the node p, both ways.
func peerBytes(p *fixedPeer, call func(wirepb.PeerClient) error) (float64, error) {
	server, err := servePeer(p)
	if err != nil {
		return 0, err
	}
	defer server.Close()
	pool := peer.NewPool(peer.Options{MaxBodyBytes: bodyLimit})
	defer pool.Close()
	return server.bytesPerCall(func() error { return call(pool.ControlClient(server.address)) })
}
