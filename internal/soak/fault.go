package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults. Most
	// faults last longer, so that they overlap.
	meanFaultInterval = 350 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 4 * time.Second
	// maxLinkDelay bounds the delay that a fault adds to a link.
	maxLinkDelay = 300 * time.Millisecond
	// operatorTimeout bounds one write of the operator.
	operatorTimeout = 2 * time.Second
)

// faultScope is the part of the system that a fault affects.
type faultScope uint8

const (
	// plannedWork is no failure at all, oneNode affects a node, its upstream and
	// their links, wholeStore affects the store.
	plannedWork faultScope = iota
	oneNode
	wholeStore
	scopeCount
)

// fault is a kind of fault or of planned work. inject blocks until it is over.
type fault struct {
	scope  faultScope
	inject func(s *system, n *node, random *rand.Rand, lasts time.Duration)
}

// faults are drawn with equal probability; an entry listed twice has twice the
// probability.
var faults = []fault{
	{oneNode, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.killNode(n, d/2) }},
	{oneNode, func(s *system, n *node, r *rand.Rand, d time.Duration) { s.freezeNode(n, d, r.IntN(4) == 0) }},
	{oneNode, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.stopNode(n, true, d) }},
	{plannedWork, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.stopNode(n, false, d) }},
	{oneNode, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.killUpstream(n, d/2) }},
	{oneNode, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.freezeUpstream(n, d) }},
	{plannedWork, func(s *system, n *node, _ *rand.Rand, _ time.Duration) { s.drainUpstream(n) }},
	{plannedWork, func(s *system, n *node, _ *rand.Rand, _ time.Duration) { s.drainUpstream(n) }},
	{oneNode, (*system).faultLink},
	{oneNode, (*system).faultLink},
	{wholeStore, (*system).faultStore},
	{wholeStore, (*system).faultStore},
	{plannedWork, func(s *system, _ *node, _ *rand.Rand, _ time.Duration) { s.addRoute() }},
	{plannedWork, func(s *system, _ *node, _ *rand.Rand, _ time.Duration) { s.addRoute() }},
	{plannedWork, func(s *system, n *node, _ *rand.Rand, d time.Duration) { s.evacuate(n.domain, 2*d) }},
}

// injectFaults starts faults until length has passed and waits until they are
// over. A third of the seeds has planned work only, and another third has no
// faults of the store, because requirements with a time limit are checked only
// where no other fault interferes.
func (s *system) injectFaults(random *rand.Rand, length time.Duration) {
	var wg sync.WaitGroup
	maxScope := faultScope(random.IntN(int(scopeCount)))
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[random.IntN(len(faults))]
		if f.scope > maxScope {
			continue
		}
		n := s.nodes[random.IntN(len(s.nodes))]
		faultRand := rand.New(rand.NewPCG(random.Uint64(), 2))
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		wg.Go(func() { f.inject(s, n, faultRand, duration) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanFaultInterval)))
	}
	wg.Wait()
}

// checkRunning returns a node's process. It is a violation if the process has
// exited by itself.
func (s *system) checkRunning(n *node) *procs.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.process.Running() {
		s.record.addViolation(fmt.Sprintf("ENDED: node %s exited by itself: %s", n.name, n.process.Tail()))
	}
	return n.process
}

func (s *system) restartNode(n *node) {
	if err := s.startNode(n); err != nil {
		s.record.addViolation(fmt.Sprintf("START: node %s: %v", n.name, err))
	}
}

func (s *system) killNode(n *node, downtime time.Duration) {
	if !n.nodeBusy.TryLock() {
		return
	}
	defer n.nodeBusy.Unlock()
	defer s.record.beginFault("kill node", n, false)()
	s.checkRunning(n).Kill()
	time.Sleep(downtime)
	s.restartNode(n)
}

// freezeNode suspends a node's process with SIGSTOP, and after duration resumes it
// or kills and restarts it.
func (s *system) freezeNode(n *node, duration time.Duration, kill bool) {
	if !n.nodeBusy.TryLock() {
		return
	}
	defer n.nodeBusy.Unlock()
	defer s.record.beginFault("freeze node", n, false)()
	p := s.checkRunning(n)
	_ = p.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	if kill {
		p.Kill()
		s.restartNode(n)
		return
	}
	_ = p.Signal(syscall.SIGCONT)
}

// stackTimeout bounds the time in which a process that hangs writes its stacks.
const stackTimeout = 2 * time.Second

// stopNode stops a node as planned and restarts it. If interrupt is set, the node
// is killed after a quarter of duration, possibly before it has exited.
func (s *system) stopNode(n *node, interrupt bool, duration time.Duration) {
	if !n.nodeBusy.TryLock() {
		return
	}
	defer n.nodeBusy.Unlock()
	defer s.record.beginFault("stop node", n, !interrupt)()
	p := s.checkRunning(n)
	_ = p.Signal(syscall.SIGTERM)
	if interrupt {
		time.Sleep(duration / 4)
		p.Kill()
	} else if !p.WaitExit(stopGrace) {
		s.record.addViolation(fmt.Sprintf("GRACE: node %s has not exited within %v after SIGTERM, state %s", n.name, stopGrace, p.State()))
		// The log gets the stacks of all goroutines.
		_ = p.Signal(syscall.SIGQUIT)
		p.WaitExit(stackTimeout)
		p.Kill()
	}
	s.restartNode(n)
}

func (s *system) replaceUpstream(n *node) {
	if err := s.startUpstream(n); err != nil {
		s.record.addViolation(fmt.Sprintf("START: upstream of node %s: %v", n.name, err))
	}
}

