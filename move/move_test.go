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

// mover returns a Mover without a store.
func mover(node ident.Node) *move.Mover {
	m, err := move.New(move.Options{
		Plan: plan(), Node: node, Start: 1, Rand: func() float64 { return 0.5 },
		Commit: func(move.Proposal) {}, Read: func() {},
	})
	if err != nil {
		panic(err)
	}
	return m
}

// feed gives m requests of one version.
func feed(m *move.Mover, v ident.Version, n, failed int, l time.Duration, now time.Time) {
	for k := range n {
		m.Observe(move.Sample{Route: "a", Version: v, Failed: k < failed, Latency: l}, now)
	}
}

// Guards against evidence whose merge depends on order, repetition or loss,
// and against an encoding that loses counters.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sources := []*move.Mover{mover("x"), mover("y")}
		var mail []move.Evidence
		now := begin
		for range 20 {
			now = now.Add(time.Duration(r.IntN(800)) * time.Millisecond)
			for _, m := range sources {
				v := []ident.Version{"v1", "v2"}[r.IntN(2)]
				feed(m, v, r.IntN(5), r.IntN(2), time.Duration(r.IntN(100))*time.Millisecond, now)
				mail = append(mail, m.Fresh(now), m.Evidence())
			}
		}
		mail = append(mail, sources[0].Evidence(), sources[1].Evidence())
		a, b := mover("z"), mover("z")
		for _, m := range []*move.Mover{a, b} {
			m.Tick(now)
			for _, i := range r.Perm(len(mail)) {
				assert.NilError(t, m.Merge(mail[i]))
			}
			m.Tick(now)
		}
		assert.DeepEqual(t, a.Evidence(), b.Evidence())
		assert.Equal(t, a.Share(now), b.Share(now))
		assert.Equal(t, a.Fault(), b.Fault())
		for _, row := range a.Evidence().Rows {
			for _, s := range sources {
				if own := s.Evidence().Rows[0]; own.Node == row.Node && len(s.Evidence().Rows) == 1 {
					// Fine windows that were too old at the first Tick are gone on both sides.
					s.Tick(now)
					assert.DeepEqual(t, s.Evidence().Rows[0], row)
				}
			}
		}
	})
}

// Guards against a datagram that crashes a node or is half taken.
func TestMalformedCounters(t *testing.T) {
	good := mover("x")
	feed(good, "v1", 3, 1, time.Millisecond, begin)
	row := good.Evidence().Rows[0]
	long := move.Row{Node: "x", Start: 1, Counters: append(append([]byte{}, row.Counters...), 0)}
	assert.ErrorIs(t, mover("y").Merge(move.Evidence{Move: "m", Rows: []move.Row{long}}), move.ErrCounters)
	rapid.Check(t, func(t *rapid.T) {
		m := mover("y")
		b := append([]byte{}, row.Counters...)
		b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		e := move.Evidence{Move: "m", Rows: []move.Row{{Node: "x", Start: 1, Counters: b}}}
		assert.ErrorIs(t, m.Merge(e), move.ErrCounters)
		e.Rows[0].Counters = rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		before := len(m.Evidence().Rows)
		if m.Merge(e) != nil {
			assert.Equal(t, len(m.Evidence().Rows), before)
		}
	})
}

// Guards against a share that outruns the evidence, and a small need that is
// met by requests in windows in which both versions were sick.
func TestShareNeedsEvidence(t *testing.T) {
	for _, sick := range []bool{false, true} {
		m := mover("x")
		now := begin.Add(length / 2)
		m.Tick(now)
		assert.Equal(t, m.Share(now), 0.005, "no evidence")
		at := begin.Add(length / 4)
		failed := 0
		if sick {
			failed = 50
		}
		feed(m, "v1", 100, failed, 10*time.Millisecond, at)
		feed(m, "v2", 100, failed, 10*time.Millisecond, at)
		m.Tick(now)
		assert.Equal(t, m.Share(now) > 0.005, !sick)
		// A merge counts at once, without a tick.
		peer := mover("y")
		assert.Equal(t, peer.Share(now), 0.005)
		assert.NilError(t, peer.Merge(m.Evidence()))
		assert.Equal(t, peer.Share(now), m.Share(now))
		assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
	}
}

