package member

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// maxRelays bounds the probes made on behalf of others at a time.
const maxRelays = 64

// overdraft is how many seconds' worth of the allowance urgent updates may
// use in advance. One leave costs a node about 4 KB. At 2 s' worth, with 300
// members, 10 % loss and four leaves in as many seconds, 57 of 240 leaves took
// longer than the 2 s promised; at 10 s' worth it was 1 of 240.
const overdraft = 10

// Receive handles a packet that came from an address.
func (m *Machine) Receive(from string, p Packet, now time.Time) {
	if p.Source == m.me.record.Node {
		return
	}
	told := false // the packet has a record of this node
	for _, r := range p.Records {
		told = told || r.Node == m.me.record.Node
		m.apply(r, true, now)
	}
	behind := m.learn(p)
	switch p.Kind {
	case Ping:
		// An address may have passed to another node.
		if p.Target == m.me.record.Node {
			m.ack(from, p, told, behind)
		}
		return
	case Ack:
		m.acked(p)
	case Indirect:
		m.relay(from, p, now)
	case Relayed:
		if p.Sequence == m.probe.sequence {
			m.probe.relays++
		}
	case Join:
		m.welcome(from, p)
		return
	case Beat:
		m.options.Beat(p.Source)
	}
	if behind && m.tokens > -float64(m.options.Rate) {
		m.send(from, Packet{Kind: Gossip, Head: m.head})
	}
}

// learn takes over head, faults and the adopted revision, and tells whether
// the source knows a lower revision than this node.
func (m *Machine) learn(p Packet) bool {
	if s, ok := m.peers[p.Source]; ok {
		s.record.Revision = max(s.record.Revision, p.Adopted)
	}
	for _, f := range p.Faults {
		if !m.hasFault(f) && m.options.Fault(f) {
			m.SetFault(f)
		}
	}
	if p.Head.Revision > m.head.Revision && p.Head.Digest != "" {
		m.head = p.Head
		m.spreadNews()
		m.options.Heard(p.Head, p.Source)
	}
	return p.Head.Revision < m.head.Revision
}

func (m *Machine) hasFault(f ident.Move) bool {
	for _, have := range m.faults {
		if have == f {
			return true
		}
	}
	return false
}

// ack answers a probe, with the own record if the prober's copy may be old,
// with the claim that the prober may have to refute, and with newer records
// than the suspicions that the prober asks about.
func (m *Machine) ack(to string, p Packet, told, behind bool) {
	out := Packet{Kind: Ack, Sequence: p.Sequence, Target: p.Source}
	if told {
		out.Records = append(out.Records, m.me.record)
	}
	if s, ok := m.peers[p.Source]; ok && (s.record.State == Suspect || s.record.State.Lost()) {
		out.Records = append(out.Records, s.record.bare())
	}
	for _, r := range p.Records {
		if k, ok := m.peers[r.Node]; ok && k != m.me && r.State == Suspect && Compare(k.record, r) > 0 {
			out.Records = append(out.Records, k.record)
		}
	}
	if behind {
		out.Head = m.head
	}
	m.send(to, out)
}

// acked matches an answer to the running probe or to a relayed one. A relay
// puts the probed node into Target.
func (m *Machine) acked(p Packet) {
	if r, ok := m.relays[p.Sequence]; ok && r.node == p.Source {
		delete(m.relays, p.Sequence)
		m.send(r.address, Packet{Kind: Ack, Sequence: r.sequence, Target: r.node})
		return
	}
	node := m.probe.record.Node
	if m.probe.peer == nil || m.probe.acked || p.Sequence != m.probe.sequence {
		return
	}
	if p.Source == node || p.Target == node {
		m.probe.acked = true
		m.alone = false
		m.result(true)
	}
}

func (m *Machine) relay(from string, p Packet, now time.Time) {
	for s, r := range m.relays {
		if now.After(r.until) {
			delete(m.relays, s)
		}
	}
	if len(m.relays) >= maxRelays {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		address: from, sequence: p.Sequence, node: p.Target, until: now.Add(m.options.Period),
	}
	out := Packet{Kind: Ping, Sequence: m.sequence, Target: p.Target}
	if t, ok := m.peers[p.Target]; ok && t.record.State == Suspect {
		out.Records = append(out.Records, t.record.bare())
	}
	m.send(p.Address, out)
	m.send(from, Packet{Kind: Relayed, Sequence: p.Sequence, Target: p.Source})
}

// welcome answers a joining node with a sample of the members, which is enough
// to take part, and with what it has to outrank of its earlier run.
func (m *Machine) welcome(to string, p Packet) {
	out := Packet{Kind: Welcome, Target: p.Source, Records: []Record{m.me.record}, Head: m.head}
	if s, ok := m.peers[p.Source]; ok {
		out.Records = append(out.Records, s.record.bare())
	}
	for _, s := range m.random(sample, m.peers[p.Source]) {
		if s.record.State == Alive {
			out.Records = append(out.Records, s.record)
		}
	}
	m.send(to, out)
}

// sample is the number of members in a Welcome; their records fill about half
// a packet.
const sample = 4

// gossip sends waiting updates to a few members.
func (m *Machine) gossip(now time.Time) {
	if now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = now.Add(gossipPeriod)
	if m.news <= 0 && m.urgent.empty() && (m.normal.empty() || m.tokens <= 0) {
		return
	}
	for _, p := range m.random(fanout, nil) {
		out := m.complete(Packet{Kind: Gossip})
		if len(out.Records) == 0 && out.Head.Digest == "" && len(out.Faults) == 0 {
			return
		}
		m.tokens -= float64(out.Size()+datagramOverhead) - float64(recordsSize(out.Records))
		m.options.Send(p.record.UDP, out)
	}
}

// send completes a packet with what every packet carries and hands it over.
func (m *Machine) send(address string, p Packet) {
	m.options.Send(address, m.complete(p))
}

// complete adds source, configuration, faults and as many updates as the
// packet and the allowance have room for.
func (m *Machine) complete(p Packet) Packet {
	p.Source = m.me.record.Node
	p.Adopted = m.me.record.Revision
	p.Faults = m.faults
	if m.news > 0 {
		m.news--
		p.Head = m.head
	}
	if p.Head.Digest == "" {
		p.Head = Head{Revision: m.head.Revision}
	}
	room := maxPacket - p.Size()
	p.Records = m.take(&m.urgent, p.Records, &room, m.floor())
	p.Records = m.take(&m.normal, p.Records, &room, 0)
	return p
}

// floor is how far urgent messages may overdraw the allowance.
func (m *Machine) floor() float64 { return -overdraft * float64(m.options.Rate) }

// take moves updates from a queue into a packet while the allowance is above
// the floor.
func (m *Machine) take(q *queue, out []Record, room *int, floor float64) []Record {
	var sent []*peer
	for m.tokens > floor {
		p := q.pop(*room)
		if p == nil {
			break
		}
		r := p.update()
		*room -= r.Size()
		m.tokens -= float64(r.Size())
		out = append(out, r)
		sent = append(sent, p)
	}
	for _, p := range sent {
		q.requeue(p)
	}
	return out
}

func recordsSize(records []Record) int {
	n := 0
	for _, r := range records {
		n += r.Size()
	}
	return n
}
