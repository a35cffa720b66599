// Package fleet assembles a node that runs beside one upstream instance on the
// hosting platform. It connects request entry, request exit, membership and
// version rollouts to the platform's metadata store, to the heartbeats of the
// upstream and to the callers' HTTP port.
//
// Invariants: request handling never waits for the store; a change of state in
// a heartbeat is applied to this node's exit before the heartbeat is
// acknowledged; no decision depends on the wall clock, except for ordering two
// starts of the upstream.
//
// Locks are acquired in this order: gossip transport, exit, operatorState,
// rollouts, membership, watcher, entry, usageReport, quota.
package fleet

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/admin"
	"github.com/cicadahall/cicadahall/internal/control/intake"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/super"
	"github.com/cicadahall/cicadahall/internal/wire/accept"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/retry"
)

const (
	// maxBodyBytes bounds the body of a message between nodes. No configuration
	// in use allows a larger body. All bodies together are bounded by the quota.
	maxBodyBytes = 64 << 20
	// maxInflightRequests bounds the concurrent requests at the entry.
	maxInflightRequests = 4096
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which the upstream counts as down. It is generous because
	// a heartbeat may be several seconds late, and a failed connection reveals
	// a stopped upstream sooner.
	maxMissedHeartbeats = 8
)

// Options configures a Node.
type Options struct {
	Settings *spec.Sidecar
	// Reload reads the current settings file.
	Reload func() (*spec.Sidecar, error)
	// Log receives the log lines; nil discards them.
	Log io.Writer
	// Version is the version of the program, reported in the log.
	Version string
}

// Node is a running node.
type Node struct {
	options    Options
	settings   *spec.Sidecar
	start      ident.Start
	startedAt  time.Time
	log        *event.Log
	logQueue   *event.Queue
	metrics    metrics.Registry
	store      *platform.Store
	quota      *quota.Quota
	exit       *exit.Exit
	entry      *entry.Entry
	pool       *peer.Pool
	membership *membership
	operator   *operatorState
	watcher    *watcher
	rollouts   *rollouts
	usage      *usageReport
	upstream   *upstream
	frontend   *frontend
	calls      *callDetector
	workspaces *workspaceMetrics
	ports      []*port
	callers    *accept.Gate
	draining   atomic.Bool
	drainOnce  sync.Once
	// stopping is set once callers' requests are refused.
	stopping atomic.Bool
	// aborted ends the requests of callers that outlast the grace period; abort
	// cancels it.
	aborted  context.Context
	abort    context.CancelFunc
	rejected rejectedRows
}

// New builds a node and opens its listeners, so that a port in use is reported
// before Run.
func New(o Options) (*Node, error) {
	n := &Node{
		options:   o,
		settings:  o.Settings,
		start:     ident.Start(rand.Uint64() | 1),
		startedAt: time.Now(),
		metrics:   metrics.NewRegistry(),
		pool:      peer.NewPool(peer.Options{MaxBodyBytes: maxBodyBytes}),
	}
	n.aborted, n.abort = context.WithCancel(context.Background())
	if o.Log == nil {
		o.Log = io.Discard
	}
	n.logQueue = event.NewQueue(o.Log, n.reportDroppedLines)
	level, _ := event.ParseLevel(string(o.Settings.Log))
	n.log = event.New(event.Options{Node: o.Settings.Node, Start: n.start, Level: level, Output: event.Output(n.logQueue), RingSize: eventBufferSize})
	n.store = platform.NewStore(o.Settings.Store.Address, platform.StoreOptions{CountCall: n.countStoreCall, OnUnreadable: n.rejectRow, OnClock: n.observeStoreClock})
	n.usage = newUsageReport(n)
	n.quota = n.newQuota()
	n.rollouts = newRollouts(n)
	n.watcher = newWatcher(n)
	n.operator = newOperatorState(n)
	n.workspaces = newWorkspaceMetrics(n.metrics, func() []ident.Workspace { return n.operator.workspaces().Names() })
	n.membership = newMembership(n)
	n.upstream = newUpstream(n)
	n.calls = newCallDetector(n)
	n.exit = n.newExit()
	metrics.NewRegisteredFunctionalGauge("exit.displaced", n.metrics, func() int64 { return int64(n.exit.Displaced()) })
	n.entry = n.newEntry()
	n.frontend = newFrontend(n)
	if err := n.openPorts(); err != nil {
		n.exit.Close()
		n.quota.Close()
		return nil, errors.Join(err, n.logQueue.Close())
	}
	return n, nil
}

const (
	// quotaDivisor sets the part of the process's memory for requests in
	// progress, storedDivisor the one for responses kept by the exit. The rest
	// is for the program, its tables and garbage.
	quotaDivisor  = 2
	storedDivisor = 16
)

