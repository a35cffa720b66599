package chaos

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to a target. It can make connections silent:
// they stay open, but no data is forwarded, in one or both directions. It can
// also reset or delay them.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup
	// delay is added to each forwarded chunk, in nanoseconds. While oneWay is
	// set, data from the target is dropped.
	delay  atomic.Int64
	oneWay atomic.Bool

	mu sync.Mutex
	// cut makes new connections silent.
	cut   bool
	conns []*relayedConn
}

// relayedConn is one connection from a client with the matching connection to
// the target.
type relayedConn struct {
	relay          *Relay
	client, server net.Conn
	silent         atomic.Bool
	// bytes counts the forwarded bytes of both directions, doneDirections the
	// directions whose forwarding has ended.
	bytes          atomic.Int64
	doneDirections atomic.Int32
}

// NewRelay listens on a free loopback port and forwards connections to target.
func NewRelay(target string) (*Relay, error) {
	return NewRelayAt("127.0.0.1:0", target)
}

// NewRelayAt listens on address and forwards connections to target.
func NewRelayAt(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		rc := &relayedConn{relay: r, client: client, server: server}
		r.mu.Lock()
		rc.silent.Store(r.cut)
		r.conns = append(slices.DeleteFunc(r.conns, func(rc *relayedConn) bool { return rc.doneDirections.Load() == 2 }), rc)
		r.mu.Unlock()
		r.wg.Go(func() { rc.forward(client, server) })
		r.wg.Go(func() { rc.forward(server, client) })
	}
}

// forward copies one direction. It continues to read from a silent connection,
// so that the sender sees no back pressure, but writes nothing and doesn't
// forward the close.
func (rc *relayedConn) forward(src, dst net.Conn) {
	defer rc.doneDirections.Add(1)
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		time.Sleep(time.Duration(rc.relay.delay.Load()))
		if rc.silent.Load() || rc.relay.oneWay.Load() && src == rc.server {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if n > 0 {
			rc.bytes.Add(int64(n))
			_, _ = dst.Write(buffer[:n])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

// Silence makes all open connections silent until they are closed. New
// connections work. It returns the number of newly silenced connections that had
// forwarded data.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := 0
	for _, rc := range r.conns {
		if !rc.silent.Swap(true) && rc.bytes.Load() > 0 {
			used++
		}
	}
	return used
}

// Cut makes all open connections silent, and all new ones until Heal is called.
// Silenced connections stay silent after Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.Silence()
}

// Heal forwards new connections again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Reset closes all open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rc := range r.conns {
		for _, c := range []net.Conn{rc.client, rc.server} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// SetDelay sets the delay of each forwarded chunk; 0 means none.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetOneWay turns one-way mode on or off. While it is on, a connection that
// receives data from the target becomes silent in that direction until it is
// closed.
func (r *Relay) SetOneWay(on bool) { r.oneWay.Store(on) }

// Close closes the listener and all connections and waits for the forwarding
// goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, rc := range r.conns {
		_ = rc.client.Close()
		_ = rc.server.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
