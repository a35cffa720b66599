package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// digestParts is the number of hashes that narrow down a difference. With
	// 1,100 members one changed record costs the entries of 35 members.
	digestParts = 32
	// maxPage bounds the records or entries of one exchange, in bytes. One
	// exchange every 30 s then costs at most 0.6 KB/s after a partition.
	maxPage = 8 << 10
)

// Entry names the record that one node has of a member.
type Entry struct {
	Node        ident.Node
	Start       ident.Start
	Incarnation uint64
	State       State
}

func (e Entry) record() Record {
	return Record{Node: e.Node, Start: e.Start, Incarnation: e.Incarnation, State: e.State}
}

// size is an upper bound of the encoded size, in bytes.
func (e Entry) size() int { return e.record().Size() }

// Digest sums up all records in one of three steps. Equal hashes mean equal
// states and cost 8 bytes. Different Parts narrow the difference down. Entries
// list all members of the parts whose bit is set in Mask.
type Digest struct {
	Hash    uint64
	Parts   []uint64
	Mask    uint32
	Entries []Entry
}

// Delta is what one side has to tell the other to bring both to one state.
type Delta struct {
	Same    bool
	Digest  Digest       // the next step, for a digest without entries
	Records []Record     // newer here
	Wanted  []ident.Node // newer there
}

func recordHash(r Record) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Start))
	binary.LittleEndian.PutUint64(b[8:], r.Incarnation)
	b[16] = byte(r.State.settled())
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

// Delta compares the digest of another node with the own records. A hash that
// differs is answered with the own parts, parts with the own entries, entries
// with records and wanted nodes.
func (m *Machine) Delta(d Digest) Delta {
	switch {
	case d.Mask != 0:
		return m.compare(d)
	case len(d.Parts) > 0:
		return Delta{Digest: m.entries(d.Parts)}
	case d.Hash == m.hash():
		return Delta{Same: true}
	}
	return Delta{Digest: Digest{Hash: m.hash(), Parts: append([]uint64(nil), m.parts[:]...)}}
}

// entries lists the members in parts that differ, up to one page. It begins
// at a random part, so that repeated exchanges cover all of them.
func (m *Machine) entries(theirs []uint64) Digest {
	var out Digest
	if len(theirs) != digestParts {
		return out
	}
	room := maxPage
	lists := m.byPart()
	first := m.options.Rand(digestParts)
	for i := range digestParts {
		part := (first + i) % digestParts
		if theirs[part] == m.parts[part] {
			continue
		}
		for _, p := range lists[part] {
			r := p.record
			e := Entry{Node: r.Node, Start: r.Start, Incarnation: r.Incarnation, State: r.State.settled()}
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

func (m *Machine) byPart() [digestParts][]*peer {
	var lists [digestParts][]*peer
	add := func(p *peer) { lists[p.part] = append(lists[p.part], p) }
	add(m.me)
	for _, p := range m.active {
		add(p)
	}
	for _, p := range m.lost {
		add(p)
	}
	return lists
}

// compare finds for each member of the parts in the mask which side is newer.
func (m *Machine) compare(d Digest) Delta {
	var out Delta
	listed := make(map[ident.Node]struct{}, len(d.Entries))
	room := maxPage
	give := func(r Record) {
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
		theirs, own := e.record(), p.record
		own.State = own.State.settled()
		order := Compare(theirs, own)
		switch {
		case order == 0:
		case sameRun(theirs, own) && order > 0:
			m.apply(theirs, false, m.ticked)
		case order > 0:
			out.Wanted = append(out.Wanted, e.Node)
		case sameRun(theirs, own):
			give(p.record.bare())
		default:
			give(p.record)
		}
	}
	for part, list := range m.byPart() {
		if d.Mask&(1<<part) == 0 {
			continue
		}
		for _, p := range list {
			if _, ok := listed[p.record.Node]; !ok {
				give(p.record)
			}
		}
	}
	return out
}

// Records returns the records of the nodes, up to one page.
func (m *Machine) Records(nodes []ident.Node) []Record {
	var out []Record
	room := maxPage
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

// Merge takes over newer records from an anti-entropy exchange. It does not
// pass them on: the node that had them first has spread them by gossip.
func (m *Machine) Merge(records []Record, now time.Time) {
	for _, r := range records {
		m.apply(r, false, now)
	}
}
