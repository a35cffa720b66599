package chaos

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Datagrams passes UDP datagrams on to a target and their answers back, from
// one socket for each sender. While it is cut, it drops them.
type Datagrams struct {
	target netip.AddrPort
	conn   *net.UDPConn
	cut    atomic.Bool
	wait   sync.WaitGroup

	mu     sync.Mutex
	paths  map[netip.AddrPort]*net.UDPConn
	closed bool
}

// maxDatagram is the largest datagram that passes whole, in bytes.
const maxDatagram = 2048

// NewDatagrams listens on an address.
func NewDatagrams(address, target string) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	d := &Datagrams{target: to, conn: c, paths: map[netip.AddrPort]*net.UDPConn{}}
	d.wait.Go(d.forward)
	return d, nil
}

// SetCut drops all datagrams while on.
func (d *Datagrams) SetCut(on bool) { d.cut.Store(on) }

func (d *Datagrams) forward() {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if c := d.path(from); c != nil && !d.cut.Load() {
			_, _ = c.Write(b[:n]) // a datagram may get lost
		}
	}
}

// path returns the socket that stands for a sender.
func (d *Datagrams) path(from netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.paths[from]; c != nil || d.closed {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.target))
	if err != nil {
		return nil
	}
	d.paths[from] = c
	d.wait.Go(func() { d.back(c, from) })
	return c
}

func (d *Datagrams) back(c *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, maxDatagram)
	for {
		n, err := c.Read(b)
		d.mu.Lock()
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		if err == nil && !d.cut.Load() {
			_, _ = d.conn.WriteToUDPAddrPort(b[:n], to) // a datagram may get lost
		}
	}
}

// Close ends the socket and all paths.
func (d *Datagrams) Close() {
	d.mu.Lock()
	d.closed = true
	_ = d.conn.Close()
	for _, c := range d.paths {
		_ = c.Close()
	}
	d.mu.Unlock()
	d.wait.Wait()
}
