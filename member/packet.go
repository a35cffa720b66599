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
	// Indirect asks a relay to ping the target.
	Indirect
	// Gossip carries updates and needs no answer.
	Gossip
	// Join asks a seed for a sample of its members.
	Join
	// Welcome answers a Join.
	Welcome
	// Relayed tells the sender of an Indirect that the relay is at work. If no
	// relay does, the sender itself is cut off.
	Relayed
	// Beat tells that the store answers the source; see package watch.
	Beat
)

// Head is the accepted configuration that a node has heard of. A Head with
// only a Revision says which one is known without the cost of naming it.
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
	Address  string // address of the target of an Indirect
	Records  []Record
	Head     Head
	Adopted  ident.Revision // configuration that the source has adopted
	Faults   []ident.Move   // moves whose fault latch is set
}

const (
	// maxPacket keeps a datagram, with IP and UDP headers, in one Ethernet frame
	// even when it is tunnelled. Unit: bytes.
	maxPacket = 1200
	// datagramOverhead is the IPv4 and UDP header, in bytes.
	datagramOverhead = 28
	// maxFaults bounds the latched faults of one packet. The manifest of a
	// system has far fewer moves running at a time.
	maxFaults = 8
)

// textSize is the encoded size of a string field, 0 when it is empty.
func textSize[T ~string](s T) int {
	if s == "" {
		return 0
	}
	return 1 + numberSize(uint64(len(s))) - 1 + len(s)
}

// numberSize is the encoded size of a variable-length number field.
func numberSize(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + (bits.Len64(v)+6)/7
}

// Size returns the encoded size of the record within a packet, in bytes.
func (r Record) Size() int {
	n := textSize(r.Node) + numberSize(uint64(r.Start)) + numberSize(r.Incarnation) + 2
	n += textSize(r.Domain) + textSize(r.Region) + textSize(r.Service) + textSize(r.Version)
	n += numberSize(uint64(r.Slots)) + textSize(r.RPC) + textSize(r.UDP)
	n += numberSize(uint64(r.Revision))
	if r.Ready {
		n += 2
	}
	return 1 + numberSize(uint64(n)) - 1 + n
}

func (h Head) size() int {
	if h == (Head{}) {
		return 0
	}
	return 3 + numberSize(uint64(h.Revision)) + textSize(h.Digest) + textSize(h.Change)
}

// Size returns the encoded size of the packet, in bytes.
func (p Packet) Size() int {
	n := 2 + numberSize(p.Sequence) + textSize(p.Source) + textSize(p.Target) + textSize(p.Address)
	n += p.Head.size() + numberSize(uint64(p.Adopted))
	for _, f := range p.Faults {
		n += textSize(f)
	}
	for _, r := range p.Records {
		n += r.Size()
	}
	return n
}
