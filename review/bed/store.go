package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/platform/fake"
)

// storeLatency is the time of an answer of the store.
const storeLatency = 4 * time.Millisecond

// storeFront is the platform's store as one machine reaches it. The store may turn
// the machine away while it serves the others.
type storeFront struct {
	store   *fake.Store
	server  *http.Server
	address string

	mu sync.Mutex
	// turnedAway is closed once the store turns the machine away.
	turnedAway chan struct{}
	isAway     bool
	// polls counts the calls that wait for changes.
	polls int
}

func newStoreFront(s *fake.Store) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{store: s, address: l.Addr().String(), turnedAway: make(chan struct{})}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }() // ends with close
	return f, nil
}

func (f *storeFront) close() { _ = f.server.Close() }

// turnAway answers all calls of the machine with 429, also those that wait for
// changes.
func (f *storeFront) turnAway() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isAway {
		f.isAway = true
		close(f.turnedAway)
	}
}

// takeBack serves the machine again.
func (f *storeFront) takeBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway {
		f.isAway = false
		f.turnedAway = make(chan struct{})
	}
}

// isPolled reports whether the machine waits for changes.
func (f *storeFront) isPolled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls > 0
}

func (f *storeFront) countPoll(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls += n
}

// ServeHTTP answers one call.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	turnedAway := f.turnedAway
	f.mu.Unlock()
	time.Sleep(storeLatency)
	if r.URL.Path == "/api/rows-feed" {
		f.countPoll(1)
		defer f.countPoll(-1)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-turnedAway:
		default:
			f.store.ServeHTTP(answer, r.WithContext(ctx))
		}
	}()
	select {
	case <-turnedAway:
		cancel()
		<-done
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case <-done:
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes()) // an error means that the node has gone
}

// heldAnswer holds an answer until it is known whether it is delivered.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader sets the status of the answer.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write adds to the body of the answer.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
