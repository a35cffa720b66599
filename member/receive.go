package member

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// maxRelays is the maximum number of pending pings on behalf of other nodes.
const maxRelays = 64

// overdraftSeconds is how far urgent updates may overdraw the tokens, in
// seconds of Options.UpdateRate. One leave costs a node about 4 KB. With 2 s,
// 300 members, 10 % loss and four leaves in as many seconds, 57 of 240 leaves
// exceeded the limit of 2 s for reaching all members; with 10 s it was 1 of
// 240.
const overdraftSeconds = 10

// Receive handles a packet that arrived from an address.
func (m *Machine) Receive(from string, p Packet, now time.Time) {
	if p.Source == m.self.record.Node {
		return
	}
	hasSelf := false // whether the packet has a record of this node
	for _, r := range p.Records {
		hasSelf = hasSelf || r.Node == m.self.record.Node
		m.apply(r, true, now)
	}
	sourceBehind := m.mergeState(p)
	switch p.Kind {
	case Ping:
		// The address may have belonged to another node before.
		if p.Target == m.self.record.Node {
			m.sendAck(from, p, hasSelf, sourceBehind)
		}
		return
	case Ack:
		m.handleAck(p)
	case IndirectPing:
		m.handleIndirectPing(from, p, now)
	case RelayAck:
		if p.Sequence == m.probe.sequence {
			m.probe.relaysConfirmed++
		}
	case Join:
		m.replyToJoin(from, p)
		return
	case Beat:
		m.options.OnBeat(p.Source)
	}
	if sourceBehind && m.tokens > -float64(m.options.UpdateRate) {
		m.send(from, Packet{Kind: Gossip, Head: m.head})
	}
}

// mergeState applies the head, the faults and the adopted revision of a packet.
// It reports whether the source has a lower head revision than this node.
func (m *Machine) mergeState(p Packet) bool {
	if s, ok := m.peers[p.Source]; ok {
		s.record.Revision = max(s.record.Revision, p.Adopted)
	}
	for _, f := range p.Faults {
		if !m.hasFault(f) && m.options.OnFault(f) {
			m.SetFault(f)
		}
	}
	if p.Head.Revision > m.head.Revision && p.Head.Digest != "" {
		m.head = p.Head
		m.startBroadcast()
		m.options.OnHead(p.Head, p.Source)
	}
	return p.Head.Revision < m.head.Revision
}

func (m *Machine) hasFault(f ident.Move) bool {
	for _, known := range m.faults {
		if known == f {
			return true
		}
	}
	return false
}

// sendAck answers a Ping. The answer has this node's record if the prober sent a
// copy of it, the record of the prober if that says suspect or lost, so that the
// prober can refute it, and the records that are newer than the suspicions in
// the Ping. It has the head if the prober is behind.
func (m *Machine) sendAck(to string, p Packet, hasSelf, sourceBehind bool) {
	out := Packet{Kind: Ack, Sequence: p.Sequence, Target: p.Source}
	if hasSelf {
		out.Records = append(out.Records, m.self.record)
	}
	if s, ok := m.peers[p.Source]; ok && (s.record.State == Suspect || s.record.State.Lost()) {
		out.Records = append(out.Records, s.record.stateOnly())
	}
	for _, r := range p.Records {
		if k, ok := m.peers[r.Node]; ok && k != m.self && r.State == Suspect && Compare(k.record, r) > 0 {
			out.Records = append(out.Records, k.record)
		}
	}
	if sourceBehind {
		out.Head = m.head
	}
	m.send(to, out)
}

// handleAck matches an Ack to a relayed ping or to the current probe. An Ack from
// a relay has the probed node as Target.
func (m *Machine) handleAck(p Packet) {
	if r, ok := m.relays[p.Sequence]; ok && r.target == p.Source {
		delete(m.relays, p.Sequence)
		m.send(r.proberAddress, Packet{Kind: Ack, Sequence: r.proberSequence, Target: r.target})
		return
	}
	node := m.probe.record.Node
	if m.probe.peer == nil || m.probe.acked || p.Sequence != m.probe.sequence {
		return
	}
	if p.Source == node || p.Target == node {
		m.probe.acked = true
		m.relaysSilent = false
		m.recordResult(true)
	}
}

