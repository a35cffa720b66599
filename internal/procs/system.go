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

// Instance is one instance: an upstream process and the node process beside it.
type Instance struct {
	Name    string
	Service string
	Version string
	Domain  string
	Slots   int

	// Callers, Peers, Gossip, Local and Admin are the listen addresses of the
	// node, Address is that of the upstream; all are host:port.
	Callers  string
	Peers    string
	Gossip   string
	Local    string
	Admin    string
	Address  string
	Node     *Process
	Upstream *Process
	// Table and Objects override the system's platform addresses for this node;
	// empty means no override.
	Table   string
	Objects string

	seed int
	// starts counts the starts of the node and of the upstream together. It
	// makes the names of log files and the seeds of upstreams unique.
	starts int
}

// System is the set of processes of one run: the platform stand-ins, the nodes
// and the upstreams.
type System struct {
	// Dir receives settings and logs; Bin holds the programs.
	Dir string
	Bin string
	// Table and Objects are the addresses (host:port) of the platform's table
	// service and object store.
	Table     string
	Objects   string
	Instances []*Instance
	// Processes holds every process that the system has started.
	Processes Group
	// Mean is the mean service time of the upstreams.
	Mean time.Duration

	mu sync.Mutex
	// runs is the number of executions by order, read from the upstreams' output.
	runs map[string]int
}

// region is the only region of the deployment.
const region = "mvd"

// Domains lists the failure domains of the deployment.
var Domains = []string{"mvd-a", "mvd-b", "mvd-c", "mvd-d"}

// defaultMean is the mean service time of upstreams unless System.Mean is set.
const defaultMean = 10 * time.Millisecond

// NewSystem returns a system without any running process. Settings and logs are
// written to dir; the programs are taken from bin.
func NewSystem(dir, bin string) *System {
	return &System{Dir: dir, Bin: bin, Mean: defaultMean, runs: map[string]int{}}
}

// StartPlatform starts the stand-ins for the platform's table service and object
// store and waits until they accept connections.
func (s *System) StartPlatform() error {
	if err := assignAddresses(&s.Table, &s.Objects); err != nil {
		return err
	}
	for name, address := range map[string]string{"table": s.Table, "objects": s.Objects} {
		p, err := Start(s.Dir, name, LineWatch{}, filepath.Join(s.Bin, "standin"), name, "--listen", address)
		if err != nil {
			return err
		}
		s.Processes.add(p)
		if err := p.awaitListening(address); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance assigns free addresses to w, writes its settings and starts its
// node and upstream.
func (s *System) StartInstance(w *Instance) error {
	if err := assignAddresses(&w.Callers, &w.Peers, &w.Gossip, &w.Local, &w.Admin, &w.Address); err != nil {
		return err
	}
	s.Instances = append(s.Instances, w)
	w.seed = len(s.Instances)
	if err := s.writeSettings(w); err != nil {
		return err
	}
	if err := s.StartNode(w); err != nil {
		return err
	}
	return s.StartUpstream(w)
}

// StartNode starts the node of a worker. It may be called again after the node
// has exited.
func (s *System) StartNode(w *Instance) error {
	w.starts++
	logName := fmt.Sprintf("%s-node-%d", w.Name, w.starts)
	p, err := Start(s.Dir, logName, LineWatch{}, filepath.Join(s.Bin, "cicadahall"), "node", filepath.Join(s.Dir, w.Name+".json"))
	if err != nil {
		return err
	}
	w.Node = p
	s.Processes.add(p)
	return nil
}

// StartUpstream starts the upstream of a worker. It may be called again after
// the upstream has exited. Each start uses a different seed, so that it gets a
// different start identity.
func (s *System) StartUpstream(w *Instance) error {
	w.starts++
	next := ""
	if w.Service == "counter" {
		next = "workshop"
	}
	p, err := Start(s.Dir, fmt.Sprintf("%s-upstream-%d", w.Name, w.starts), LineWatch{Prefix: "run ", Handle: s.countRun},
		filepath.Join(s.Bin, "standin"), "upstream",
		"--listen", w.Address, "--local", "http://"+w.Local, "--entry", "http://"+w.Callers,
		"--service", w.Service, "--version", w.Version, "--slots", fmt.Sprint(w.Slots),
		"--next", next, "--seed", fmt.Sprint(w.seed+1000*w.starts), "--mean", s.Mean.String(), "--journal")
	if err != nil {
		return err
	}
	w.Upstream = p
	s.Processes.add(p)
	return nil
}

// countRun counts one execution that an upstream has reported on its standard
// output. The count remains after the upstream is killed.
func (s *System) countRun(order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[order]++
}

// RunsByOrder returns the number of executions of each order.
func (s *System) RunsByOrder() map[string]int {
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

func (s *System) writeSettings(w *Instance) error {
	peers := []string{}
	for _, o := range s.Instances[:min(3, len(s.Instances)-1)] {
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

// WriteJSON writes value as indented JSON to a file in the system's directory
// and returns its path.
func (s *System) WriteJSON(name string, value any) (string, error) {
	path := filepath.Join(s.Dir, name)
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, body, 0o600)
}

// Command runs a subcommand of cicadahall and returns its combined output.
func (s *System) Command(ctx context.Context, args ...string) (string, error) {
	return Run(ctx, filepath.Join(s.Bin, "cicadahall"), args...)
}

// WaitReady waits until the readiness check of every node succeeds. It fails if
// a node exits or ctx ends.
func (s *System) WaitReady(ctx context.Context) error {
	for _, w := range s.Instances {
		if err := awaitReady(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

func awaitReady(ctx context.Context, w *Instance) error {
	for !w.Ready() {
		if !w.Node.Running() {
			return oops.With("step", "ready", "peer", w.Name).Errorf("node exited before it was ready: %s", w.Node.Tail())
		}
		select {
		case <-ctx.Done():
			return oops.With("step", "ready", "peer", w.Name).Wrap(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Ready reports whether the node's readiness check succeeds.
func (w *Instance) Ready() bool {
	resp, err := http.Get("http://" + w.Admin + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Entries returns the addresses at which the running nodes accept callers.
func (s *System) Entries() []string {
	var out []string
	for _, w := range s.Instances {
		if w.Node.Running() {
			out = append(out, w.Callers)
		}
	}
	return out
}

// tally is the part of the response of /tally that DomainRuns reads.
type tally struct {
	Runs int `json:"runs"`
}

// DomainRuns returns the number of requests that the upstreams of a failure
// domain have executed.
func (s *System) DomainRuns(domain string) (int, error) {
	total := 0
	for _, w := range s.DomainInstances(domain) {
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
		total += t.Runs
	}
	return total, nil
}

// sortedKeys returns the keys of counts in ascending order.
func sortedKeys(counts map[string]int) []string {
	return slices.Sorted(maps.Keys(counts))
}

// DomainInstances returns the workers of a failure domain.
func (s *System) DomainInstances(domain string) []*Instance {
	return slices.Collect(func(yield func(*Instance) bool) {
		for _, w := range s.Instances {
			if w.Domain == domain && !yield(w) {
				return
			}
		}
	})
}

// Kill kills the node and then the upstream of an instance.
func (w *Instance) Kill() {
	w.Node.Kill()
	w.Upstream.Kill()
}
