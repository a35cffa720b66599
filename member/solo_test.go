package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// bench is one machine whose packets a test reads and answers.
type bench struct {
	machine *member.Machine
	now     time.Time
	sent    []member.Packet
}

func newBench(nodes ...ident.Node) *bench {
	b := &bench{now: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)}
	b.machine = member.New(member.Options{
		Self:  member.Record{Node: "self", Start: 1, UDP: "10.0.0.1:1"},
		Began: b.now,
		Send:  func(_ string, p member.Packet) { b.sent = append(b.sent, p) },
		Rand:  func(n int) int { return (n - 1) / 2 },
	})
	for _, n := range nodes {
		b.machine.Merge([]member.Record{peerRecord(n, member.Alive)}, b.now)
	}
	return b
}

func peerRecord(n ident.Node, s member.State) member.Record {
	return member.Record{Node: n, Start: 2, Incarnation: 1, State: s, UDP: "10.0.0.2:" + string(n)}
}

// step moves the time and answers pings, except those of the silent node.
func (b *bench) step(d time.Duration, silent ident.Node) []member.Packet {
	b.now = b.now.Add(d)
	b.machine.Tick(b.now)
	out := b.sent
	b.sent = nil
	for _, p := range out {
		if p.Kind == member.Ping && p.Target != silent {
			b.hear(member.Packet{Kind: member.Ack, Sequence: p.Sequence, Source: p.Target})
		}
	}
	return out
}

func (b *bench) hear(p member.Packet) { b.machine.Receive("10.0.0.2:1", p, b.now) }

// Guards against a suspicion that times out while the process is paused, so
// that no refutation could be read.
func TestSuspicionDoesNotEndInAPause(t *testing.T) {
	b := newBench("x", "y")
	for range 30 {
		b.step(100*time.Millisecond, "")
	}
	b.hear(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{peerRecord("x", member.Suspect)}})
	b.step(time.Minute, "")
	r, _ := b.machine.Lookup("x")
	assert.Equal(t, r.State, member.Suspect)
}

// Guards against a leave that members ignore which have missed the latest
// incarnation: who passes it on has to add the content.
func TestLeaveIsPassedOnWithContent(t *testing.T) {
	b := newBench("x", "y", "z")
	for range 100 {
		b.step(100*time.Millisecond, "")
	}
	leave := member.Record{Node: "x", Start: 2, Incarnation: 1, State: member.Leaving}
	b.hear(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{leave}})
	passed := 0
	for _, p := range b.step(100*time.Millisecond, "") {
		for _, r := range p.Records {
			if r.Node == "x" {
				passed++
				assert.DeepEqual(t, r, peerRecord("x", member.Leaving))
			}
		}
	}
	assert.Assert(t, passed > 0)
}

// Guards against one update that is passed on without end, which would make
// the cost of a change grow with time instead of with the logarithm of the size.
func TestTransmissionsAreBounded(t *testing.T) {
	count := func(size int, duplicate bool) int {
		b := newBench()
		for i := range size {
			r := peerRecord(ident.Node(rune('a'+i%26))+ident.Node(rune('a'+i/26)), member.Alive)
			b.machine.Merge([]member.Record{r}, b.now)
		}
		update := peerRecord("aa", member.Alive)
		update.Incarnation++
		b.hear(member.Packet{Kind: member.Gossip, Source: "ab", Records: []member.Record{update}})
		n := 0
		for range 600 {
			if duplicate {
				b.hear(member.Packet{Kind: member.Gossip, Source: "ab", Records: []member.Record{update}})
			}
			for _, p := range b.step(100*time.Millisecond, "") {
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
	heard := count(640, true)
	assert.Assert(t, heard < large, "duplicates heard don't end the spread: %d %d", heard, large)
}

// Guards against a claim about another incarnation that is applied to the copy
// held: only the owner's record may take that over.
func TestBareClaimNeedsItsIncarnation(t *testing.T) {
	b := newBench("x")
	claim := member.Record{Node: "x", Start: 2, Incarnation: 2, State: member.Unreachable}
	b.hear(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{claim}})
	r, _ := b.machine.Lookup("x")
	assert.DeepEqual(t, r, peerRecord("x", member.Alive))
}

// Guards against a storm when most members change at once, as after a heal:
// the updates sent stay within the rate, and still all of them are sent, in
// packets that fit one frame.
func TestUpdateRateIsBounded(t *testing.T) {
	b := newBench("y")
	for i := range 640 {
		r := peerRecord(ident.Node(rune('a'+i%26))+ident.Node(rune('a'+i/26)), member.Alive)
		b.hear(member.Packet{Kind: member.Gossip, Source: "y", Records: []member.Record{r}})
	}
	const seconds, rate = 60, 1200
	sent := 0
	passed := map[ident.Node]bool{}
	for range seconds * 10 {
		for _, p := range b.step(100*time.Millisecond, "") {
			assert.Assert(t, p.Size() <= 1200, p.Size())
			for _, r := range p.Records {
				sent += r.Size()
				passed[r.Node] = true
			}
		}
	}
	// One second's worth may be saved up, and one packet may overdraw.
	assert.Assert(t, sent <= rate*(seconds+1)+1200, sent)
	assert.Assert(t, len(passed) >= 640, len(passed))
}
