// Package node is the root of the node process: it builds the parts, connects
// them and closes them in reverse order.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// headerLimit bounds the time in which a client sends its headers, and
	// bodyLimit the time for the whole request, so that slow clients hold no
	// place for long.
	headerLimit = 5 * time.Second
	bodyLimit   = 30 * time.Second
	// idleLimit closes idle connections of callers.
	idleLimit = 2 * time.Minute
	// maxHeader bounds a request's headers in bytes.
	maxHeader = 64 << 10
)

// Node is one running node.
type Node struct {
	settings *spec.Settings
	start    ident.Start
	log      *event.Log
	table    store.Table
	objects  store.Objects
	exit     *exit.Exit
	entry    *entry.Entry
	pool     *peer.Pool
	gate     *gate
	roster   *roster
	conf     *conf

	listeners []net.Listener
	servers   []*http.Server
}

// New builds a node and opens its listeners.
func New(s *spec.Settings, output func(keyvals ...any) error) (*Node, error) {
	n := &Node{
		settings: s,
		start:    ident.Start(rand.Uint64() | 1),
		table:    plat.NewTable(s.Platform.Table),
		objects:  plat.NewObjects(s.Platform.Objects),
		pool:     peer.NewPool(peer.Options{Body: int64(s.Limits.Body)}),
	}
	level, _ := event.ParseLevel(string(s.Log))
	n.log = event.New(event.Options{Node: s.Node, Start: n.start, Level: level, Output: output})
	n.gate = newGate(n.log.Emit)
	n.exit = exit.New(exit.Options{
		Start:       n.start,
		Node:        s.Node,
		Body:        int64(s.Limits.Body),
		Queue:       s.Limits.Queue,
		Connections: s.Limits.Queue,
		Admits:      func(now time.Time) bool { return n.gate.admits(s.Domain, now) },
		Emit:        n.log.Emit,
		Count:       func(exit.Run) {},
		Changed:     n.announce,
	})
	n.entry = n.newEntry()
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Node:     n.settings.Node,
		Domain:   n.settings.Domain,
		Region:   n.settings.Region,
		Body:     int64(n.settings.Limits.Body),
		Inflight: n.settings.Limits.Inflight,
		Rand:     rand.Uint64,
		Weight:   n.gate.weight,
		Cohort:   func(ident.Service, uint64, time.Time) ident.Version { return "" },
		Peers: entry.Peers{
			Call:     n.pool.Call,
			Resolve:  n.pool.Resolve,
			Distrust: n.pool.Distrust,
		},
		Local: entry.Local{Call: n.exit.Call, Resolve: n.exit.Resolve},
		Emit:  n.log.Emit,
	})
}

// listen opens all listeners, so that a port in use is reported at the start.
// Port 0 in the settings is replaced by the port that the system has chosen.
func (n *Node) listen() error {
	l := &n.settings.Listen
	plan := []struct {
		address *string
		server  *http.Server
	}{
		{&l.Peers, peer.NewServer(&handler{n: n}, peer.Options{Body: int64(n.settings.Limits.Body)})},
		{&l.Local, server(n.exit.Local())},
		{&l.Admin, server(n.admin())},
		{&l.Callers, server(n.entry)},
	}
	for _, p := range plan {
		s, err := net.Listen("tcp", *p.address)
		if err != nil {
			return oops.With("step", "listen", "peer", *p.address).Wrap(err)
		}
		*p.address = s.Addr().String()
		n.listeners = append(n.listeners, s)
		n.servers = append(n.servers, p.server)
	}
	return nil
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

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// Run serves until ctx ends, then drains and closes the node.
func (n *Node) Run(ctx context.Context) error {
	n.log.Emit(event.NodeStarted, event.F(event.Domain, n.settings.Domain), event.F(event.Address, n.settings.Listen.Peers))
	n.conf = newConf(n)
	n.roster = newRoster(n)
	failed := make(chan error, len(n.servers))
	for i, s := range n.servers {
		go func() { failed <- s.Serve(n.listeners[i]) }()
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	return errors.Join(err, n.close(context.WithoutCancel(ctx)))
}

// close drains the node. The order matters: first nobody chooses this node any
// more, then running work ends, then the listeners close.
func (n *Node) close(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, n.settings.Drain)
	defer cancel()
	n.log.Emit(event.NodeDraining, event.F(event.Reason, "signal"))
	n.roster.leave()
	err := n.exit.Drain(limit)
	for i := len(n.servers) - 1; i >= 0; i-- {
		err = errors.Join(err, n.servers[i].Shutdown(limit))
	}
	n.entry.Close()
	n.exit.Close()
	n.roster.Close()
	n.conf.Close()
	n.pool.Close()
	n.log.Emit(event.NodeStopped)
	return err
}
