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
	// defaultTimeout is how long a direct probe waits before indirect ones are
	// sent. A round trip between regions takes up to 250 ms.
	defaultTimeout = 400 * time.Millisecond
	// defaultIndirectProbes is the number of relays of an indirect probe.
	defaultIndirectProbes = 3
	// defaultSlow is the mean time between two probes of lost members. With 550
	// nodes on each side of a partition, each is reached within 40 s.
	defaultSlow = 5 * time.Second
	// defaultSync is the mean time between two anti-entropy exchanges.
	defaultSync = 30 * time.Second
	// defaultLostRetention is how long lost members are kept; it must exceed the duration
	// of partitions, which last minutes.
	defaultLostRetention = 24 * time.Hour
	// defaultRate is the maximum rate of updates that one node sends, in bytes per
	// second. Sent and received updates together stay below the budget of 5 KB/s
	// for control traffic.
	defaultRate = 1200
)

// Options configure a Machine. Durations and numbers that are zero take their
// defaults.
type Options struct {
	// Self is the record of this node; State and Incarnation are set by New.
	Self Record
	// Seeds are the UDP addresses of nodes to join through.
	Seeds []string
	// StartTime is the start time of the process and sets the first
	// incarnation.
	StartTime time.Time

	ProbePeriod     time.Duration // between two probes
	ProbeTimeout    time.Duration // of a direct probe
	IndirectProbes  int           // relays of an indirect probe
	LostProbePeriod time.Duration // mean time between two probes of lost members
	SyncPeriod      time.Duration // mean time between two anti-entropy exchanges
	LostRetention   time.Duration // how long lost members are kept
	UpdateRate      int           // bytes of updates per second

	// Send sends a packet, which may be lost. Required.
	Send func(address string, p Packet)
	// Rand returns a uniform number in [0, n). Required.
	Rand func(n int) int
	// OnChange is called with each record of another member that is new or
	// changed.
	OnChange func(Record)
	// OnHead is called with a configuration head that is higher than all
	// earlier ones, and the member that sent it.
	OnHead func(h Head, from ident.Node)
	// OnBeat is called for each heartbeat of a member that watches the store.
	OnBeat func(from ident.Node)
	// OnFault is called with a received move fault that was not latched before.
	// It returns whether to latch it: false for a move that isn't in the
	// manifest.
	OnFault func(ident.Move) bool
	// StartSync is called to start an anti-entropy exchange with a member.
	StartSync func(Record)
}

func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&o.ProbePeriod, defaultPeriod)
	setDefault(&o.ProbeTimeout, defaultTimeout)
	setDefault(&o.LostProbePeriod, defaultSlow)
	setDefault(&o.SyncPeriod, defaultSync)
	setDefault(&o.LostRetention, defaultLostRetention)
	if o.IndirectProbes <= 0 {
		o.IndirectProbes = defaultIndirectProbes
	}
	if o.UpdateRate <= 0 {
		o.UpdateRate = defaultRate
	}
	if o.OnChange == nil {
		o.OnChange = func(Record) {}
	}
	if o.OnHead == nil {
		o.OnHead = func(Head, ident.Node) {}
	}
	if o.OnBeat == nil {
		o.OnBeat = func(ident.Node) {}
	}
	if o.OnFault == nil {
		o.OnFault = func(ident.Move) bool { return true }
	}
	if o.StartSync == nil {
		o.StartSync = func(Record) {}
	}
	return o
}

// peer is the copy of a member's record with the local state for it.
type peer struct {
	record           Record
	hash             uint64    // of the record in the digest
	part             int       // of the digest
	index            int       // in Machine.active or Machine.lost
	stateSince       time.Time // when the state last changed or its timeout was restarted
	stamp            uint32    // of the latest queued update
	transmissions    int       // how often the queued update was sent or received again
	maxTransmissions int
	queued           bool
	withContent      bool // the queued update carries the whole record, not only the state
	refutationChecks int  // checks made for a refutation of the suspicion
	ownSuspicion     bool // the suspicion results from a probe of this node
	recheckQueued    bool // in Machine.rechecks
	urgent           bool // the queued update is in the urgent queue
}

// gossipRecord returns the record as the queued update carries it.
func (p *peer) gossipRecord() Record {
	if p.withContent {
		return p.record
	}
	return p.record.stateOnly()
}

// Machine is the membership state machine of one node.
type Machine struct {
	options  Options
	self     *peer
	peers    map[ident.Node]*peer
	active   []*peer // alive, suspect or leaving, in probe order
	lost     []*peer
	suspect  map[*peer]struct{}
	rechecks []*peer // to be probed ahead of the probe order
	parts    [digestParts]uint64

	urgent    queue
	normal    queue
	headSends int // packets that still have to carry the head
	head      Head
	faults    []ident.Move
	tokens    float64 // bytes of updates that may be sent now; negative if overdrawn

	sequence      uint64
	probeIndex    int // in active
	probe         probe
	relays        map[uint64]relay
	results       probeResults
	regionResults probeResults // in the region of this node
	relaysSilent  bool         // neither the target nor any relay of the last probe answered

	lastTick, nextProbe, nextLostProbe, nextGossip time.Time
	nextSync, nextJoin, nextPrune                  time.Time
	joinPause                                      time.Duration // after the next Join
}

