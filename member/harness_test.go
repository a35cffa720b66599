package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// harness is a machine whose packets a test reads and answers.
type harness struct {
	machine *member.Machine
	now     time.Time
	sent    []member.Packet
}

func newHarness(nodes ...ident.Node) *harness {
	h := &harness{now: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)}
	h.machine = member.New(member.Options{
		Self:      member.Record{Node: "self", Start: 1, UDP: "10.0.0.1:1"},
		StartTime: h.now,
		Send:      func(_ string, p member.Packet) { h.sent = append(h.sent, p) },
		Rand:      func(n int) int { return (n - 1) / 2 },
	})
	for _, n := range nodes {
		h.machine.Merge([]member.Record{peerRecord(n, member.Alive)}, h.now)
	}
	return h
}

func peerRecord(n ident.Node, s member.State) member.Record {
	return member.Record{Node: n, Start: 2, Incarnation: 1, State: s, UDP: "10.0.0.2:" + string(n)}
}

// step advances the time, runs a tick, answers all pings except those to the
// silent node, and returns the packets that the tick sent.
func (h *harness) step(d time.Duration, silent ident.Node) []member.Packet {
	h.now = h.now.Add(d)
	h.machine.Tick(h.now)
	out := h.sent
	h.sent = nil
	for _, p := range out {
		if p.Kind == member.Ping && p.Target != silent {
			h.receive(member.Packet{Kind: member.Ack, Sequence: p.Sequence, Source: p.Target})
		}
	}
	return out
}

// receive passes a packet to the machine.
func (h *harness) receive(p member.Packet) { h.machine.Receive("10.0.0.2:1", p, h.now) }

// Guards against a suspicion that times out during a pause of the process, when
// no refutation can be received.
func TestSuspicionDoesNotEndInAPause(t *testing.T) {
	h := newHarness("x", "y")
	for range 30 {
		h.step(100*time.Millisecond, "")
	}
	h.receive(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{peerRecord("x", member.Suspect)}})
	h.step(time.Minute, "")
	r, _ := h.machine.Lookup("x")
	assert.Equal(t, r.State, member.Suspect)
}

// Guards against a leave that is ignored by members that have missed the latest
// incarnation: a node that gossips it further must send the whole record.
func TestLeaveIsForwardedWithContent(t *testing.T) {
	h := newHarness("x", "y", "z")
	for range 100 {
		h.step(100*time.Millisecond, "")
	}
	leave := member.Record{Node: "x", Start: 2, Incarnation: 1, State: member.Leaving}
	h.receive(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{leave}})
	forwarded := 0
	for _, p := range h.step(100*time.Millisecond, "") {
		for _, r := range p.Records {
			if r.Node == "x" {
				forwarded++
				assert.DeepEqual(t, r, peerRecord("x", member.Leaving))
			}
		}
	}
	assert.Assert(t, forwarded > 0)
}

// Guards against an update that is gossiped without end, so that the cost of a
// change grows with time instead of with the logarithm of the number of members.
func TestTransmissionsAreBounded(t *testing.T) {
	count := func(size int, duplicate bool) int {
		h := newHarness()
		for i := range size {
			r := peerRecord(ident.Node(rune('a'+i%26))+ident.Node(rune('a'+i/26)), member.Alive)
			h.machine.Merge([]member.Record{r}, h.now)
		}
		update := peerRecord("aa", member.Alive)
		update.Incarnation++
		h.receive(member.Packet{Kind: member.Gossip, Source: "ab", Records: []member.Record{update}})
		n := 0
		for range 600 {
			if duplicate {
				h.receive(member.Packet{Kind: member.Gossip, Source: "ab", Records: []member.Record{update}})
			}
			for _, p := range h.step(100*time.Millisecond, "") {
				for _, r := range p.Records {
					if r.Node == "aa" && r.Incarnation == update.Incarnation {
						n++
					}
				}
			}
		}
		return n
	}
	small, large := count(10, false), count(640, false)
	assert.Assert(t, small > 0 && large > small, "%d %d", small, large)
	assert.Assert(t, large <= 4*small, "%d %d", small, large)
	withDuplicates := count(640, true)
	assert.Assert(t, withDuplicates < large, "received duplicates don't reduce the transmissions: %d %d", withDuplicates, large)
}

// Guards against a state-only record that is applied to a copy of another
// incarnation: only a whole record may replace it.
func TestStateOnlyRecordNeedsSameIncarnation(t *testing.T) {
	h := newHarness("x")
	claim := member.Record{Node: "x", Start: 2, Incarnation: 2, State: member.Unreachable}
	h.receive(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{claim}})
	r, _ := h.machine.Lookup("x")
	assert.DeepEqual(t, r, peerRecord("x", member.Alive))
}

// Guards against a burst of updates when most members change at once, as after a
// partition: the updates must stay within the rate, all of them must be sent, and
// each packet must fit in one frame.
func TestUpdateRateIsBounded(t *testing.T) {
	h := newHarness("y")
	for i := range 640 {
		r := peerRecord(ident.Node(rune('a'+i%26))+ident.Node(rune('a'+i/26)), member.Alive)
		h.receive(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{r}})
	}
	const seconds, rate = 60, 1200
	sent := 0
	forwarded := map[ident.Node]bool{}
	for range seconds * 10 {
		for _, p := range h.step(100*time.Millisecond, "") {
			assert.Assert(t, p.Size() <= 1200, p.Size())
			for _, r := range p.Records {
				sent += r.Size()
				forwarded[r.Node] = true
			}
		}
	}
	// The tokens of one second may be saved, and one packet may overdraw them.
	assert.Assert(t, sent <= rate*(seconds+1)+1200, sent)
	assert.Assert(t, len(forwarded) >= 640, len(forwarded))
}