// handleIndirectPing pings the target of an IndirectPing on behalf of its sender.
func (m *Machine) handleIndirectPing(from string, p Packet, now time.Time) {
	for s, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, s)
		}
	}
	if len(m.relays) >= maxRelays {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		proberAddress: from, proberSequence: p.Sequence, target: p.Target, expires: now.Add(m.options.ProbePeriod),
	}
	out := Packet{Kind: Ping, Sequence: m.sequence, Target: p.Target}
	if t, ok := m.peers[p.Target]; ok && t.record.State == Suspect {
		out.Records = append(out.Records, t.record.stateOnly())
	}
	m.send(p.Address, out)
	m.send(from, Packet{Kind: RelayAck, Sequence: p.Sequence, Target: p.Source})
}

// replyToJoin answers a Join with a sample of the members, which is enough to
// take part in gossip, and with the stored record of the joining node, whose
// incarnation it must exceed if the record is from an earlier process start.
func (m *Machine) replyToJoin(to string, p Packet) {
	out := Packet{Kind: JoinReply, Target: p.Source, Records: []Record{m.self.record}, Head: m.head}
	if s, ok := m.peers[p.Source]; ok {
		out.Records = append(out.Records, s.record.stateOnly())
	}
	for _, s := range m.randomPeers(joinSampleSize, m.peers[p.Source]) {
		if s.record.State == Alive {
			out.Records = append(out.Records, s.record)
		}
	}
	m.send(to, out)
}

// joinSampleSize is the number of members in a JoinReply; their records fill
// about half a packet.
const joinSampleSize = 4

// gossip sends queued updates to gossipFanout random members.
func (m *Machine) gossip(now time.Time) {
	if now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = now.Add(gossipPeriod)
	if m.headSends <= 0 && m.urgent.empty() && (m.normal.empty() || m.tokens <= 0) {
		return
	}
	for _, p := range m.randomPeers(gossipFanout, nil) {
		out := m.fillPacket(Packet{Kind: Gossip})
		if len(out.Records) == 0 && out.Head.Digest == "" && len(out.Faults) == 0 {
			return
		}
		m.tokens -= float64(out.Size()+datagramOverhead) - float64(recordsSize(out.Records))
		m.options.Send(p.record.UDP, out)
	}
}

// send fills a packet and sends it.
func (m *Machine) send(address string, p Packet) {
	m.options.Send(address, m.fillPacket(p))
}

// fillPacket adds the source, the configuration revisions, the faults, and as
// many updates as fit in the packet and the tokens allow.
func (m *Machine) fillPacket(p Packet) Packet {
	p.Source = m.self.record.Node
	p.Adopted = m.self.record.Revision
	p.Faults = m.faults
	if m.headSends > 0 {
		m.headSends--
		p.Head = m.head
	}
	if p.Head.Digest == "" {
		p.Head = Head{Revision: m.head.Revision}
	}
	room := maxPacketBytes - p.Size()
	p.Records = m.takeUpdates(&m.urgent, p.Records, &room, m.minTokens())
	p.Records = m.takeUpdates(&m.normal, p.Records, &room, 0)
	return p
}

// minTokens returns the level to which urgent updates may overdraw the tokens.
func (m *Machine) minTokens() float64 { return -overdraftSeconds * float64(m.options.UpdateRate) }

// takeUpdates appends updates from a queue to the records of a packet while they
// fit in room, in bytes, and the tokens are above minTokens.
func (m *Machine) takeUpdates(q *queue, out []Record, room *int, minTokens float64) []Record {
	var sent []*peer
	for m.tokens > minTokens {
		p := q.pop(*room)
		if p == nil {
			break
		}
		r := p.gossipRecord()
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
