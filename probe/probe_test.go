package probe_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/internal/scale"
	"github.com/cicadahall/cicadahall/probe"
)

var began = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func Example() {
	now := began
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	fmt.Println(p.Due(now), p.State(now))
	p.Observe(probe.Result{Working: true}, now.Add(5*time.Millisecond))
	p.Traffic(false, now.Add(10*time.Millisecond))
	now = now.Add(20 * time.Millisecond)
	fmt.Println(p.Due(now), p.State(now))
	// Output:
	// true unknown
	// false failing
}

// Guards against a one-second window with more probes than its budget (P1),
// and a probe of an upstream whose traffic shows its state, under any order of
// traffic, results, restarts of prober and upstream, and new manifests.
func TestWindowStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.2, 1, 2, 2.5, 7})
		burst := rapid.IntRange(0, 9)
		budget := probe.NewBudget(rate.Draw(t, "rate"), burst.Draw(t, "burst"))
		p := probe.New(probe.Options{Budget: budget})
		now, traffic := began, began.Add(-time.Hour)
		var sent []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"second":  func(*rapid.T) { now = now.Add(time.Second) },
			"traffic": func(t *rapid.T) { p.Traffic(rapid.Bool().Draw(t, "working"), now); traffic = now },
			"observe": func(t *rapid.T) { p.Observe(probe.Result{Working: rapid.Bool().Draw(t, "working")}, now) },
			"reset":   func(*rapid.T) { p.Reset(); traffic = began.Add(-time.Hour) },
			"restart": func(*rapid.T) {
				p = probe.New(probe.Options{Budget: budget})
				traffic = began.Add(-time.Hour)
			},
			"manifest": func(t *rapid.T) { budget.Set(rate.Draw(t, "rate"), burst.Draw(t, "burst"), now) },
			"due": func(t *rapid.T) {
				if !p.Due(now) {
					return
				}
				assert.Assert(t, now.Sub(traffic) >= time.Second, "probed although traffic shows the state")
				sent = append(sent, now)
				within := 0
				for _, at := range sent {
					if now.Sub(at) <= time.Second {
						within++
					}
				}
				assert.Assert(t, within <= budget.Window(), "%d probes in one second", within)
			},
		})
	})
}

// Guards against more probes at once than the burst, and over any longer time
// than the rate allows, which the window of one second alone doesn't bound.
func TestBurstAndRateBoundAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.2, 0.7, 2, 7}).Draw(t, "rate")
		burst := rapid.IntRange(0, 4).Draw(t, "burst")
		budget := probe.NewBudget(rate, burst)
		now := began
		var sent []time.Time
		for _, ms := range rapid.SliceOf(rapid.IntRange(0, 700)).Draw(t, "waits") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if !budget.Take(now) {
				continue
			}
			sent = append(sent, now)
			for i, at := range sent {
				most := float64(burst) + rate*now.Sub(at).Seconds() + 1e-6
				assert.Assert(t, float64(len(sent)-i) <= most, "%d probes since %v", len(sent)-i, now.Sub(at))
			}
		}
	})
}

// Guards against a clock that is set back for a moment and refills the budget.
func TestClockSetBackDoesNotRefill(t *testing.T) {
	budget := probe.NewBudget(0.2, 1)
	assert.Assert(t, budget.Take(began))
	budget.Set(0.2, 1, began.Add(-time.Minute))
	assert.Assert(t, !budget.Take(began.Add(1500*time.Millisecond)))
	assert.Assert(t, budget.Take(began.Add(5*time.Second)))
}

// Guards against a prober that is starved or silent: without evidence a probe
// is due as often as the rate allows.
func TestProbesAreDueWithoutEvidence(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 1), Fresh: time.Millisecond})
	probes := 0
	for now := began; now.Before(began.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if p.Due(now) {
			probes++
			p.Observe(probe.Result{Working: true}, now)
		}
	}
	assert.Assert(t, probes >= 100 && probes <= 120, probes)
}

// Guards against a probe's result that hides what traffic shows.
func TestTrafficOverridesProbe(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	assert.Assert(t, p.Due(began))
	p.Traffic(false, began.Add(10*time.Millisecond))
	p.Observe(probe.Result{Working: true}, began.Add(20*time.Millisecond))
	assert.Equal(t, p.State(began.Add(30*time.Millisecond)), probe.Failing)
	assert.Equal(t, p.State(began.Add(1015*time.Millisecond)), probe.Working)
	assert.Equal(t, p.State(began.Add(1020*time.Millisecond)), probe.Unknown)
}

// Guards against a probe whose answer is lost and that blocks all further ones,
// and against its late answer counting for a later state.
func TestLostProbeCountsAsFailed(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(5, 5)})
	assert.Assert(t, p.Due(began))
	assert.Assert(t, !p.Due(began.Add(1900*time.Millisecond)))
	later := began.Add(2100 * time.Millisecond)
	p.Observe(probe.Result{Working: true}, later)
	assert.Equal(t, p.State(later), probe.Failing)
	assert.Assert(t, p.Due(began.Add(3100*time.Millisecond)))
}

// Guards against a budget that grows with churn of the membership or with an
// outage of the store (P1): members restart all the time and the store is down
// while an idle upstream is measured, and the number of probes is the same.
func TestBudgetHoldsUnderChurnAndStoreOutage(t *testing.T) {
	count := func(faulty bool) int {
		n := scale.NewNetwork(10, 20261204)
		n.StartAll()
		s := fakes.NewStore()
		if faulty {
			s.SetFault(func() fakes.Fault { return fakes.Down })
		}
		budget := probe.NewBudget(2, 2)
		p := probe.New(probe.Options{Budget: budget, Fresh: time.Millisecond})
		var sent []time.Time
		for i := range 3000 {
			n.Run(20 * time.Millisecond)
			if faulty && i%50 == 0 {
				n.Start(n.Hosts[i/50%10])
				s.Table().Get(context.Background(), "config/head")
				p = probe.New(probe.Options{Budget: budget, Fresh: time.Millisecond})
			}
			if p.Due(n.Now()) {
				sent = append(sent, n.Now())
				p.Observe(probe.Result{Working: true}, n.Now())
			}
		}
		for i := 2; i < len(sent); i++ {
			assert.Assert(t, sent[i].Sub(sent[i-2]) > time.Second)
		}
		return len(sent)
	}
	assert.Equal(t, count(true), count(false))
}

// BenchmarkDue shows the cost of one decision and that it doesn't allocate.
func BenchmarkDue(b *testing.B) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	now := began
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		p.Traffic(true, now)
		if p.Due(now) {
			b.Fatal("due although traffic shows the state")
		}
	}
}