// memory returns the memory of the process.
func (n *Node) memory() quota.Bytes {
	return quota.Bytes(n.settings.Memory * bytesPerMegabyte)
}

const bytesPerMegabyte = 1_000_000

func (n *Node) newQuota() *quota.Quota {
	q := quota.New(quota.Options{
		Limit:     n.memory() / quotaDivisor,
		Collect:   runtime.GC,
		Reclaim:   func(bytes quota.Bytes) bool { return n.callers.CloseStalled(intake.Bytes(bytes)) },
		OnRefusal: func(k quota.Kind, _ error) { n.counter("memory.refused." + k.String()).Inc(1) },
	})
	for _, k := range quota.Kinds() {
		metrics.NewRegisteredFunctionalGauge("memory.bytes."+k.String(), n.metrics, func() int64 { return int64(q.Used(k)) })
	}
	metrics.NewRegisteredFunctionalGauge("memory.bytes.uncollected", n.metrics, func() int64 { return int64(q.Uncollected()) })
	return q
}

// eventBufferSize is the number of events kept for the admin interface. At
// about 200 bytes each they take 100 KB of memory.
const eventBufferSize = 512

func (n *Node) newExit() *exit.Exit {
	return exit.New(exit.Options{
		Start:            n.start,
		Node:             n.settings.Node,
		MaxBodyBytes:     maxBodyBytes,
		MaxStoredBytes:   int(n.memory() / storedDivisor),
		ReportsLoad:      true,
		HeartbeatTimeout: maxMissedHeartbeats * n.settings.Heartbeat,
		Send:             n.upstream.send,
		DomainAdmits:     func(time.Time) bool { return !n.operator.isEvacuated(n.settings.Domain) },
		VersionServes:    n.rollouts.admits,
		Emit:             n.log.Emit,
		OnRequestStart:   n.recordStart,
		OnRequestEnd:     n.recordRun,
		OnUpstreamChange: n.membership.requestRefresh,
	})
}

func (n *Node) newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Node:              n.settings.Node,
		Domain:            n.settings.Domain,
		Region:            n.settings.Region,
		MaxBodyBytes:      maxBodyBytes,
		MaxInflight:       maxInflightRequests,
		Rand:              rand.Uint64,
		DomainWeight:      n.domainWeight,
		SelectVersion:     n.rollouts.chooseVersion,
		RetryServerErrors: true,
		// The exits of a new version accept a bounded number of requests; those
		// beyond it run on any version.
		FallBackToAnyVersion: true,
		Budget: retry.BudgetOptions{
			ChargeSheds: true,
			MaxTries:    maxRefusedAttempts,
			Unlimited:   n.settings.Budget == nil,
			Ratio:       n.retryBound().NodeRatio(),
			// The other members aren't known yet.
			Burst: 1,
		},
		Peers: entry.Peers{Call: n.pool.Call, Resolve: n.pool.Resolve, CloseIdle: n.pool.CloseIdle},
		Local: entry.Local{Call: n.exit.Call, Resolve: n.exit.Resolve},
		Emit:  n.log.Emit,
	})
}

// maxRefusedAttempts bounds the attempts of a request that are refused: three
// that are refused immediately and three that may queue. Further attempts found
// no capacity either and only delayed the response.
const maxRefusedAttempts = 6

// retryBound returns the bound on the extra runs at one service over all nodes.
func (n *Node) retryBound() retry.FleetBound {
	b := n.settings.Budget
	if b == nil {
		return retry.FleetBound{}
	}
	return retry.FleetBound{Ratio: b.Ratio, Slack: b.Slack, Window: b.Window}
}

// setRetryRate sets this node's share of the retry slack that all nodes have
// together.
func (n *Node) setRetryRate(nodes int) {
	if n.settings.Budget == nil {
		return
	}
	n.entry.SetRetryRate(n.retryBound().NodeRate(nodes))
}

func (n *Node) domainWeight(d ident.Domain, _ time.Time) float64 {
	if n.operator.isEvacuated(d) {
		return 0
	}
	return 1
}

func (n *Node) recordStart(s exit.RequestStart) {
	n.usage.count(s)
	n.calls.recordStart()
}

func (n *Node) recordRun(r exit.RequestResult) {
	n.calls.recordEnd(r)
	n.rollouts.recordEnd(r)
	n.countRun(r)
}

// ready reports whether the node accepts requests from callers.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.operator.table() != nil
}

