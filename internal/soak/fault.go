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
	// faultPause is the mean time between the begins of two faults; most last
	// longer, so that they overlap.
	faultPause = 350 * time.Millisecond
	// faultLeast and faultMost bound the time that a fault lasts.
	faultLeast = 200 * time.Millisecond
	faultMost  = 4 * time.Second
	// delayMost bounds the delay of a link.
	delayMost = 300 * time.Millisecond
	// orderLimit bounds one call of the operator.
	orderLimit = 2 * time.Second
)

// scope tells what a fault touches.
type scope uint8

const (
	// work is planned work, place one node and its links, whole the store.
	work scope = iota
	place
	whole
	scopes
)

// fault is one kind of trouble or planned work. It blocks for as long as it lasts.
type fault struct {
	scope scope
	play  func(s *system, n *node, random *rand.Rand, lasts time.Duration)
}

var faults = []fault{
	{place, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.killNode(n, lasts/2) }},
	{place, func(s *system, n *node, r *rand.Rand, lasts time.Duration) { s.freezeNode(n, lasts, r.IntN(4) == 0) }},
	{place, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.stopNode(n, true, lasts) }},
	{work, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.stopNode(n, false, lasts) }},
	{place, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.killUpstream(n, lasts/2) }},
	{place, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.freezeUpstream(n, lasts) }},
	{work, func(s *system, n *node, _ *rand.Rand, _ time.Duration) { s.release(n) }},
	{work, func(s *system, n *node, _ *rand.Rand, _ time.Duration) { s.release(n) }},
	{place, (*system).harmLink},
	{place, (*system).harmLink},
	{whole, (*system).harmStore},
	{whole, (*system).harmStore},
	{work, func(s *system, _ *node, _ *rand.Rand, _ time.Duration) { s.change() }},
	{work, func(s *system, _ *node, _ *rand.Rand, _ time.Duration) { s.change() }},
	{work, func(s *system, n *node, _ *rand.Rand, lasts time.Duration) { s.evacuate(n.domain, 2*lasts) }},
}

// harm plays faults until the time is over and waits for those that last. A
// third of the seeds has planned work only, a third spares the store: promises
// with a time bound hold only where nothing else happens.
func (s *system) harm(random *rand.Rand, length time.Duration) {
	var w sync.WaitGroup
	widest := scope(random.IntN(int(scopes)))
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[random.IntN(len(faults))]
		if f.scope > widest {
			continue
		}
		n := s.nodes[random.IntN(len(s.nodes))]
		own := rand.New(rand.NewPCG(random.Uint64(), 2))
		lasts := faultLeast + time.Duration(random.Int64N(int64(faultMost-faultLeast)))
		w.Go(func() { f.play(s, n, own, lasts) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(faultPause)))
	}
	w.Wait()
}

// present returns a node's process, which must not have ended by itself.
func (s *system) present(n *node) *procs.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.process.Running() {
		s.record.breaks(fmt.Sprintf("ENDED: %s ended by itself: %s", n.name, n.process.Tail()))
	}
	return n.process
}

func (s *system) again(n *node) {
	if err := s.startNode(n); err != nil {
		s.record.breaks(fmt.Sprintf("START: %s: %v", n.name, err))
	}
}

func (s *system) killNode(n *node, down time.Duration) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	defer s.record.begin("kill node", n, false)()
	s.present(n).Kill()
	time.Sleep(down)
	s.again(n)
}

// freezeNode stops a node's process for a time and then lets it go on or kills it.
func (s *system) freezeNode(n *node, lasts time.Duration, kill bool) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	defer s.record.begin("freeze node", n, false)()
	p := s.present(n)
	_ = p.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	if kill {
		p.Kill()
		s.again(n)
		return
	}
	_ = p.Signal(syscall.SIGCONT)
}

// stopNode stops a node as planned and starts it again. If cut is set, it is
// killed before it may have ended.
func (s *system) stopNode(n *node, cut bool, lasts time.Duration) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	defer s.record.begin("stop node", n, !cut)()
	p := s.present(n)
	_ = p.Signal(syscall.SIGTERM)
	if cut {
		time.Sleep(lasts / 4)
		p.Kill()
	} else if !p.WaitExit(grace) {
		s.record.breaks(fmt.Sprintf("GRACE: %s has not ended %v after SIGTERM", n.name, grace))
		p.Kill()
	}
	s.again(n)
}

func (s *system) nextUpstream(n *node) {
	if err := s.startUpstream(n); err != nil {
		s.record.breaks(fmt.Sprintf("START: upstream of %s: %v", n.name, err))
	}
}

