package member

import (
	"math"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// gossipPeriod is the time between two gossip rounds while updates are queued.
	gossipPeriod = 200 * time.Millisecond
	// gossipFanout is the number of members that one gossip round sends to.
	gossipFanout = 3
	// suspicionMultiplier times log10 of the number of members is the timeout of
	// a suspicion, in probe periods.
	suspicionMultiplier = 3
	// joinPeriod is the longest pause between two Joins to seeds that aren't
	// active members. The pause doubles from one probe period, so that groups
	// that formed during a common start merge within seconds.
	joinPeriod = 30 * time.Second
	// joinRequests is the number of Join packets sent at a time while no other
	// member is active.
	joinRequests = 3
	// prunePeriod is the time between two removals of members that have been lost
	// for longer than Options.LostRetention.
	prunePeriod = time.Minute
	// resultWindow is the number of latest probe results from which a node
	// decides whether it is isolated; it needs at least minResults of them.
	resultWindow = 8
	minResults   = 4
	// maxRefutationChecks is how often a node asks another one for a refutation
	// before a suspicion times out. If a tenth of the packets is lost, a fifth of
	// the checks fail.
	maxRefutationChecks = 3
	// maxCheckedSuspects is the maximum number of suspects in one check, so that
	// the answer fits in one packet.
	maxCheckedSuspects = 8
	// minSilentRelays is the number of relays that must fail to respond before
	// the node considers itself isolated; a single one may be down.
	minSilentRelays = 2
)

// probe is the current probe, direct and then indirect.
type probe struct {
	peer            *peer
	record          Record // of the peer when the probe was sent
	sequence        uint64
	sentAt          time.Time
	indirect        bool
	relaysAsked     int // relays asked for an indirect probe
	relaysConfirmed int // relays that confirmed it
	acked           bool
}

// relay is a ping that this node sent on behalf of another node, the prober.
type relay struct {
	proberAddress  string
	proberSequence uint64 // of the prober's probe
	target         ident.Node
	expires        time.Time
}

// Tick runs all timers that are due. The caller must call it about every 100 ms.
func (m *Machine) Tick(now time.Time) {
	m.resetAfterPause(now)
	m.refillTokens(now)
	m.lastTick = now
	m.join(now)
	m.probeNext(now)
	m.probeLost(now)
	m.expireSuspicions(now)
	m.gossip(now)
	m.startSync(now)
	m.prune(now)
}

// resetAfterPause resets the timers on the first tick and after a pause of the
// process. Packets that arrived during a pause may be lost, so no timeout may
// include the time before it.
func (m *Machine) resetAfterPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap <= m.options.ProbePeriod {
		return
	}
	m.probe = probe{}
	m.results, m.regionResults = nil, nil
	m.relaysSilent = false
	clear(m.relays)
	for p := range m.suspect {
		p.stateSince = now
	}
	m.nextProbe = now.Add(m.jitter(m.options.ProbePeriod))
	m.nextLostProbe = now.Add(m.jitter(m.options.LostProbePeriod))
	m.nextSync = now.Add(m.jitter(m.options.ProbePeriod))
	m.nextPrune = now.Add(prunePeriod)
	if m.lastTick.IsZero() {
		m.lastTick = now
	}
}

// jitter returns a uniform random duration up to d, in whole milliseconds.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.options.Rand(int(d/time.Millisecond)+1)) * time.Millisecond
}

// refillTokens adds tokens to the bucket that limits the rate of updates. The
// bucket holds at most the updates of one second.
func (m *Machine) refillTokens(now time.Time) {
	rate := float64(m.options.UpdateRate)
	m.tokens = min(rate, m.tokens+rate*now.Sub(m.lastTick).Seconds())
}

// join sends Join packets to seeds if it is time to.
func (m *Machine) join(now time.Time) {
	if now.Before(m.nextJoin) || len(m.options.Seeds) == 0 {
		return
	}
	if len(m.active) == 0 {
		m.joinPause = m.options.ProbePeriod
		m.nextJoin = now.Add(m.joinPause)
		for range joinRequests {
			m.sendJoin()
		}
		return
	}
	m.sendJoin()
	m.nextJoin = now.Add(m.joinPause + m.jitter(m.joinPause))
	m.joinPause = min(joinPeriod, 2*m.joinPause)
}

