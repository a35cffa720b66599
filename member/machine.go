package member

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// defaultPeriod is the time between two direct probes of one node.
	defaultPeriod = time.Second
	// defaultTimeout is how long a direct probe waits before it goes indirect.
	// A round trip between regions takes up to 250 ms.
	defaultTimeout = 400 * time.Millisecond
	// defaultIndirect is the number of relays of an indirect probe.
	defaultIndirect = 3
	// defaultSlow is the time between two probes of unreachable members. With
	// 550 nodes on each side of a partition, each is reached within 40 s.
	defaultSlow = 5 * time.Second
	// defaultSync is the mean time between two anti-entropy exchanges.
	defaultSync = 30 * time.Second
	// defaultKeep is how long lost members are kept; partitions last minutes.
	defaultKeep = 24 * time.Hour
	// defaultRate bounds the updates sent by one node, in bytes per second. Sent
	// and received together stay under the control budget of 5 KB/s.
	defaultRate = 1200
)

// Options configure a Machine. Zero durations and numbers take their defaults.
type Options struct {
	// Self is the record of this node; State and Incarnation are set by New.
	Self Record
	// Seeds are UDP addresses to join by.
	Seeds []string
	// Began is the start time of the process and sets the first incarnation.
	Began time.Time

	Period   time.Duration
	Timeout  time.Duration
	Indirect int
	Slow     time.Duration
	Sync     time.Duration
	Keep     time.Duration
	Rate     int // bytes of updates per second

	// Send hands a packet to the network; it may get lost. Required.
	Send func(address string, p Packet)
	// Rand returns a uniform number in [0, n). Required.
	Rand func(n int) int
	// Notify reports a record that is new or changed.
	Notify func(Record)
	// Heard reports a configuration head that is higher than all before, and
	// the member that told it.
	Heard func(h Head, from ident.Node)
	// Beat reports a beat of a member that watches the store.
	Beat func(from ident.Node)
	// Fault reports a move fault that was not set before. It returns whether the
	// latch is kept, which is false for a move that is not in the manifest.
	Fault func(ident.Move) bool
	// Pull asks for an anti-entropy exchange with a member.
	Pull func(Record)
}

func (o Options) withDefaults() Options {
	orTime := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	orTime(&o.Period, defaultPeriod)
	orTime(&o.Timeout, defaultTimeout)
	orTime(&o.Slow, defaultSlow)
	orTime(&o.Sync, defaultSync)
	orTime(&o.Keep, defaultKeep)
	if o.Indirect <= 0 {
		o.Indirect = defaultIndirect
	}
	if o.Rate <= 0 {
		o.Rate = defaultRate
	}
	if o.Notify == nil {
		o.Notify = func(Record) {}
	}
	if o.Heard == nil {
		o.Heard = func(Head, ident.Node) {}
	}
	if o.Beat == nil {
		o.Beat = func(ident.Node) {}
	}
	if o.Fault == nil {
		o.Fault = func(ident.Move) bool { return true }
	}
	if o.Pull == nil {
		o.Pull = func(Record) {}
	}
	return o
}

// peer is the copy of one member's record with its local bookkeeping.
type peer struct {
	record  Record
	hash    uint64 // of the record in the digest
	part    int    // part of the digest
	index   int    // in Machine.active or Machine.lost
	since   time.Time
	stamp   uint32
	sent    int
	limit   int // of transmissions
	queued  bool
	full    bool // the queued update carries the content, not only the state
	checks  int  // for a refutation of the suspicion
	mine    bool // the suspicion is this node's own
	doubted bool // waits in Machine.doubts
	urgent  bool // the queued update is in the urgent queue
}

// update returns the record as gossip carries it.
func (p *peer) update() Record {
	if p.full {
		return p.record
	}
	return p.record.bare()
}

// Machine is the membership of one node.
type Machine struct {
	options Options
	me      *peer
	peers   map[ident.Node]*peer
	active  []*peer // alive, suspect or leaving, in probe order
	lost    []*peer
	suspect map[*peer]struct{}
	doubts  []*peer // to be probed next
	parts   [digestParts]uint64

	urgent queue
	normal queue
	news   int // transmissions left for the head or the faults
	head   Head
	faults []ident.Move
	tokens float64

	sequence uint64
	cursor   int
	probe    probe
	relays   map[uint64]relay
	results  outcomes
	near     outcomes // in the own region
	alone    bool     // neither target nor relays of the last probe answered

	ticked, nextProbe, nextSlow, nextGossip time.Time
	nextSync, nextJoin, nextForget          time.Time
}