// Guards against a share that rises while both versions are sick, and against
// a latch although only the environment is at fault.
func TestBothSickHolds(t *testing.T) {
	m := mover("x")
	now := begin
	last := 0.0
	for i := range 400 {
		now = begin.Add(time.Duration(i) * 100 * time.Millisecond)
		failed := 0
		// Sickness from before the last stage, at 12 s, until after it.
		if i >= 100 && i < 200 {
			failed = 3
		}
		feed(m, "v1", 6, failed, 10*time.Millisecond, now)
		feed(m, "v2", 6, failed, 10*time.Millisecond, now)
		m.Tick(now)
		if i == 100 {
			last = m.Share(now)
		}
		if i > 100 && i < 200 {
			assert.Equal(t, m.Share(now), last, "step %d", i)
		}
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
	assert.Assert(t, m.Share(now) > last, "the share rises again")
}

// Guards against a sick old version that condemns the new one, in errors and
// in latency, and against a new version that is judged by the old one's past.
func TestSickOldIsNoFault(t *testing.T) {
	m := mover("x")
	for i := range 400 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		feed(m, "v1", 6, 3*(i/200), 10*time.Millisecond*time.Duration(1+4*(i/200)), now)
		feed(m, "v2", 6, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
}

// Guards against a common sickness of the environment that clocks 500 ms
// apart show as one-sided in three fine windows.
func TestOneSidedWindowsDoNotLatch(t *testing.T) {
	m := mover("x")
	for i := range 40 {
		now := begin.Add(time.Duration(i) * 250 * time.Millisecond)
		failed := 0
		if i >= 20 && i < 23 {
			failed = 100
		}
		feed(m, "v1", 100, 0, 10*time.Millisecond, now)
		feed(m, "v2", 100, failed, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Assert(t, !m.Fault().Set, m.Fault().Reason)
}

// Guards against a callers' key that changes its version while the share
// rises, and a split that differs from the share.
func TestCohortIsMonotone(t *testing.T) {
	m := mover("x")
	for i := range 200 {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		feed(m, "v1", 10, 0, 10*time.Millisecond, now)
		feed(m, "v2", 10, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	early, late := begin.Add(8*time.Second), begin.Add(20*time.Second)
	counts := map[string]int{}
	for k := range uint64(10000) {
		a, b := m.Cohort(k, early), m.Cohort(k, late)
		counts[fmt.Sprintf("%s %s", a, b)]++
	}
	assert.Equal(t, counts["v2 v1"], 0)
	assert.Assert(t, counts["v2 v2"] > 900 && counts["v2 v2"] < 1100, counts)
	assert.Assert(t, counts["v1 v1"] > 3800 && counts["v1 v1"] < 4200, counts)
}

// Guards against a late answer to "done" that is taken for the answer to a
// later proposal.
func TestLateAnswerKeepsItsOutcome(t *testing.T) {
	var sent []move.Proposal
	var m *move.Mover
	m, err := move.New(move.Options{
		Plan: plan(), Node: "x", Start: 1, Rand: func() float64 { return 0 },
		Commit: func(p move.Proposal) { sent = append(sent, p) },
		Read:   func() { m.Row(store.Row{}, store.Result{Outcome: store.Done}, begin) },
	})
	assert.NilError(t, err)
	for i := 0; i < 1200; i++ {
		now := begin.Add(time.Duration(i) * 100 * time.Millisecond)
		feed(m, "v1", 5, 0, 10*time.Millisecond, now)
		feed(m, "v2", 5, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	assert.Equal(t, sent[0].Outcome, move.Done)
	assert.Equal(t, sent[len(sent)-1].Outcome, move.Reverted)
	assert.Equal(t, m.Share(begin.Add(2*length)), 0.0, "no row: old version")
	m.Committed(sent[0], store.Result{Outcome: store.Done}, begin.Add(2*length))
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
		Plan: plan(), Node: "x", Start: 1, Rand: func() float64 { return 0 },
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
		feed(m, "v1", 5, 0, 10*time.Millisecond, now)
		feed(m, "v2", 5, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	deadline := begin.Add(length)
	assert.Assert(t, last[move.Done].Before(deadline.Add(-skewMost-time.Second)), last[move.Done])
	assert.Assert(t, last[move.Done].After(deadline.Add(-5*time.Second)), last[move.Done])
	assert.Assert(t, !first[move.Reverted].Before(deadline.Add(skewMost)), first[move.Reverted])
}

// Guards against a plan that can't be run.
func TestPlanIsChecked(t *testing.T) {
	bad := []func(*move.Plan){
		func(p *move.Plan) { p.Move = "" },
		func(p *move.Plan) { p.To = p.From },
		func(p *move.Plan) { p.Deadline = p.Begin },
		func(p *move.Plan) { p.Stages = nil },
		func(p *move.Plan) { p.Routes = make([]ident.Route, 255) },
		func(p *move.Plan) { p.Stages[0].After = length },
	}
	for _, f := range bad {
		p := plan()
		f(&p)
		_, err := move.New(move.Options{Plan: p})
		assert.ErrorIs(t, err, move.ErrPlan)
	}
}

func BenchmarkCohort(b *testing.B) {
	m := mover("x")
	m.Tick(begin)
	b.ReportAllocs()
	for k := uint64(0); b.Loop(); k++ {
		m.Cohort(k, begin)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := mover("x")
	s := move.Sample{Route: "b", Version: "v1", Latency: 10 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(s, begin)
	}
}

// Reports the cost of a tick and the sizes of evidence for 16 nodes that
// serve 10 requests a second each.
func BenchmarkTick(b *testing.B) {
	m := mover("x")
	now := begin
	for i := range 160 {
		now = begin.Add(time.Duration(i) * 250 * time.Millisecond)
		for n := range 16 {
			o := mover(ident.Node(rune('a' + n)))
			feed(o, []ident.Version{"v1", "v2"}[n%2], 2+i%2, 0, time.Duration(10+i%20)*time.Millisecond, now)
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
	full, fresh := sizes(m.Evidence()), sizes(m.Fresh(now))
	b.ReportAllocs()
	for b.Loop() {
		feed(m, "v2", 1, 0, 10*time.Millisecond, now)
		m.Tick(now)
	}
	b.ReportMetric(float64(full), "full-B/row")
	b.ReportMetric(float64(fresh), "fresh-B/row")
}
