package move_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/store"
)

// newMover returns a Mover without a store.
func newMover(node ident.Node) *move.Mover {
	m, err := move.New(move.Options{
		Plan: testPlan(), Node: node, Start: 1, Rand: func() float64 { return 0.5 },
		Commit: func(move.Proposal) {}, Read: func() {},
	})
	if err != nil {
		panic(err)
	}
	return m
}

// observe lets m observe n requests of one version.
func observe(m *move.Mover, v ident.Version, n, failed int, l time.Duration, now time.Time) {
	for k := range n {
		m.Observe(move.Sample{Route: "a", Version: v, Failed: k < failed, Latency: l}, now)
	}
}

// Guards against evidence whose merge depends on order, repetition or loss, and
// against an encoding that loses counters.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sources := []*move.Mover{newMover("x"), newMover("y")}
		var messages []move.Evidence
		now := begin
		for range 20 {
			now = now.Add(time.Duration(r.IntN(800)) * time.Millisecond)
			for _, m := range sources {
				v := []ident.Version{"v1", "v2"}[r.IntN(2)]
				observe(m, v, r.IntN(5), r.IntN(2), time.Duration(r.IntN(100))*time.Millisecond, now)
				messages = append(messages, m.Recent(now), m.Evidence())
			}
		}
		messages = append(messages, sources[0].Evidence(), sources[1].Evidence())
		a, b := newMover("z"), newMover("z")
		for _, m := range []*move.Mover{a, b} {
			m.Tick(now)
			for _, i := range r.Perm(len(messages)) {
				assert.NilError(t, m.Merge(messages[i]))
			}
			m.Tick(now)
		}
		assert.DeepEqual(t, a.Evidence(), b.Evidence())
		assert.Equal(t, a.Share(now), b.Share(now))
		assert.Equal(t, a.Fault(), b.Fault())
		for _, row := range a.Evidence().Rows {
			for _, s := range sources {
				if own := s.Evidence().Rows[0]; own.Node == row.Node && len(s.Evidence().Rows) == 1 {
					// Fine windows that had expired at the first Tick are missing on
					// both sides.
					s.Tick(now)
					assert.DeepEqual(t, s.Evidence().Rows[0], row)
				}
			}
		}
	})
}

// Guards against a datagram that crashes a node or is merged in part.
func TestMalformedCounters(t *testing.T) {
	good := newMover("x")
	observe(good, "v1", 3, 1, time.Millisecond, begin)
	row := good.Evidence().Rows[0]
	tooLong := move.EvidenceRow{Node: "x", Start: 1, Counters: append(append([]byte{}, row.Counters...), 0)}
	assert.ErrorIs(t, newMover("y").Merge(move.Evidence{Move: "m", Rows: []move.EvidenceRow{tooLong}}), move.ErrInvalidCounters)
	rapid.Check(t, func(t *rapid.T) {
		m := newMover("y")
		b := append([]byte{}, row.Counters...)
		b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		e := move.Evidence{Move: "m", Rows: []move.EvidenceRow{{Node: "x", Start: 1, Counters: b}}}
		assert.ErrorIs(t, m.Merge(e), move.ErrInvalidCounters)
		e.Rows[0].Counters = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		before := len(m.Evidence().Rows)
		if m.Merge(e) != nil {
			assert.Equal(t, len(m.Evidence().Rows), before)
		}
	})
}

// Guards against a share that rises without enough evidence, and against
// requests that count as evidence although both versions were degraded in their
// window.
func TestShareNeedsEvidence(t *testing.T) {
	for _, degraded := range []bool{false, true} {
		m := newMover("x")
		now := begin.Add(length / 2)
		m.Tick(now)
		assert.Equal(t, m.Share(now), 0.005, "no evidence")
		at := begin.Add(length / 4)
		failed := 0
		if degraded {
			failed = 50
		}
		observe(m, "v1", 100, failed, 10*time.Millisecond, at)
		observe(m, "v2", 100, failed, 10*time.Millisecond, at)
		m.Tick(now)
		assert.Equal(t, m.Share(now) > 0.005, !degraded)
		// A merge takes effect immediately, without a tick.
		peer := newMover("y")
		assert.Equal(t, peer.Share(now), 0.005)
		assert.NilError(t, peer.Merge(m.Evidence()))
		assert.Equal(t, peer.Share(now), m.Share(now))
		assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
	}
}

