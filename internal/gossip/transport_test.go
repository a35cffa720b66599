package gossip_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// transportPair is two transports on loopback with a clock that the test
// advances.
type transportPair struct {
	a, b    *gossip.Transport
	ticksA  chan time.Time
	ticksB  chan time.Time
	now     atomic.Pointer[time.Time]
	metrics metrics.Registry
	changes chan member.Record // records reported by a
	synced  chan struct{}
}

func newTransportPair(t *testing.T, call bool) *transportPair {
	t.Helper()
	p := &transportPair{
		ticksA: make(chan time.Time), ticksB: make(chan time.Time),
		metrics: metrics.NewRegistry(), changes: make(chan member.Record, 100),
		synced: make(chan struct{}, 100),
	}
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	p.now.Store(&start)
	clock := func() time.Time { return *p.now.Load() }
	b, err := gossip.New(gossip.Options{
		Listen: "127.0.0.1:0", Now: clock, Ticks: p.ticksB,
		Member: member.Options{Self: member.Record{Node: "b", Start: 2}, StartTime: start, Rand: rand.New(rand.NewPCG(1, 2)).IntN},
	})
	assert.NilError(t, err)
	o := gossip.Options{
		Listen: "127.0.0.1:0", Now: clock, Ticks: p.ticksA, Metrics: p.metrics,
		Member: member.Options{
			Self: member.Record{Node: "a", Start: 1}, StartTime: start, Rand: rand.New(rand.NewPCG(1, 1)).IntN,
			Seeds:    []string{selfRecord(b).UDP},
			OnChange: func(r member.Record) { p.changes <- r },
		},
	}
	if call {
		o.Call = func(ctx context.Context, _ member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
			a, err := b.Sync(ctx, q)
			if len(q.GetRecords()) > 0 || a.GetSame() {
				p.synced <- struct{}{}
			}
			return a, err
		}
	}
	a, err := gossip.New(o)
	assert.NilError(t, err)
	p.a, p.b = a, b
	t.Cleanup(func() {
		assert.NilError(t, a.Close())
		assert.NilError(t, b.Close())
	})
	return p
}

func selfRecord(s *gossip.Transport) member.Record {
	var r member.Record
	s.WithMachine(func(m *member.Machine, _ time.Time) { r = m.Self() })
	return r
}

// tick advances the time of both transports by 100 ms.
func (p *transportPair) tick() {
	now := p.now.Load().Add(100 * time.Millisecond)
	p.now.Store(&now)
	p.ticksA <- now
	p.ticksB <- now
}

// Guards against transports that don't join over real sockets, don't count
// their traffic, or leak goroutines.
func TestShellsJoinOverLoopback(t *testing.T) {
	p := newTransportPair(t, false)
	p.tick()
	r := <-p.changes
	assert.Equal(t, r.Node, ident.Node("b"))
	assert.Equal(t, r.UDP, selfRecord(p.b).UDP)
	for _, name := range []string{"gossip.sent", "gossip.received", "gossip.sent.bytes", "gossip.received.bytes"} {
		assert.Assert(t, p.metrics.Get(name).(metrics.Counter).Count() > 0, name)
	}
}

// Guards against a malformed datagram that stops the receive loop or isn't
// counted.
func TestMalformedDatagramIsCounted(t *testing.T) {
	p := newTransportPair(t, false)
	conn, err := net.Dial("udp", selfRecord(p.a).UDP)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte{0xff, 0xff, 0xff})
	assert.NilError(t, err)
	p.tick()
	<-p.changes
	assert.Equal(t, p.metrics.Get("gossip.malformed").(metrics.Counter).Count(), int64(1))
}

// Guards against a transport that doesn't run the anti-entropy exchanges
// requested by the machine.
func TestShellRunsAntiEntropy(t *testing.T) {
	p := newTransportPair(t, true)
	third := member.Record{Node: "c", Start: 3, Incarnation: 1, State: member.Unreachable, UDP: "127.0.0.1:9"}
	p.b.WithMachine(func(m *member.Machine, now time.Time) { m.Merge([]member.Record{third}, now) })
	p.tick()
	<-p.changes
	for done := false; !done; {
		select {
		case <-p.synced:
			done = true
		default:
			p.tick()
		}
	}
	p.a.WithMachine(func(m *member.Machine, _ time.Time) {
		r, ok := m.Lookup("c")
		assert.Assert(t, ok)
		assert.DeepEqual(t, r, third)
	})
}

// Guards against an exchange between nodes with equal records that takes more
// than 32 bytes.
func TestEqualStatesAreCheap(t *testing.T) {
	p := newTransportPair(t, false)
	q := &wirepb.SyncRequest{Source: "service-100-1000"}
	p.a.WithMachine(func(m *member.Machine, _ time.Time) { q.Hash = m.Digest().Hash })
	a, err := p.a.Sync(context.Background(), q)
	assert.NilError(t, err)
	assert.Assert(t, a.GetSame())
	assert.Assert(t, proto.Size(q)+proto.Size(a) <= 32)
}

// Guards against an unusable listen address that is accepted, and against an error
// that doesn't name the address.
func TestListenFails(t *testing.T) {
	_, err := gossip.New(gossip.Options{Listen: "localhost"})
	detail, ok := oops.AsOops(err)
	assert.Assert(t, ok)
	assert.Equal(t, detail.Context()["step"], "listen")
	assert.Equal(t, detail.Context()["address"], "localhost")
}

// Guards against a field that encoding loses, and against a size estimate below
// the encoded size, which lets a datagram exceed its limit.
func TestPacketRoundTrip(t *testing.T) {
	text := rapid.StringMatching(`[a-z0-9:.-]{1,200}`)
	record := rapid.Custom(func(t *rapid.T) member.Record {
		return member.Record{
			Node: ident.Node(text.Draw(t, "node")), Start: ident.Start(rapid.Uint64().Draw(t, "start")),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			State:       member.State(rapid.IntRange(1, 5).Draw(t, "state")),
			Domain:      ident.Domain(text.Draw(t, "domain")), Region: ident.Region(text.Draw(t, "region")),
			Service: ident.Service(text.Draw(t, "service")), Version: ident.Version(text.Draw(t, "version")),
			Slots: ident.Slots(rapid.Int32Min(0).Draw(t, "slots")), RPC: text.Draw(t, "rpc"), UDP: text.Draw(t, "udp"),
			Revision: ident.Revision(rapid.Uint64().Draw(t, "revision")), Ready: rapid.Bool().Draw(t, "ready"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		p := member.Packet{
			Kind:     member.Kind(rapid.IntRange(1, 7).Draw(t, "kind")),
			Sequence: rapid.Uint64().Draw(t, "sequence"),
			Source:   ident.Node(text.Draw(t, "source")), Target: ident.Node(text.Draw(t, "target")),
			Address: text.Draw(t, "address"),
			Records: rapid.SliceOfN(record, 1, 5).Draw(t, "records"),
			Head:    member.Head{Revision: 7, Digest: ident.Digest(text.Draw(t, "digest")), Change: "c"},
			Adopted: ident.Revision(rapid.Uint64().Draw(t, "adopted")),
			Faults:  []ident.Move{ident.Move(text.Draw(t, "fault"))},
		}
		b, err := gossip.EncodePacket(p)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= p.Size(), "%d > %d", len(b), p.Size())
		got, err := gossip.DecodePacket(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, p)
	})
}
