package member

import (
	"time"
)

// maxDoubts bounds the members that are probed ahead of their turn. One per
// period is probed, so a longer list would only hold old doubts.
const maxDoubts = 64

// apply takes over a record if it is newer than the copy held. Records that
// arrived by gossip are passed on.
func (m *Machine) apply(r Record, gossip bool, now time.Time) {
	if r.Node == m.me.record.Node {
		m.refute(r)
		return
	}
	p, ok := m.peers[r.Node]
	if !ok {
		if !r.isBare() {
			m.add(r, gossip, now)
		}
		return
	}
	if r.isBare() && !sameRun(r, p.record) {
		return
	}
	if r.Start == p.record.Start {
		p.record.Revision = max(p.record.Revision, r.Revision)
		r.Revision = p.record.Revision
	}
	order := Compare(r, p.record)
	if order <= 0 {
		// A duplicate shows that the update is spread already.
		if order == 0 && gossip && p.queued && !p.urgent {
			p.sent++
		}
		return
	}
	if sameRun(r, p.record) && r.State.Lost() && p.record.State == Alive && !m.faulty() {
		m.doubt(p)
		return
	}
	full := !sameRun(r, p.record)
	refuted := p.record.State == Suspect && r.State == Alive
	if r.isBare() {
		state := r.State
		r = p.record
		r.State = state
	}
	p.mine = false
	m.change(p, r, now)
	if gossip {
		m.enqueue(p, full, refuted || r.State == Leaving)
	}
}

func (m *Machine) add(r Record, gossip bool, now time.Time) {
	p := &peer{part: partOf(r.Node), index: -1}
	m.peers[r.Node] = p
	m.change(p, r, now)
	if gossip {
		m.enqueue(p, true, r.State == Leaving)
	}
}

// doubt probes a member next that others call unreachable while this node has
// no suspicion. After a partition such claims arrive for half of the system;
// suspecting all of them at once would let timeouts pass before refutations.
// A node that is itself faulty can't judge and takes over such claims.
func (m *Machine) doubt(p *peer) {
	if p.doubted || len(m.doubts) >= maxDoubts {
		return
	}
	p.doubted = true
	m.doubts = append(m.doubts, p)
}

// refute raises the own incarnation above a record that calls this node
// suspect or gone, or that is of another run of it.
func (m *Machine) refute(r Record) {
	own := m.me.record
	if Compare(r, own) <= 0 {
		return
	}
	own.Incarnation = r.Incarnation + 1
	m.setSelf(own)
	m.nextGossip = time.Time{}
}

// change stores a record, keeps lists and digest in step and notifies.
func (m *Machine) change(p *peer, r Record, now time.Time) {
	was := p.record.State
	m.rehash(p, r)
	if was.Lost() != r.State.Lost() || p.index < 0 {
		m.unlist(p, was)
		m.enlist(p)
	}
	if was != r.State {
		p.since = now
		p.checks = 0
	}
	if r.State == Suspect {
		m.suspect[p] = struct{}{}
	} else {
		delete(m.suspect, p)
	}
	m.options.Notify(r)
}

// enqueue lets gossip pass on the current record of a peer. A refuted
// suspicion is urgent, because it has to arrive before the timeout, and so is
// a leave, because new work has to stop. A leave always carries the content:
// members that have missed the latest incarnation would ignore a bare claim.
func (m *Machine) enqueue(p *peer, full, urgent bool) {
	p.full = full || p.queued && p.full || p.record.State == Leaving
	p.urgent = urgent
	limit := retransmits(len(m.active))
	if urgent {
		m.nextGossip = time.Time{}
		m.urgent.push(p, limit)
		return
	}
	m.normal.push(p, limit)
}

func (m *Machine) list(s State) *[]*peer {
	if s.Lost() {
		return &m.lost
	}
	return &m.active
}

func (m *Machine) unlist(p *peer, was State) {
	if p.index < 0 {
		return
	}
	l := m.list(was)
	last := len(*l) - 1
	(*l)[p.index] = (*l)[last]
	(*l)[p.index].index = p.index
	(*l)[last] = nil
	*l = (*l)[:last]
	p.index = -1
}

// enlist adds a peer at a random place of the probe order, so that members
// that join together aren't probed in the same order by all.
func (m *Machine) enlist(p *peer) {
	l := m.list(p.record.State)
	*l = append(*l, p)
	p.index = len(*l) - 1
	m.swap(*l, p.index, m.options.Rand(len(*l)))
}

func (m *Machine) swap(l []*peer, i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}
