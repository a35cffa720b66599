package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cicadahall/cicadahall/platform/fake"
)

// program and its verb are the command of the deploy file.
const (
	program = "target/cicadahall"
	verb    = "side"
)

// Bounds of the deployment gwely-glan.
const (
	heartbeatInterval = 1500 * time.Millisecond
	gracePeriod       = 6 * time.Second
	// lead is the time between the start of the machines and that of the traffic.
	lead = 8 * time.Second
	// readyTimeout bounds the start of the nodes.
	readyTimeout = 15 * time.Second
	// region is the only region.
	region = "cymru"
)

var (
	errNotReady  = errors.New("a node isn't ready")
	errNoAddress = errors.New("no loopback address has all ports free")
)

// system is a small deployment on loopback addresses: the platform's store, and
// machines that each have a worker and a node.
type system struct {
	folder   string
	store    *fake.Store
	machines []*machine
	record   *record
	closers  []func()
}

// machine is one machine of the deployment.
type machine struct {
	system     *system
	name, zone string
	service    string
	listen     map[string]string
	front      *storeFront
	worker     *worker
	node       *exec.Cmd
	nodeEnded  chan struct{}
	log        *os.File
}

func newSystem(r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, record: r, store: fake.NewUnstartedStore()}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(folder) })
	return s, nil
}

// ports are the ports of each machine. They lie below those that the system gives to
// outgoing connections.
var ports = map[string]int{"callers": 8147, "beats": 8144, "ready": 8141, "peers": 7380, "admin": 9464}

// freeIP returns the loopback address of a machine, at which all its ports are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errNoAddress
}

// add adds a machine with a worker. Its node isn't started yet.
func (s *system) add(zone, service string, o workerOptions) (*machine, error) {
	m := &machine{
		system: s, name: fmt.Sprintf("sidecar-%s-%d", zone, len(s.machines)+1),
		zone: zone, service: service, listen: map[string]string{},
	}
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	for name, port := range ports {
		m.listen[name] = fmt.Sprintf("%s:%d", ip, port)
	}
	if m.front, err = newStoreFront(s.store); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, m.front.close)
	if m.worker, err = newWorker(m, service, o); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, m.worker.close)
	s.machines = append(s.machines, m)
	return m, m.writeSettings()
}

func (m *machine) settingsPath() string { return filepath.Join(m.system.folder, m.name+".json") }

// writeSettings writes what the platform makes of deploy/settings.json on a machine
// of a small deployment.
func (m *machine) writeSettings() error {
	settings, err := json.MarshalIndent(map[string]any{
		"node": m.name, "service": m.service, "domain": m.zone, "region": region,
		"upstream": m.worker.address(), "listen": m.listen,
		"store":      map[string]string{"address": m.front.address},
		"seeds":      []string{},
		"heartbeat":  fmt.Sprintf("%dms", heartbeatInterval.Milliseconds()),
		"grace":      fmt.Sprintf("%.0fs", gracePeriod.Seconds()),
		"budget":     map[string]any{"ratio": 0.2, "slack": 64, "window": "10s"},
		"exposure":   map[string]any{"share": 0.1, "slack": 50},
		"cold":       map[string]any{"overage": 1.5, "slack": 5},
		"evacuation": "5000ms", "probes": 60, "pipelined": 8, "calls": "first",
		"memory": 284, "descriptors": 4100,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), settings, 0o600)
}

// startNode starts the node.
func (m *machine) startNode() error {
	log, err := os.Create(filepath.Join(m.system.folder, m.name+".log"))
	if err != nil {
		return err
	}
	m.log = log
	m.node = exec.Command(program, verb)
	m.node.Env = append(os.Environ(), "CICADAHALL_CONFIG="+m.settingsPath())
	m.node.Stdout, m.node.Stderr = log, log
	if err := m.node.Start(); err != nil {
		return err
	}
	m.nodeEnded = make(chan struct{})
	go func() {
		defer close(m.nodeEnded)
		_ = m.node.Wait() // the state of the process isn't needed
	}()
	m.system.record.add("node %s started", m.name)
	return nil
}

// start starts all nodes and the heartbeats of all workers, and returns once the
// nodes are ready and the traffic may start.
func (s *system) start(config string) error {
	started := time.Now()
	s.store.Put("op", "config", config)
	for _, m := range s.machines {
		if err := m.startNode(); err != nil {
			return err
		}
		m.worker.startBeats()
	}
	for _, m := range s.machines {
		for !m.isReady() {
			if time.Since(started) > readyTimeout {
				return fmt.Errorf("%w: %s after %v", errNotReady, m.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(started.Add(lead)))
	s.record.add("traffic starts")
	return nil
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.listen["ready"]+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and servers of the system.
func (s *system) close() {
	for _, m := range s.machines {
		if m.nodeEnded == nil {
			continue
		}
		_ = m.node.Process.Kill() // fails if the process has ended
		<-m.nodeEnded
		_ = m.log.Close()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}