// Guards against a share that rises while both versions are degraded, and
// against a latch set by a fault of the environment.
func TestBothSickHolds(t *testing.T) {
	m := newMover("x")
	now := begin
	held := 0.0
	for i := range 400 {
		now = begin.Add(time.Duration(i) * 100 * time.Millisecond)
		failed := 0
		// The degradation begins before the last stage, at 12 s, and ends after
		// it.
		if i >= 100 && i < 200 {
			failed = 3
		}
		observe(m, "v1", 6, failed, 10*time.Millisecond, now)
		observe(m, "v2", 6, failed, 10*time.Millisecond, now)
		m.Tick(now)
		if i == 100 {
			held = m.Share(now)
		}
		if i > 100 && i < 200 {
			assert.Equal(t, m.Share(now), held, "step %d", i)
		}
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
	assert.Assert(t, m.Share(now) > held, "the share rises again")
}

// Guards against a degraded old version that causes a fault of the new one, in
// errors and in latency, and against a new version that is compared with the old
// version's past.
func TestSickOldIsNoFault(t *testing.T) {
	m := newMover("x")
	for i := range 400 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		observe(m, "v1", 6, 3*(i/200), 10*time.Millisecond*time.Duration(1+4*(i/200)), now)
		observe(m, "v2", 6, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
}

// Guards against a degradation of both versions that looks one-sided in three
// fine windows, because clocks differ by 500 ms.
func TestOneSidedWindowsDoNotLatch(t *testing.T) {
	m := newMover("x")
	for i := range 40 {
		now := begin.Add(time.Duration(i) * 250 * time.Millisecond)
		failed := 0
		if i >= 20 && i < 23 {
			failed = 100
		}
		observe(m, "v1", 100, 0, 10*time.Millisecond, now)
		observe(m, "v2", 100, failed, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
}

// Guards against a key that leaves the new version while the share rises, and a
// split of the keys that differs from the share.
func TestCohortIsMonotone(t *testing.T) {
	m := newMover("x")
	for i := range 200 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		observe(m, "v1", 10, 0, 10*time.Millisecond, now)
		observe(m, "v2", 10, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	early, late := begin.Add(8*time.Second), begin.Add(20*time.Second)
	counts := map[string]int{}
	for k := range uint64(10000) {
		a, b := m.VersionFor(k, early), m.VersionFor(k, late)
		counts[fmt.Sprintf("%s %s", a, b)]++
	}
	assert.Equal(t, counts["v2 v1"], 0)
	assert.Assert(t, counts["v2 v2"] > 900 && counts["v2 v2"] < 1100, counts)
	assert.Assert(t, counts["v1 v1"] > 3800 && counts["v1 v1"] < 4200, counts)
}

// Guards against a late answer to "done" that is attributed to a later proposal.
func TestLateAnswerKeepsItsOutcome(t *testing.T) {
	var proposals []move.Proposal
	var m *move.Mover
	m, err := move.New(move.Options{
		Plan: testPlan(), Node: "x", Start: 1, Rand: func() float64 { return 0 },
		Commit: func(p move.Proposal) { proposals = append(proposals, p) },
		Read:   func() { m.Row(store.Row{}, store.Result{Outcome: store.Done}, begin) },
	})
	assert.NilError(t, err)
	for i := 0; i < 1200; i++ {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		observe(m, "v1", 5, 0, 10*time.Millisecond, now)
		observe(m, "v2", 5, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Equal(t, proposals[0].Outcome, move.Done)
	assert.Equal(t, proposals[len(proposals)-1].Outcome, move.Reverted)
	assert.Equal(t, m.Share(begin.Add(2*length)), 0.0, "the old version serves while there is no row")
	m.Committed(proposals[0], store.Result{Outcome: store.Done}, begin.Add(2*length))
	assert.Equal(t, m.Outcome(), move.Done)
	assert.Equal(t, m.Share(begin.Add(2*length)), 1.0)
}

// Guards against a "done" that a node with a slow clock issues after the
// deadline, and a "reverted" that one with a fast clock issues before it.
func TestProposalsKeepTheClockBound(t *testing.T) {
	last := map[move.Outcome]time.Time{}
	first := map[move.Outcome]time.Time{}
	now := begin
	var m *move.Mover
	m, err := move.New(move.Options{
		Plan: testPlan(), Node: "x", Start: 1, Rand: func() float64 { return 0 },
		Commit: func(p move.Proposal) {
			if first[p.Outcome].IsZero() {
				first[p.Outcome] = now
			}
			last[p.Outcome] = now
			m.Committed(p, store.Result{Outcome: store.Refused}, now)
		},
		Read: func() { m.Row(store.Row{}, store.Result{Outcome: store.Refused}, now) },
	})
	assert.NilError(t, err)
	for i := range 700 {
		now = begin.Add(time.Duration(i) * 100 * time.Millisecond)
		observe(m, "v1", 5, 0, 10*time.Millisecond, now)
		observe(m, "v2", 5, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	deadline := begin.Add(length)
	assert.Assert(t, last[move.Done].Before(deadline.Add(-maxSkew-time.Second)), last[move.Done])
	assert.Assert(t, last[move.Done].After(deadline.Add(-5*time.Second)), last[move.Done])
	assert.Assert(t, !first[move.Reverted].Before(deadline.Add(maxSkew)), first[move.Reverted])
}

// Guards against an invalid plan that is accepted.
func TestInvalidPlans(t *testing.T) {
	bad := []func(*move.Plan){
		func(p *move.Plan) { p.Move = "" },
		func(p *move.Plan) { p.To = p.From },
		func(p *move.Plan) { p.Deadline = p.Begin },
		func(p *move.Plan) { p.Stages = nil },
		func(p *move.Plan) { p.Routes = make([]ident.Route, 255) },
		func(p *move.Plan) { p.Stages[0].After = length },
	}
	for _, f := range bad {
		p := testPlan()
		f(&p)
		_, err := move.New(move.Options{Plan: p})
		assert.ErrorIs(t, err, move.ErrInvalidPlan)
	}
}

func BenchmarkCohort(b *testing.B) {
	m := newMover("x")
	m.Tick(begin)
	b.ReportAllocs()
	for k := uint64(0); b.Loop(); k++ {
		m.VersionFor(k, begin)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := newMover("x")
	s := move.Sample{Route: "b", Version: "v1", Latency: 10 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(s, begin)
	}
}

// BenchmarkTick measures the time of a tick and the size of the evidence for 16
// nodes that serve 10 requests a second each.
func BenchmarkTick(b *testing.B) {
	m := newMover("x")
	now := begin
	for i := range 160 {
		now = begin.Add(time.Duration(i) * 250 * time.Millisecond)
		for n := range 16 {
			o := newMover(ident.Node(rune('a' + n)))
			observe(o, []ident.Version{"v1", "v2"}[n%2], 2+i%2, 0, time.Duration(10+i%20)*time.Millisecond, now)
			if err := m.Merge(o.Evidence()); err != nil {
				b.Fatal(err)
			}
		}
		m.Tick(now)
	}
	sizes := func(e move.Evidence) (n int) {
		for _, r := range e.Rows {
			n += len(r.Counters)
		}
		return n / len(e.Rows)
	}
	full, recent := sizes(m.Evidence()), sizes(m.Recent(now))
	b.ReportAllocs()
	for b.Loop() {
		observe(m, "v2", 1, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	b.ReportMetric(float64(full), "full-B/row")
	b.ReportMetric(float64(recent), "fresh-B/row")
}
