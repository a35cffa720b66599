// Package gossip runs a member.Machine over UDP and performs its anti-entropy
// exchanges over calls between nodes. It owns the socket, the timer and the lock
// that guards the machine; the machine makes all decisions.
package gossip

import (
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// EncodePacket encodes a packet as a datagram.
func EncodePacket(p member.Packet) ([]byte, error) {
	w := &wirepb.Packet{
		Kind:     uint32(p.Kind),
		Sequence: p.Sequence,
		Source:   string(p.Source),
		Target:   string(p.Target),
		Address:  p.Address,
		Records:  recordsToWire(p.Records),
		Adopted:  uint64(p.Adopted),
	}
	if p.Head != (member.Head{}) {
		w.Head = &wirepb.Head{
			Revision: uint64(p.Head.Revision), Digest: string(p.Head.Digest), Change: string(p.Head.Change),
		}
	}
	for _, f := range p.Faults {
		w.Faults = append(w.Faults, string(f))
	}
	b, err := proto.Marshal(w)
	return b, oops.In("gossip").With("step", "encode").Wrap(err)
}

// DecodePacket decodes a datagram. Records whose state this release doesn't
// know are omitted.
func DecodePacket(b []byte) (member.Packet, error) {
	var w wirepb.Packet
	if err := proto.Unmarshal(b, &w); err != nil {
		return member.Packet{}, oops.In("gossip").With("step", "decode").Wrap(err)
	}
	p := member.Packet{
		Kind:     member.Kind(w.GetKind()),
		Sequence: w.GetSequence(),
		Source:   ident.Node(w.GetSource()),
		Target:   ident.Node(w.GetTarget()),
		Address:  w.GetAddress(),
		Records:  recordsFromWire(w.GetRecords()),
		Adopted:  ident.Revision(w.GetAdopted()),
		Head: member.Head{
			Revision: ident.Revision(w.GetHead().GetRevision()),
			Digest:   ident.Digest(w.GetHead().GetDigest()),
			Change:   ident.Change(w.GetHead().GetChange()),
		},
	}
	for _, f := range w.GetFaults() {
		p.Faults = append(p.Faults, ident.Move(f))
	}
	return p, nil
}

func recordsToWire(records []member.Record) []*wirepb.Record {
	out := make([]*wirepb.Record, len(records))
	for i, r := range records {
		out[i] = &wirepb.Record{
			Node: string(r.Node), Start: uint64(r.Start), Incarnation: r.Incarnation, State: uint32(r.State),
			Domain: string(r.Domain), Region: string(r.Region),
			Service: string(r.Service), Version: string(r.Version), Slots: int32(r.Slots),
			Rpc: r.RPC, Udp: r.UDP, Revision: uint64(r.Revision),
		}
		if r.Ready {
			out[i].Ready = 1
		}
	}
	return out
}

// recordsFromWire converts records. It omits records without a node and records whose
// state this release doesn't know.
func recordsFromWire(records []*wirepb.Record) []member.Record {
	out := make([]member.Record, 0, len(records))
	for _, r := range records {
		state := member.State(r.GetState())
		if r.GetNode() == "" || state < member.Alive || state > member.Left || uint32(state) != r.GetState() {
			continue
		}
		out = append(out, member.Record{
			Node: ident.Node(r.GetNode()), Start: ident.Start(r.GetStart()), Incarnation: r.GetIncarnation(),
			State: state, Domain: ident.Domain(r.GetDomain()), Region: ident.Region(r.GetRegion()),
			Service: ident.Service(r.GetService()), Version: ident.Version(r.GetVersion()),
			Slots: ident.Slots(r.GetSlots()), RPC: r.GetRpc(), UDP: r.GetUdp(),
			Revision: ident.Revision(r.GetRevision()), Ready: r.GetReady() != 0,
		})
	}
	return out
}

func entriesToWire(entries []member.Entry) []*wirepb.DigestEntry {
	out := make([]*wirepb.DigestEntry, len(entries))
	for i, e := range entries {
		out[i] = &wirepb.DigestEntry{
			Node: string(e.Node), Start: uint64(e.Start), Incarnation: e.Incarnation, State: uint32(e.State),
		}
	}
	return out
}

func entriesFromWire(entries []*wirepb.DigestEntry) []member.Entry {
	out := make([]member.Entry, len(entries))
	for i, e := range entries {
		out[i] = member.Entry{
			Node: ident.Node(e.GetNode()), Start: ident.Start(e.GetStart()),
			Incarnation: e.GetIncarnation(), State: member.State(e.GetState()),
		}
	}
	return out
}