func (n *Node) adminHandler() http.Handler {
	return admin.New(admin.Options{Registry: n.metrics, Log: n.log, NotReadyReason: func() string {
		if n.ready() {
			return ""
		}
		return "the node is stopping or has no configuration"
	}})
}

// Run serves until ctx ends or the supervisor gives up, then drains and closes
// the node. A value on reload makes the node reread the settings file and log
// whether it is valid; changed settings take effect at the next start.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	n.log.Emit(event.NodeStarted,
		event.NewField(event.Version, n.options.Version),
		event.NewField(event.Domain, n.settings.Domain),
		event.NewField(event.Address, n.settings.Listen.Peers))
	if on, off := n.settings.Parts(); len(off) > 0 {
		n.log.Emit(event.PartsOff, event.NewField(event.Enabled, on), event.NewField(event.Disabled, off))
	}
	children := []super.Child{
		{Name: "members", Run: n.membership.Run},
		{Name: "watch", Run: n.watcher.Run},
		{Name: "orders", Run: n.operator.Run},
		{Name: "moves", Run: n.rollouts.Run},
		{Name: "upstream", Run: n.upstream.Run},
		{Name: "settings", Run: func(ctx context.Context, ready func()) error { return n.watchSettings(ctx, ready, reload) }},
	}
	if n.usage != nil {
		children = append(children, super.Child{Name: "usage", Run: n.usage.Run})
	}
	for _, p := range n.ports {
		children = append(children, super.Child{Name: p.name, Run: p.Run})
	}
	s := super.New(super.Options{Children: children, Emit: n.log.Emit, BeforeStop: func() { n.drain("failure") }})
	select {
	case <-s.Done():
	case <-ctx.Done():
	}
	return n.close(s)
}

const (
	// drainDelay is how long a stopping node keeps accepting all requests. The
	// hosting platform checks readiness once a second and stops sending callers
	// after two failed checks.
	drainDelay = 3 * time.Second
	// killMargin is the time reserved before the hosting platform kills the
	// process. With 300 ms, a process with some hundred open connections was
	// still closing them at the end of the grace period.
	killMargin = 700 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in progress
	// while the node drains.
	drainPollInterval = 20 * time.Millisecond
	// quietPolls is the number of consecutive checks that must find no request.
	quietPolls = 5
	// abortTimeout is the time for the responses to aborted requests. It is a
	// part of killMargin.
	abortTimeout = 100 * time.Millisecond
)

// drain lets the node finish its work; only the first call has an effect. During
// drainDelay the node serves all requests and answers with "Connection: close";
// then it refuses new ones, also on open connections, until no request is in
// progress or the grace period ends. Requests that outlast it are aborted and
// answered.
func (n *Node) drain(reason string) {
	n.drainOnce.Do(func() {
		startedAt := time.Now()
		n.log.Emit(event.NodeDraining, event.NewField(event.Reason, reason), event.NewField(event.Count, n.frontend.inProgress()))
		n.draining.Store(true)
		n.membership.announceLeave()
		n.usage.handOver()
		timeout := n.settings.Grace - killMargin
		time.Sleep(min(drainDelay, timeout/2))
		n.stopping.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), timeout-time.Since(startedAt))
		defer cancel()
		n.stopAccepting(ctx)
		n.awaitRequests(ctx)
		if n.callers.Busy() > 0 {
			n.abort()
			ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
			defer cancel()
			n.awaitRequests(ctx)
		}
		n.usage.flush()
	})
}

// awaitRequests waits until no request is in progress or ctx ends. Between two
// requests that a caller has sent without waiting for the responses, a connection
// is idle for a moment.
func (n *Node) awaitRequests(ctx context.Context) {
	for quiet := 0; quiet < quietPolls && ctx.Err() == nil; quiet++ {
		if n.callers.Busy() > 0 || n.exit.Running() > 0 {
			quiet = -1
		}
		mono.Sleep(ctx, drainPollInterval)
	}
}

// close drains and stops the node.
func (n *Node) close(s *super.Supervisor) error {
	startedAt := time.Now()
	n.drain("signal")
	aborted := n.frontend.inProgress()
	err := s.Close()
	n.exit.Close()
	n.usage.close()
	n.pool.Close()
	n.quota.Close()
	n.abort()
	n.store.Close()
	n.log.Emit(event.NodeStopped, event.NewField(event.Elapsed, time.Since(startedAt)), event.NewField(event.Count, aborted))
	_ = n.logQueue.Close() // Close never fails
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stopAccepting closes the callers' port and the exit to new requests.
func (n *Node) stopAccepting(ctx context.Context) {
	for _, p := range n.ports {
		if p.name == callersPort {
			p.stopListening()
		}
	}
	n.exit.Drain(ctx)
}
