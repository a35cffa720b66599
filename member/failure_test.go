package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/scale"
	"github.com/cicadahall/cicadahall/member"
)

const seed = 20261204

// newStartedNetwork returns a network whose members all know each other.
func newStartedNetwork(size int) *scale.Network {
	n := scale.NewNetwork(size, seed)
	n.StartAll()
	n.Run(10 * time.Second)
	return n
}

// countFalseReports starts to count the reports that a running host is
// unreachable or left, in lost, and that it is suspect, in suspected.
func countFalseReports(n *scale.Network) (lost, suspected *int) {
	lost, suspected = new(int), new(int)
	hosts := map[string]*scale.Host{}
	for _, h := range n.Hosts {
		hosts[string(h.Node())] = h
	}
	for _, h := range n.Hosts {
		h.OnChange = func(r member.Record) {
			if !hosts[string(r.Node)].Running() {
				return
			}
			switch r.State {
			case member.Unreachable, member.Left:
				*lost++
			case member.Suspect:
				*suspected++
			}
		}
	}
	return lost, suspected
}

// runUntil runs the network in steps of 100 ms until a condition holds, and
// returns the time that passed. It fails the test after the limit.
func runUntil(t *testing.T, n *scale.Network, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += 100 * time.Millisecond {
		if condition() {
			return elapsed
		}
		n.Run(100 * time.Millisecond)
	}
	t.Fatalf("condition did not hold within %v", limit)
	return 0
}

// allSee reports whether all other running hosts see a host in one of the states.
func allSee(n *scale.Network, of *scale.Host, states ...member.State) bool {
	for _, h := range n.Hosts {
		if h == of || !h.Running() {
			continue
		}
		seen := false
		for _, s := range states {
			seen = seen || n.State(h, of) == s
		}
		if !seen {
			return false
		}
	}
	return true
}

// Guards against new work that is sent to a leaving upstream because a member
// doesn't know of the leave 2 s after its announcement, at several sizes of the
// system and with lost packets.
func TestLeaveIsKnownEverywhereWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{30, 100, 300, 1100} {
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprintf("%d/%v", size, loss), func(t *testing.T) {
				n := newStartedNetwork(size)
				n.Faults.Loss = loss
				for i := range 3 {
					h := n.Hosts[size*i/3+1]
					h.Machine.Leave(n.Now())
					elapsed := runUntil(t, n, 2*time.Second, func() bool { return allSee(n, h, member.Leaving) })
					t.Log(h.Node(), elapsed)
				}
			})
		}
	}
}

// Guards against alive members that are reported unreachable or suspect because
// packets are late or duplicated, while none is lost.
func TestNoFalseSuspicionWithoutLosses(t *testing.T) {
	n := scale.NewNetwork(100, seed)
	n.Faults = scale.Faults{DuplicateShare: 0.05, DelayShare: 0.05, MaxDelay: 150 * time.Millisecond}
	n.StartAll()
	lost, suspected := countFalseReports(n)
	n.Run(10 * time.Minute)
	assert.Equal(t, *lost, 0)
	assert.Equal(t, *suspected, 0)
}

// Guards against alive members that are reported unreachable because a suspicion
// isn't refuted in time when a tenth of all packets is lost.
func TestLossIsRefuted(t *testing.T) {
	n := newStartedNetwork(100)
	n.Faults = scale.Faults{Loss: 0.1, DuplicateShare: 0.05, DelayShare: 0.05, MaxDelay: time.Second}
	lost, suspected := countFalseReports(n)
	n.Run(10 * time.Minute)
	assert.Equal(t, *lost, 0)
	assert.Assert(t, *suspected > 0, "the losses caused no suspicion, so no refutation was tested")
}

// Guards against a false suspicion that isn't refuted: the suspected node must
// raise its incarnation, and the new record must reach all members.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	n := newStartedNetwork(60)
	lost, suspected := countFalseReports(n)
	victim, accuser := n.Hosts[5], n.Hosts[9]
	claim := victim.Machine.Self()
	claim.State = member.Suspect
	accuser.Machine.Receive("10.0.0.1:1", member.Packet{Kind: member.Gossip, Source: "x", Records: []member.Record{claim}}, n.Now())
	n.Run(4 * time.Second)
	assert.Assert(t, *suspected > 1)
	assert.Equal(t, *lost, 0)
	assert.Assert(t, victim.Machine.Self().Incarnation > claim.Incarnation)
	assert.Assert(t, n.Converged())
}

// Guards against a killed member that other members still see as usable, and
// against another member that is reported lost instead.
func TestKilledMemberIsUnreachableEverywhere(t *testing.T) {
	n := newStartedNetwork(60)
	lost, _ := countFalseReports(n)
	h := n.Hosts[17]
	n.Kill(h)
	// One round of probes, two periods until the probe fails, the suspicion
	// timeout, and the gossip of the result.
	elapsed := runUntil(t, n, 20*time.Second, func() bool { return allSee(n, h, member.Unreachable) })
	t.Log(elapsed)
	assert.Equal(t, *lost, 0)
}

