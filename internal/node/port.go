package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
)

const (
	// headerTimeout bounds the time in which a client sends its headers, and
	// requestTimeout the time for the whole request, so that slow clients don't
	// occupy connections for long.
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle client connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// port is one TCP listener with its server, run as a supervised child.
type port struct {
	name         string
	address      string
	drainTimeout time.Duration
	newServer    func() *http.Server
	// initial is the listener opened by New, until Run uses it. After a failure
	// the port listens again on the same address.
	initial net.Listener
}

// openPorts opens all ports. It replaces port 0 in the settings by the port that
// the operating system has chosen. The callers' port is last, so that it closes
// first.
func (n *Node) openPorts() error {
	l := &n.settings.Listen
	peers := func() *http.Server {
		return peer.NewServer(&handler{n: n}, peer.Options{MaxBodyBytes: int64(n.settings.Limits.Body)})
	}
	specs := []struct {
		name      string
		address   *string
		newServer func() *http.Server
	}{
		{"peers", &l.Peers, peers},
		{"local", &l.Local, func() *http.Server { return newServer(n.exit.LocalHandler()) }},
		{"admin", &l.Admin, func() *http.Server { return newServer(n.adminHandler()) }},
		{"callers", &l.Callers, func() *http.Server { return newServer(n.closeConnections(n.entry)) }},
	}
	for _, p := range specs {
		listener, err := net.Listen("tcp", *p.address)
		if err != nil {
			n.closePorts()
			return oops.With("step", "listen", "peer", *p.address).Wrap(err)
		}
		*p.address = listener.Addr().String()
		n.ports = append(n.ports, &port{
			name:         p.name,
			address:      *p.address,
			drainTimeout: n.settings.Drain,
			newServer:    p.newServer,
			initial:      listener,
		})
	}
	return nil
}

// Listen returns the addresses that the node listens on.
func (n *Node) Listen() spec.Listen {
	return n.settings.Listen
}

func (n *Node) closePorts() {
	for _, p := range n.ports {
		_ = p.initial.Close()
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Run serves until ctx ends and then waits up to drainTimeout for requests in
// flight.
func (p *port) Run(ctx context.Context, ready func()) error {
	listener, err := p.listen()
	if err != nil {
		return err
	}
	s := p.newServer()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	ready()
	select {
	case err := <-failed:
		return oops.With("step", "serve", "peer", p.address).Wrap(err)
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.drainTimeout)
	defer cancel()
	if err := s.Shutdown(drainCtx); err != nil {
		return oops.With("step", "shut down", "peer", p.address).Wrap(errors.Join(err, s.Close()))
	}
	return ctx.Err()
}

func (p *port) listen() (net.Listener, error) {
	if l := p.initial; l != nil {
		p.initial = nil
		return l, nil
	}
	l, err := net.Listen("tcp", p.address)
	return l, oops.With("step", "listen", "peer", p.address).Wrap(err)
}