// New returns a machine that knows only itself.
func New(o Options) *Machine {
	o = o.withDefaults()
	o.Self.State = Alive
	o.Self.Incarnation = max(o.Self.Incarnation, uint64(max(o.Began.Unix(), 1)))
	m := &Machine{
		options:  o,
		peers:    map[ident.Node]*peer{},
		suspect:  map[*peer]struct{}{},
		relays:   map[uint64]relay{},
		sequence: uint64(o.Rand(math.MaxInt32)),
		tokens:   float64(o.Rate),
		me:       &peer{part: partOf(o.Self.Node), index: -1},
	}
	m.peers[o.Self.Node] = m.me
	m.setSelf(o.Self)
	return m
}

func partOf(n ident.Node) int {
	return int(xxhash.Sum64String(string(n)) % digestParts)
}

// Self returns the own record.
func (m *Machine) Self() Record { return m.me.record }

// Lookup returns the record of a member.
func (m *Machine) Lookup(n ident.Node) (Record, bool) {
	p, ok := m.peers[n]
	if !ok {
		return Record{}, false
	}
	return p.record, true
}

// Members returns all records, the own one and lost ones included, by node.
func (m *Machine) Members() []Record {
	out := make([]Record, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, p.record)
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return out
}

// Head returns the highest configuration head heard of or set.
func (m *Machine) Head() Head { return m.head }

// SetSeeds replaces the addresses to join by, such as the rows of the table.
func (m *Machine) SetSeeds(addresses []string) {
	m.options.Seeds = slices.Clone(addresses)
}

// Update announces the content of the own record. Node, start, incarnation
// and state stay under the machine's control.
func (m *Machine) Update(r Record, _ time.Time) {
	self := m.me.record
	r.Node, r.Start, r.State, r.Incarnation = self.Node, self.Start, self.State, self.Incarnation
	adopted := r.Revision
	r.Revision = self.Revision
	if r != self {
		r.Incarnation++
		m.setSelf(r)
	}
	m.me.record.Revision = adopted
}

// Leave announces that this node takes no new work. The announcement is urgent
// and can't be taken back within this start.
func (m *Machine) Leave(_ time.Time) {
	r := m.me.record
	if r.State == Leaving {
		return
	}
	r.State = Leaving
	m.setSelf(r)
	m.nextGossip = time.Time{}
}

// SetHead tells the machine of a configuration head read from the store.
func (m *Machine) SetHead(h Head) {
	if h.Revision > m.head.Revision {
		m.head = h
		m.spreadNews()
	}
}

// SendBeat tells members that the store answers this node, and its head.
func (m *Machine) SendBeat(to []ident.Node) {
	for _, n := range to {
		if p, ok := m.peers[n]; ok {
			m.send(p.record.UDP, Packet{Kind: Beat, Head: m.head})
		}
	}
}

// SetFault latches the fault of a move and reports whether it is new.
// ClearFaults is the only way back.
func (m *Machine) SetFault(v ident.Move) bool {
	if slices.Contains(m.faults, v) || len(m.faults) >= maxFaults {
		return false
	}
	m.faults = append(m.faults, v)
	m.spreadNews()
	return true
}

// Faults returns the latched moves.
func (m *Machine) Faults() []ident.Move { return slices.Clone(m.faults) }

// ClearFaults drops the latches of moves that are no longer in the manifest.
// A node that still has one may set it again until it has adopted the manifest.
func (m *Machine) ClearFaults(over func(ident.Move) bool) {
	m.faults = slices.DeleteFunc(slices.Clone(m.faults), over)
}

func (m *Machine) spreadNews() {
	m.news = retransmits(len(m.active))
	m.nextGossip = time.Time{}
}

// setSelf replaces the own record and announces it first.
func (m *Machine) setSelf(r Record) {
	m.me.full = true
	m.me.urgent = true
	m.rehash(m.me, r)
	m.urgent.push(m.me, retransmits(len(m.active)))
}

// rehash stores a record and keeps the digest in step.
func (m *Machine) rehash(p *peer, r Record) {
	p.record = r
	m.parts[p.part] ^= p.hash
	p.hash = recordHash(r)
	m.parts[p.part] ^= p.hash
}
