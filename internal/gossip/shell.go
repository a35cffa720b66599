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
	// tick is the time between two ticks of the machine.
	tick = 100 * time.Millisecond
	// maxDatagram is the size of the read buffer, in bytes. Machines send at
	// most 1,200; a longer datagram is cut and fails to decode.
	maxDatagram = 2048
	// syncTimeout bounds one anti-entropy exchange.
	syncTimeout = 5 * time.Second
)

// Options configure a Shell.
type Options struct {
	// Listen is the UDP address, host:port with a numeric host.
	Listen string
	// Member configures the machine. The shell sets Send and Pull, and Self.UDP
	// if it is empty. The callbacks run under the shell's lock and must not
	// call back into the shell.
	Member member.Options
	// Call sends an anti-entropy request. Without it there is no anti-entropy.
	Call func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error)
	// Now and Ticks are the clock; nil means the system's clock.
	Now   func() time.Time
	Ticks <-chan time.Time
	// Metrics receives the counters gossip.sent, gossip.received (messages),
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

// Shell runs one machine over a UDP socket.
type Shell struct {
	SyncHandler

	options  Options
	conn     *net.UDPConn
	counters counters
	mu       sync.Mutex
	machine  *member.Machine
	pulls    chan member.Record
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// New opens the socket and starts the machine.
func New(o Options) (*Shell, error) {
	fail := oops.In("gossip").With("step", "listen", "address", o.Listen)
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, fail.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fail.Wrap(err)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Shell{
		options: o, conn: conn, counters: newCounters(o.Metrics),
		pulls: make(chan member.Record, 1), cancel: cancel,
	}
	s.With = s.with
	if o.Member.Self.UDP == "" {
		o.Member.Self.UDP = conn.LocalAddr().String()
	}
	o.Member.Send = s.send
	o.Member.Pull = s.pull
	s.machine = member.New(o.Member)
	s.wait.Go(s.read)
	s.wait.Go(func() { s.tick(ctx) })
	s.wait.Go(func() { s.sync(ctx) })
	return s, nil
}

// Close stops the machine without announcing a leave, and waits.
func (s *Shell) Close() error {
	s.cancel()
	err := s.conn.Close()
	s.wait.Wait()
	return oops.In("gossip").With("step", "close").Wrap(err)
}

func (s *Shell) with(f func(*member.Machine, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.machine, s.options.Now())
}

// send runs under the lock. A datagram that can't be sent counts as lost.
func (s *Shell) send(address string, p member.Packet) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.counters.failed.Inc(1)
		return
	}
	b, err := Encode(p)
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

// pull runs under the lock. While an exchange is running, further ones are
// dropped; the machine asks again.
func (s *Shell) pull(to member.Record) {
	select {
	case s.pulls <- to:
	default:
	}
}

func (s *Shell) read() {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP answer to an earlier datagram; the socket stays usable.
			s.counters.failed.Inc(1)
			continue
		}
		s.counters.received.Inc(1)
		s.counters.receivedBytes.Inc(int64(n))
		p, err := Decode(b[:n])
		if err != nil {
			s.counters.malformed.Inc(1)
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		s.with(func(m *member.Machine, now time.Time) { m.Receive(source, p, now) })
	}
}

func (s *Shell) tick(ctx context.Context) {
	ticks := s.options.Ticks
	if ticks == nil {
		t := time.NewTicker(tick)
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

func (s *Shell) sync(ctx context.Context) {
	client := &SyncClient{With: s.with, Call: s.options.Call}
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-s.pulls:
			if s.options.Call == nil {
				continue
			}
			one, cancel := context.WithTimeout(ctx, syncTimeout)
			if err := client.Sync(one, to); err != nil {
				s.counters.syncFailed.Inc(1)
			}
			cancel()
		}
	}
}
