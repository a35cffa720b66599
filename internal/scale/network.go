// Package scale runs many members of one system in one process and in virtual
// time, to find failures and to measure the cost of the control traffic. The
// packets are encoded and decoded as on the wire; all randomness comes from
// one seed, so a run can be repeated.
package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

const (
	// tick is the time between two ticks of a machine, as in the UDP shell.
	tick = 100 * time.Millisecond
	// near and far bound the one-way latency within and between regions.
	near = 1500 * time.Microsecond
	far  = 60 * time.Millisecond
	// datagramOverhead is the IPv4 and UDP header, in bytes.
	datagramOverhead = 28
	// callOverhead estimates the HTTP headers of one message, in bytes.
	callOverhead = 250
	// inbox is how many datagrams the socket of a frozen process holds.
	inbox = 200
)

var errCut = errors.New("peer can't be reached")

// Faults are the faults of the network.
type Faults struct {
	Loss   float64       // share of packets lost
	Double float64       // share of packets delivered twice
	Late   float64       // share of packets delayed by up to Delay
	Delay  time.Duration // also reorders packets
	// Cut tells that no packet or call passes between two hosts.
	Cut func(a, b *Host) bool
}

// Traffic counts what one host sent and received, headers included.
type Traffic struct {
	Sent, Received           int // datagrams and calls
	SentBytes, ReceivedBytes int
	CallBytes                int // part of both that is anti-entropy
	Largest                  int // datagram, without headers
}

// Host is one process of the system and the place that it runs in.
type Host struct {
	Machine *member.Machine
	Traffic Traffic
	// Changes counts the reports of Notify by state since the start.
	Changes map[member.State]int
	// Observe, if set, gets the reports of Notify.
	Observe func(member.Record)

	record member.Record
	up     bool
	frozen bool
	inbox  []func()
	starts uint64
}

// Up tells whether the process runs and isn't frozen.
func (h *Host) Up() bool { return h.up && !h.frozen }

// Node returns the node's name.
func (h *Host) Node() ident.Node { return h.record.Node }

// Region returns the host's region.
func (h *Host) Region() ident.Region { return h.record.Region }

// Network is a system of hosts in virtual time.
type Network struct {
	Faults Faults
	Hosts  []*Host
	// Seeds are the addresses that starting hosts join by.
	Seeds []string
	// Inbox is how many datagrams the socket of a frozen process holds.
	Inbox int
	// Adopt, if set, is how long a host takes to adopt a heard configuration.
	Adopt time.Duration

	clock     clock
	random    *rand.Rand
	addresses map[string]*Host
}

// NewNetwork returns a network of stopped hosts, spread over 2 regions and 7
// failure domains.
func NewNetwork(size int, seed uint64) *Network {
	n := &Network{
		clock:     clock{now: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)},
		random:    rand.New(rand.NewPCG(seed, seed)),
		addresses: map[string]*Host{},
		Inbox:     inbox,
	}
	for i := range size {
		h := &Host{Changes: map[member.State]int{}, record: recordOf(i)}
		n.Hosts = append(n.Hosts, h)
		n.addresses[h.record.UDP] = h
	}
	for i := range min(3, size) {
		n.Seeds = append(n.Seeds, n.Hosts[i].record.UDP)
	}
	return n
}

// recordOf makes up the content of a host's record, with names of usual length.
func recordOf(i int) member.Record {
	domain := i % 7
	region := ident.Region("buh")
	if domain >= 4 {
		region = "mvd"
	}
	service := i % 170
	address := fmt.Sprintf("10.%d.%d.%d", 20+domain, i/200, i%200+1)
	return member.Record{
		Node:   ident.Node(fmt.Sprintf("service-%d-%d", service, i)),
		Domain: ident.Domain(fmt.Sprintf("%s-%c", region, 'a'+domain)), Region: region,
		Service: ident.Service(fmt.Sprintf("service-%d", service)), Version: "v1", Slots: 10,
		RPC: address + ":7001", UDP: address + ":7002", Ready: true,
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.clock.now }

// Run lets virtual time pass.
func (n *Network) Run(d time.Duration) { n.clock.run(d) }

// After does something later in virtual time.
func (n *Network) After(d time.Duration, do func()) { n.clock.after(d, do) }

// Start starts the process of a host; after an earlier one it is a restart
// with a new start identity.
func (n *Network) Start(h *Host) {
	h.up, h.frozen, h.inbox = true, false, nil
	h.starts++
	run := h.starts
	r := h.record
	r.Start = ident.Start(n.random.Uint64() | 1)
	client := &gossip.SyncClient{With: n.with(h)}
	client.Call = func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
		return n.call(ctx, h, to, q)
	}
	h.Machine = member.New(member.Options{
		Self: r, Seeds: n.Seeds, Began: n.clock.now, Rand: n.random.IntN,
		Send: func(to string, p member.Packet) { n.send(h, to, p) },
		Notify: func(r member.Record) {
			h.Changes[r.State]++
			if h.Observe != nil {
				h.Observe(r)
			}
		},
		Heard: func(head member.Head, _ ident.Node) {
			n.clock.after(n.Adopt, func() {
				own := h.Machine.Self()
				own.Revision = head.Revision
				h.Machine.Update(own, n.clock.now)
			})
		},
		Pull: func(to member.Record) {
			n.clock.after(tick/2, func() {
				if h.Up() && h.starts == run {
					_ = client.Sync(context.Background(), to)
				}
			})
		},
	})
	n.clock.after(time.Duration(n.random.Int64N(int64(tick))), func() { n.tick(h, run) })
}

