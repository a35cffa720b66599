package choose_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func random(seed uint64) func() uint64 {
	return rand.New(rand.NewPCG(seed, 1)).Uint64
}

// members returns n members of service "s", four per domain, two domains per region.
func members(n int) []choose.Member {
	var all []choose.Member
	for i := range n {
		all = append(all, choose.Member{
			Node: ident.Node(fmt.Sprintf("n%d", i)), Service: "s", Version: "v1", Slots: 10,
			Domain: ident.Domain(fmt.Sprintf("d%d", i/4)), Region: ident.Region(fmt.Sprintf("r%d", i/8)),
		})
	}
	return all
}

func hint(inflight int32, at time.Time) choose.Hint {
	return choose.Hint{Inflight: inflight, Limit: 10, ServiceTime: 10 * time.Millisecond, At: at}
}

func Example() {
	c := choose.New(choose.Options{Domain: "d0", Region: "r0", Rand: random(1)})
	c.Update(members(8))
	p, ok := c.Choose(choose.Query{Service: "s", Version: "v1"}, startTime)
	c.RecordSent(p.Member.Node, startTime)
	c.RecordRefusal(p.Member.Node, hint(10, startTime), startTime)
	again, _ := c.Choose(choose.Query{Service: "s", Version: "v1", Tried: []ident.Node{p.Member.Node}}, startTime)
	fmt.Println(ok, p.Member.Domain, p.HasRoom, again.Member.Node != p.Member.Node)
	// Output: true d0 true true
}

// Guards against requests that leave their domain while it has room, and
// against requests that stay in a full domain or region.
func TestNearestTierWithRoom(t *testing.T) {
	c := choose.New(choose.Options{Domain: "d0", Region: "r0", Rand: random(2)})
	c.Update(members(16))
	want := []ident.Domain{"d0", "d1"}
	for tier, domain := range want {
		for range 100 {
			p, ok := c.Choose(choose.Query{Service: "s"}, startTime)
			assert.Assert(t, ok && p.HasRoom && p.Member.Domain == domain, "tier %d: %v", tier, p)
		}
		for _, m := range members(16)[4*tier : 4*tier+4] {
			c.RecordSent(m.Node, startTime)
			c.RecordRefusal(m.Node, hint(10, startTime), startTime)
		}
	}
	p, _ := c.Choose(choose.Query{Service: "s"}, startTime)
	assert.Equal(t, p.Member.Region, ident.Region("r1"))
}

// Guards against herding: when every entry has just learned that one member is
// idle, the best of three samples sends it at most 3/16 of the next requests.
func TestIdleMemberDoesNotAttractAllEntries(t *testing.T) {
	const entries = 1000
	chosen := 0
	for i := range entries {
		c := choose.New(choose.Options{Domain: "elsewhere", Region: "elsewhere", Rand: random(uint64(i))})
		all := members(16)
		c.Update(all)
		for j, m := range all {
			c.RecordSent(m.Node, startTime)
			c.RecordAnswer(m.Node, hint(int32(min(j, 1)*7), startTime), 10*time.Millisecond, startTime)
		}
		p, _ := c.Choose(choose.Query{Service: "s"}, startTime)
		if p.Member.Node == "n0" {
			chosen++
		}
	}
	assert.Assert(t, chosen < entries*3/16+50, "%d of %d entries chose the idle member", chosen, entries)
	assert.Assert(t, chosen > entries/16, "the idle member isn't preferred: %d", chosen)
}

// Guards against the use of expired hints: a member that was full a second ago
// is chosen about as often as the others, one that is full now isn't chosen.
func TestOldHintsExpire(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second} {
		c := choose.New(choose.Options{Rand: random(3)})
		c.Update(members(8))
		for i, m := range members(8) {
			c.RecordSent(m.Node, startTime)
			c.RecordAnswer(m.Node, hint(int32(10-min(i, 1)*5), startTime), 10*time.Millisecond, startTime)
		}
		chosen := 0
		for range 800 {
			if p, _ := c.Choose(choose.Query{Service: "s"}, startTime.Add(age)); p.Member.Node == "n0" {
				chosen++
			}
		}
		assert.Assert(t, (chosen > 0) == (age > 0), "age %v: %d of 800", age, chosen)
	}
}

// Guards against a member that fails faster than others answer and therefore
// looks idle: after 1 s it may get at most 2 % of the requests.
func TestFastFailingMemberAttractsNoTraffic(t *testing.T) {
	for seed := range uint64(20) {
		c := choose.New(choose.Options{Rand: random(seed)})
		c.Update(members(8))
		chosen, total := 0, 0
		for ms := range 10_000 {
			now := startTime.Add(time.Duration(ms) * 13 * time.Millisecond) // 75 calls/s
			p, _ := c.Choose(choose.Query{Service: "s"}, now)
			c.RecordSent(p.Member.Node, now)
			if counted := now.Sub(startTime) > time.Second; counted {
				total++
			}
			if p.Member.Node != "n3" {
				c.RecordAnswer(p.Member.Node, hint(7, now), 10*time.Millisecond, now)
				continue
			}
			if now.Sub(startTime) > time.Second {
				chosen++
			}
			c.RecordFailure("n3", now)
		}
		assert.Assert(t, float64(chosen) <= 0.02*float64(total), "seed %d: %d of %d", seed, chosen, total)
		assert.Assert(t, chosen > 0, "a failing member is never tried again")
	}
}

