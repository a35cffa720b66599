package member

import (
	"math"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// gossipPeriod is the time between two rounds of gossip while updates wait.
	gossipPeriod = 200 * time.Millisecond
	// fanout is the number of members that one round reaches.
	fanout = 3
	// suspicionPeriods, times log10 of the number of members, is the timeout of
	// a suspicion in probe periods.
	suspicionPeriods = 3
	// joinPeriod is the time between two looks for seeds that aren't members.
	joinPeriod = 30 * time.Second
	// joinFanout is the number of seeds asked at a time while alone.
	joinFanout = 3
	// forgetPeriod is the time between two looks for members lost too long.
	forgetPeriod = time.Minute
	// window is the number of latest probes that tell whether this node itself
	// is faulty; below windowLeast results there is no opinion.
	window      = 8
	windowLeast = 4
	// maxChecks is how often a node asks for a refutation before a suspicion
	// ends. With a tenth of the packets lost, a fifth of the checks fail.
	maxChecks = 3
	// maxAsked bounds the suspicions in one check; the answers fit one packet.
	maxAsked = 8
	// relaysLeast is the number of silent relays that shows that this node is
	// cut off; one silent relay may as well be down.
	relaysLeast = 2
)

// probe is the running direct and indirect probe.
type probe struct {
	peer     *peer
	record   Record // as probed
	sequence uint64
	at       time.Time
	indirect bool
	asked    int // relays
	relays   int // relays that answered
	acked    bool
}

// relay is a probe on behalf of another node.
type relay struct {
	address  string
	sequence uint64
	node     ident.Node
	until    time.Time
}

// Tick drives all timers. Call it about every 100 ms.
func (m *Machine) Tick(now time.Time) {
	m.resume(now)
	m.refill(now)
	m.ticked = now
	m.join(now)
	m.probeNext(now)
	m.probeLost(now)
	m.expire(now)
	m.gossip(now)
	m.pull(now)
	m.forget(now)
}

// resume handles the first tick and a pause of the process. Answers that
// arrived during a pause were not read, so no timeout may count from before.
func (m *Machine) resume(now time.Time) {
	gap := now.Sub(m.ticked)
	if !m.ticked.IsZero() && gap <= m.options.Period {
		return
	}
	m.probe = probe{}
	m.results, m.near = nil, nil
	m.alone = false
	clear(m.relays)
	for p := range m.suspect {
		p.since = now
	}
	m.nextProbe = now.Add(m.jitter(m.options.Period))
	m.nextSlow = now.Add(m.jitter(m.options.Slow))
	m.nextSync = now.Add(m.jitter(m.options.Period))
	m.nextForget = now.Add(forgetPeriod)
	if m.ticked.IsZero() {
		m.ticked = now
	}
}

// jitter returns a uniform random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.options.Rand(int(d/time.Millisecond)+1)) * time.Millisecond
}

// refill adds to the allowance for updates; at most one second's worth is
// saved up.
func (m *Machine) refill(now time.Time) {
	rate := float64(m.options.Rate)
	m.tokens = min(rate, m.tokens+rate*now.Sub(m.ticked).Seconds())
}

func (m *Machine) join(now time.Time) {
	if now.Before(m.nextJoin) || len(m.options.Seeds) == 0 {
		return
	}
	if len(m.active) == 0 {
		m.nextJoin = now.Add(m.options.Period)
		for range joinFanout {
			m.askSeed()
		}
		return
	}
	m.nextJoin = now.Add(joinPeriod + m.jitter(joinPeriod))
	m.askSeed()
}

// askSeed asks a random seed unless it is an active member. This also joins
// two groups that have never met or have forgotten each other.
func (m *Machine) askSeed() {
	address := m.options.Seeds[m.options.Rand(len(m.options.Seeds))]
	if address == m.me.record.UDP {
		return
	}
	for _, p := range m.active {
		if p.record.UDP == address {
			return
		}
	}
	m.send(address, Packet{Kind: Join, Records: []Record{m.me.record}})
}

