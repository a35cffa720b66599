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

var startTime = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func Example() {
	now := startTime
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	fmt.Println(p.StartProbe(now), p.State(now))
	p.RecordResult(probe.Result{Working: true}, now.Add(5*time.Millisecond))
	p.RecordTraffic(false, now.Add(10*time.Millisecond))
	now = now.Add(20 * time.Millisecond)
	fmt.Println(p.StartProbe(now), p.State(now))
	// Output:
	// true unknown
	// false failing
}

// Guards against more probes in a one-second window than the budget allows, and
// against probing an upstream whose traffic shows its state, under any order of
// traffic, results, restarts of prober and upstream, and new manifests.
func TestWindowStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.2, 1, 2, 2.5, 7})
		burst := rapid.IntRange(0, 9)
		budget := probe.NewBudget(rate.Draw(t, "rate"), burst.Draw(t, "burst"))
		p := probe.New(probe.Options{Budget: budget})
		now, lastTraffic := startTime, startTime.Add(-time.Hour)
		var sent []time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"second":  func(*rapid.T) { now = now.Add(time.Second) },
			"traffic": func(t *rapid.T) { p.RecordTraffic(rapid.Bool().Draw(t, "working"), now); lastTraffic = now },
			"observe": func(t *rapid.T) { p.RecordResult(probe.Result{Working: rapid.Bool().Draw(t, "working")}, now) },
			"reset":   func(*rapid.T) { p.Reset(); lastTraffic = startTime.Add(-time.Hour) },
			"restart": func(*rapid.T) {
				p = probe.New(probe.Options{Budget: budget})
				lastTraffic = startTime.Add(-time.Hour)
			},
			"manifest": func(t *rapid.T) { budget.SetRate(rate.Draw(t, "rate"), burst.Draw(t, "burst"), now) },
			"due": func(t *rapid.T) {
				if !p.StartProbe(now) {
					return
				}
				assert.Assert(t, now.Sub(lastTraffic) >= time.Second, "probed although traffic shows the state")
				sent = append(sent, now)
				within := 0
				for _, at := range sent {
					if now.Sub(at) <= time.Second {
						within++
					}
				}
				assert.Assert(t, within <= budget.MaxPerSecond(), "%d probes in one second", within)
			},
		})
	})
}

// Guards against more probes at once than the burst, and over any longer interval
// than the rate allows, which the bound of the one-second window doesn't ensure.
func TestBurstAndRateBoundAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.2, 0.7, 2, 7}).Draw(t, "rate")
		burst := rapid.IntRange(0, 4).Draw(t, "burst")
		budget := probe.NewBudget(rate, burst)
		now := startTime
		var sent []time.Time
		for _, ms := range rapid.SliceOf(rapid.IntRange(0, 700)).Draw(t, "waits") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if !budget.Allow(now) {
				continue
			}
			sent = append(sent, now)
			for i, at := range sent {
				bound := float64(burst) + rate*now.Sub(at).Seconds() + 1e-6
				assert.Assert(t, float64(len(sent)-i) <= bound, "%d probes since %v", len(sent)-i, now.Sub(at))
			}
		}
	})
}

// Guards against a clock that is set back temporarily and refills the budget.
func TestClockSetBackDoesNotRefill(t *testing.T) {
	budget := probe.NewBudget(0.2, 1)
	assert.Assert(t, budget.Allow(startTime))
	budget.SetRate(0.2, 1, startTime.Add(-time.Minute))
	assert.Assert(t, !budget.Allow(startTime.Add(1500*time.Millisecond)))
	assert.Assert(t, budget.Allow(startTime.Add(5*time.Second)))
}

// Guards against a prober that stops probing: without observations, a probe must
// be due as often as the rate allows.
func TestProbesAreDueWithoutEvidence(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 1), TTL: time.Millisecond})
	probes := 0
	for now := startTime; now.Before(startTime.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if p.StartProbe(now) {
			probes++
			p.RecordResult(probe.Result{Working: true}, now)
		}
	}
	assert.Assert(t, probes >= 100 && probes <= 120, probes)
}

// Guards against a probe's result that overrides the state shown by traffic.
func TestTrafficOverridesProbe(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	assert.Assert(t, p.StartProbe(startTime))
	p.RecordTraffic(false, startTime.Add(10*time.Millisecond))
	p.RecordResult(probe.Result{Working: true}, startTime.Add(20*time.Millisecond))
	assert.Equal(t, p.State(startTime.Add(30*time.Millisecond)), probe.Failing)
	assert.Equal(t, p.State(startTime.Add(1015*time.Millisecond)), probe.Working)
	assert.Equal(t, p.State(startTime.Add(1020*time.Millisecond)), probe.Unknown)
}

// Guards against a lost probe answer that blocks all further probes, and against
// a late answer that counts for a later state.
func TestLostProbeCountsAsFailed(t *testing.T) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(5, 5)})
	assert.Assert(t, p.StartProbe(startTime))
	assert.Assert(t, !p.StartProbe(startTime.Add(1900*time.Millisecond)))
	afterTimeout := startTime.Add(2100 * time.Millisecond)
	p.RecordResult(probe.Result{Working: true}, afterTimeout)
	assert.Equal(t, p.State(afterTimeout), probe.Failing)
	assert.Assert(t, p.StartProbe(startTime.Add(3100*time.Millisecond)))
}

// Guards against a number of probes that grows with membership churn or with a
// store outage: while an idle upstream is probed, members restart continually and
// the store is down, and the number of probes must stay the same.
func TestBudgetHoldsUnderChurnAndStoreOutage(t *testing.T) {
	countProbes := func(faulty bool) int {
		n := scale.NewNetwork(10, 20261204)
		n.StartAll()
		s := fakes.NewStore()
		if faulty {
			s.SetFault(func() fakes.Fault { return fakes.Unavailable })
		}
		budget := probe.NewBudget(2, 2)
		p := probe.New(probe.Options{Budget: budget, TTL: time.Millisecond})
		var sent []time.Time
		for i := range 3000 {
			n.Run(20 * time.Millisecond)
			if faulty && i%50 == 0 {
				n.Start(n.Hosts[i/50%10])
				s.Table().Get(context.Background(), "config/head")
				p = probe.New(probe.Options{Budget: budget, TTL: time.Millisecond})
			}
			if p.StartProbe(n.Now()) {
				sent = append(sent, n.Now())
				p.RecordResult(probe.Result{Working: true}, n.Now())
			}
		}
		for i := 2; i < len(sent); i++ {
			assert.Assert(t, sent[i].Sub(sent[i-2]) > time.Second)
		}
		return len(sent)
	}
	assert.Equal(t, countProbes(true), countProbes(false))
}

// BenchmarkDue measures the time and the allocations of one decision.
func BenchmarkDue(b *testing.B) {
	p := probe.New(probe.Options{Budget: probe.NewBudget(2, 2)})
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		p.RecordTraffic(true, now)
		if p.StartProbe(now) {
			b.Fatal("due although traffic shows the state")
		}
	}
}