// New returns a machine that knows no other member.
func New(o Options) *Machine {
	o = o.withDefaults()
	o.Self.State = Alive
	o.Self.Incarnation = max(o.Self.Incarnation, uint64(max(o.StartTime.Unix(), 1)))
	m := &Machine{
		options:   o,
		peers:     map[ident.Node]*peer{},
		suspect:   map[*peer]struct{}{},
		relays:    map[uint64]relay{},
		sequence:  uint64(o.Rand(math.MaxInt32)),
		tokens:    float64(o.UpdateRate),
		joinPause: o.ProbePeriod,
		self:      &peer{part: partOf(o.Self.Node), index: -1},
	}
	m.peers[o.Self.Node] = m.self
	m.setSelf(o.Self)
	return m
}

// partOf returns the part of the digest that a member belongs to.
func partOf(n ident.Node) int {
	return int(xxhash.Sum64String(string(n)) % digestParts)
}

// Self returns the record of this node.
func (m *Machine) Self() Record { return m.self.record }

// Lookup returns the record of a member.
func (m *Machine) Lookup(n ident.Node) (Record, bool) {
	p, ok := m.peers[n]
	if !ok {
		return Record{}, false
	}
	return p.record, true
}

// Members returns the records of all members sorted by node, including this node
// and lost members.
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

// Head returns the highest configuration head received or set.
func (m *Machine) Head() Head { return m.head }

// SetSeeds replaces the addresses to join through, such as those in the table.
func (m *Machine) SetSeeds(addresses []string) {
	if !slices.Equal(addresses, m.options.Seeds) {
		m.joinPause = m.options.ProbePeriod
		m.nextJoin = time.Time{}
	}
	m.options.Seeds = slices.Clone(addresses)
}

// Update replaces the content of this node's record and announces it. Update
// ignores Node, Start, Incarnation and State of r, which the machine controls.
func (m *Machine) Update(r Record, _ time.Time) {
	own := m.self.record
	r.Node, r.Start, r.State, r.Incarnation = own.Node, own.Start, own.State, own.Incarnation
	adopted := r.Revision
	r.Revision = own.Revision
	if r != own {
		r.Incarnation++
		m.setSelf(r)
	}
	m.self.record.Revision = adopted
}

// Leave announces that this node accepts no new work. The announcement is urgent
// and can't be reverted within this process start.
func (m *Machine) Leave(_ time.Time) {
	r := m.self.record
	if r.State == Leaving {
		return
	}
	r.State = Leaving
	m.setSelf(r)
	m.nextGossip = time.Time{}
}

// SetHead sets a configuration head read from the store, if it is higher than the
// current one.
func (m *Machine) SetHead(h Head) {
	if h.Revision > m.head.Revision {
		m.head = h
		m.startBroadcast()
	}
}

// SendBeat sends members a heartbeat with the head. The caller sends it while the
// store answers this node.
func (m *Machine) SendBeat(to []ident.Node) {
	for _, n := range to {
		if p, ok := m.peers[n]; ok {
			m.send(p.record.UDP, Packet{Kind: Beat, Head: m.head})
		}
	}
}

// SetFault latches the fault of a move and reports whether it was newly latched.
// Only ClearFaults removes the latch.
func (m *Machine) SetFault(v ident.Move) bool {
	if slices.Contains(m.faults, v) || len(m.faults) >= maxFaults {
		return false
	}
	m.faults = append(m.faults, v)
	m.startBroadcast()
	return true
}

// Faults returns the moves whose fault is latched.
func (m *Machine) Faults() []ident.Move { return slices.Clone(m.faults) }

// ClearFaults removes the latches of moves for which removable returns true: those
// that are no longer in the manifest. Until a node that still has a latch adopts
// that manifest, gossip from it may set the latch again.
func (m *Machine) ClearFaults(removable func(ident.Move) bool) {
	m.faults = slices.DeleteFunc(slices.Clone(m.faults), removable)
}

// startBroadcast schedules the head and the faults to be sent by gossip.
func (m *Machine) startBroadcast() {
	m.headSends = transmissionLimit(len(m.active))
	m.nextGossip = time.Time{}
}

// setSelf replaces the record of this node and queues it as an urgent update.
func (m *Machine) setSelf(r Record) {
	m.self.withContent = true
	m.self.urgent = true
	m.setRecord(m.self, r)
	m.urgent.push(m.self, transmissionLimit(len(m.active)))
}

// setRecord stores the record of a peer and updates the digest.
func (m *Machine) setRecord(p *peer, r Record) {
	p.record = r
	m.parts[p.part] ^= p.hash
	p.hash = recordHash(r)
	m.parts[p.part] ^= p.hash
}