// Guards against a member that ramps up and gets more load than the share its
// exit admits, and against a returning domain that gets full load at once.
func TestRampingSharesGrowWithCapacity(t *testing.T) {
	weight := func(d ident.Domain, _ time.Time) float64 { return map[ident.Domain]float64{"d0": 0.1, "d1": 1}[d] }
	c := choose.New(choose.Options{Rand: random(4), DomainWeight: weight})
	all := members(8)
	all[7].State = choose.Cold
	c.Update(all)
	chosen := map[ident.Node]int{}
	for range 10_000 {
		p, _ := c.Choose(choose.Query{Service: "s"}, startTime)
		chosen[p.Member.Node]++
	}
	assert.Assert(t, chosen["n0"] < 10_000/8/3, "weight 0.1 got %d", chosen["n0"])
	assert.Assert(t, chosen["n7"] > 0 && chosen["n7"] < 10_000/8/3, "cold member got %d", chosen["n7"])
}

// Guards against ranking that ignores one of its inputs: own requests without an
// answer, a refusal whose hint shows free slots (a shed), a slow exit, and a
// failing member that already has a trial request.
func TestWorseMemberIsNotChosen(t *testing.T) {
	for name, degrade := range map[string]func(*choose.Chooser){
		"own in flight": func(c *choose.Chooser) {
			for range 8 {
				c.RecordSent("n0", startTime)
			}
		},
		"refused": func(c *choose.Chooser) { c.RecordRefusal("n0", hint(1, startTime), startTime) },
		"slow": func(c *choose.Chooser) {
			c.RecordAnswer("n0", choose.Hint{Inflight: 3, Limit: 10, ServiceTime: 50 * time.Millisecond, At: startTime}, 0, startTime)
		},
		"trial request pending": func(c *choose.Chooser) {
			c.RecordFailure("n0", startTime.Add(-time.Minute))
			c.RecordFailure("n0", startTime.Add(-time.Minute))
			c.RecordAnswer("n0", hint(3, startTime), time.Millisecond, startTime)
			c.RecordFailure("n0", startTime)
			c.RecordAnswer("n0", hint(3, startTime), time.Millisecond, startTime)
			c.RecordSent("n0", startTime)
		},
	} {
		c := choose.New(choose.Options{Rand: random(7)})
		c.Update(members(3))
		for _, m := range members(3) {
			c.RecordAnswer(m.Node, hint(3, startTime), 10*time.Millisecond, startTime)
		}
		degrade(c)
		for range 100 {
			p, _ := c.Choose(choose.Query{Service: "s"}, startTime)
			assert.Assert(t, p.Member.Node != "n0", name)
		}
	}
}

// Guards against a last try that goes to the only member that hasn't refused,
// although its queue is the longest or it is failing, and against an entry that
// can't detect that only such members are left.
func TestLastTryComparesAllMembers(t *testing.T) {
	for seed := range uint64(50) {
		c := choose.New(choose.Options{Rand: random(seed)})
		c.Update(members(4))
		var tried []ident.Node
		for i, queued := range []int32{5, 1, 9} {
			n := members(4)[i].Node
			h := hint(10, startTime)
			h.Queued = queued
			c.RecordRefusal(n, h, startTime)
			tried = append(tried, n)
		}
		c.RecordFailure("n3", startTime)
		c.RecordFailure("n3", startTime)
		p, ok := c.Choose(choose.Query{Service: "s", Tried: tried}, startTime)
		assert.Assert(t, ok && p.LastResort && p.Member.Node == "n3", "%v", p)
		p, ok = c.Choose(choose.Query{Service: "s", Tried: tried, MayQueue: true}, startTime)
		assert.Assert(t, ok && !p.LastResort && p.Member.Node == "n1", "seed %d: %v", seed, p)
	}
}

