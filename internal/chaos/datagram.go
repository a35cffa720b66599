package chaos

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// DatagramRelay forwards UDP datagrams to a target and returns the replies. It
// uses one socket per sender. While it is cut, it drops datagrams in both
// directions.
type DatagramRelay struct {
	target netip.AddrPort
	conn   *net.UDPConn
	cut    atomic.Bool
	wg     sync.WaitGroup

	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn
	closed  bool
}

// maxDatagram is the size of the largest datagram that is forwarded untruncated,
// in bytes.
const maxDatagram = 2048

// NewDatagramRelay listens on address and forwards datagrams to target.
func NewDatagramRelay(address, target string) (*DatagramRelay, error) {
	listenAddr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, err
	}
	d := &DatagramRelay{target: targetAddr, conn: c, sockets: map[netip.AddrPort]*net.UDPConn{}}
	d.wg.Go(d.forward)
	return d, nil
}

// SetCut starts or stops dropping all datagrams.
func (d *DatagramRelay) SetCut(on bool) { d.cut.Store(on) }

func (d *DatagramRelay) forward() {
	b := make([]byte, maxDatagram)
	for {
		n, sender, err := d.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if c := d.socketFor(sender); c != nil && !d.cut.Load() {
			_, _ = c.Write(b[:n]) // UDP may lose datagrams
		}
	}
}

// socketFor returns the socket to the target that is used for a sender, or nil
// if none can be opened.
func (d *DatagramRelay) socketFor(sender netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.sockets[sender]; c != nil || d.closed {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.target))
	if err != nil {
		return nil
	}
	d.sockets[sender] = c
	d.wg.Go(func() { d.forwardReplies(c, sender) })
	return c
}

func (d *DatagramRelay) forwardReplies(c *net.UDPConn, sender netip.AddrPort) {
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
			_, _ = d.conn.WriteToUDPAddrPort(b[:n], sender) // UDP may lose datagrams
		}
	}
}

// Close closes all sockets and waits for the forwarding goroutines.
func (d *DatagramRelay) Close() {
	d.mu.Lock()
	d.closed = true
	_ = d.conn.Close()
	for _, c := range d.sockets {
		_ = c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}
