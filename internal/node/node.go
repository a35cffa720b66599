// Package node assembles the node process: it builds the components, connects
// them and runs them under a supervisor.
//
// Locks are acquired only in this order: the gossip transport, configuration,
// exit, moves, workReporter, probes, roster, gate. A component that has a change
// for one that precedes it in this order calls roster.requestUpdate, which
// doesn't block.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
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

// maxIdleUpstreamConns bounds the idle connections to the upstream. Current
// deployments use 200 to 250 connections per upstream.
const maxIdleUpstreamConns = 256

// drainNotice is how long a stopping node still serves callers, with
// "Connection: close" in its responses, so that they connect to other nodes
// before it stops.
const drainNotice = time.Second

// Options configure a Node.
type Options struct {
	Settings *spec.Settings
	// Output writes the log; see event.Output.
	Output func(keyvals ...any) error
	// Version is the version of the program, for the log.
	Version string
}

// Node is one running node.
type Node struct {
	options       Options
	settings      *spec.Settings
	start         ident.Start
	startTime     time.Time
	log           *event.Log
	metrics       metrics.Registry
	table         store.Table
	objects       store.Objects
	gate          *gate
	exit          *exit.Exit
	entry         *entry.Entry
	pool          *peer.Pool
	roster        *roster
	configuration *configuration
	moves         *moves
	workReporter  *workReporter
	probes        *probes
	ports         []*port
	leaving       atomic.Bool
	drainOnce     sync.Once
}

// New builds a node and opens its listeners, so that a port that is in use is an
// error of New rather than of Run.
func New(o Options) (*Node, error) {
	s := *o.Settings
	n := &Node{
		options:   o,
		settings:  &s,
		start:     ident.Start(rand.Uint64() | 1),
		startTime: time.Now(),
		metrics:   metrics.NewRegistry(),
		pool:      peer.NewPool(peer.Options{MaxBodyBytes: int64(s.Limits.Body)}),
	}
	level, _ := event.ParseLevel(string(s.Log))
	n.log = event.New(event.Options{Node: s.Node, Start: n.start, Level: level, Output: o.Output})
	tableMonitor := &storeMonitor{name: s.Platform.Table, emit: n.log.Emit}
	n.table = tableMonitor.wrapTable(plat.NewTable(s.Platform.Table))
	objectsMonitor := &storeMonitor{name: s.Platform.Objects, emit: n.log.Emit}
	n.objects = objectsMonitor.wrapObjects(plat.NewObjects(s.Platform.Objects))
	n.gate = newGate(n.log.Emit)
	n.moves = newMoves(n)
	n.workReporter = newWorkReporter(n)
	n.probes = newProbes(n)
	n.configuration = newConfiguration(n)
	n.roster = newRoster(n)
	n.exit = n.newExit()
	n.entry = n.newEntry()
	n.registerGauges()
	if err := n.openPorts(); err != nil {
		n.exit.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) newExit() *exit.Exit {
	s := n.settings
	return exit.New(exit.Options{
		Start:            n.start,
		Node:             s.Node,
		MaxBodyBytes:     int64(s.Limits.Body),
		MaxQueued:        s.Limits.Queue,
		MaxIdleConns:     maxIdleUpstreamConns,
		DomainAdmits:     func(now time.Time) bool { return n.gate.admits(s.Domain, now) },
		VersionServes:    n.moves.serves,
		Emit:             n.log.Emit,
		OnRequestEnd:     n.handleRequestEnd,
		OnUpstreamChange: n.roster.requestUpdate,
	})
}

// handleRequestEnd updates metrics, work counters, move evidence and probe state
// for a request that has ended at the exit.
func (n *Node) handleRequestEnd(x exit.RequestResult) {
	n.countRequest(x)
	n.workReporter.record(x)
	n.moves.observe(x)
	n.probes.observeTraffic(x)
}

func (n *Node) newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Node:          n.settings.Node,
		Domain:        n.settings.Domain,
		Region:        n.settings.Region,
		MaxBodyBytes:  int64(n.settings.Limits.Body),
		MaxInflight:   n.settings.Limits.Inflight,
		Rand:          rand.Uint64,
		DomainWeight:  n.gate.weight,
		SelectVersion: n.moves.selectVersion,
		Peers: entry.Peers{
			Call:      n.pool.Call,
			Resolve:   n.pool.Resolve,
			CloseIdle: n.pool.CloseIdle,
		},
		Local: entry.Local{Call: n.exit.Call, Resolve: n.exit.Resolve},
		Emit:  n.log.Emit,
	})
}

// closeConnections adds "Connection: close" to the responses of h once the node
// is stopping.
func (n *Node) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then drains and closes the node. It returns an error
// if running requests were cut off at the end of the drain time.
func (n *Node) Run(ctx context.Context) error {
	n.log.Emit(event.NodeStarted,
		event.NewField(event.Version, n.options.Version),
		event.NewField(event.Domain, n.settings.Domain),
		event.NewField(event.Address, n.settings.Listen.Peers))
	children := []super.Child{
		{Name: "members", Run: n.roster.Run},
		{Name: "config", Run: n.configuration.Run},
		{Name: "moves", Run: n.moves.Run},
		{Name: "works", Run: n.workReporter.Run},
		{Name: "probes", Run: n.probes.Run},
	}
	for _, p := range n.ports {
		children = append(children, super.Child{Name: p.name, Run: p.Run})
	}
	drainCtx := context.WithoutCancel(ctx)
	s := super.New(super.Options{Children: children, Emit: n.log.Emit, BeforeStop: func() { n.drain(drainCtx, "failure") }})
	select {
	case <-s.Ready():
		n.log.Emit(event.NodeReady, event.NewField(event.Elapsed, time.Since(n.startTime)))
	case <-s.Done():
	case <-ctx.Done():
	}
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	return n.close(drainCtx, s)
}

// drain lets the node finish its work; only the first call has an effect. First
// other nodes stop selecting this node, then running requests end. It returns the
// number of requests that are still running.
func (n *Node) drain(ctx context.Context, reason string) int {
	n.drainOnce.Do(func() {
		drainCtx, cancel := context.WithTimeout(ctx, n.settings.Drain)
		defer cancel()
		n.log.Emit(event.NodeDraining, event.NewField(event.Reason, reason), event.NewField(event.Count, n.exit.Running()))
		n.leaving.Store(true)
		n.roster.leave()
		mono.Sleep(drainCtx, drainNotice)
		n.exit.Drain(drainCtx)
		n.workReporter.writeFinal(drainCtx)
	})
	return n.exit.Running()
}

// close drains the node and closes it, the callers' listener first.
func (n *Node) close(ctx context.Context, s *super.Supervisor) error {
	began := time.Now()
	aborted := n.drain(ctx, "signal")
	err := s.Close()
	n.entry.Close()
	n.exit.Close()
	n.pool.Close()
	n.log.Emit(event.NodeStopped, event.NewField(event.Elapsed, time.Since(began)), event.NewField(event.Count, aborted))
	if aborted > 0 {
		err = errors.Join(err, errDrainTimeout)
	}
	return err
}

// errDrainTimeout reports running requests that didn't end within the drain time.
var errDrainTimeout = errors.New("running requests were cut off at the end of the drain time")
