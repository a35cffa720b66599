package chaos

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay passes TCP connections on to a target. It can make connections silent:
// they stay open, but nothing passes any more, in neither direction.
type Relay struct {
	target   string
	listener net.Listener
	wait     sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	pairs []*pair
}

// pair is one connection with its other side.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
	// moved counts bytes in both directions.
	moved atomic.Int64
}

// NewRelay listens on a free loopback port and passes connections on.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l}
	r.wait.Go(r.accept)
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		r.mu.Lock()
		p.silent.Store(r.cut)
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.wait.Go(func() { p.pass(near, far) })
		r.wait.Go(func() { p.pass(far, near) })
	}
}

// pass copies one direction. A silent connection is read on, so that the
// sender sees no back pressure, but nothing is written and no end is passed on.
func (p *pair) pass(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			p.moved.Add(int64(n))
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Silence makes all open connections silent for good. New ones work. It
// returns the number of connections that had been in use.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := 0
	for _, p := range r.pairs {
		if !p.silent.Swap(true) && p.moved.Load() > 0 {
			used++
		}
	}
	return used
}

// Cut makes open and new connections silent until Heal; those made silent
// stay so.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.Silence()
}

// Heal lets new connections pass again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Close ends the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}
