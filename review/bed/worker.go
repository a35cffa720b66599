package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// workerOptions configures a worker.
type workerOptions struct {
	slots int
	// work returns the time of a run by its path.
	work func(path string) time.Duration
	// losesAnswer reports whether the answer of a run is lost: its connection is
	// reset. Nil means never.
	losesAnswer func() bool
}

// worker is a worker beside a node. It runs a limited number of requests at a time
// and queues the others.
type worker struct {
	machine  *machine
	service  string
	id       string
	born     int64
	options  workerOptions
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	// running and waiting count the requests at the worker.
	running, waiting atomic.Int64
	sequence         atomic.Int64
	// leaving is set once the worker has said that it leaves.
	leaving atomic.Bool
	stopped chan struct{}

	mu   sync.Mutex
	runs []arrival
}

// arrival is a request that has reached a worker, which runs it.
type arrival struct {
	id, path string
	at       time.Time
}

// newWorker returns a worker at a new address.
func newWorker(m *machine, service string, o workerOptions) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		machine: m, service: service, id: "i-" + m.name, born: time.Now().UnixMilli(), options: o,
		listener: l, slots: make(chan struct{}, o.slots), stopped: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }() // ends with close
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// close ends the heartbeats and the server.
func (w *worker) close() {
	close(w.stopped)
	_ = w.server.Close()
}

// ServeHTTP answers one request or health check.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", w.running.Load(), w.waiting.Load(), w.options.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", w.id)
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.note(arrival{id: id, path: r.URL.Path, at: time.Now()})
	w.machine.system.record.add("worker %s of %s gets %s %s %s, X-Expect-Instance %q, X-Deadline-Ms %s",
		w.id, w.service, id, r.Method, r.URL.Path, r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Deadline-Ms"))
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !w.work(r) {
		w.machine.system.record.add("worker %s drops %s: its connection has ended", w.id, id)
		panic(http.ErrAbortHandler)
	}
	if w.options.losesAnswer != nil && w.options.losesAnswer() {
		w.machine.system.record.add("worker %s has run %s and its answer is lost", w.id, id)
		reset(out)
		return
	}
	w.machine.system.record.add("worker %s has run %s", w.id, id)
	h.Set("X-Response-Signature", "signature."+w.id+"."+id)
	_, _ = io.WriteString(out, "answer to "+id) // an error means that the node has gone
}

// reset resets the connection of an answer.
func reset(out http.ResponseWriter) {
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// work runs a request in a slot. It returns false if the connection of the request
// has ended before.
func (w *worker) work(r *http.Request) bool {
	w.waiting.Add(1)
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return false
	}
	defer func() { <-w.slots }()
	w.running.Add(1)
	defer w.running.Add(-1)
	select {
	case <-time.After(w.options.work(r.URL.Path)):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (w *worker) note(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, a)
}

// arrivals returns the requests that the worker got and didn't refuse.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.runs...)
}

// startBeats sends heartbeats until the worker leaves or ends.
func (w *worker) startBeats() {
	go func() {
		for !w.leaving.Load() {
			_ = w.beat("ready") // the next heartbeat makes up for a failed one
			select {
			case <-w.stopped:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// leave says that the worker leaves and returns the time of the acknowledgement.
// The worker goes on serving.
func (w *worker) leave() (time.Time, error) {
	w.leaving.Store(true)
	if err := w.beat("draining"); err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	w.machine.system.record.add("the node acknowledges that worker %s is draining", w.id)
	return at, nil
}

func (w *worker) beat(state string) error {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		w.address(), w.born, w.service, w.machine.zone, w.options.slots, state, w.sequence.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.machine.listen["beats"]+"/api/instances/"+w.id, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat of %s: status %d", w.id, resp.StatusCode)
	}
	return nil
}
