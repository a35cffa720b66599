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
	// headerLimit bounds the time in which a client sends its headers, and
	// bodyLimit the time for the whole request, so that slow clients hold no
	// place for long.
	headerLimit = 5 * time.Second
	bodyLimit   = 30 * time.Second
	// idleLimit closes idle connections of clients.
	idleLimit = 2 * time.Minute
	// maxHeader bounds a request's headers in bytes.
	maxHeader = 64 << 10
)

// port is one TCP listener with its server, run as a supervised child.
type port struct {
	name    string
	address string
	limit   time.Duration
	make    func() *http.Server
	// first is the listener that was opened with the node; after a failure
	// the port listens again on the same address.
	first net.Listener
}

// open opens all ports. Port 0 in the settings is replaced by the port that
// the system has chosen. The callers' port is last, so that it closes first.
func (n *Node) open() error {
	l := &n.settings.Listen
	peers := func() *http.Server {
		return peer.NewServer(&handler{n: n}, peer.Options{Body: int64(n.settings.Limits.Body)})
	}
	plan := []struct {
		name    string
		address *string
		make    func() *http.Server
	}{
		{"peers", &l.Peers, peers},
		{"local", &l.Local, func() *http.Server { return server(n.exit.Local()) }},
		{"admin", &l.Admin, func() *http.Server { return server(n.admin()) }},
		{"callers", &l.Callers, func() *http.Server { return server(n.closing(n.entry)) }},
	}
	for _, p := range plan {
		listener, err := net.Listen("tcp", *p.address)
		if err != nil {
			n.closePorts()
			return oops.With("step", "listen", "peer", *p.address).Wrap(err)
		}
		*p.address = listener.Addr().String()
		n.ports = append(n.ports, &port{
			name:    p.name,
			address: *p.address,
			limit:   n.settings.Drain,
			make:    p.make,
			first:   listener,
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
		_ = p.first.Close()
	}
}

func server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       bodyLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeader,
	}
}

// Run serves until ctx ends and then lets requests in flight finish.
func (p *port) Run(ctx context.Context, ready func()) error {
	listener, err := p.listen()
	if err != nil {
		return err
	}
	s := p.make()
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	ready()
	select {
	case err := <-failed:
		return oops.With("step", "serve", "peer", p.address).Wrap(err)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.limit)
	defer cancel()
	if err := s.Shutdown(limit); err != nil {
		return oops.With("step", "shut down", "peer", p.address).Wrap(errors.Join(err, s.Close()))
	}
	return ctx.Err()
}

func (p *port) listen() (net.Listener, error) {
	if l := p.first; l != nil {
		p.first = nil
		return l, nil
	}
	l, err := net.Listen("tcp", p.address)
	return l, oops.With("step", "listen", "peer", p.address).Wrap(err)
}