func (m *Machine) probeNext(now time.Time) {
	pending := m.probe.peer != nil && !m.probe.acked
	if pending && !m.probe.indirect && now.Sub(m.probe.at) >= m.options.Timeout {
		m.probeIndirect()
	}
	if now.Before(m.nextProbe) {
		return
	}
	if pending {
		m.failed(now)
	}
	m.nextProbe = now.Add(m.options.Period)
	m.probe = probe{}
	p := m.nextPeer()
	if p == nil {
		return
	}
	m.sequence++
	m.probe = probe{peer: p, record: p.record, sequence: m.sequence, at: now}
	m.ping(p, m.sequence)
}

// nextPeer returns the next member of the round, doubted ones first.
func (m *Machine) nextPeer() *peer {
	for len(m.doubts) > 0 {
		p := m.doubts[0]
		m.doubts = m.doubts[1:]
		p.doubted = false
		if !p.record.State.Lost() {
			return p
		}
	}
	if len(m.active) == 0 {
		return nil
	}
	if m.cursor >= len(m.active) {
		m.cursor = 0
		for i := len(m.active) - 1; i > 0; i-- {
			m.swap(m.active, i, m.options.Rand(i+1))
		}
	}
	m.cursor++
	return m.active[m.cursor-1]
}

// ping probes a member and tells it of a claim that it may have to refute.
func (m *Machine) ping(p *peer, sequence uint64) {
	out := Packet{Kind: Ping, Sequence: sequence, Target: p.record.Node}
	if p.record.State == Suspect || p.record.State.Lost() {
		out.Records = append(out.Records, p.record.bare())
	}
	m.send(p.record.UDP, out)
}

// probeIndirect repeats the direct probe, since one packet may have got lost,
// and asks relays, of the own region if possible, because they stay in reach
// when regions lose contact.
func (m *Machine) probeIndirect() {
	m.probe.indirect = true
	target := m.probe.record
	m.ping(m.probe.peer, m.probe.sequence)
	relays := m.random(2*m.options.Indirect, m.probe.peer)
	slices.SortStableFunc(relays, func(a, b *peer) int { return m.distance(a) - m.distance(b) })
	relays = relays[:min(len(relays), m.options.Indirect)]
	m.probe.asked = len(relays)
	for _, p := range relays {
		m.send(p.record.UDP, Packet{
			Kind: Indirect, Sequence: m.probe.sequence, Target: target.Node, Address: target.UDP,
		})
	}
}

func (m *Machine) distance(p *peer) int {
	if p.record.Region == m.me.record.Region {
		return 0
	}
	return 1
}

