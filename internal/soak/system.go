// Package soak plays random faults on a system of real processes and checks
// what the users were promised, from what callers and upstreams see. It is a
// test harness and not part of the product.
//
// Invariants: faults come from outside the processes (signals, relays between
// them, a store that misbehaves); a promise with a time bound is checked only
// where no fault touched the nodes concerned for the time of contact before.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/chaos"
	"github.com/cicadahall/cicadahall/internal/procs"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	service = "counter"
	host    = "shop.example"
	// domains is the number of failure domains; nodes are dealt in turn.
	domains = 3
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// readyLimit bounds the wait for a system without faults.
	readyLimit = 20 * time.Second
)

// Options configure a run.
type Options struct {
	Seed  uint64
	Nodes int
	// Length is the time in which faults begin.
	Length time.Duration
	// Bin holds the programs, Dir takes settings and logs.
	Bin, Dir string
}

// system is the store, the nodes with their upstreams, and what the run saw.
type system struct {
	o       Options
	group   procs.Group
	store   string
	control *http.Client
	orders  *platform.Store
	nodes   []*node

	mu   sync.Mutex
	runs map[string][]run
	left map[string]time.Time
	// instances counts the upstreams started so far.
	instances atomic.Int64
	record    record
	// operator is held while a configuration is written, evacuating while a
	// domain is out.
	operator, evacuating sync.Mutex
}

// run is one execution of a request at an upstream.
type run struct {
	instance string
	node     *node
	at       time.Time
}

// node is one place: a node, the upstream beside it and the links around them.
type node struct {
	index  int
	name   string
	domain string
	// callers, beats, ready and peers are where the node listens, app where its
	// upstream does.
	callers, beats, ready, peers, app string
	// toStore, toApp, toBeats and toPeers are on the way to these.
	toStore, toApp, toBeats, toPeers *chaos.Relay
	datagrams                        *chaos.DatagramRelay
	public                           string

	mu       sync.Mutex
	process  *procs.Process
	upstream *procs.Process
	instance string
	// starts counts the starts of the node's process.
	starts atomic.Int64
	// busy and appBusy are held while a fault acts on a process.
	busy, appBusy sync.Mutex
}

func start(o Options) (*system, error) {
	s := &system{o: o, control: &http.Client{Timeout: time.Second}, runs: map[string][]run{}, left: map[string]time.Time{}}
	store, err := procs.FreeAddress()
	if err != nil {
		return nil, err
	}
	s.store = store
	s.orders = platform.NewStore(store, func(string, int) {})
	if _, err := s.group.Start(o.Dir, "store", procs.LineWatch{}, filepath.Join(o.Bin, "standin"), "rows", "--listen", store); err != nil {
		return nil, err
	}
	if err := s.await("store", func() bool { return s.operate(1) == nil }); err != nil {
		return nil, err
	}
	for i := range o.Nodes {
		n, err := s.place(i)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(n); err != nil {
			return nil, err
		}
		if err := s.startUpstream(n); err != nil {
			return nil, err
		}
	}
	return s, s.await("nodes", s.serves)
}

// serves reports whether every node serves a request.
func (s *system) serves() bool {
	for _, n := range s.nodes {
		c := newCaller()
		a := s.ask(c, n, "read", "")
		c.close()
		s.record.add(a)
		if a.status != http.StatusOK {
			return false
		}
	}
	return true
}

func (s *system) await(what string, state func() bool) error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state() {
			return nil
		}
	}
	return oops.With("step", "start", "peer", what).Errorf("not ready after %v", readyLimit)
}

// place makes the addresses and links of a node.
func (s *system) place(i int) (*node, error) {
	n := &node{index: i, name: fmt.Sprintf("n%d", i), domain: fmt.Sprintf("d%d", i%domains)}
	for _, a := range []*string{&n.callers, &n.beats, &n.ready, &n.peers, &n.app, &n.public} {
		free, err := procs.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	for _, l := range []struct {
		relay  **chaos.Relay
		at, to string
	}{
		{&n.toStore, "127.0.0.1:0", s.store},
		{&n.toApp, "127.0.0.1:0", n.app},
		{&n.toBeats, "127.0.0.1:0", n.beats},
		{&n.toPeers, n.public, n.peers},
	} {
		r, err := chaos.NewRelayAt(l.at, l.to)
		if err != nil {
			return nil, err
		}
		*l.relay = r
	}
	var err error
	n.datagrams, err = chaos.NewDatagramRelay(n.public, n.peers)
	return n, err
}

func (s *system) startNode(n *node) error {
	settings, err := json.Marshal(map[string]any{
		"node": n.name, "service": service, "domain": n.domain, "region": "r", "upstream": n.toApp.Address(),
		"listen":    map[string]string{"callers": n.callers, "beats": n.beats, "ready": n.ready, "peers": n.peers, "public": n.public},
		"store":     map[string]string{"address": n.toStore.Address()},
		"seeds":     []string{},
		"heartbeat": "300ms",
		"grace":     grace.String(),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.o.Dir, n.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", n.name, n.starts.Load())
	p, err := s.group.Start(s.o.Dir, name, procs.LineWatch{}, filepath.Join(s.o.Bin, "cicadahall"), "side", "--settings", path)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.starts.Add(1)
	return nil
}

// startUpstream starts another upstream beside a node.
func (s *system) startUpstream(n *node) error {
	instance := fmt.Sprintf("i%d-%d", n.index, s.instances.Add(1))
	watch := procs.LineWatch{Handle: func(line string) { s.told(n, instance, line) }}
	p, err := s.group.Start(s.o.Dir, instance, watch, filepath.Join(s.o.Bin, "standin"), "worker",
		"--listen", n.app, "--address", n.toApp.Address(), "--node", n.toBeats.Address(),
		"--instance", instance, "--service", service)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.upstream, n.instance = p, instance
	n.mu.Unlock()
	return nil
}

// told takes a line of an upstream.
func (s *system) told(n *node, instance, line string) {
	f := strings.Fields(line)
	if len(f) == 0 {
		return
	}
	nanos, err := strconv.ParseInt(f[len(f)-1], 10, 64)
	if err != nil {
		return
	}
	at := time.Unix(0, nanos)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f[0] == "run" && len(f) == 3:
		s.runs[f[1]] = append(s.runs[f[1]], run{instance: instance, node: n, at: at})
	case f[0] == "left":
		s.left[instance] = at
	}
}

// put sends an order to the store's stand-in, which obeys at any time.
func (s *system) put(path string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+s.store+path, http.NoBody)
	if err != nil {
		return
	}
	if a, err := s.control.Do(r); err == nil {
		_ = a.Body.Close()
	}
}

// linksOf lists the relays of a node: to the store, to its upstream, and to it
// from its upstream and from other nodes.
func (s *system) linksOf(n *node) []*chaos.Relay {
	return []*chaos.Relay{n.toStore, n.toApp, n.toBeats, n.toPeers}
}

func (s *system) close() {
	s.group.KillAll()
	s.orders.Close()
	for _, n := range s.nodes {
		for _, r := range s.linksOf(n) {
			r.Close()
		}
		n.datagrams.Close()
	}
}
