package chaos

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on to a target. It can make connections silent:
// they stay open, but nothing passes any more, in one or both directions. It
// can also reset or delay them.
type Relay struct {
	target   string
	listener net.Listener
	wait     sync.WaitGroup
	// delay is added to each piece that passes, in nanoseconds; oneWay is set
	// while nothing passes from the target.
	delay  atomic.Int64
	oneWay atomic.Bool

	mu    sync.Mutex
	cut   bool
	pairs []*pair
}

// pair is one connection with its other side.
type pair struct {
	relay     *Relay
	near, far net.Conn
	silent    atomic.Bool
	// moved counts bytes in both directions, ended the directions that have ended.
	moved atomic.Int64
	ended atomic.Int32
}

// NewRelay listens on a free loopback port and passes connections on.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", target)
}

// NewRelayAt listens on an address and passes connections on.
func NewRelayAt(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
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
		p := &pair{relay: r, near: near, far: far}
		r.mu.Lock()
		p.silent.Store(r.cut)
		r.pairs = append(slices.DeleteFunc(r.pairs, func(p *pair) bool { return p.ended.Load() == 2 }), p)
		r.mu.Unlock()
		r.wait.Go(func() { p.pass(near, far) })
		r.wait.Go(func() { p.pass(far, near) })
	}
}

// pass copies one direction. A silent connection is read on, so that the
// sender sees no back pressure, but nothing is written and no end is passed on.
func (p *pair) pass(from, to net.Conn) {
	defer p.ended.Add(1)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(p.relay.delay.Load()))
		if p.silent.Load() || p.relay.oneWay.Load() && from == p.far {
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

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// SetDelay delays whatever passes; 0 ends that.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetOneWay makes each connection silent for good in the direction from the
// target once something comes that way, until it is ended.
func (r *Relay) SetOneWay(on bool) { r.oneWay.Store(on) }

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
