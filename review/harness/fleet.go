package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cicadahall/cicadahall/platform/fake"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	grace             = 6 * time.Second
	// contact is the time after a disruption until a machine is in touch again.
	contact = 3 * time.Second
	// drainLimit is the bound on requests to a worker that has left.
	drainLimit = 2 * time.Second
	// restartDelay is the pause before the platform starts an ended process.
	restartDelay = 300 * time.Millisecond
	// routeTimeout is the longest time that the operator wants a request to wait.
	routeTimeout = 3000 * time.Millisecond
	startTimeout = 20 * time.Second
	callerHost   = "desk.example"
)

// fleetOptions configures the machines of a case.
type fleetOptions struct {
	machines int
	service  string
	slots    int
	// work is the time that a worker spends on a request.
	work time.Duration
	// spread is by how much a work time differs from work, as a fraction.
	spread float64
	// memoryMB is the size at which the platform kills a node; 0 means no limit.
	memoryMB int
	// versions are the versions of the workers, by machine; v1 where none is given.
	versions []string
}

// fleet is the store, the machines and the record of one run.
type fleet struct {
	options  fleetOptions
	program  string
	dir      string
	startAt  time.Time
	store    *fake.Store
	storeSrv *http.Server
	storeAt  string
	machines []*machine

	mu   sync.Mutex
	file *os.File
	runs map[string][]execution
	// done is closed when the run ends.
	done    chan struct{}
	closing sync.Once
}

// execution is one run of a request at a worker.
type execution struct {
	worker string
	at     time.Time
	// done is set once the worker has written its whole answer.
	done bool
}

func newFleet(program, recordFile string, o fleetOptions) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	f := &fleet{options: o, program: program, dir: dir, startAt: time.Now(), file: file, runs: map[string][]execution{}, done: make(chan struct{})}
	f.endOnSignal()
	if err := f.startStore(); err != nil {
		return nil, err
	}
	f.writeConfig(1)
	for i := range o.machines {
		m, err := f.newMachine(i)
		if err != nil {
			f.close()
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			f.close()
			return nil, err
		}
	}
	for _, m := range f.machines {
		m.worker.startBeats()
		go m.watchReady()
	}
	if err := f.awaitReady(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// endOnSignal ends the run and its processes at a signal. A reader of the output
// that goes away must not end the run before that.
func (f *fleet) endOnSignal() {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		f.close()
		os.Exit(exitUnable)
	}()
}

func (f *fleet) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = fake.NewUnstartedStore()
	f.storeAt = l.Addr().String()
	f.storeSrv = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeSrv.Serve(l) }()
	return nil
}

// writeConfig writes a configuration with a safe and an unsafe route.
func (f *fleet) writeConfig(version int) {
	rule := func(name, kind, prefix string) map[string]any {
		return map[string]any{
			"name": name, "kind": kind, "target_latency_ms": 800, "priority": 1,
			"match":  map[string]any{"prefix": prefix},
			"action": map[string]any{"service": f.options.service, "timeout_ms": routeTimeout.Milliseconds(), "max_attempts": 2},
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": callerHost, "rules": []any{
			rule("status", "safe", "/status/"), rule("booking", "unsafe", "/booking/"),
		}}},
		"clusters": []any{map[string]any{"name": f.options.service, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 7.0}},
	})
	if err != nil {
		panic(err)
	}
	f.store.Put("op", "config", string(value))
}

var (
	errNotReady = errors.New("the machines didn't become ready in time")
	errNoPort   = errors.New("no free port found")
)

// awaitReady waits until each machine serves a request, and then until all are
// in touch.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		c := m.newClient("probe")
		for c.send(http.MethodGet, "/status/").status != http.StatusOK {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.close()
	}
	time.Sleep(contact + time.Second)
	f.record("all machines are ready and in touch")
	return nil
}

// record writes a line with the time since the start of the run.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.file, "%9.3f %s\n", time.Since(f.startAt).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) since(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(f.startAt).Seconds())
}

// addRun records that a worker begins a request.
func (f *fleet) addRun(id, worker string) {
	f.mu.Lock()
	f.runs[id] = append(f.runs[id], execution{worker: worker, at: time.Now()})
	f.mu.Unlock()
	f.record("run %s at %s", id, worker)
}

// finishRun records that a worker has written its whole answer.
func (f *fleet) finishRun(id, worker string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.runs[id] {
		if r.worker == worker {
			f.runs[id][i].done = true
		}
	}
}

func (f *fleet) runsOf(id string) []execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]execution(nil), f.runs[id]...)
}

// close ends all processes that the run started.
func (f *fleet) close() { f.closing.Do(f.closeAll) }

func (f *fleet) closeAll() {
	close(f.done)
	for _, m := range f.machines {
		m.stop()
	}
	_ = f.storeSrv.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.file.Close()
	_ = os.RemoveAll(f.dir)
}

// Free ports are taken below the range from which the system assigns ports to
// outgoing connections, so that no connection takes one before its node starts.
const (
	lowestPort = 20000
	portCount  = 12000
)

// taken are the addresses that freeAddress has returned.
var taken = map[string]bool{}

// freeAddress returns an unused loopback address, each only once. It isn't safe
// for concurrent use.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		if taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		taken[address] = true
		return address, nil
	}
	return "", errNoPort
}
