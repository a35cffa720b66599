package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	// headerLimit bounds the time in which a client sends its headers until a
	// configuration names another time.
	headerLimit = 3 * time.Second
	// idleLimit is above the idle time that callers of today use (12 s).
	idleLimit = 30 * time.Second
	// maxHeader bounds a request's headers in bytes.
	maxHeader = 64 << 10
)

// port is one listener with its server, run as a supervised child.
type port struct {
	name    string
	address string
	make    func() *http.Server
	// first is the listener that was opened with the node.
	first net.Listener
	// server is the one that serves now.
	server atomic.Pointer[http.Server]
}

// callersPort is the name of the listener for callers.
const callersPort = "callers"

// drain takes no new connection, closes idle ones and lets requests finish.
func (p *port) drain(ctx context.Context) {
	if s := p.server.Load(); s != nil {
		_ = s.Shutdown(ctx) // what doesn't end in time is counted by the caller
	}
}

func (n *Node) open() error {
	l := n.settings.Listen
	plan := []struct {
		name, address string
		optional      bool
		make          func() *http.Server
	}{
		{"peers", l.Peers, false, func() *http.Server { return peer.NewServer(&handler{n: n}, peer.Options{Body: maxBody}) }},
		{"admin", l.Admin, true, func() *http.Server { return server(n.admin()) }},
		{"beats", l.Beats, false, func() *http.Server { return server(platform.BeatHandler(n.upstream.heard, n.upstream.left)) }},
		{"ready", l.Ready, false, func() *http.Server { return server(platform.ReadyHandler(n.ready)) }},
		{callersPort, l.Callers, false, func() *http.Server { return server(n.front) }},
	}
	for _, p := range plan {
		if p.address == "" && p.optional {
			continue
		}
		listener, err := net.Listen("tcp", p.address)
		if err != nil && p.optional {
			// The port of the metrics is fixed in the deploy file and may be
			// taken; a node without metrics still serves.
			n.log.Emit(event.PortMissing, event.F(event.Address, p.address), event.F(event.Error, err))
			continue
		}
		if err != nil {
			for _, open := range n.ports {
				_ = open.first.Close()
			}
			return oops.With("step", "listen", "peer", p.address).Wrap(err)
		}
		n.ports = append(n.ports, &port{name: p.name, address: p.address, make: p.make, first: listener})
	}
	return nil
}

func server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeader,
	}
}

// Run serves until ctx ends.
func (p *port) Run(ctx context.Context, ready func()) error {
	listener := p.first
	p.first = nil
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", p.address); err != nil {
			return oops.With("step", "listen", "peer", p.address).Wrap(err)
		}
	}
	s := p.make()
	p.server.Store(s)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(listener) }()
	ready()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return ctx.Err()
		}
		return oops.With("step", "serve", "peer", p.address).Wrap(err)
	case <-ctx.Done():
	}
	return errors.Join(ctx.Err(), s.Close())
}
