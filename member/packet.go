package member

import (
	"math/bits"

	"github.com/cicadahall/cicadahall/ident"
)

// Kind is the purpose of a packet.
type Kind uint8

const (
	// Ping asks the target to answer with an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, directly or through a relay.
	Ack
	// IndirectPing asks a relay to ping the target.
	IndirectPing
	// Gossip carries updates and needs no answer.
	Gossip
	// Join asks a seed for a sample of the members that it knows.
	Join
	// JoinReply answers a Join.
	JoinReply
	// RelayAck tells the sender of an IndirectPing that the relay has received
	// it. A sender that gets no RelayAck may itself be isolated.
	RelayAck
	// Beat is a heartbeat of a source that the store answers; see package watch.
	Beat
)

// Head identifies the latest accepted configuration that a node knows. A Head
// with only a Revision states which one is known at a lower cost.
type Head struct {
	Revision ident.Revision
	Digest   ident.Digest
	Change   ident.Change
}

// Packet is one datagram of the protocol.
type Packet struct {
	Kind     Kind
	Sequence uint64
	Source   ident.Node
	Target   ident.Node
	Address  string // of the target of an IndirectPing
	Records  []Record
	Head     Head
	Adopted  ident.Revision // revision of the configuration that the source has adopted
	Faults   []ident.Move   // moves whose fault latch is set
}

const (
	// maxPacketBytes is the maximum size of a packet. The datagram, with IP and UDP
	// headers, fits in one Ethernet frame even in a tunnel.
	maxPacketBytes = 1200
	// datagramOverhead is the size of the IPv4 and UDP headers, in bytes.
	datagramOverhead = 28
	// maxFaults is the maximum number of latched faults, all of which are in each
	// packet. The manifest of a system has far fewer moves running at a time.
	maxFaults = 8
)

// stringFieldSize returns the encoded size of a string field, 0 if it is empty.
func stringFieldSize[T ~string](s T) int {
	if s == "" {
		return 0
	}
	return 1 + varintFieldSize(uint64(len(s))) - 1 + len(s)
}

// varintFieldSize returns the encoded size of a varint field, 0 if it is zero.
func varintFieldSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + (bits.Len64(v)+6)/7
}

// Size returns the encoded size of the record within a packet, in bytes.
func (r Record) Size() int {
	n := stringFieldSize(r.Node) + varintFieldSize(uint64(r.Start)) + varintFieldSize(r.Incarnation) + 2
	n += stringFieldSize(r.Domain) + stringFieldSize(r.Region) + stringFieldSize(r.Service) + stringFieldSize(r.Version)
	n += varintFieldSize(uint64(r.Slots)) + stringFieldSize(r.RPC) + stringFieldSize(r.UDP)
	n += varintFieldSize(uint64(r.Revision))
	if r.Ready {
		n += 2
	}
	return 1 + varintFieldSize(uint64(n)) - 1 + n
}

func (h Head) size() int {
	if h == (Head{}) {
		return 0
	}
	return 3 + varintFieldSize(uint64(h.Revision)) + stringFieldSize(h.Digest) + stringFieldSize(h.Change)
}

// Size returns the encoded size of the packet, in bytes.
func (p Packet) Size() int {
	n := 2 + varintFieldSize(p.Sequence) + stringFieldSize(p.Source) + stringFieldSize(p.Target) + stringFieldSize(p.Address)
	n += p.Head.size() + varintFieldSize(uint64(p.Adopted))
	for _, f := range p.Faults {
		n += stringFieldSize(f)
	}
	for _, r := range p.Records {
		n += r.Size()
	}
	return n
}
