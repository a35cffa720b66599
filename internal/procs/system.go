package procs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Worker is one instance: an upstream and the node beside it.
type Worker struct {
	Name    string
	Service string
	Version string
	Domain  string
	Slots   int

	Callers  string
	Peers    string
	Gossip   string
	Local    string
	Admin    string
	Address  string
	Node     *Process
	Upstream *Process
	// Table and Objects replace the platform's addresses for this node.
	Table   string
	Objects string

	seed   int
	starts int
}

// System is everything that one run starts: platform, nodes and upstreams.
type System struct {
	Dir     string
	Bin     string
	Table   string
	Objects string
	Workers []*Worker
	All     Group
	// Mean is the mean service time of the upstreams.
	Mean time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// region is the one region of the deployment.
const region = "mvd"

// Domains are the failure domains of the deployment.
var Domains = []string{"mvd-a", "mvd-b", "mvd-c", "mvd-d"}

// defaultMean is the mean service time unless a run sets another one.
const defaultMean = 10 * time.Millisecond

// NewSystem returns a system that has started nothing yet. Settings and logs
// go to dir, the programs are in bin.
func NewSystem(dir, bin string) *System {
	return &System{Dir: dir, Bin: bin, Mean: defaultMean, runs: map[string]int{}}
}

// StartPlatform starts the stand-ins for both services of the platform and
// waits until they can be reached.
func (s *System) StartPlatform() error {
	if err := addresses(&s.Table, &s.Objects); err != nil {
		return err
	}
	for name, address := range map[string]string{"table": s.Table, "objects": s.Objects} {
		p, err := Start(s.Dir, name, Watch{}, filepath.Join(s.Bin, "standin"), name, "--listen", address)
		if err != nil {
			return err
		}
		s.All.add(p)
		if err := p.listens(address); err != nil {
			return err
		}
	}
	return nil
}

// StartWorker starts an upstream and its node.
func (s *System) StartWorker(w *Worker) error {
	if err := addresses(&w.Callers, &w.Peers, &w.Gossip, &w.Local, &w.Admin, &w.Address); err != nil {
		return err
	}
	s.Workers = append(s.Workers, w)
	w.seed = len(s.Workers)
	if err := s.writeSettings(w); err != nil {
		return err
	}
	if err := s.StartNode(w); err != nil {
		return err
	}
	return s.StartUpstream(w)
}

// StartNode starts the node of a worker, also again after it has ended.
func (s *System) StartNode(w *Worker) error {
	w.starts++
	log := fmt.Sprintf("%s-node-%d", w.Name, w.starts)
	p, err := Start(s.Dir, log, Watch{}, filepath.Join(s.Bin, "cicadahall"), "node", filepath.Join(s.Dir, w.Name+".json"))
	if err != nil {
		return err
	}
	w.Node = p
	s.All.add(p)
	return nil
}

// StartUpstream starts the upstream of a worker, also again after it has
// ended. Each start has another seed and so another start identity.
func (s *System) StartUpstream(w *Worker) error {
	w.starts++
	next := ""
	if w.Service == "counter" {
		next = "workshop"
	}
	p, err := Start(s.Dir, fmt.Sprintf("%s-upstream-%d", w.Name, w.starts), Watch{Prefix: "run ", Line: s.ran},
		filepath.Join(s.Bin, "standin"), "upstream",
		"--listen", w.Address, "--local", "http://"+w.Local, "--entry", "http://"+w.Callers,
		"--service", w.Service, "--version", w.Version, "--slots", fmt.Sprint(w.Slots),
		"--next", next, "--seed", fmt.Sprint(w.seed+1000*w.starts), "--mean", s.Mean.String(), "--journal")
	if err != nil {
		return err
	}
	w.Upstream = p
	s.All.add(p)
	return nil
}

// ran counts one execution that an upstream has written to its journal. The
// journal survives the death of the upstream.
func (s *System) ran(order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[order]++
}

// Journal returns the executions by order.
func (s *System) Journal() map[string]int {
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

func (s *System) writeSettings(w *Worker) error {
	peers := []string{}
	for _, o := range s.Workers[:min(3, len(s.Workers)-1)] {
		peers = append(peers, o.Peers)
	}
	table, objects := cmp.Or(w.Table, s.Table), cmp.Or(w.Objects, s.Objects)
	_, err := s.WriteJSON(w.Name+".json", nodeSettings{
		Node:     w.Name,
		Domain:   w.Domain,
		Region:   region,
		Listen:   listenSettings{w.Callers, w.Peers, w.Gossip, w.Local, w.Admin},
		Platform: platformSettings{"http://" + table, "http://" + objects},
		Peers:    peers,
		Log:      "info",
	})
	return err
}

// WriteJSON writes a file to the directory of the system.
func (s *System) WriteJSON(name string, value any) (string, error) {
	path := filepath.Join(s.Dir, name)
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, body, 0o600)
}

// Command runs a verb of the product.
func (s *System) Command(ctx context.Context, args ...string) (string, error) {
	return Run(ctx, filepath.Join(s.Bin, "cicadahall"), args...)
}

// Ready waits until every node answers its readiness check.
func (s *System) Ready(ctx context.Context) error {
	for _, w := range s.Workers {
		if err := waitReady(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the pause between two looks at a state that is waited for.
const pollInterval = 50 * time.Millisecond

func waitReady(ctx context.Context, w *Worker) error {
	for !w.Ready() {
		if !w.Node.Running() {
			return oops.With("step", "ready", "peer", w.Name).Errorf("node has ended: %s", w.Node.Tail())
		}
		select {
		case <-ctx.Done():
			return oops.With("step", "ready", "peer", w.Name).Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Ready reports whether the node asks callers to use it.
func (w *Worker) Ready() bool {
	resp, err := http.Get("http://" + w.Admin + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Entries returns the callers' addresses of all nodes that run.
func (s *System) Entries() []string {
	var out []string
	for _, w := range s.Workers {
		if w.Node.Running() {
			out = append(out, w.Callers)
		}
	}
	return out
}

// tally is the part of an upstream's tally that the demo looks at.
type tally struct {
	Runs int `json:"runs"`
}

// RunsIn returns how many requests the upstreams of a domain have executed.
func (s *System) RunsIn(d string) (int, error) {
	sum := 0
	for _, w := range s.InDomain(d) {
		resp, err := http.Get("http://" + w.Address + "/tally")
		if err != nil {
			return 0, oops.With("step", "tally", "peer", w.Name).Wrap(err)
		}
		var t tally
		err = json.NewDecoder(resp.Body).Decode(&t)
		_ = resp.Body.Close()
		if err != nil {
			return 0, oops.With("step", "tally", "peer", w.Name).Wrap(err)
		}
		sum += t.Runs
	}
	return sum, nil
}

// sorted returns the keys of a count in order.
func sorted(counts map[string]int) []string {
	return slices.Sorted(maps.Keys(counts))
}

// InDomain returns the workers of one failure domain.
func (s *System) InDomain(d string) []*Worker {
	return slices.Collect(func(yield func(*Worker) bool) {
		for _, w := range s.Workers {
			if w.Domain == d && !yield(w) {
				return
			}
		}
	})
}

// Kill ends an instance at once, the node and its upstream together.
func (w *Worker) Kill() {
	w.Node.Kill()
	w.Upstream.Kill()
}
