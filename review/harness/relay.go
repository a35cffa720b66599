package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// relay passes heartbeats from a worker to its node. It can delay them, as a
// network does.
type relay struct {
	listener net.Listener
	target   string
	// delay is by how much later the heartbeats arrive, in nanoseconds.
	delay atomic.Int64
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(c)
		}
	}()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() { _ = r.listener.Close() }

// setDelay sets by how much later the heartbeats arrive that are sent from now
// on.
func (r *relay) setDelay(d time.Duration) { r.delay.Store(int64(d)) }

// pass carries one connection. The bytes of a held one arrive later, also if the
// worker no longer waits for the answer.
func (r *relay) pass(c net.Conn) {
	defer func() { _ = c.Close() }()
	time.Sleep(time.Duration(r.delay.Load()))
	node, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = node.Close() }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = io.Copy(c, node)
	}()
	_, _ = io.Copy(node, c)
	// The node gets the time to answer before the connection ends.
	select {
	case <-answered:
	case <-time.After(500 * time.Millisecond):
	}
}