func (s *system) killUpstream(n *node, down time.Duration) {
	if !n.appBusy.TryLock() {
		return
	}
	defer n.appBusy.Unlock()
	defer s.record.begin("kill upstream", n, false)()
	n.upstream.Kill()
	time.Sleep(down)
	s.nextUpstream(n)
}

func (s *system) freezeUpstream(n *node, lasts time.Duration) {
	if !n.appBusy.TryLock() {
		return
	}
	defer n.appBusy.Unlock()
	defer s.record.begin("freeze upstream", n, false)()
	_ = n.upstream.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	_ = n.upstream.Signal(syscall.SIGCONT)
}

// release replaces an upstream: it leaves as planned and another one comes.
func (s *system) release(n *node) {
	if !n.appBusy.TryLock() {
		return
	}
	defer n.appBusy.Unlock()
	n.upstream.Stop()
	s.nextUpstream(n)
}

// harmLink cuts, silences, resets or delays one of a node's links.
func (s *system) harmLink(n *node, random *rand.Rand, lasts time.Duration) {
	names := []string{"store", "app", "beats", "peers"}
	i := random.IntN(len(names))
	relay := s.linksOf(n)[i]
	how := []string{"cut", "silent", "reset", "delay", "one way"}[random.IntN(5)]
	defer s.record.begin(how+" link to "+names[i], n, false)()
	switch how {
	case "cut":
		relay.Cut()
		if names[i] == "peers" {
			n.datagrams.SetCut(true)
			defer n.datagrams.SetCut(false)
		}
		time.Sleep(lasts)
		relay.Heal()
	case "silent":
		relay.Silence()
	case "reset":
		relay.Reset()
	case "delay":
		relay.SetDelay(time.Duration(random.Int64N(int64(delayMost))))
		time.Sleep(lasts)
		relay.SetDelay(0)
	case "one way":
		relay.SetOneWay(true)
		time.Sleep(lasts)
		relay.SetOneWay(false)
	}
}

// harmStore makes the store fail, answer slowly or forget its history.
func (s *system) harmStore(_ *node, random *rand.Rand, lasts time.Duration) {
	kinds := []string{"busy", "many", "reset", "lost", "silent", "slow", "compact"}
	kind := kinds[random.IntN(len(kinds))]
	defer s.record.begin("store "+kind, nil, false)()
	switch kind {
	case "compact":
		s.put("/compact")
	case "slow":
		s.put("/slow/200ms")
		time.Sleep(lasts)
		s.put("/slow/0s")
	default:
		s.put("/fault/" + kind)
		time.Sleep(lasts)
		s.put("/fault/none")
	}
}

// change adds a route, if the store takes the configuration.
func (s *system) change() {
	s.operator.Lock()
	defer s.operator.Unlock()
	version := int(s.instances.Add(1)) + 100
	if s.operate(version) == nil {
		s.record.accepted(routeOf(version))
	}
}

func routeOf(version int) string { return fmt.Sprintf("/added%d/", version) }

// evacuate takes a domain out for a time, unless one is out already: the one
// row of a domain would be removed by the end of the first of two orders.
func (s *system) evacuate(domain string, lasts time.Duration) {
	if !s.evacuating.TryLock() {
		return
	}
	defer s.evacuating.Unlock()
	key := "evacuate/" + domain
	if s.order(key, []byte(`{}`)) != nil {
		return
	}
	e := &evacuation{domain: domain, accepted: time.Now()}
	s.record.mu.Lock()
	s.record.evacuations = append(s.record.evacuations, e)
	s.record.mu.Unlock()
	time.Sleep(lasts)
	s.record.mu.Lock()
	e.withdrawn = time.Now()
	s.record.mu.Unlock()
	s.drop(key)
}

var errOrder = errors.New("the store has not acknowledged the order")

// order writes a row as the operator does.
func (s *system) order(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	defer cancel()
	table := s.orders.Table(platform.OrderTable)
	row, r := table.Get(ctx, key)
	if r.OK() {
		r = table.Commit(ctx, []store.Write{{Key: key, Value: value, Expect: row.Version}})
	}
	if !r.OK() {
		return fmt.Errorf("%w: %w", errOrder, r.Err)
	}
	return nil
}

// drop removes a row, through all faults.
func (s *system) drop(key string) {
	s.put("/drop?" + url.Values{"table": {platform.OrderTable}, "key": {key}}.Encode())
}

// operate writes a configuration with the routes of all versions so far that
// were acknowledged, and that of the new one.
func (s *system) operate(version int) error {
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
	rules = append(rules, rule(strings.Trim(routeOf(version), "/"), routeOf(version), "safe"))
	value, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 50, "cold_start_s": 1, "cold_per_s": 10}},
	})
	if err != nil {
		return err
	}
	return s.order("config", value)
}