// random picks up to n different active members other than one.
func (m *Machine) random(n int, but *peer) []*peer {
	var out []*peer
	for range 3 * n {
		if len(out) == n || len(m.active) == 0 {
			break
		}
		p := m.active[m.options.Rand(len(m.active))]
		if p != but && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// failed judges a probe without an answer.
func (m *Machine) failed(now time.Time) {
	p := m.probe.peer
	m.result(false)
	m.alone = m.probe.relays == 0 && m.probe.asked >= relaysLeast
	if !sameRun(p.record, m.probe.record) || p.record.State.Lost() {
		return
	}
	switch {
	case m.faulty():
		m.takeBack(now)
	case p.record.State == Alive:
		r := p.record
		r.State = Suspect
		p.mine = true
		m.change(p, r, now)
		m.enqueue(p, false, false)
	case p.record.State == Leaving:
		// It gets no work anyway, so a false claim does no harm.
		r := p.record
		r.State = Left
		m.change(p, r, now)
		m.enqueue(p, false, false)
	}
}

// outcomes are the results of the latest probes of members that were alive.
type outcomes []bool

func (o *outcomes) add(ok bool) {
	if len(*o) >= window {
		*o = (*o)[1:]
	}
	*o = append(*o, ok)
}

func (o outcomes) mostlyFailed() bool {
	failures := 0
	for _, ok := range o {
		if !ok {
			failures++
		}
	}
	return len(o) >= windowLeast && 2*failures > len(o)
}

// result records the outcome of the running probe.
func (m *Machine) result(ok bool) {
	if m.probe.record.State != Alive {
		return
	}
	m.results.add(ok)
	if m.distance(m.probe.peer) == 0 {
		m.near.add(ok)
	}
}

// faulty tells whether this node must assume that it is itself cut off: no
// relay answered, or most probes failed. Most must have failed both in the own
// region, since a partition of regions isn't a fault of this node, and in all,
// since the rest of the own region may be down.
func (m *Machine) faulty() bool {
	return m.alone || m.near.mostlyFailed() && m.results.mostlyFailed()
}

// takeBack drops the suspicions that this node raised before it found itself
// faulty. Those of others stay, but don't time out meanwhile.
func (m *Machine) takeBack(now time.Time) {
	for p := range m.suspect {
		if !p.mine {
			continue
		}
		r := p.record
		r.State = Alive
		p.mine = false
		p.queued = false
		m.change(p, r, now)
	}
}

// probeLost probes one lost member at a time and at a low rate, so that a
// healed region is found without a storm.
func (m *Machine) probeLost(now time.Time) {
	if now.Before(m.nextSlow) {
		return
	}
	m.nextSlow = now.Add(m.options.Slow/2 + m.jitter(m.options.Slow))
	if len(m.lost) == 0 {
		return
	}
	m.sequence++
	m.ping(m.lost[m.options.Rand(len(m.lost))], m.sequence)
}

// suspicion is how long a member may refute.
func (m *Machine) suspicion() time.Duration {
	scale := max(1, math.Log10(float64(len(m.active)+1)))
	return time.Duration(suspicionPeriods * scale * float64(m.options.Period))
}

// expire ends suspicions that nobody refuted. In the last periods before, it
// asks random members whether they know of a refutation, because gossip may
// have missed this node.
func (m *Machine) expire(now time.Time) {
	if len(m.suspect) == 0 {
		return
	}
	faulty, timeout := m.faulty(), m.suspicion()
	var due, ask []*peer
	for p := range m.suspect {
		if faulty {
			p.since = now
		}
		left := timeout - now.Sub(p.since)
		switch {
		case left <= 0:
			due = append(due, p)
		case p.checks < maxChecks && left <= time.Duration(maxChecks-p.checks)*m.options.Period/2:
			ask = append(ask, p)
		}
	}
	// Map order is random; a fixed order keeps runs of one seed equal.
	order := func(a, b *peer) int { return a.index - b.index }
	slices.SortFunc(due, order)
	slices.SortFunc(ask, order)
	m.ask(ask)
	for _, p := range due {
		r := p.record
		r.State = Unreachable
		m.change(p, r, now)
		m.enqueue(p, false, false)
	}
}

// ask pings a random member with suspicions; it answers with newer records.
func (m *Machine) ask(suspects []*peer) {
	if len(suspects) == 0 || m.tokens <= m.floor() {
		return
	}
	suspects = suspects[:min(len(suspects), maxAsked)]
	for _, to := range m.random(1, suspects[0]) {
		m.sequence++
		out := Packet{Kind: Ping, Sequence: m.sequence, Target: to.record.Node}
		for _, p := range suspects {
			p.checks++
			out.Records = append(out.Records, p.record.bare())
		}
		m.tokens -= float64(out.Size() + datagramOverhead)
		m.send(to.record.UDP, out)
	}
}

func (m *Machine) pull(now time.Time) {
	if len(m.active) == 0 || now.Before(m.nextSync) {
		return
	}
	m.nextSync = now.Add(m.options.Sync/2 + m.jitter(m.options.Sync))
	m.options.Pull(m.active[m.options.Rand(len(m.active))].record)
}

func (m *Machine) forget(now time.Time) {
	if now.Before(m.nextForget) {
		return
	}
	m.nextForget = now.Add(forgetPeriod)
	for _, p := range slices.Clone(m.lost) {
		if now.Sub(p.since) < m.options.Keep {
			continue
		}
		m.unlist(p, p.record.State)
		m.parts[p.part] ^= p.hash
		p.queued = false
		delete(m.peers, p.record.Node)
	}
}