func (n *Network) with(h *Host) gossip.With {
	return func(f func(*member.Machine, time.Time)) { f(h.Machine, n.clock.now) }
}

func (n *Network) tick(h *Host, run uint64) {
	if !h.up || h.starts != run {
		return
	}
	if !h.frozen {
		h.Machine.Tick(n.clock.now)
	}
	n.clock.after(tick, func() { n.tick(h, run) })
}

// StartAll starts all hosts with full knowledge of each other.
func (n *Network) StartAll() {
	for _, h := range n.Hosts {
		n.Start(h)
	}
	var all []member.Record
	for _, h := range n.Hosts {
		all = append(all, h.Machine.Self())
	}
	for _, h := range n.Hosts {
		h.Machine.Merge(all, n.clock.now)
	}
}

// Kill ends the process of a host without notice.
func (n *Network) Kill(h *Host) { h.up = false }

// Freeze stops the process of a host; packets wait in its socket.
func (n *Network) Freeze(h *Host) { h.frozen = true }

// Resume continues a frozen process.
func (n *Network) Resume(h *Host) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, receive := range inbox {
		receive()
	}
}

func (n *Network) cut(a, b *Host) bool {
	return n.Faults.Cut != nil && n.Faults.Cut(a, b)
}

func (n *Network) chance(share float64) bool {
	return share > 0 && n.random.Float64() < share
}

func (n *Network) latency(a, b *Host) time.Duration {
	d := near
	if a.record.Region != b.record.Region {
		d = far
	}
	d += time.Duration(n.random.Int64N(int64(d)))
	if n.chance(n.Faults.Late) {
		d += time.Duration(n.random.Int64N(int64(n.Faults.Delay)))
	}
	return d
}

func (n *Network) send(from *Host, address string, p member.Packet) {
	b, err := gossip.Encode(p)
	if err != nil {
		panic(err)
	}
	from.Traffic.Sent++
	from.Traffic.SentBytes += len(b) + datagramOverhead
	from.Traffic.Largest = max(from.Traffic.Largest, len(b))
	to, ok := n.addresses[address]
	if !ok || n.cut(from, to) || n.chance(n.Faults.Loss) {
		return
	}
	deliver := func() { n.deliver(from, to, b) }
	n.clock.after(n.latency(from, to), deliver)
	if n.chance(n.Faults.Double) {
		n.clock.after(n.latency(from, to), deliver)
	}
}

func (n *Network) deliver(from, to *Host, b []byte) {
	if !to.up {
		return
	}
	receive := func() {
		p, err := gossip.Decode(b)
		if err != nil {
			panic(err)
		}
		to.Traffic.Received++
		to.Traffic.ReceivedBytes += len(b) + datagramOverhead
		to.Machine.Receive(from.record.UDP, p, n.clock.now)
	}
	if !to.frozen {
		receive()
		return
	}
	if len(to.inbox) < n.Inbox {
		to.inbox = append(to.inbox, receive)
	}
}

// call runs one anti-entropy request; it takes no virtual time.
func (n *Network) call(ctx context.Context, from *Host, r member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	to, ok := n.addresses[r.UDP]
	if !ok || !to.Up() || n.cut(from, to) {
		return nil, errCut
	}
	handler := &gossip.SyncHandler{With: n.with(to)}
	a, err := handler.Sync(ctx, q)
	if err != nil {
		return nil, err
	}
	count(from, to, proto.Size(q))
	count(to, from, proto.Size(a))
	return a, nil
}

func count(from, to *Host, size int) {
	size += callOverhead
	from.Traffic.Sent++
	from.Traffic.SentBytes += size
	from.Traffic.CallBytes += size
	to.Traffic.Received++
	to.Traffic.ReceivedBytes += size
	to.Traffic.CallBytes += size
}

// State returns what one host knows of another, 0 if nothing.
func (n *Network) State(observer, of *Host) member.State {
	r, _ := observer.Machine.Lookup(of.record.Node)
	return r.State
}

// All tells whether a condition holds for each ordered pair of running hosts.
func (n *Network) All(holds func(observer, of *Host) bool) bool {
	for _, a := range n.Hosts {
		for _, b := range n.Hosts {
			if a != b && a.Up() && b.Up() && !holds(a, b) {
				return false
			}
		}
	}
	return true
}

// Settled tells whether all running hosts know the current record of all
// running hosts as alive or leaving.
func (n *Network) Settled() bool {
	return n.All(func(a, b *Host) bool {
		r, _ := a.Machine.Lookup(b.record.Node)
		own := b.Machine.Self()
		return r.Start == own.Start && r.State == own.State && r.Incarnation == own.Incarnation
	})
}