// Guards against a frozen node that suspects all others when it resumes, because
// its timeouts passed while it didn't run and its socket dropped the answers, and
// against a resumed node that stays unreachable.
func TestFrozenNodeResumes(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, time.Minute} {
		for _, inbox := range []int{0, 200} {
			n := newStartedNetwork(60)
			n.SocketBuffer = inbox
			h := n.Hosts[23]
			for before := h.Traffic.Sent; h.Traffic.Sent == before; { // a ping or an ack
				n.Run(time.Millisecond)
			}
			n.Freeze(h)
			n.Run(pause)
			assert.Equal(t, allSee(n, h, member.Unreachable), pause == time.Minute, pause)
			lost, _ := countFalseReports(n)
			notAliveReports := 0
			h.OnChange = func(r member.Record) {
				if r.State != member.Alive {
					notAliveReports++
				}
			}
			n.Resume(h)
			runUntil(t, n, time.Minute, n.Converged)
			n.Run(time.Minute)
			assert.Equal(t, *lost, 0, pause)
			assert.Equal(t, notAliveReports, 0, pause)
		}
	}
}

// Guards against an old record that supersedes that of a restarted node: the new
// start must prevail even over a far higher incarnation, such as after the clock
// was set back.
func TestRestartSupersedesHigherIncarnation(t *testing.T) {
	n := newStartedNetwork(60)
	h := n.Hosts[31]
	old := h.Machine.Self()
	claim := old
	claim.State, claim.Incarnation = member.Suspect, old.Incarnation+1_000_000
	h.Machine.Receive("10.0.0.1:1", member.Packet{Kind: member.Gossip, Source: "x", Records: []member.Record{claim}}, n.Now())
	n.Run(10 * time.Second)
	assert.Assert(t, n.Converged())
	n.Kill(h)
	n.Run(time.Second)
	n.Start(h)
	runUntil(t, n, 10*time.Second, n.Converged)
	assert.Assert(t, h.Machine.Self().Start != old.Start)
	assert.Assert(t, h.Machine.Self().Incarnation > claim.Incarnation)
}

// Guards against an isolated node that marks all others unreachable, and against
// the gossip of such records once it is reachable again.
func TestCutOffNodeSuspectsNoOther(t *testing.T) {
	n := newStartedNetwork(60)
	isolated := n.Hosts[12]
	n.Faults.Partitioned = func(a, b *scale.Host) bool { return a == isolated || b == isolated }
	n.Run(time.Minute)
	for _, r := range isolated.Machine.Members() {
		assert.Equal(t, r.State, member.Alive, r.Node)
	}
	assert.Assert(t, allSee(n, isolated, member.Unreachable))
	n.Faults.Partitioned = nil
	lost, _ := countFalseReports(n)
	runUntil(t, n, 2*time.Minute, n.Converged)
	assert.Equal(t, *lost, 0)
}

// Guards against the few nodes of a small region that consider themselves
// isolated in a partition from a large one, and keep its members in use.
func TestSmallRegionSeesPartition(t *testing.T) {
	n := newStartedNetwork(28)
	for i, h := range n.Hosts {
		if h.Region() == n.Hosts[6].Region() && i > 6 {
			n.Kill(h)
		}
	}
	n.Run(time.Minute)
	n.Faults.Partitioned = func(a, b *scale.Host) bool { return a.Region() != b.Region() }
	n.Run(time.Minute)
	assert.Assert(t, n.AllPairs(func(a, b *scale.Host) bool {
		return n.State(a, b) == member.Unreachable == (a.Region() != b.Region())
	}))
}

// Guards against members whose records are removed in a partition, a system that
// doesn't converge after it, a burst of packets after it, and false reports about
// members of a node's own region. Without seeds, only the probes of lost members
// can find the other region.
func TestRegionPartitionHealsWithoutStorm(t *testing.T) {
	const size = 84
	n := scale.NewNetwork(size, seed)
	n.Seeds = nil
	n.StartAll()
	n.Run(10 * time.Second)
	inDifferentRegions := func(a, b *scale.Host) bool { return a.Region() != b.Region() }
	n.Faults.Partitioned = inDifferentRegions
	n.Run(10 * time.Minute)
	assert.Assert(t, n.AllPairs(func(a, b *scale.Host) bool {
		return n.State(a, b) == member.Unreachable == inDifferentRegions(a, b)
	}))
	lost, _ := countFalseReports(n)
	n.Faults.Partitioned = nil
	// Per second: ping and ack, each with 3 relays, five gossip rounds of three
	// packets, a probe of a lost member, and an exchange of four calls with each
	// of two peers.
	const bound = 2*(2+3*3) + 15 + 2 + 8
	before := make([]int, size)
	for i, h := range n.Hosts {
		before[i] = h.Traffic.Sent
	}
	settled := false
	for range 300 {
		n.Run(time.Second)
		for i, h := range n.Hosts {
			assert.Assert(t, h.Traffic.Sent-before[i] <= bound, "%s sent %d", h.Node(), h.Traffic.Sent-before[i])
			before[i] = h.Traffic.Sent
		}
		settled = settled || n.Converged()
	}
	assert.Assert(t, settled)
	assert.Equal(t, *lost, 0)
	for _, h := range n.Hosts {
		assert.Assert(t, h.Traffic.Largest <= 1200, h.Traffic.Largest)
	}
}
