// Package fleet is the root of a node on the users' platform: it connects
// entry, exit, membership and version moves with the platform's store, with the
// heartbeats of the upstream beside the node and with its callers.
//
// Invariants: nothing that touches a request waits for the store; what the
// upstream tells binds this node's exit before it is acknowledged; no decision
// rests on the time of day.
//
// Locks are taken in this order: shell of the membership, exit, orders, moves,
// roster, watcher, entry.
package fleet

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/admin"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/super"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/retry"
)

const (
	// maxBody bounds a message between nodes in bytes; it is the largest body
	// that a configuration of today allows.
	maxBody = 64 << 20
	// maxInflight bounds the requests at the entry.
	maxInflight = 4096
	// heartbeats is the number of missed heartbeats after which an upstream
	// counts as gone. A heartbeat may be several seconds late; a broken
	// connection tells earlier.
	heartbeats = 8
)

// Options configure a Node.
type Options struct {
	Settings *spec.Side
	// Reload returns the settings as they are now.
	Reload func() (*spec.Side, error)
	// Log takes the lines of the log; nil drops them.
	Log io.Writer
	// Version is that of the program, for the log.
	Version string
}

// Node is one running node.
type Node struct {
	o        Options
	settings *spec.Side
	start    ident.Start
	began    time.Time
	log      *event.Log
	lines    *event.Queue
	metrics  metrics.Registry
	store    *platform.Store
	exit     *exit.Exit
	entry    *entry.Entry
	pool     *peer.Pool
	roster   *roster
	orders   *orders
	watch    *watcher
	moves    *moves
	upstream *upstream
	front    *front
	ports    []*port
	leaving  atomic.Bool
}

// New builds a node and opens its listeners, so that a port in use is reported
// at the start.
func New(o Options) (*Node, error) {
	n := &Node{
		o:        o,
		settings: o.Settings,
		start:    ident.Start(rand.Uint64() | 1),
		began:    time.Now(),
		metrics:  metrics.NewRegistry(),
		pool:     peer.NewPool(peer.Options{Body: maxBody}),
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	n.lines = event.NewQueue(o.Log, n.dropped)
	level, _ := event.ParseLevel(string(o.Settings.Log))
	n.log = event.New(event.Options{Node: o.Settings.Node, Start: n.start, Level: level, Output: event.Output(n.lines), Size: ringSize})
	n.store = platform.NewStore(o.Settings.Store.Address, n.countStore)
	n.moves = newMoves(n)
	n.watch = newWatcher(n)
	n.orders = newOrders(n)
	n.roster = newRoster(n)
	n.upstream = newUpstream(n)
	n.exit = n.newExit()
	n.entry = n.newEntry()
	n.front = newFront(n)
	if err := n.open(); err != nil {
		n.exit.Close()
		return nil, errors.Join(err, n.lines.Close())
	}
	return n, nil
}

// ringSize is the number of events kept for the admin interface; at 200 bytes
// each they take 100 KB of a node's memory.
const ringSize = 512

func (n *Node) newExit() *exit.Exit {
	return exit.New(exit.Options{
		Start:     n.start,
		Node:      n.settings.Node,
		Body:      maxBody,
		Reports:   true,
		Heartbeat: heartbeats * n.settings.Heartbeat,
		Send:      n.upstream.send,
		Admits:    func(time.Time) bool { return !n.orders.evacuated(n.settings.Domain) },
		Serves:    n.moves.serves,
		Emit:      n.log.Emit,
		Count:     n.count,
		Changed:   n.roster.refresh,
	})
}

// budgetShare of the ratio of repeats is spent, since nodes count only their
// own and calls of repeated requests count as repeats, too.
const budgetShare = 0.5

func (n *Node) newEntry() *entry.Entry {
	b := n.settings.Budget
	return entry.New(entry.Options{
		Node:     n.settings.Node,
		Domain:   n.settings.Domain,
		Region:   n.settings.Region,
		Body:     maxBody,
		Inflight: maxInflight,
		Rand:     rand.Uint64,
		Weight:   n.weight,
		Cohort:   n.moves.cohort,
		Again:    true,
		// The exits of a new version take a bounded number of requests.
		AnyVersion: true,
		Budget: retry.BudgetOptions{
			Sheds: true,
			Tries: maxTries,
			Ratio: budgetShare * b.Ratio,
		},
		Peers: entry.Peers{Call: n.pool.Call, Resolve: n.pool.Resolve, Distrust: n.pool.Distrust},
		Local: entry.Local{Call: n.exit.Call, Resolve: n.exit.Resolve},
		Emit:  n.log.Emit,
	})
}

// maxTries bounds the tries that end in a refusal: three that are refused at
// once, three that may queue. Later ones found no room either and held the
// request for longer.
const maxTries = 6

const (
	// leastNodes is the number of nodes that the slack of the budget is shared
	// between at least: a node that knows few others may have just started.
	leastNodes = 10
	// floorShare of the slack is spent as it comes, burstShare saved up.
	floorShare = 0.5
	burstShare = 0.25
)

// share sets this node's part of the slack that all nodes have together.
func (n *Node) share(nodes int) {
	b := n.settings.Budget
	part := b.Slack / float64(max(leastNodes, nodes))
	n.entry.SetRate(floorShare*part/b.Window.Seconds(), 1+burstShare*part)
}

func (n *Node) weight(d ident.Domain, _ time.Time) float64 {
	if n.orders.evacuated(d) {
		return 0
	}
	return 1
}

func (n *Node) count(r exit.Run) {
	n.moves.ended(r)
	n.countRun(r)
}

// ready tells whether the node takes callers.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.orders.table() != nil
}