// sendJoin sends a Join to a random seed that isn't an active member. This also
// merges two groups that never had contact or have removed each other's records.
func (m *Machine) sendJoin() {
	active := map[string]bool{m.self.record.UDP: true}
	for _, p := range m.active {
		active[p.record.UDP] = true
	}
	var unknown []string
	for _, address := range m.options.Seeds {
		if !active[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) > 0 {
		address := unknown[m.options.Rand(len(unknown))]
		m.send(address, Packet{Kind: Join, Records: []Record{m.self.record}})
	}
}

// probeNext advances the current probe and starts the next one each period.
func (m *Machine) probeNext(now time.Time) {
	pending := m.probe.peer != nil && !m.probe.acked
	if pending && !m.probe.indirect && now.Sub(m.probe.sentAt) >= m.options.ProbeTimeout {
		m.probeIndirect()
	}
	if now.Before(m.nextProbe) {
		return
	}
	if pending {
		m.probeFailed(now)
	}
	m.nextProbe = now.Add(m.options.ProbePeriod)
	m.probe = probe{}
	p := m.nextTarget()
	if p == nil {
		return
	}
	m.sequence++
	m.probe = probe{peer: p, record: p.record, sequence: m.sequence, sentAt: now}
	m.ping(p, m.sequence)
}

// nextTarget returns the member to probe next: first those queued for a recheck,
// then the active ones in probe order. It returns nil if there is none.
func (m *Machine) nextTarget() *peer {
	for len(m.rechecks) > 0 {
		p := m.rechecks[0]
		m.rechecks = m.rechecks[1:]
		p.recheckQueued = false
		if !p.record.State.Lost() {
			return p
		}
	}
	if len(m.active) == 0 {
		return nil
	}
	if m.probeIndex >= len(m.active) {
		m.probeIndex = 0
		for i := len(m.active) - 1; i > 0; i-- {
			m.swap(m.active, i, m.options.Rand(i+1))
		}
	}
	m.probeIndex++
	return m.active[m.probeIndex-1]
}

// ping sends a Ping to a member, with its record if that says suspect or lost,
// so that the member can refute it.
func (m *Machine) ping(p *peer, sequence uint64) {
	out := Packet{Kind: Ping, Sequence: sequence, Target: p.record.Node}
	if p.record.State == Suspect || p.record.State.Lost() {
		out.Records = append(out.Records, p.record.stateOnly())
	}
	m.send(p.record.UDP, out)
}

// probeIndirect repeats the direct probe, since the packet may have been lost,
// and asks relays to probe the target. It prefers relays of this node's region,
// because they stay reachable in a partition between regions.
func (m *Machine) probeIndirect() {
	m.probe.indirect = true
	target := m.probe.record
	m.ping(m.probe.peer, m.probe.sequence)
	relays := m.randomPeers(2*m.options.IndirectProbes, m.probe.peer)
	slices.SortStableFunc(relays, func(a, b *peer) int { return m.regionDistance(a) - m.regionDistance(b) })
	relays = relays[:min(len(relays), m.options.IndirectProbes)]
	m.probe.relaysAsked = len(relays)
	for _, p := range relays {
		m.send(p.record.UDP, Packet{
			Kind: IndirectPing, Sequence: m.probe.sequence, Target: target.Node, Address: target.UDP,
		})
	}
}

// regionDistance is 0 for peers in the region of this node and 1 for others.
func (m *Machine) regionDistance(p *peer) int {
	if p.record.Region == m.self.record.Region {
		return 0
	}
	return 1
}

// randomPeers returns up to n distinct active members other than except.
func (m *Machine) randomPeers(n int, except *peer) []*peer {
	var out []*peer
	for range 3 * n {
		if len(out) == n || len(m.active) == 0 {
			break
		}
		p := m.active[m.options.Rand(len(m.active))]
		if p != except && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// probeFailed handles a probe that got no answer within its period.
func (m *Machine) probeFailed(now time.Time) {
	p := m.probe.peer
	m.recordResult(false)
	m.relaysSilent = m.probe.relaysConfirmed == 0 && m.probe.relaysAsked >= minSilentRelays
	if !sameIncarnation(p.record, m.probe.record) || p.record.State.Lost() {
		return
	}
	switch {
	case m.isolated():
		m.retractSuspicions(now)
	case p.record.State == Alive:
		r := p.record
		r.State = Suspect
		p.ownSuspicion = true
		m.updatePeer(p, r, now)
		m.enqueue(p, false, false)
	case p.record.State == Leaving:
		// A leaving member gets no new work, so a wrong state does no harm.
		r := p.record
		r.State = Left
		m.updatePeer(p, r, now)
		m.enqueue(p, false, false)
	}
}

// probeResults are the results of the latest probes of members in state Alive,
// oldest first; true means that the member answered.
type probeResults []bool

func (r *probeResults) add(ok bool) {
	if len(*r) >= resultWindow {
		*r = (*r)[1:]
	}
	*r = append(*r, ok)
}

func (r probeResults) mostlyFailed() bool {
	failures := 0
	for _, ok := range r {
		if !ok {
			failures++
		}
	}
	return len(r) >= minResults && 2*failures > len(r)
}

// recordResult records the result of the current probe.
func (m *Machine) recordResult(ok bool) {
	if m.probe.record.State != Alive {
		return
	}
	m.results.add(ok)
	if m.regionDistance(m.probe.peer) == 0 {
		m.regionResults.add(ok)
	}
}

// isolated reports whether this node must assume that it is itself cut off from
// the network: no relay answered, or most probes failed. Most probes must have
// failed both in this node's region, since a partition between regions doesn't
// mean that this node is isolated, and overall, since the other members of its
// region may be down.
func (m *Machine) isolated() bool {
	return m.relaysSilent || m.regionResults.mostlyFailed() && m.results.mostlyFailed()
}

// retractSuspicions sets members that this node suspects by its own probes back
// to Alive, because the node has found itself isolated. Suspicions received from
// others stay, but don't time out while the node is isolated.
func (m *Machine) retractSuspicions(now time.Time) {
	for p := range m.suspect {
		if !p.ownSuspicion {
			continue
		}
		r := p.record
		r.State = Alive
		p.ownSuspicion = false
		p.queued = false
		m.updatePeer(p, r, now)
	}
}

// probeLost probes one lost member at a time and at a low rate, so that a region
// is found again after a partition without a burst of packets.
func (m *Machine) probeLost(now time.Time) {
	if now.Before(m.nextLostProbe) {
		return
	}
	m.nextLostProbe = now.Add(m.options.LostProbePeriod/2 + m.jitter(m.options.LostProbePeriod))
	if len(m.lost) == 0 {
		return
	}
	m.sequence++
	m.ping(m.lost[m.options.Rand(len(m.lost))], m.sequence)
}

// suspicionTimeout returns how long a suspect member has to refute the suspicion.
func (m *Machine) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(m.active)+1)))
	return time.Duration(suspicionMultiplier * scale * float64(m.options.ProbePeriod))
}

