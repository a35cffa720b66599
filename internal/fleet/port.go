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
	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wire/accept"
	"github.com/cicadahall/cicadahall/internal/wire/pipe"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	// readHeaderTimeout bounds the time that a client takes to send its
	// headers.
	readHeaderTimeout = 3 * time.Second
	// idleTimeout is longer than the idle timeout that callers use (12 s), so
	// that callers close idle connections first.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
)

// port is a listener with its HTTP server, run as a supervised child.
type port struct {
	name      string
	address   string
	newServer func(state connState) httpServer
	gate      *accept.Gate
	// wrap returns the listener to serve.
	wrap func(net.Listener) net.Listener
	// initial is the listener opened by New; it is nil after the first Run.
	initial net.Listener
	// listener is that of the latest Run, and stopped is set once it is closed on
	// purpose.
	listener atomic.Pointer[net.Listener]
	stopped  atomic.Bool
}

// connState is the ConnState function of a server.
type connState func(net.Conn, http.ConnState)

// httpServer serves the connections of a listener.
type httpServer struct {
	serve func(net.Listener) error
	close func() error
}

func serverOf(s *http.Server, state connState) httpServer {
	s.ConnState = state
	return httpServer{serve: s.Serve, close: s.Close}
}

// callersPort and peersPort are the names of the ports for callers and for other
// nodes.
const (
	callersPort = "callers"
	peersPort   = "peers"
)

// stopListening closes the listener. Requests on open connections are served
// until the end of Run.
func (p *port) stopListening() {
	p.stopped.Store(true)
	if l := p.listener.Load(); l != nil {
		_ = (*l).Close()
	}
}

func (n *Node) openPorts() error {
	l := n.settings.Listen
	configs := []struct {
		name, address string
		optional      bool
		newServer     func(state connState) httpServer
	}{
		{peersPort, l.Peers, false, func(state connState) httpServer {
			return serverOf(peer.NewServer(&handler{node: n}, peer.Options{MaxBodyBytes: maxBodyBytes, Quota: n.quota}), state)
		}},
		{"admin", l.Admin, true, func(state connState) httpServer { return serverOf(newHTTPServer(n.adminHandler()), state) }},
		{"beats", l.Beats, false, func(state connState) httpServer {
			return serverOf(newHTTPServer(platform.HeartbeatHandler(platform.HeartbeatHandlers{
				OnHeartbeat: n.upstream.handleBeat,
				OnDeparture: n.upstream.handleDeparture,
				OnInvalid:   n.upstream.rejectMessage,
			})), state)
		}},
		{"ready", l.Ready, false, func(state connState) httpServer {
			return serverOf(newHTTPServer(platform.ReadyHandler(n.ready)), state)
		}},
		{callersPort, l.Callers, false, n.newCallersServer},
	}
	for _, p := range configs {
		if p.address == "" && p.optional {
			continue
		}
		listener, err := conns.Listen("tcp", p.address)
		if err != nil && p.optional {
			// The deploy file fixes the port of the metrics, which may be
			// taken; a node without metrics can still serve.
			n.log.Emit(event.PortMissing, event.NewField(event.Address, p.address), event.NewField(event.Error, err))
			continue
		}
		if err != nil {
			for _, open := range n.ports {
				_ = open.initial.Close()
			}
			return oops.With("step", "listen", "peer", p.address).Wrap(err)
		}
		gate := n.newGate(p.name, p.address)
		opened := &port{name: p.name, address: p.address, gate: gate, newServer: p.newServer, initial: listener, wrap: gate.ListenPlain}
		if p.name == callersPort {
			n.callers, opened.wrap = gate, gate.Listen
		}
		n.ports = append(n.ports, opened)
	}
	return nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// newCallersServer returns the server of the callers' port. The requests of one
// connection run one after the other unless the settings allow more.
func (n *Node) newCallersServer(state connState) httpServer {
	// The gate sets the limits and the time-outs of the configuration.
	if n.settings.Pipelined <= 1 {
		return serverOf(&http.Server{Handler: n.frontend, MaxHeaderBytes: maxCallerHeaderBytes}, state)
	}
	s := &pipe.Server{Handler: n.frontend, ConnState: state, MaxHeaderBytes: maxCallerHeaderBytes, MaxConcurrent: n.settings.Pipelined}
	return httpServer{serve: s.Serve, close: s.Close}
}

// Run serves until ctx ends.
func (p *port) Run(ctx context.Context, ready func()) error {
	listener := p.initial
	p.initial = nil
	if listener == nil {
		var err error
		if listener, err = conns.Listen("tcp", p.address); err != nil {
			return oops.With("step", "listen", "peer", p.address).Wrap(err)
		}
	}
	s := p.newServer(p.gate.RecordState)
	p.listener.Store(&listener)
	listener = p.wrap(listener)
	failed := make(chan error, 1)
	go func() { failed <- s.serve(listener) }()
	ready()
	select {
	case err := <-failed:
		if !p.stopped.Load() {
			return oops.With("step", "serve", "peer", p.address).Wrap(err)
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return errors.Join(ctx.Err(), s.close())
}