// Guards over random interleavings against a choice that violates an invariant
// of the package comment, and against a refusal while a usable member exists.
func TestChooserInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, all := startTime, members(12)
		outDomain := ident.Domain("")
		c := choose.New(choose.Options{
			Domain: "d1", Region: "r0", Rand: random(rapid.Uint64().Draw(t, "seed")),
			DomainWeight: func(d ident.Domain, _ time.Time) float64 { return map[bool]float64{true: 0, false: 1}[d == outDomain] },
		})
		c.Update(all)
		node := func() ident.Node { return all[rapid.IntRange(0, 11).Draw(t, "node")].Node }
		t.Repeat(map[string]func(*rapid.T){
			"state": func(t *rapid.T) {
				i := rapid.IntRange(0, 11).Draw(t, "member")
				all[i].State = choose.State(rapid.IntRange(0, 3).Draw(t, "state"))
				all[i].Version = rapid.SampledFrom([]ident.Version{"v1", "v2"}).Draw(t, "version")
				c.Update(all)
			},
			"domain": func(t *rapid.T) {
				outDomain = rapid.SampledFrom([]ident.Domain{"", "d0", "d1", "d2"}).Draw(t, "out")
			},
			"sent": func(*rapid.T) { c.RecordSent(node(), now) },
			"done": func(t *rapid.T) {
				c.RecordAnswer(node(), hint(rapid.Int32Range(0, 10).Draw(t, "inflight"), now), time.Millisecond, now)
			},
			"refused": func(*rapid.T) { c.RecordRefusal(node(), choose.Hint{At: now}, now) },
			"failed":  func(*rapid.T) { c.RecordFailure(node(), now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				q := choose.Query{Service: "s", Version: "v1", Tried: []ident.Node{node()}, MayQueue: rapid.Bool().Draw(t, "last")}
				usable := func(m choose.Member) bool {
					tried := !q.MayQueue && slices.Contains(q.Tried, m.Node)
					return m.State != choose.Leaving && m.Version == q.Version && m.Domain != outDomain && !tried
				}
				p, ok := c.Choose(q, now)
				assert.Equal(t, ok, slices.ContainsFunc(all, usable))
				assert.Assert(t, !ok || usable(p.Member), "%v", p)
				alive := slices.ContainsFunc(all, func(m choose.Member) bool { return usable(m) && m.State != choose.Suspect })
				assert.Assert(t, !ok || !p.HasRoom || !alive || p.Member.State != choose.Suspect, "suspect before alive: %v", p)
			},
		})
	})
}

func benchmarkChoose(b *testing.B, services int) {
	c := choose.New(choose.Options{Domain: "d0", Region: "r0", Rand: random(5)})
	all := members(1100)
	for i := range all {
		all[i].Service = ident.Service(fmt.Sprintf("s%d", i%services))
	}
	c.Update(all)
	for i, m := range all {
		c.RecordSent(m.Node, startTime)
		c.RecordAnswer(m.Node, hint(int32(i%11), startTime), 10*time.Millisecond, startTime)
	}
	names := make([]ident.Service, services)
	for i := range names {
		names[i] = ident.Service(fmt.Sprintf("s%d", i))
	}
	tried := []ident.Node{"n1", "n2"}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now := startTime.Add(time.Duration(i%1000) * 10 * time.Microsecond)
		p, _ := c.Choose(choose.Query{Service: names[i%services], Version: "v1", Tried: tried}, now)
		c.RecordSent(p.Member.Node, now)
		c.RecordAnswer(p.Member.Node, hint(int32(i%11), now), 10*time.Millisecond, now)
		i++
	}
}

// The limits are 2 microseconds and 0 allocations per operation.
func BenchmarkChoose170Services(b *testing.B) { benchmarkChoose(b, 170) }

func BenchmarkChooseOneService(b *testing.B) { benchmarkChoose(b, 1) }

// Guards against an allocation per request on the hot path.
func TestChooseDoesNotAllocate(t *testing.T) {
	c := choose.New(choose.Options{Domain: "d0", Region: "r0", Rand: random(6)})
	c.Update(members(1100))
	tried := []ident.Node{"n1"}
	allocs := testing.AllocsPerRun(1000, func() {
		p, _ := c.Choose(choose.Query{Service: "s", Version: "v1", Tried: tried}, startTime)
		c.RecordSent(p.Member.Node, startTime)
		c.RecordAnswer(p.Member.Node, hint(3, startTime), time.Millisecond, startTime)
	})
	assert.Equal(t, allocs, 0.0)
}

// Guards against sending further requests to a member that has become silent,
// and against ignoring it after it has answered again.
func TestStalledMemberIsLastResortUntilItAnswers(t *testing.T) {
	c := choose.New(choose.Options{Domain: "a", Region: "r", Rand: random(1)})
	c.Update(members(2))
	now := time.Unix(0, 0)
	q := choose.Query{Service: "s", Version: "v1"}
	first, ok := c.Choose(q, now)
	assert.Assert(t, ok)
	c.RecordSent(first.Member.Node, now)
	c.RecordStall(first.Member.Node, now)
	for _, m := range members(2) {
		if m.Node != first.Member.Node {
			c.RecordSent(m.Node, now)
			c.RecordSent(m.Node, now)
			c.RecordSent(m.Node, now)
		}
	}
	for range 50 {
		p, ok := c.Choose(q, now)
		assert.Assert(t, ok)
		assert.Assert(t, p.Member.Node != first.Member.Node)
	}
	c.RecordAnswer(first.Member.Node, hint(0, now), time.Millisecond, now)
	chosenAgain := false
	for range 50 {
		p, _ := c.Choose(q, now)
		chosenAgain = chosenAgain || p.Member.Node == first.Member.Node
	}
	assert.Assert(t, chosenAgain)
}