func (n *Node) admin() http.Handler {
	return admin.New(admin.Options{Registry: n.metrics, Log: n.log, Ready: func() string {
		if n.ready() {
			return ""
		}
		return "the node is stopping or has no configuration"
	}})
}

// Run serves until ctx ends, then drains and closes the node.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	n.log.Emit(event.NodeStarted,
		event.F(event.Version, n.o.Version),
		event.F(event.Domain, n.settings.Domain),
		event.F(event.Address, n.settings.Listen.Peers))
	children := []super.Child{
		{Name: "members", Run: n.roster.Run},
		{Name: "watch", Run: n.watch.Run},
		{Name: "orders", Run: n.orders.Run},
		{Name: "moves", Run: n.moves.Run},
		{Name: "upstream", Run: n.upstream.Run},
		{Name: "settings", Run: func(ctx context.Context, ready func()) error { return n.watchSettings(ctx, ready, reload) }},
	}
	for _, p := range n.ports {
		children = append(children, super.Child{Name: p.name, Run: p.Run})
	}
	s := super.New(super.Options{Children: children, Emit: n.log.Emit})
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	return n.close(s)
}

const (
	// drainNotice is how long a stopping node serves all that comes: the
	// platform asks once a second and stops sending callers after two misses.
	drainNotice = 3 * time.Second
	// drainMargin is left before the platform kills the process.
	drainMargin = 300 * time.Millisecond
	// drainTick is how often a stopping node looks whether it may stop.
	drainTick = 20 * time.Millisecond
)

// close drains the node. For a time all that comes is served and answered with
// "Connection: close"; then nothing new is taken, and the node ends as soon as
// no request is in progress. A request that came too late would be cut.
func (n *Node) close(s *super.Supervisor) error {
	began := time.Now()
	n.log.Emit(event.NodeDraining, event.F(event.Reason, "signal"), event.F(event.Count, n.front.open()))
	n.leaving.Store(true)
	n.roster.leave()
	limit := n.settings.Grace - drainMargin
	time.Sleep(min(drainNotice, limit/2))
	ctx, cancel := context.WithTimeout(context.Background(), limit-time.Since(began))
	defer cancel()
	n.shut(ctx)
	for ctx.Err() == nil && (n.front.open() > 0 || n.exit.Running() > 0) {
		mono.Sleep(ctx, drainTick)
	}
	cut := n.front.open()
	err := s.Close()
	n.exit.Close()
	n.pool.Close()
	n.store.Close()
	n.log.Emit(event.NodeStopped, event.F(event.Elapsed, time.Since(began)), event.F(event.Count, cut))
	_ = n.lines.Close() // never fails
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shut closes the callers' port and the exit for new requests.
func (n *Node) shut(ctx context.Context) {
	for _, p := range n.ports {
		if p.name == callersPort {
			go p.drain(ctx)
		}
	}
	n.exit.Drain(ctx)
}
