package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// clientDeadline is the time that a client waits for an answer.
const clientDeadline = 5 * time.Second

// request is one attempt of a client, with what the client saw.
type request struct {
	id      string
	machine *machine
	unsafe  bool
	// kept is set if the connection had carried an earlier request.
	kept     bool
	sent     time.Time
	answered time.Time
	// status is 0 without an answer; whole is set if the body was complete.
	status int
	whole  bool
	body   string
	// closed is set if the node closed the connection without an answer.
	closed bool
	err    error
}

// client sends one request after the other on a connection that it keeps.
type client struct {
	name    string
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func (m *machine) newClient(name string) *client { return &client{name: name, machine: m} }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and waits for its answer.
func (c *client) send(method, prefix string) request {
	r := request{id: fmt.Sprintf("%016x", rand.Uint64()), machine: c.machine, unsafe: method == http.MethodPost, sent: time.Now()}
	if r.err = c.connect(); r.err != nil {
		return r
	}
	r.kept, c.used = c.used, true
	r.sent = time.Now()
	_ = c.conn.SetDeadline(r.sent.Add(clientDeadline + 500*time.Millisecond))
	body := ""
	if r.unsafe {
		body = "booking"
	}
	_, err := fmt.Fprintf(c.conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, prefix, r.id, callerHost, r.id, clientDeadline.Milliseconds(), len(body), body)
	if err == nil {
		err = c.read(&r)
	}
	r.answered = time.Now()
	if err != nil {
		var timeout net.Error
		r.err = err
		r.closed = !errors.As(err, &timeout) || !timeout.Timeout()
		c.close()
	}
	return r
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.machine.callers, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return nil
}

func (c *client) read(r *request) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.whole = resp.StatusCode, string(body), err == nil
	if err != nil || resp.Close {
		c.close()
	}
	return nil
}

// load is the requests of all clients.
type load struct {
	mu       sync.Mutex
	requests []request
	stop     chan struct{}
	clients  sync.WaitGroup
}

// startLoad starts clients on each machine. Each keeps its connection and pauses
// between requests; every second request is unsafe.
func (f *fleet) startLoad(perMachine int, pause time.Duration) *load {
	l := &load{stop: make(chan struct{})}
	for _, m := range f.machines {
		for i := range perMachine {
			l.clients.Go(func() { l.runClient(m.newClient(fmt.Sprintf("%s/%d", m.name, i)), pause) })
		}
	}
	return l
}

func (l *load) runClient(c *client, pause time.Duration) {
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
		}
		if !c.machine.takesClients() {
			c.close()
			continue
		}
		method, prefix := http.MethodGet, "/status/"
		if n%2 == 0 {
			method, prefix = http.MethodPost, "/booking/"
		}
		r := c.send(method, prefix)
		l.add(c, r)
	}
}

func (l *load) add(c *client, r request) {
	f := c.machine.fleet
	if r.err != nil {
		f.record("client %s: %s sent at %s, no answer: %v", c.name, r.id, f.since(r.sent), r.err)
	} else {
		f.record("client %s: %s sent at %s, answered %d", c.name, r.id, f.since(r.sent), r.status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// end stops the clients and returns all requests.
func (l *load) end() []request {
	close(l.stop)
	l.clients.Wait()
	return l.requests
}
