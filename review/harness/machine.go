package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryCheckInterval is how often the platform checks the size of a node.
const memoryCheckInterval = 2 * time.Millisecond

// machine is a node, the worker beside it, and the platform that restarts the
// node when it ends.
type machine struct {
	fleet  *fleet
	name   string
	zone   string
	worker *worker
	beats  *relay
	// The addresses are those of the settings; see the deploy file's template.
	callers, control, ready, peers, admin string
	settings                              string

	mu      sync.Mutex
	process *exec.Cmd
	stopped bool
	// terminated is the time of the latest SIGTERM.
	terminated time.Time
	// misses counts the latest readiness checks without status 200.
	misses int
	// kills counts the kills for too much memory, peakKB is the largest size.
	kills  int
	peakKB int
	ended  sync.WaitGroup
}

func (f *fleet) newMachine(i int) (*machine, error) {
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%c-%d", 'a'+i%2, i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%2)}
	for _, a := range []*string{&m.callers, &m.control, &m.ready, &m.peers, &m.admin} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	var err error
	if m.beats, err = newRelay(m.control); err != nil {
		return nil, err
	}
	if m.worker, err = newWorker(m, i+1); err != nil {
		return nil, err
	}
	body, err := json.MarshalIndent(m.template(), "", "  ")
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(f.dir, m.name+".json")
	return m, os.WriteFile(m.settings, body, 0o600)
}

// template returns the settings of deploy/settings.json as filled in for a small
// deployment.
func (m *machine) template() map[string]any {
	return map[string]any{
		"node": m.name, "service": m.fleet.options.service, "domain": m.zone, "region": "region",
		"upstream":  m.worker.address,
		"listen":    map[string]any{"callers": m.callers, "beats": m.control, "ready": m.ready, "peers": m.peers, "admin": m.admin},
		"store":     map[string]any{"address": m.fleet.storeAt},
		"seeds":     []string{},
		"heartbeat": heartbeatInterval.String(),
		"grace":     grace.String(),
		"budget":    map[string]any{"ratio": 0.2, "slack": 56, "window": "10s"},
		"exposure":  map[string]any{"share": 0.1, "slack": 50},
		"cold":      map[string]any{"overage": 1.5, "slack": 5},
		"probes":    60,
	}
}

// start starts the node as the deploy file does, and restarts it when it ends.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command(m.fleet.program, "side")
	p.Env = []string{"CICADAHALL_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	m.process = p
	m.fleet.record("node %s started", m.name)
	m.ended.Add(1)
	go m.supervise(p, log)
	return nil
}

func (m *machine) supervise(p *exec.Cmd, log *os.File) {
	defer m.ended.Done()
	watched := make(chan struct{})
	if m.fleet.options.memoryMB > 0 {
		go m.watchMemory(p, watched)
	}
	err := p.Wait()
	close(watched)
	_ = log.Close()
	m.fleet.record("node %s ended: %v", m.name, err)
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.fleet.record("node %s can't be restarted: %v", m.name, err)
	}
}

// watchMemory kills the process when it exceeds the machine's memory.
func (m *machine) watchMemory(p *exec.Cmd, ended <-chan struct{}) {
	t := time.NewTicker(memoryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		kb := anonymousKB(p.Process.Pid)
		m.mu.Lock()
		m.peakKB = max(m.peakKB, kb)
		m.mu.Unlock()
		if kb <= m.fleet.options.memoryMB<<10 {
			continue
		}
		m.fleet.record("node %s has %d MB, limit %d MB: killed", m.name, kb>>10, m.fleet.options.memoryMB)
		m.mu.Lock()
		m.kills++
		m.mu.Unlock()
		_ = p.Process.Signal(syscall.SIGKILL)
		return
	}
}

// anonymousKB returns the resident memory of a process without its files.
func anonymousKB(pid int) int {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return kb
		}
	}
	return 0
}

// kill ends the node's process at once; the platform starts it again.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(syscall.SIGKILL)
}

// terminate sends SIGTERM, and SIGKILL when the grace period is over. The platform
// starts the node again when it has ended.
func (m *machine) terminate() {
	m.mu.Lock()
	p := m.process
	m.terminated = time.Now()
	m.mu.Unlock()
	m.fleet.record("node %s gets SIGTERM", m.name)
	_ = p.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { _ = p.Process.Signal(syscall.SIGKILL) })
}

// watchReady checks once a second whether the node is ready.
func (m *machine) watchReady() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	c := http.Client{Timeout: time.Second}
	for {
		select {
		case <-m.fleet.done:
			return
		case <-t.C:
		}
		status := 0
		if resp, err := c.Get("http://" + m.ready + "/api/ready"); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		m.mu.Lock()
		m.misses++
		if status == http.StatusOK {
			m.misses = 0
		}
		m.mu.Unlock()
	}
}

// takesClients reports whether clients send new work to the machine.
func (m *machine) takesClients() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < 2
}

// stop ends the node and its worker for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	if m.process != nil {
		_ = m.process.Process.Signal(syscall.SIGKILL)
	}
	m.mu.Unlock()
	m.ended.Wait()
	m.worker.stop()
	m.beats.close()
}