func (s *system) killUpstream(n *node, downtime time.Duration) {
	if !n.upstreamBusy.TryLock() {
		return
	}
	defer n.upstreamBusy.Unlock()
	defer s.record.beginFault("kill upstream", n, false)()
	n.upstream.Kill()
	time.Sleep(downtime)
	s.replaceUpstream(n)
}

func (s *system) freezeUpstream(n *node, duration time.Duration) {
	if !n.upstreamBusy.TryLock() {
		return
	}
	defer n.upstreamBusy.Unlock()
	defer s.record.beginFault("freeze upstream", n, false)()
	_ = n.upstream.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = n.upstream.Signal(syscall.SIGCONT)
}

// drainUpstream stops an upstream as planned and starts another one in its place.
func (s *system) drainUpstream(n *node) {
	if !n.upstreamBusy.TryLock() {
		return
	}
	defer n.upstreamBusy.Unlock()
	n.upstream.Stop()
	s.replaceUpstream(n)
}

// faultLink cuts, silences, resets or delays one of a node's links, or drops the
// data of one direction.
func (s *system) faultLink(n *node, random *rand.Rand, duration time.Duration) {
	links := []string{"store", "app", "beats", "peers"}
	i := random.IntN(len(links))
	relay := s.relaysOf(n)[i]
	mode := []string{"cut", "silent", "reset", "delay", "one way"}[random.IntN(5)]
	defer s.record.beginFault(mode+" link to "+links[i], n, false)()
	switch mode {
	case "cut":
		relay.Cut()
		if links[i] == "peers" {
			n.datagrams.SetCut(true)
			defer n.datagrams.SetCut(false)
		}
		time.Sleep(duration)
		relay.Heal()
	case "silent":
		relay.Silence()
	case "reset":
		relay.Reset()
	case "delay":
		relay.SetDelay(time.Duration(random.Int64N(int64(maxLinkDelay))))
		time.Sleep(duration)
		relay.SetDelay(0)
	case "one way":
		relay.SetOneWay(true)
		time.Sleep(duration)
		relay.SetOneWay(false)
	}
}

// faultStore makes the store fail, respond slowly or compact its history.
func (s *system) faultStore(_ *node, random *rand.Rand, duration time.Duration) {
	modes := []string{"busy", "many", "reset", "lost", "silent", "slow", "compact"}
	mode := modes[random.IntN(len(modes))]
	defer s.record.beginFault("store "+mode, nil, false)()
	switch mode {
	case "compact":
		s.controlStore("/compact")
	case "slow":
		s.controlStore("/slow/200ms")
		time.Sleep(duration)
		s.controlStore("/slow/0s")
	default:
		s.controlStore("/fault/" + mode)
		time.Sleep(duration)
		s.controlStore("/fault/none")
	}
}

// addRoute writes a configuration with another route, and records the route if
// the store acknowledged the write.
func (s *system) addRoute() {
	s.operator.Lock()
	defer s.operator.Unlock()
	version := int(s.instances.Add(1)) + 100
	if s.writeConfig(version) == nil {
		s.record.addChange(addedRoute(version))
	}
}

func addedRoute(version int) string { return fmt.Sprintf("/added%d/", version) }

// evacuate evacuates a domain for duration. It does nothing while a domain is
// evacuated, because a domain has one row: the end of the first of two evacuations
// would remove the row of the second.
func (s *system) evacuate(domain string, duration time.Duration) {
	if !s.evacuating.TryLock() {
		return
	}
	defer s.evacuating.Unlock()
	key := "evacuate/" + domain
	if s.writeRow(key, []byte(`{}`)) != nil {
		return
	}
	ev := &evacuation{domain: domain, acknowledged: time.Now()}
	s.record.mu.Lock()
	s.record.evacuations = append(s.record.evacuations, ev)
	s.record.mu.Unlock()
	time.Sleep(duration)
	s.record.mu.Lock()
	ev.withdrawn = time.Now()
	s.record.mu.Unlock()
	s.removeRow(key)
}

var errNotAcknowledged = errors.New("store has not acknowledged the write")

// writeRow writes a row with a compare-and-set, as the operator does.
func (s *system) writeRow(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	table := s.rows.Table(platform.OperatorTable)
	row, r := table.Get(ctx, key)
	if r.OK() {
		r = table.Commit(ctx, []store.Write{{Key: key, Value: value, ExpectedVersion: row.Version}})
	}
	if !r.OK() {
		return fmt.Errorf("%w: %w", errNotAcknowledged, r.Err)
	}
	return nil
}

// removeRow removes a row through the control interface of the store's stand-in,
// which works during all faults.
func (s *system) removeRow(key string) {
	s.controlStore("/drop?" + url.Values{"table": {platform.OperatorTable}, "key": {key}}.Encode())
}

// writeConfig writes a configuration with all acknowledged routes and the route of
// the new version.
func (s *system) writeConfig(version int) error {
	rule := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "kind": kind, "target_latency_ms": 500, "priority": 1, "match": map[string]string{"prefix": prefix},
			"action": map[string]any{"service": service, "timeout_ms": 3000, "max_attempts": 2},
		}
	}
	rules := []map[string]any{rule("read", "/read/", "safe"), rule("book", "/book/", "unsafe")}
	s.record.mu.Lock()
	for _, c := range s.record.changes {
		rules = append(rules, rule(strings.Trim(c.route, "/"), c.route, "safe"))
	}
	s.record.mu.Unlock()
	rules = append(rules, rule(strings.Trim(addedRoute(version), "/"), addedRoute(version), "safe"))
	value, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 50, "cold_start_s": 1, "cold_per_s": 10}},
	})
	if err != nil {
		return err
	}
	return s.writeRow("config", value)
}
