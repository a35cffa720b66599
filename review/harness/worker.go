package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatTimeout is how long a worker waits for the answer to a heartbeat.
	beatTimeout = time.Second
	// workerIdle is the time after which a worker closes an idle connection.
	workerIdle = 10 * time.Second
)

// worker is an application worker beside a node.
type worker struct {
	machine  *machine
	id       string
	version  string
	address  string
	listener net.Listener
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	// faults is the number of answers that a faulty worker still spoils.
	faults atomic.Int64

	mu      sync.Mutex
	conns   map[net.Conn]bool
	ctx     context.Context
	stopCtx context.CancelFunc
	beating context.Context
	silence context.CancelFunc
}

func newWorker(m *machine, number int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	version := "v1"
	if v := m.fleet.options.versions; len(v) >= number {
		version = v[number-1]
	}
	w := &worker{machine: m, version: version, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	w.ctx, w.stopCtx = context.WithCancel(context.Background())
	w.beating, w.silence = context.WithCancel(w.ctx)
	go w.accept()
	return w, nil
}

// stop ends the worker: its connections break.
func (w *worker) stop() {
	w.stopCtx()
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// startBeats sends heartbeats until silence is called or the worker ends.
func (w *worker) startBeats() {
	go func() {
		t := time.NewTicker(heartbeatInterval)
		defer t.Stop()
		for w.beating.Err() == nil {
			w.beat()
			select {
			case <-t.C:
			case <-w.beating.Done():
			}
		}
	}()
}

// beat sends one heartbeat.
func (w *worker) beat() {
	n := w.sequence.Add(1)
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold_left_ms":0}}`,
		w.address, w.born, w.machine.fleet.options.service, w.version, w.machine.zone, w.machine.fleet.options.slots, n)
	w.machine.fleet.record("worker %s sends heartbeat %d (ready)", w.id, n)
	if err := w.callNode(http.MethodPut, w.machine.beats.address(), body); err != nil {
		w.machine.fleet.record("worker %s has no acknowledgement of heartbeat %d: %v", w.id, n, err)
	}
}

// awaitBeats waits until the worker has sent n more heartbeats.
func (w *worker) awaitBeats(n int64) {
	for end := w.sequence.Load() + n; w.sequence.Load() < end; {
		time.Sleep(10 * time.Millisecond)
	}
	// The last one has to be on its way.
	time.Sleep(100 * time.Millisecond)
}

// leave tells the node that the worker is gone, as a worker does that never
// reports that it drains. It returns the time of the acknowledgement.
func (w *worker) leave() (time.Time, error) {
	w.silence()
	w.leaving.Store(true)
	err := w.callNode(http.MethodDelete, w.machine.control, fmt.Sprintf(`{"born":%d}`, w.born))
	return time.Now(), err
}

var errNotAcknowledged = errors.New("not acknowledged")

func (w *worker) callNode(method, address, body string) error {
	ctx, cancel := context.WithTimeout(w.ctx, beatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/api/instances/"+w.id, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNotAcknowledged, resp.StatusCode)
	}
	return nil
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

// serve serves one request after the other on a connection.
func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(workerIdle))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !w.answer(c, req) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (w *worker) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Request-Id")
	switch expected := req.Header.Get("X-Expect-Instance"); {
	case req.URL.Path == "/health" && w.leaving.Load():
		return w.write(c, "503 Service Unavailable", "", "X-Instance-Id: "+w.id+"\r\n")
	case req.URL.Path == "/health":
		return w.write(c, "200 OK", "", "X-Instance-Id: "+w.id+"\r\n")
	case expected != "" && expected != w.id:
		return w.write(c, "421 Misdirected Request", "", "X-Request-Id: "+id+"\r\nX-Instance-Id: "+w.id+"\r\n")
	case w.running.Load() >= int64(w.machine.fleet.options.slots):
		return w.write(c, "503 Service Unavailable", "", "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n")
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	w.machine.fleet.addRun(id, w.id)
	if w.faults.Add(-1) >= 0 {
		w.writeEndless(c, id)
		return false
	}
	select {
	case <-time.After(w.machine.fleet.options.workTime()):
	case <-w.ctx.Done():
		return false
	}
	ok := w.write(c, "200 OK", bodyOf(id), "X-Request-Id: "+id+"\r\nX-Response-Signature: sig."+id+"\r\n")
	if ok {
		w.machine.fleet.finishRun(id, w.id)
	}
	return ok
}

// workTime returns the time that a worker spends on one request.
func (o fleetOptions) workTime() time.Duration {
	return time.Duration((1 + o.spread*(2*rand.Float64()-1)) * float64(o.work))
}

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string) string { return "answer to " + id }

func (w *worker) write(c net.Conn, status, body, headers string) bool {
	load := fmt.Sprintf("X-Server-Load: %d,0,%d,100\r\n", w.running.Load(), w.machine.fleet.options.slots)
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, headers, load, len(body), body)
	return err == nil
}
