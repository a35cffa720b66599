// Package scale simulates a network of many members in one process and in
// virtual time, to find failures of membership and to measure the cost of its
// traffic. Packets are encoded and decoded as on the wire. All randomness comes
// from one seed, so runs are repeatable.
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
	// tickInterval is the interval between ticks of a machine, as with real UDP.
	tickInterval = 100 * time.Millisecond
	// sameRegionLatency and crossRegionLatency are the least one-way latencies
	// within and between regions; the largest are twice as high.
	sameRegionLatency  = 1500 * time.Microsecond
	crossRegionLatency = 60 * time.Millisecond
	// datagramOverhead is the size of the IPv4 and UDP headers, in bytes.
	datagramOverhead = 28
	// callOverhead is the estimated size of the HTTP headers of one message, in bytes.
	callOverhead = 250
	// defaultSocketBuffer is the default of Network.SocketBuffer, in datagrams.
	defaultSocketBuffer = 200
)

var errUnreachable = errors.New("peer is unreachable")

// Faults configures the faults of the network.
type Faults struct {
	Loss           float64       // share of packets lost
	DuplicateShare float64       // share of packets delivered twice
	DelayShare     float64       // share of packets with an additional delay of up to MaxDelay
	MaxDelay       time.Duration // longer than the latency, it also reorders packets
	// Partitioned, if set, reports whether packets and calls from a to b are
	// lost.
	Partitioned func(a, b *Host) bool
}

// Traffic counts the messages and bytes that one host sent and received,
// including headers.
type Traffic struct {
	Sent, Received           int // datagrams and calls
	SentBytes, ReceivedBytes int
	CallBytes                int // of anti-entropy calls, part of SentBytes and ReceivedBytes
	Largest                  int // largest datagram, in bytes without headers
}

// Host is one node of the network: its process and its address.
type Host struct {
	Machine *member.Machine
	Traffic Traffic
	// Changes counts the records passed to Options.OnChange by state, over all
	// starts.
	Changes map[member.State]int
	// OnChange, if set, is called with the records passed to Options.OnChange.
	OnChange func(member.Record)

	record  member.Record
	running bool
	frozen  bool
	// inbox holds the datagrams that arrived while the process was frozen.
	inbox  []func()
	starts uint64
}

// Running reports whether the process runs and isn't frozen.
func (h *Host) Running() bool { return h.running && !h.frozen }

// Node returns the name of the host's node.
func (h *Host) Node() ident.Node { return h.record.Node }

// Address returns the UDP address of the host's node.
func (h *Host) Address() string { return h.record.UDP }

// Region returns the host's region.
func (h *Host) Region() ident.Region { return h.record.Region }

// Network is a simulated network of hosts in virtual time.
type Network struct {
	Faults Faults
	Hosts  []*Host
	// Seeds are the UDP addresses through which starting hosts join.
	Seeds []string
	// SocketBuffer is the number of datagrams that the socket of a frozen
	// process buffers.
	SocketBuffer int
	// AdoptDelay is the time from the receipt of a configuration head by gossip
	// to its adoption by the host.
	AdoptDelay time.Duration

	clock     clock
	random    *rand.Rand
	addresses map[string]*Host
}

// NewNetwork returns a network of stopped hosts, spread over 2 regions and 7
// failure domains.
func NewNetwork(size int, seed uint64) *Network {
	n := &Network{
		clock:        clock{now: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)},
		random:       rand.New(rand.NewPCG(seed, seed)),
		addresses:    map[string]*Host{},
		SocketBuffer: defaultSocketBuffer,
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

// recordOf returns the record of host i, with names of a realistic length.
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

// Run advances virtual time by d and runs the events due.
func (n *Network) Run(d time.Duration) { n.clock.run(d) }

// After schedules do to run after d.
func (n *Network) After(d time.Duration, do func()) { n.clock.after(d, do) }

// Start starts or restarts the process of a host, with a new start id.
func (n *Network) Start(h *Host) {
	h.running, h.frozen, h.inbox = true, false, nil
	h.starts++
	startCount := h.starts
	r := h.record
	r.Start = ident.Start(n.random.Uint64() | 1)
	client := &gossip.SyncClient{WithMachine: n.with(h)}
	client.Call = func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
		return n.call(ctx, h, to, q)
	}
	h.Machine = member.New(member.Options{
		Self: r, Seeds: n.Seeds, StartTime: n.clock.now, Rand: n.random.IntN,
		Send: func(to string, p member.Packet) { n.send(h, to, p) },
		OnChange: func(r member.Record) {
			h.Changes[r.State]++
			if h.OnChange != nil {
				h.OnChange(r)
			}
		},
		OnHead: func(head member.Head, _ ident.Node) {
			n.clock.after(n.AdoptDelay, func() {
				own := h.Machine.Self()
				own.Revision = head.Revision
				h.Machine.Update(own, n.clock.now)
			})
		},
		StartSync: func(to member.Record) {
			n.clock.after(tickInterval/2, func() {
				if h.Running() && h.starts == startCount {
					_ = client.Sync(context.Background(), to)
				}
			})
		},
	})
	n.clock.after(time.Duration(n.random.Int64N(int64(tickInterval))), func() { n.tick(h, startCount) })
}

