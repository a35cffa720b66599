// Package node is the root of the node process: it builds the parts, connects
// them and runs them under a supervisor.
//
// Locks are taken in this order and never the other way round: shell of the
// membership, conf, exit, moves, works, probes, roster, gate. A part that has to tell one
// before it in this order asks roster.refresh, which doesn't block.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/super"
	"github.com/cicadahall/cicadahall/store"
)

// upstreamConnections bounds the idle connections to the upstream; the sizes of
// today have 200 to 250 connections each.
const upstreamConnections = 256

// drainNotice is how long a stopping node still serves callers, answering
// with "Connection: close", so that they go elsewhere before it stops.
const drainNotice = time.Second

// Options configure a Node.
type Options struct {
	Settings *spec.Settings
	// Output writes the log; see event.Output.
	Output func(keyvals ...any) error
	// Version is that of the program, for the log.
	Version string
}

// Node is one running node.
type Node struct {
	o        Options
	settings *spec.Settings
	start    ident.Start
	began    time.Time
	log      *event.Log
	metrics  metrics.Registry
	table    store.Table
	objects  store.Objects
	gate     *gate
	exit     *exit.Exit
	entry    *entry.Entry
	pool     *peer.Pool
	roster   *roster
	conf     *conf
	moves    *moves
	works    *works
	probes   *probes
	ports    []*port
	leaving  atomic.Bool
}

// New builds a node and opens its listeners, so that a port in use is
// reported at the start.
func New(o Options) (*Node, error) {
	s := *o.Settings
	n := &Node{
		o:        o,
		settings: &s,
		start:    ident.Start(rand.Uint64() | 1),
		began:    time.Now(),
		metrics:  metrics.NewRegistry(),
		pool:     peer.NewPool(peer.Options{Body: int64(s.Limits.Body)}),
	}
	level, _ := event.ParseLevel(string(s.Log))
	n.log = event.New(event.Options{Node: s.Node, Start: n.start, Level: level, Output: o.Output})
	table := &watch{name: s.Platform.Table, emit: n.log.Emit}
	n.table = table.table(plat.NewTable(s.Platform.Table))
	objects := &watch{name: s.Platform.Objects, emit: n.log.Emit}
	n.objects = objects.objects(plat.NewObjects(s.Platform.Objects))
	n.gate = newGate(n.log.Emit)
	n.moves = newMoves(n)
	n.works = newWorks(n)
	n.probes = newProbes(n)
	n.conf = newConf(n)
	n.roster = newRoster(n)
	n.exit = n.newExit()
	n.entry = n.newEntry()
	n.register()
	if err := n.open(); err != nil {
		n.exit.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) newExit() *exit.Exit {
	s := n.settings
	return exit.New(exit.Options{
		Start:       n.start,
		Node:        s.Node,
		Body:        int64(s.Limits.Body),
		Queue:       s.Limits.Queue,
		Connections: upstreamConnections,
		Admits:      func(now time.Time) bool { return n.gate.admits(s.Domain, now) },
		Serves:      n.moves.serves,
		Emit:        n.log.Emit,
		Count:       n.count,
		Changed:     n.roster.refresh,
	})
}

// count takes every request that has ended at the exit.
func (n *Node) count(x exit.Run) {
	n.measure(x)
	n.works.record(x)
	n.moves.observe(x)
	n.probes.traffic(x)
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
		Cohort:   n.moves.cohort,
		Peers: entry.Peers{
			Call:     n.pool.Call,
			Resolve:  n.pool.Resolve,
			Distrust: n.pool.Distrust,
		},
		Local: entry.Local{Call: n.exit.Call, Resolve: n.exit.Resolve},
		Emit:  n.log.Emit,
	})
}

// closing asks callers to use another node once this one is stopping.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then drains and closes the node.
func (n *Node) Run(ctx context.Context) error {
	n.log.Emit(event.NodeStarted,
		event.F(event.Version, n.o.Version),
		event.F(event.Domain, n.settings.Domain),
		event.F(event.Address, n.settings.Listen.Peers))
	children := []super.Child{
		{Name: "members", Run: n.roster.Run},
		{Name: "config", Run: n.conf.Run},
		{Name: "moves", Run: n.moves.Run},
		{Name: "works", Run: n.works.Run},
		{Name: "probes", Run: n.probes.Run},
	}
	for _, p := range n.ports {
		children = append(children, super.Child{Name: p.name, Run: p.Run})
	}
	s := super.New(super.Options{Children: children, Emit: n.log.Emit})
	select {
	case <-s.Ready():
		n.log.Emit(event.NodeReady, event.F(event.Elapsed, time.Since(n.began)))
	case <-s.Done():
	case <-ctx.Done():
	}
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	return n.close(context.WithoutCancel(ctx), s)
}

// close drains the node. The order matters: first nobody chooses this node any
// more, then running work ends, then the listeners close, callers' first.
func (n *Node) close(ctx context.Context, s *super.Supervisor) error {
	began := time.Now()
	limit, cancel := context.WithTimeout(ctx, n.settings.Drain)
	defer cancel()
	n.log.Emit(event.NodeDraining, event.F(event.Reason, "signal"), event.F(event.Count, n.exit.Running()))
	n.leaving.Store(true)
	n.roster.leave()
	mono.Sleep(limit, drainNotice)
	cut := n.exit.Drain(limit)
	n.works.finish(limit)
	err := s.Close()
	n.entry.Close()
	n.exit.Close()
	n.pool.Close()
	n.log.Emit(event.NodeStopped, event.F(event.Elapsed, time.Since(began)), event.F(event.Count, cut))
	if cut > 0 {
		err = errors.Join(err, errCut)
	}
	return err
}

// errCut reports running requests that didn't end within the drain time.
var errCut = errors.New("running requests were cut at the end of the drain time")
