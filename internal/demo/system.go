package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"
)

// worker is one instance: an upstream and the node beside it.
type worker struct {
	name    string
	service string
	version string
	domain  string
	slots   int

	callers  string
	peers    string
	gossip   string
	local    string
	admin    string
	address  string
	node     *process
	upstream *process
}

// system is everything that the demo starts.
type system struct {
	dir     string
	bin     string
	table   string
	objects string
	workers []*worker
	all     processes
	port    int

	mu   sync.Mutex
	runs map[string]int
}

// region is the one region of the deployment.
const region = "mvd"

// regionDomains are the failure domains of the deployment.
var regionDomains = []string{"mvd-a", "mvd-b", "mvd-c", "mvd-d"}

func newSystem(dir, bin string) *system {
	return &system{dir: dir, bin: bin, port: firstPort, runs: map[string]int{}}
}

const (
	// firstPort and lastPort are below the range from which the system takes
	// ports for outgoing connections; a port of that range can be taken by a
	// connection between the check and its use.
	firstPort = 20000
	lastPort  = 32000
)

// addresses fills the given places with addresses that nobody listens on.
func (s *system) addresses(into ...*string) error {
	for _, a := range into {
		free, err := s.freeAddress()
		if err != nil {
			return err
		}
		*a = free
	}
	return nil
}

// freeAddress returns the next address that is free for TCP and UDP.
func (s *system) freeAddress() (string, error) {
	for ; s.port < lastPort; s.port++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(s.port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		s.port++
		return address, nil
	}
	return "", oops.With("step", "reserve", "peer", "loopback").Errorf("no free port from %d to %d", firstPort, lastPort)
}

// startPlatform starts the stand-ins for both services of the platform.
func (s *system) startPlatform() error {
	if err := s.addresses(&s.table, &s.objects); err != nil {
		return err
	}
	for name, address := range map[string]string{"table": s.table, "objects": s.objects} {
		p, err := start(s.dir, name, watch{}, filepath.Join(s.bin, "standin"), name, "--listen", address)
		if err != nil {
			return err
		}
		s.all.add(p)
	}
	return nil
}

// startWorker starts an upstream and its node.
func (s *system) startWorker(w *worker) error {
	if err := s.addresses(&w.callers, &w.peers, &w.gossip, &w.local, &w.admin, &w.address); err != nil {
		return err
	}
	settings, err := s.writeSettings(w)
	if err != nil {
		return err
	}
	w.node, err = start(s.dir, w.name+"-node", watch{}, filepath.Join(s.bin, "cicadahall"), "node", settings)
	if err != nil {
		return err
	}
	s.all.add(w.node)
	s.workers = append(s.workers, w)
	return s.startUpstream(w)
}

func (s *system) startUpstream(w *worker) error {
	next := ""
	if w.service == "counter" {
		next = "workshop"
	}
	seed := fmt.Sprint(len(s.workers))
	p, err := start(s.dir, w.name+"-upstream", watch{prefix: "run ", line: s.ran},
		filepath.Join(s.bin, "standin"), "upstream",
		"--listen", w.address, "--local", "http://"+w.local, "--entry", "http://"+w.callers,
		"--service", w.service, "--version", w.version, "--slots", fmt.Sprint(w.slots),
		"--next", next, "--seed", seed, "--mean", "10ms", "--journal")
	if err != nil {
		return err
	}
	w.upstream = p
	s.all.add(p)
	return nil
}

// ran counts one execution that an upstream has written to its journal. The
// journal survives the death of the upstream.
func (s *system) ran(order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[order]++
}

// journal returns the executions by order.
func (s *system) journal() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

type listenSettings struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Gossip  string `json:"gossip"`
	Local   string `json:"local"`
	Admin   string `json:"admin"`
}

type platformSettings struct {
	Table   string `json:"table"`
	Objects string `json:"objects"`
}

type nodeSettings struct {
	Node     string           `json:"node"`
	Domain   string           `json:"domain"`
	Region   string           `json:"region"`
	Listen   listenSettings   `json:"listen"`
	Platform platformSettings `json:"platform"`
	Peers    []string         `json:"peers"`
	Log      string           `json:"log"`
}

func (s *system) writeSettings(w *worker) (string, error) {
	peers := []string{}
	for _, o := range s.workers[:min(3, len(s.workers))] {
		peers = append(peers, o.peers)
	}
	return s.writeJSON(w.name+".json", nodeSettings{
		Node:     w.name,
		Domain:   w.domain,
		Region:   region,
		Listen:   listenSettings{w.callers, w.peers, w.gossip, w.local, w.admin},
		Platform: platformSettings{"http://" + s.table, "http://" + s.objects},
		Peers:    peers,
		Log:      "info",
	})
}

func (s *system) writeJSON(name string, value any) (string, error) {
	path := filepath.Join(s.dir, name)
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, body, 0o600)
}

// command runs a verb of the product.
func (s *system) command(ctx context.Context, args ...string) (string, error) {
	return run(ctx, filepath.Join(s.bin, "cicadahall"), args...)
}

// ready waits until every node answers its readiness check.
func (s *system) ready(ctx context.Context) error {
	for _, w := range s.workers {
		if err := waitReady(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the pause between two looks at a state that is waited for.
const pollInterval = 50 * time.Millisecond

func waitReady(ctx context.Context, w *worker) error {
	for {
		resp, err := http.Get("http://" + w.admin + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return oops.With("step", "ready", "peer", w.name).Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// entries returns the callers' addresses of all nodes that run.
func (s *system) entries() []string {
	var out []string
	for _, w := range s.workers {
		if w.node.running() {
			out = append(out, w.callers)
		}
	}
	return out
}

// tally is the part of an upstream's tally that the demo looks at.
type tally struct {
	Runs int `json:"runs"`
}

// runsIn returns how many requests the upstreams of a domain have executed.
func (s *system) runsIn(d string) (int, error) {
	sum := 0
	for _, w := range s.inDomain(d) {
		resp, err := http.Get("http://" + w.address + "/tally")
		if err != nil {
			return 0, oops.With("step", "tally", "peer", w.name).Wrap(err)
		}
		var t tally
		err = json.NewDecoder(resp.Body).Decode(&t)
		_ = resp.Body.Close()
		if err != nil {
			return 0, oops.With("step", "tally", "peer", w.name).Wrap(err)
		}
		sum += t.Runs
	}
	return sum, nil
}

// sorted returns the keys of a count in order.
func sorted(counts map[string]int) []string {
	return slices.Sorted(maps.Keys(counts))
}

// inDomain returns the workers of one failure domain.
func (s *system) inDomain(d string) []*worker {
	return slices.Collect(func(yield func(*worker) bool) {
		for _, w := range s.workers {
			if w.domain == d && !yield(w) {
				return
			}
		}
	})
}

// kill ends an instance at once, the node and its upstream together.
func (w *worker) kill() {
	w.node.kill()
	w.upstream.kill()
}