// expireSuspicions sets suspects that weren't refuted in time to Unreachable.
// In the last periods before the timeout it asks random members whether they
// know of a refutation, because gossip may not have reached this node.
func (m *Machine) expireSuspicions(now time.Time) {
	if len(m.suspect) == 0 {
		return
	}
	isolated, timeout := m.isolated(), m.suspicionTimeout()
	var expired, toCheck []*peer
	for p := range m.suspect {
		if isolated {
			p.stateSince = now
		}
		remaining := timeout - now.Sub(p.stateSince)
		switch {
		case remaining <= 0:
			expired = append(expired, p)
		case p.refutationChecks < maxRefutationChecks && remaining <= time.Duration(maxRefutationChecks-p.refutationChecks)*m.options.ProbePeriod/2:
			toCheck = append(toCheck, p)
		}
	}
	// Map order is random; the sort makes simulations with the same seed
	// reproducible.
	byIndex := func(a, b *peer) int { return a.index - b.index }
	slices.SortFunc(expired, byIndex)
	slices.SortFunc(toCheck, byIndex)
	m.checkSuspects(toCheck)
	for _, p := range expired {
		r := p.record
		r.State = Unreachable
		m.updatePeer(p, r, now)
		m.enqueue(p, false, false)
	}
}

// checkSuspects pings a random member with the records of suspects. The member
// answers with the records that it has in a newer version.
func (m *Machine) checkSuspects(suspects []*peer) {
	if len(suspects) == 0 || m.tokens <= m.minTokens() {
		return
	}
	suspects = suspects[:min(len(suspects), maxCheckedSuspects)]
	for _, to := range m.randomPeers(1, suspects[0]) {
		m.sequence++
		out := Packet{Kind: Ping, Sequence: m.sequence, Target: to.record.Node}
		for _, p := range suspects {
			p.refutationChecks++
			out.Records = append(out.Records, p.record.stateOnly())
		}
		m.tokens -= float64(out.Size() + datagramOverhead)
		m.send(to.record.UDP, out)
	}
}

// startSync requests an anti-entropy exchange with a random member if it is time
// to.
func (m *Machine) startSync(now time.Time) {
	if len(m.active) == 0 || now.Before(m.nextSync) {
		return
	}
	m.nextSync = now.Add(m.options.SyncPeriod/2 + m.jitter(m.options.SyncPeriod))
	m.options.StartSync(m.active[m.options.Rand(len(m.active))].record)
}

// prune removes members that have been lost for longer than Options.LostRetention.
func (m *Machine) prune(now time.Time) {
	if now.Before(m.nextPrune) {
		return
	}
	m.nextPrune = now.Add(prunePeriod)
	for _, p := range slices.Clone(m.lost) {
		if now.Sub(p.stateSince) < m.options.LostRetention {
			continue
		}
		m.removeFromList(p, p.record.State)
		m.parts[p.part] ^= p.hash
		p.queued = false
		delete(m.peers, p.record.Node)
	}
}
