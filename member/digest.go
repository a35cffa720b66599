package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// digestParts is the number of parts of the digest, each with its own hash.
	// With 1,100 members, one changed record costs the entries of 35 members.
	digestParts = 32
	// maxExchangeBytes is the maximum size of the records or entries of one
	// exchange. One exchange every 30 s then costs at most 0.6 KB/s after a
	// partition.
	maxExchangeBytes = 8 << 10
)

// Entry identifies the version of a member's record that a node holds.
type Entry struct {
	Node        ident.Node
	Start       ident.Start
	Incarnation uint64
	State       State
}

func (e Entry) record() Record {
	return Record{Node: e.Node, Start: e.Start, Incarnation: e.Incarnation, State: e.State}
}

// size returns an upper bound of the encoded size, in bytes.
func (e Entry) size() int { return e.record().Size() }

// Digest summarizes all records in one of three steps of an exchange. The first
// step has only Hash, 8 bytes; equal hashes mean equal records. The second has
// Parts, one hash for each part of the members. The third has Entries, which
// list all members of the parts whose bit is set in Mask.
type Digest struct {
	Hash    uint64
	Parts   []uint64
	Mask    uint32
	Entries []Entry
}

// Delta is the answer to a Digest: what the other side needs to bring both to
// the same records.
type Delta struct {
	Same    bool
	Digest  Digest       // the next step, for a digest without entries
	Records []Record     // records that are newer on this node
	Wanted  []ident.Node // members whose records are newer on the other side
}

// recordHash returns the hash of the fields by which Compare orders records,
// with Suspect taken as Alive.
func recordHash(r Record) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Start))
	binary.LittleEndian.PutUint64(b[8:], r.Incarnation)
	b[16] = byte(r.State.withoutSuspicion())
	var h xxhash.Digest
	h.Reset()
	h.WriteString(string(r.Node)) //nolint:errcheck // never fails
	h.Write(b[:])                 //nolint:errcheck // never fails
	return h.Sum64()
}

func (m *Machine) hash() uint64 {
	var b []byte
	for _, p := range m.parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return xxhash.Sum64(b)
}

// Digest returns the hash of all records, the first step of an exchange.
func (m *Machine) Digest() Digest { return Digest{Hash: m.hash()} }

// Delta compares the digest of another node with the records of this one. It
// answers a different Hash with Parts, Parts with Entries, and Entries with
// Records and Wanted.
func (m *Machine) Delta(d Digest) Delta {
	switch {
	case d.Mask != 0:
		return m.compareEntries(d)
	case len(d.Parts) > 0:
		return Delta{Digest: m.partEntries(d.Parts)}
	case d.Hash == m.hash():
		return Delta{Same: true}
	}
	return Delta{Digest: Digest{Hash: m.hash(), Parts: append([]uint64(nil), m.parts[:]...)}}
}

// partEntries lists the members in the parts that differ, in whole parts until
// maxExchangeBytes is reached. It begins at a random part, so that repeated
// exchanges cover all of them.
func (m *Machine) partEntries(remoteParts []uint64) Digest {
	var out Digest
	if len(remoteParts) != digestParts {
		return out
	}
	room := maxExchangeBytes
	lists := m.peersByPart()
	first := m.options.Rand(digestParts)
	for i := range digestParts {
		part := (first + i) % digestParts
		if remoteParts[part] == m.parts[part] {
			continue
		}
		for _, p := range lists[part] {
			r := p.record
			e := Entry{Node: r.Node, Start: r.Start, Incarnation: r.Incarnation, State: r.State.withoutSuspicion()}
			out.Entries = append(out.Entries, e)
			room -= e.size()
		}
		out.Mask |= 1 << part
		if room <= 0 {
			break
		}
	}
	return out
}

// peersByPart returns all members, this node included, by part of the digest.
func (m *Machine) peersByPart() [digestParts][]*peer {
	var lists [digestParts][]*peer
	add := func(p *peer) { lists[p.part] = append(lists[p.part], p) }
	add(m.self)
	for _, p := range m.active {
		add(p)
	}
	for _, p := range m.lost {
		add(p)
	}
	return lists
}

// compareEntries finds out which side has the newer record of each member in the
// parts of the mask.
func (m *Machine) compareEntries(d Digest) Delta {
	var out Delta
	listed := make(map[ident.Node]struct{}, len(d.Entries))
	room := maxExchangeBytes
	addRecord := func(r Record) {
		if room >= r.Size() {
			room -= r.Size()
			out.Records = append(out.Records, r)
		}
	}
	for _, e := range d.Entries {
		listed[e.Node] = struct{}{}
		p, ok := m.peers[e.Node]
		if !ok {
			out.Wanted = append(out.Wanted, e.Node)
			continue
		}
		remote, local := e.record(), p.record
		local.State = local.State.withoutSuspicion()
		order := Compare(remote, local)
		switch {
		case order == 0:
		case sameIncarnation(remote, local) && order > 0:
			m.apply(remote, false, m.lastTick)
		case order > 0:
			out.Wanted = append(out.Wanted, e.Node)
		case sameIncarnation(remote, local):
			addRecord(p.record.stateOnly())
		default:
			addRecord(p.record)
		}
	}
	for part, list := range m.peersByPart() {
		if d.Mask&(1<<part) == 0 {
			continue
		}
		for _, p := range list {
			if _, ok := listed[p.record.Node]; !ok {
				addRecord(p.record)
			}
		}
	}
	return out
}

// Records returns the records of the nodes, at most maxExchangeBytes of them.
func (m *Machine) Records(nodes []ident.Node) []Record {
	var out []Record
	room := maxExchangeBytes
	for _, n := range nodes {
		p, ok := m.peers[n]
		if !ok {
			continue
		}
		room -= p.record.Size()
		if room < 0 {
			break
		}
		out = append(out, p.record)
	}
	return out
}

// Merge applies the records of an anti-entropy exchange that are newer. It does
// not gossip them: the node that first had them has done so.
func (m *Machine) Merge(records []Record, now time.Time) {
	for _, r := range records {
		m.apply(r, false, now)
	}
}
