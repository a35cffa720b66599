// Package soak injects random faults into a system of real processes and checks
// the requirements on the system against the results at callers and the
// executions at upstreams. It is a test harness and not part of the product.
//
// Invariants: faults come from outside the processes (signals, relays between
// them, a faulty store). A requirement with a time limit is checked only if no
// fault has affected the nodes concerned for quietPeriod before.
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
	"github.com/cicadahall/cicadahall/store"
)

const (
	service = "counter"
	host    = "shop.example"
	// domains is the number of failure domains. Nodes are assigned to them
	// round-robin.
	domains = 3
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
	// readyTimeout bounds the wait at startup, before any fault.
	readyTimeout = 20 * time.Second
)

// Options configure a run.
type Options struct {
	Seed  uint64
	Nodes int
	// Length is the time during which faults are started.
	Length time.Duration
	// Bin is the directory of the programs; Dir receives settings and logs.
	Bin, Dir string
}

// system is the store, the nodes with their upstreams, and the record of the run.
type system struct {
	o         Options
	processes procs.Group
	storeAddr string
	control   *http.Client
	rows      *platform.Store
	nodes     []*node

	mu sync.Mutex
	// runs holds the executions by request id, leftAt the time at which an
	// instance left by instance id.
	runs   map[string][]run
	leftAt map[string]time.Time
	// instances counts the upstreams started so far.
	instances atomic.Int64
	record    record
	// operator is held while a configuration is written, evacuating while a
	// domain is evacuated.
	operator, evacuating sync.Mutex
}

// run is one execution of a request at an upstream.
type run struct {
	instance string
	node     *node
	at       time.Time
}

// node is a node, the upstream beside it and the links to and from them.
type node struct {
	index  int
	name   string
	domain string
	// callersAddr, beatsAddr, readyAddr and peersAddr are the listen addresses
	// of the node, upstreamAddr is that of its upstream.
	callersAddr, beatsAddr, readyAddr, peersAddr, upstreamAddr string
	// toStore, toUpstream, toBeats and toPeers are the relays in front of the
	// store and of these addresses. Other nodes reach the node at publicAddr.
	toStore, toUpstream, toBeats, toPeers *chaos.Relay
	datagrams                             *chaos.DatagramRelay
	publicAddr                            string

	mu       sync.Mutex
	process  *procs.Process
	upstream *procs.Process
	instance string
	// starts counts the starts of the node's process.
	starts atomic.Int64
	// nodeBusy and upstreamBusy are held while a fault acts on the process of the
	// node or of the upstream.
	nodeBusy, upstreamBusy sync.Mutex
}

func start(o Options) (*system, error) {
	s := &system{o: o, control: &http.Client{Timeout: time.Second}, runs: map[string][]run{}, leftAt: map[string]time.Time{}}
	address, err := procs.FreeAddress()
	if err != nil {
		return nil, err
	}
	s.storeAddr = address
	s.rows = platform.NewStore(address, platform.StoreOptions{CountCall: func(string, int) {}, OnUnreadable: func(store.Unreadable) {}})
	if _, err := s.processes.Start(o.Dir, "store", procs.LineWatch{}, filepath.Join(o.Bin, "standin"), "rows", "--listen", address); err != nil {
		return nil, err
	}
	if err := s.await("store", func() bool { return s.writeConfig(1) == nil }); err != nil {
		return nil, err
	}
	for i := range o.Nodes {
		n, err := s.newNode(i)
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
	return s, s.await("nodes", s.allServe)
}

// allServe sends a request to one node after the other, records each, and reports
// whether all nodes served theirs. It stops at the first that doesn't.
func (s *system) allServe() bool {
	for _, n := range s.nodes {
		c := newCaller()
		req := s.send(c, n, "read", "")
		c.close()
		s.record.addRequest(req)
		if req.status != http.StatusOK {
			return false
		}
	}
	return true
}

func (s *system) await(name string, ready func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ready() {
			return nil
		}
	}
	return oops.With("step", "start", "peer", name).Errorf("not ready after %v", readyTimeout)
}

// newNode assigns the addresses of a node and creates its relays.
func (s *system) newNode(i int) (*node, error) {
	n := &node{index: i, name: fmt.Sprintf("n%d", i), domain: fmt.Sprintf("d%d", i%domains)}
	for _, a := range []*string{&n.callersAddr, &n.beatsAddr, &n.readyAddr, &n.peersAddr, &n.upstreamAddr, &n.publicAddr} {
		free, err := procs.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	for _, link := range []struct {
		relay          **chaos.Relay
		listen, target string
	}{
		{&n.toStore, "127.0.0.1:0", s.storeAddr},
		{&n.toUpstream, "127.0.0.1:0", n.upstreamAddr},
		{&n.toBeats, "127.0.0.1:0", n.beatsAddr},
		{&n.toPeers, n.publicAddr, n.peersAddr},
	} {
		r, err := chaos.NewRelayAt(link.listen, link.target)
		if err != nil {
			return nil, err
		}
		*link.relay = r
	}
	var err error
	n.datagrams, err = chaos.NewDatagramRelay(n.publicAddr, n.peersAddr)
	return n, err
}

func (s *system) startNode(n *node) error {
	settings, err := json.Marshal(map[string]any{
		"node": n.name, "service": service, "domain": n.domain, "region": "r", "upstream": n.toUpstream.Address(),
		"listen":    map[string]string{"callers": n.callersAddr, "beats": n.beatsAddr, "ready": n.readyAddr, "peers": n.peersAddr, "public": n.publicAddr},
		"store":     map[string]string{"address": n.toStore.Address()},
		"seeds":     []string{},
		"heartbeat": "300ms",
		"grace":     stopGrace.String(),
		// These switch on the parts of the node that the soak checks.
		"budget":     map[string]any{},
		"exposure":   map[string]any{},
		"cold":       map[string]any{},
		"evacuation": "5s",
		"probes":     60,
		"pipelined":  8,
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.o.Dir, n.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", n.name, n.starts.Load())
	p, err := s.processes.Start(s.o.Dir, name, procs.LineWatch{}, filepath.Join(s.o.Bin, "cicadahall"), "side", "--settings", path)
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
	watch := procs.LineWatch{Handle: func(line string) { s.recordLine(n, instance, line) }}
	p, err := s.processes.Start(s.o.Dir, instance, watch, filepath.Join(s.o.Bin, "standin"), "worker",
		"--listen", n.upstreamAddr, "--address", n.toUpstream.Address(), "--node", n.toBeats.Address(),
		"--instance", instance, "--service", service)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.upstream, n.instance = p, instance
	n.mu.Unlock()
	return nil
}

// recordLine records an execution or the leaving of an upstream from a line of its
// output.
func (s *system) recordLine(n *node, instance, line string) {
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
		s.leftAt[instance] = at
	}
}

// controlStore sends a command to the control interface of the store's stand-in,
// which works during all faults.
func (s *system) controlStore(path string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+s.storeAddr+path, http.NoBody)
	if err != nil {
		return
	}
	if resp, err := s.control.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}

// relaysOf lists the relays of a node: to the store, to its upstream, and to it
// from its upstream and from other nodes.
func (s *system) relaysOf(n *node) []*chaos.Relay {
	return []*chaos.Relay{n.toStore, n.toUpstream, n.toBeats, n.toPeers}
}

func (s *system) close() {
	s.processes.KillAll()
	s.rows.Close()
	for _, n := range s.nodes {
		for _, r := range s.relaysOf(n) {
			r.Close()
		}
		n.datagrams.Close()
	}
}
