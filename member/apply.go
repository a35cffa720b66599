package member

import (
	"time"
)

// maxRechecks is the maximum number of members queued to be probed ahead of the
// probe order. One is probed each period, so the entries of a longer queue would
// be outdated.
const maxRechecks = 64

// apply stores a record if it is newer than the copy of this node. If the record
// arrived by gossip, apply queues it to be gossiped further.
func (m *Machine) apply(r Record, gossip bool, now time.Time) {
	if r.Node == m.self.record.Node {
		m.refute(r)
		return
	}
	p, ok := m.peers[r.Node]
	if !ok {
		if !r.isStateOnly() {
			m.addPeer(r, gossip, now)
		}
		return
	}
	if r.isStateOnly() && !sameIncarnation(r, p.record) {
		return
	}
	if r.Start == p.record.Start {
		p.record.Revision = max(p.record.Revision, r.Revision)
		r.Revision = p.record.Revision
	}
	order := Compare(r, p.record)
	if order <= 0 {
		// A duplicate means that others are gossiping the update too, so it
		// counts as one of its transmissions.
		if order == 0 && gossip && p.queued && !p.urgent {
			p.transmissions++
		}
		return
	}
	if sameIncarnation(r, p.record) && r.State.Lost() && p.record.State == Alive && !m.isolated() {
		m.queueRecheck(p)
		return
	}
	withContent := !sameIncarnation(r, p.record)
	refuted := p.record.State == Suspect && r.State == Alive
	if r.isStateOnly() {
		state := r.State
		r = p.record
		r.State = state
	}
	p.ownSuspicion = false
	m.updatePeer(p, r, now)
	if gossip {
		m.enqueue(p, withContent, refuted || r.State == Leaving)
	}
}

// addPeer stores the first record of a member.
func (m *Machine) addPeer(r Record, gossip bool, now time.Time) {
	p := &peer{part: partOf(r.Node), index: -1}
	m.peers[r.Node] = p
	m.updatePeer(p, r, now)
	if gossip {
		m.enqueue(p, true, r.State == Leaving)
	}
}

// queueRecheck queues a member to be probed next. It is used for a member that
// others report lost while it is alive to this node. After a partition such
// reports arrive for half of the system; if all of them became suspects at once,
// suspicions would time out before they were refuted. A node that is itself
// isolated can't verify such reports by a probe and applies them.
func (m *Machine) queueRecheck(p *peer) {
	if p.recheckQueued || len(m.rechecks) >= maxRechecks {
		return
	}
	p.recheckQueued = true
	m.rechecks = append(m.rechecks, p)
}

// refute raises this node's incarnation above that of a record that reports it
// suspect or lost, or that belongs to another process start of it.
func (m *Machine) refute(r Record) {
	own := m.self.record
	if Compare(r, own) <= 0 {
		return
	}
	own.Incarnation = r.Incarnation + 1
	m.setSelf(own)
	m.nextGossip = time.Time{}
}

// updatePeer stores a record of a member, updates the lists, the suspects and the
// digest, and calls Options.OnChange.
func (m *Machine) updatePeer(p *peer, r Record, now time.Time) {
	previous := p.record.State
	m.setRecord(p, r)
	if previous.Lost() != r.State.Lost() || p.index < 0 {
		m.removeFromList(p, previous)
		m.addToList(p)
	}
	if previous != r.State {
		p.stateSince = now
		p.refutationChecks = 0
	}
	if r.State == Suspect {
		m.suspect[p] = struct{}{}
	} else {
		delete(m.suspect, p)
	}
	m.options.OnChange(r)
}

// enqueue queues the current record of a peer to be gossiped. A refutation is
// urgent, because it must arrive before the suspicion times out. A leave is
// urgent, because new work must stop. A leave always carries the whole record,
// since members that have missed the latest incarnation ignore a state-only one.
func (m *Machine) enqueue(p *peer, withContent, urgent bool) {
	p.withContent = withContent || p.queued && p.withContent || p.record.State == Leaving
	p.urgent = urgent
	maxTransmissions := transmissionLimit(len(m.active))
	if urgent {
		m.nextGossip = time.Time{}
		m.urgent.push(p, maxTransmissions)
		return
	}
	m.normal.push(p, maxTransmissions)
}

// listFor returns the list that holds the members in state s.
func (m *Machine) listFor(s State) *[]*peer {
	if s.Lost() {
		return &m.lost
	}
	return &m.active
}

// removeFromList removes a peer from the list for its previous state.
func (m *Machine) removeFromList(p *peer, previous State) {
	if p.index < 0 {
		return
	}
	l := m.listFor(previous)
	last := len(*l) - 1
	(*l)[p.index] = (*l)[last]
	(*l)[p.index].index = p.index
	(*l)[last] = nil
	*l = (*l)[:last]
	p.index = -1
}

// addToList adds a peer at a random position of its list, so that nodes don't
// all probe members that joined together in the same order.
func (m *Machine) addToList(p *peer) {
	l := m.listFor(p.record.State)
	*l = append(*l, p)
	p.index = len(*l) - 1
	m.swap(*l, p.index, m.options.Rand(len(*l)))
}

func (m *Machine) swap(l []*peer, i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}