// with returns access to the current machine of a host.
func (n *Network) with(h *Host) gossip.WithMachine {
	return func(f func(*member.Machine, time.Time)) { f(h.Machine, n.clock.now) }
}

// tick ticks the machine of a host until its process ends or restarts.
func (n *Network) tick(h *Host, startCount uint64) {
	if !h.running || h.starts != startCount {
		return
	}
	if !h.frozen {
		h.Machine.Tick(n.clock.now)
	}
	n.clock.after(tickInterval, func() { n.tick(h, startCount) })
}

// StartAll starts all hosts and gives each the records of all others.
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

// Kill ends the process of a host without announcing that it leaves.
func (n *Network) Kill(h *Host) { h.running = false }

// Freeze stops the process of a host until Resume; its socket buffers up to
// SocketBuffer datagrams.
func (n *Network) Freeze(h *Host) { h.frozen = true }

// Resume continues a frozen process, which handles the buffered datagrams.
func (n *Network) Resume(h *Host) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, receive := range inbox {
		receive()
	}
}

// cut reports whether packets and calls from a to b are lost.
func (n *Network) cut(a, b *Host) bool {
	return n.Faults.Partitioned != nil && n.Faults.Partitioned(a, b)
}

// chance reports whether an event with the given probability occurs.
func (n *Network) chance(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}

// latency returns a random one-way latency from a to b, with the DelayShare
// fault.
func (n *Network) latency(a, b *Host) time.Duration {
	d := sameRegionLatency
	if a.record.Region != b.record.Region {
		d = crossRegionLatency
	}
	d += time.Duration(n.random.Int64N(int64(d)))
	if n.chance(n.Faults.DelayShare) {
		d += time.Duration(n.random.Int64N(int64(n.Faults.MaxDelay)))
	}
	return d
}

func (n *Network) send(from *Host, address string, p member.Packet) {
	b, err := gossip.EncodePacket(p)
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
	if n.chance(n.Faults.DuplicateShare) {
		n.clock.after(n.latency(from, to), deliver)
	}
}

func (n *Network) deliver(from, to *Host, b []byte) {
	if !to.running {
		return
	}
	receive := func() {
		p, err := gossip.DecodePacket(b)
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
	if len(to.inbox) < n.SocketBuffer {
		to.inbox = append(to.inbox, receive)
	}
}

// call runs one anti-entropy call. It takes no virtual time.
func (n *Network) call(ctx context.Context, from *Host, r member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	to, ok := n.addresses[r.UDP]
	if !ok || !to.Running() || n.cut(from, to) {
		return nil, errUnreachable
	}
	handler := &gossip.SyncHandler{WithMachine: n.with(to)}
	a, err := handler.Sync(ctx, q)
	if err != nil {
		return nil, err
	}
	count(from, to, proto.Size(q))
	count(to, from, proto.Size(a))
	return a, nil
}

// count adds one message of a call with a body of size bytes to the traffic.
func count(from, to *Host, size int) {
	size += callOverhead
	from.Traffic.Sent++
	from.Traffic.SentBytes += size
	from.Traffic.CallBytes += size
	to.Traffic.Received++
	to.Traffic.ReceivedBytes += size
	to.Traffic.CallBytes += size
}

// State returns the state of a host in the member list of observer, or 0 if it
// isn't listed.
func (n *Network) State(observer, of *Host) member.State {
	r, _ := observer.Machine.Lookup(of.record.Node)
	return r.State
}

// AllPairs reports whether holds returns true for each ordered pair of running
// hosts.
func (n *Network) AllPairs(holds func(observer, of *Host) bool) bool {
	for _, a := range n.Hosts {
		for _, b := range n.Hosts {
			if a != b && a.Running() && b.Running() && !holds(a, b) {
				return false
			}
		}
	}
	return true
}

// Converged reports whether membership has converged: every running host lists
// the current start, state and incarnation of every other running host.
func (n *Network) Converged() bool {
	return n.AllPairs(func(a, b *Host) bool {
		r, _ := a.Machine.Lookup(b.record.Node)
		own := b.Machine.Self()
		return r.Start == own.Start && r.State == own.State && r.Incarnation == own.Incarnation
	})
}
