package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

const (
	// tickInterval is the time between two ticks of the machine.
	tickInterval = 100 * time.Millisecond
	// maxDatagramBytes is the size of the read buffer. Machines send at most
	// 1,200 bytes; a datagram longer than the buffer is truncated and fails to
	// decode.
	maxDatagramBytes = 2048
	// syncTimeout bounds one anti-entropy exchange.
	syncTimeout = 5 * time.Second
)

// Options configure a Transport.
type Options struct {
	// Listen is the UDP address, host:port with a numeric host.
	Listen string
	// Member configures the machine. The transport sets Send and Pull, and
	// Self.UDP if it is empty. The callbacks run under the transport's lock and
	// must not call the transport.
	Member member.Options
	// Call sends an anti-entropy request. If it is nil, the transport starts no
	// anti-entropy exchanges.
	Call func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error)
	// Now and Ticks are the clock; nil means the system clock.
	Now   func() time.Time
	Ticks <-chan time.Time
	// Metrics receives the counters gossip.sent and gossip.received (datagrams),
	// gossip.sent.bytes, gossip.received.bytes, gossip.malformed, gossip.failed
	// and gossip.sync.failed.
	Metrics metrics.Registry
}

type counters struct {
	sent, received, sentBytes, receivedBytes metrics.Counter
	malformed, failed, syncFailed            metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("gossip."+name, r)
	}
	return counters{
		sent: counter("sent"), received: counter("received"),
		sentBytes: counter("sent.bytes"), receivedBytes: counter("received.bytes"),
		malformed: counter("malformed"), failed: counter("failed"), syncFailed: counter("sync.failed"),
	}
}

// Transport runs one machine over a UDP socket. It is safe for concurrent use.
type Transport struct {
	SyncHandler

	options      Options
	conn         *net.UDPConn
	counters     counters
	mu           sync.Mutex
	machine      *member.Machine
	syncRequests chan member.Record
	cancel       context.CancelFunc
	wait         sync.WaitGroup
}

// New opens the socket and starts the machine. The error names the address if it
// can't be used.
func New(o Options) (*Transport, error) {
	errb := oops.In("gossip").With("step", "listen", "address", o.Listen)
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, errb.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errb.Wrap(err)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Transport{
		options: o, conn: conn, counters: newCounters(o.Metrics),
		syncRequests: make(chan member.Record, 1), cancel: cancel,
	}
	s.WithMachine = s.with
	if o.Member.Self.UDP == "" {
		o.Member.Self.UDP = conn.LocalAddr().String()
	}
	o.Member.Send = s.send
	o.Member.StartSync = s.requestSync
	s.machine = member.New(o.Member)
	s.wait.Go(s.receiveLoop)
	s.wait.Go(func() { s.tickLoop(ctx) })
	s.wait.Go(func() { s.syncLoop(ctx) })
	return s, nil
}

// Close stops the machine without announcing a leave, and waits until its
// goroutines have returned.
func (s *Transport) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return oops.In("gossip").With("step", "close").Wrap(err)
}

func (s *Transport) with(f func(*member.Machine, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.machine, s.options.Now())
}

// send sends a packet. A datagram that can't be sent only increases the counter
// gossip.failed. The caller must hold mu.
func (s *Transport) send(address string, p member.Packet) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.counters.failed.Inc(1)
		return
	}
	b, err := EncodePacket(p)
	if err != nil {
		s.counters.failed.Inc(1)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		s.counters.failed.Inc(1)
		return
	}
	s.counters.sent.Inc(1)
	s.counters.sentBytes.Inc(int64(len(b)))
}

// requestSync starts an anti-entropy exchange with a member. A request that
// doesn't fit into the queue while an exchange is running is dropped; the machine
// requests another one later. The caller must hold mu.
func (s *Transport) requestSync(to member.Record) {
	select {
	case s.syncRequests <- to:
	default:
	}
}

func (s *Transport) receiveLoop() {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error is an ICMP response to an earlier datagram; the socket
			// remains usable.
			s.counters.failed.Inc(1)
			continue
		}
		s.counters.received.Inc(1)
		s.counters.receivedBytes.Inc(int64(n))
		p, err := DecodePacket(b[:n])
		if err != nil {
			s.counters.malformed.Inc(1)
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		s.with(func(m *member.Machine, now time.Time) { m.Receive(source, p, now) })
	}
}

func (s *Transport) tickLoop(ctx context.Context) {
	ticks := s.options.Ticks
	if ticks == nil {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.with(func(m *member.Machine, now time.Time) { m.Tick(now) })
		}
	}
}

func (s *Transport) syncLoop(ctx context.Context) {
	client := &SyncClient{WithMachine: s.with, Call: s.options.Call}
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-s.syncRequests:
			if s.options.Call == nil {
				continue
			}
			syncCtx, cancel := context.WithTimeout(ctx, syncTimeout)
			if err := client.Sync(syncCtx, to); err != nil {
				s.counters.syncFailed.Inc(1)
			}
			cancel()
		}
	}
}
