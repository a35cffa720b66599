package retry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/retry"
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func newPlan(attempts int) *retry.Plan {
	b := retry.NewBudget(retry.BudgetOptions{Burst: 1000})
	return retry.New(retry.Chain{Attempts: attempts, Timeout: time.Second}, b, epoch)
}

// Guards against more extra runs than ratio, minimum rate and burst allow in any
// interval, and against a clock that steps back and refills the budget.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := retry.BudgetOptions{Ratio: 0.25, MinRate: 2, Burst: 3}
		b := retry.NewBudget(o)
		now, latest := epoch, epoch
		b.RecordFirst(now)
		bound := o.Burst
		allowed := 0.0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.RecordFirst(now); bound += o.Ratio },
			"allow": func(*rapid.T) {
				if b.Allow(now) {
					allowed++
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-500, 1000).Draw(t, "ms")) * time.Millisecond)
				if now.After(latest) {
					bound += o.MinRate * now.Sub(latest).Seconds()
					latest = now
				}
			},
			"": func(*rapid.T) {
				assert.Assert(t, allowed <= bound+1e-6, "%v runs allowed, bound %v", allowed, bound)
				if bound-allowed > 3*o.Burst { // the next interval starts with a full budget
					bound, allowed = o.Burst, 0
				}
			},
		})
	})
}

// Guards against an entry node at low traffic whose budget never refills.
func TestBudgetMinRate(t *testing.T) {
	b := retry.NewBudget(retry.BudgetOptions{Burst: 1, MinRate: 1})
	assert.Assert(t, b.Allow(epoch))
	assert.Assert(t, !b.Allow(epoch))
	assert.Assert(t, b.Allow(epoch.Add(time.Second)))
}

// Guards against a clock that steps back and removes tokens.
func TestBudgetClockStepsBack(t *testing.T) {
	b := retry.NewBudget(retry.BudgetOptions{Burst: 1, MinRate: 1})
	b.RecordFirst(epoch)
	assert.Assert(t, b.Allow(epoch.Add(-time.Second)))
	assert.Assert(t, !b.Allow(epoch))
}

// chainRuns counts the runs at each level of a call chain. Each run calls the next
// level once; decide returns the outcome of every copy.
func chainRuns(c retry.Chain, runs []int, decide func(depth int) (retry.Outcome, retry.Reason)) {
	b := retry.NewBudget(retry.BudgetOptions{Burst: 1e9})
	p := retry.New(c, b, epoch)
	for copies := 1; copies > 0; {
		o, r := decide(c.Depth)
		if o != retry.Pending {
			copies--
		}
		if o == retry.Ran || o == retry.Unknown {
			runs[c.Depth]++
			if child, ok := p.Child(epoch); ok {
				chainRuns(child, runs, decide)
			}
		}
		switch a := p.Next(o, r, true, epoch); a.Kind {
		case retry.TryOther, retry.Hedge:
			copies++
		case retry.Deliver, retry.GiveUp:
			return
		}
	}
}

// Guards against retries that multiply down a call chain: if every outcome is
// unknown at all 20 levels, no level may run more often than the attempts allow.
func TestChainWorstCase(t *testing.T) {
	for attempts := 1; attempts <= retry.MaxAttempts; attempts++ {
		runs := make([]int, retry.MaxDepth+1)
		chainRuns(retry.Chain{Attempts: attempts, Timeout: time.Second}, runs, func(int) (retry.Outcome, retry.Reason) {
			return retry.Unknown, retry.Broken
		})
		for d, n := range runs {
			assert.Assert(t, n >= 1 && n <= attempts, "%d attempts: %d runs at depth %d", attempts, n, d)
		}
	}
}

// Guards against the same with refusals, hedged requests and answers in any order.
func TestChainBound(t *testing.T) {
	outcomes := rapid.SampledFrom([]retry.Outcome{retry.Unknown, retry.Ran, retry.NotRun, retry.Pending, retry.Unknown})
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.IntRange(1, retry.MaxAttempts).Draw(t, "attempts")
		runs := make([]int, retry.MaxDepth+1)
		outcomesLeft := 300 // Pending may repeat forever
		chainRuns(retry.Chain{Attempts: attempts, Timeout: time.Second}, runs, func(int) (retry.Outcome, retry.Reason) {
			if outcomesLeft--; outcomesLeft < 0 {
				return retry.Unknown, retry.Broken
			}
			return outcomes.Draw(t, "outcome"), retry.Broken
		})
		for d, n := range runs {
			assert.Assert(t, n <= attempts, "%d attempts: %d runs at depth %d", attempts, n, d)
		}
	})
}

// Guards against a child call with more attempts or time than its parent.
func TestChildNeverGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := retry.Chain{Attempts: rapid.IntRange(1, retry.MaxAttempts).Draw(t, "attempts"), Timeout: time.Second}
		b := retry.NewBudget(retry.BudgetOptions{})
		now := epoch
		for {
			p := retry.New(c, b, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			child, ok := p.Child(now)
			if !ok {
				assert.Assert(t, c.Depth == retry.MaxDepth || !now.Before(p.Deadline))
				return
			}
			assert.Assert(t, child.Attempts >= 1 && child.Attempts <= c.Attempts && child.Timeout <= c.Timeout)
			assert.Equal(t, child.Depth, c.Depth+1)
			c = child
		}
	})
}

// Guards over any sequence of outcomes against a non-idempotent request that is
// sent again without proof that it hasn't run, against a false NotRun, and against
// a request that never ends.
func TestPlanOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlan(rapid.IntRange(1, retry.MaxAttempts).Draw(t, "attempts"))
		idempotent := rapid.Bool().Draw(t, "idempotent")
		now := epoch
		copies, unknowns := 1, 0
		for range 500 {
			o := rapid.SampledFrom([]retry.Outcome{retry.Unknown, retry.NotRun, retry.Pending}).Draw(t, "outcome")
			r := rapid.SampledFrom([]retry.Reason{retry.NoAnswer, retry.Broken, retry.Full, retry.Start, retry.AnswerLost}).Draw(t, "reason")
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			a := p.Next(o, r, idempotent, now)
			settled := o == retry.NotRun || (o == retry.Unknown && a.Kind != retry.Resolve)
			if settled {
				copies--
			}
			if o == retry.Unknown && settled {
				unknowns++
			}
			switch a.Kind {
			case retry.TryOther, retry.Hedge:
				copies++
				assert.Assert(t, idempotent || (o == retry.NotRun && a.Kind == retry.TryOther))
				assert.Assert(t, now.Before(p.Deadline))
			case retry.GiveUp:
				notRun := a.Outcome == retry.NotRun
				assert.Assert(t, !notRun || (unknowns == 0 && copies == 0 && o == retry.NotRun))
				assert.Assert(t, notRun || unknowns > 0 || copies > 0, "a proved refusal was reported as unknown")
				return
			case retry.Wait:
				assert.Assert(t, copies > 0, "waits for nothing")
			}
		}
		t.Fatal("no end after 500 outcomes")
	})
}

// Guards against more tries than DefaultMaxTries, a try that may queue too
// early, and late tries without a pause.
func TestPlanRefusals(t *testing.T) {
	p := newPlan(1)
	for i := 1; i < retry.DefaultMaxTries; i++ {
		want := retry.Action{Kind: retry.TryOther, MayQueue: i >= retry.ImmediateTries}
		if i >= retry.TriesWithoutPause {
			want.Pause = retry.RetryPause
		}
		assert.DeepEqual(t, p.Next(retry.NotRun, retry.Full, false, epoch), want)
	}
	a := p.Next(retry.NotRun, retry.Full, false, epoch)
	assert.DeepEqual(t, a, retry.Action{Kind: retry.GiveUp, Outcome: retry.NotRun})
	a = newPlan(1).Next(retry.NotRun, retry.Size, false, epoch)
	assert.DeepEqual(t, a, retry.Action{Kind: retry.GiveUp, Outcome: retry.NotRun})
}

// Guards against resolves in a tight loop, and against a resolve when the outcome
// can't become known.
func TestPlanResolvePauses(t *testing.T) {
	p := newPlan(3)
	want := time.Duration(0)
	for range 4 {
		a := p.Next(retry.Unknown, retry.NoAnswer, false, epoch)
		assert.DeepEqual(t, a, retry.Action{Kind: retry.Resolve, Pause: want})
		want = max(20*time.Millisecond, 2*want)
	}
	for _, r := range []retry.Reason{retry.AnswerLost, retry.Broken, retry.Start, retry.ExitEnded, retry.Key} {
		a := newPlan(3).Next(retry.Unknown, r, false, epoch)
		assert.DeepEqual(t, a, retry.Action{Kind: retry.GiveUp, Outcome: retry.Unknown})
	}
}

// Guards against a hedged request beyond the budget, and a second one for the
// same call.
func TestPlanHedge(t *testing.T) {
	p := newPlan(5)
	assert.Equal(t, p.Next(retry.Pending, retry.None, true, epoch).Kind, retry.Hedge)
	assert.Equal(t, p.Next(retry.Pending, retry.None, true, epoch).Kind, retry.Wait)
	a := p.Next(retry.NotRun, retry.Full, true, p.Deadline)
	assert.DeepEqual(t, a, retry.Action{Kind: retry.GiveUp, Outcome: retry.Unknown}) // the other copy may still run
	emptyBudget := retry.NewBudget(retry.BudgetOptions{Burst: 1e-9})
	q := retry.New(retry.Chain{Attempts: 5, Timeout: time.Second}, emptyBudget, epoch)
	assert.Equal(t, q.Next(retry.Pending, retry.None, true, epoch).Kind, retry.Wait)
}

// Guards against chain headers that don't survive a round trip, and against
// values out of bounds that are accepted.
func TestChainHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := retry.Chain{
			Attempts: rapid.IntRange(1, retry.MaxAttempts).Draw(t, "attempts"),
			Depth:    rapid.IntRange(0, retry.MaxDepth).Draw(t, "depth"),
			Timeout:  time.Duration(rapid.Int64Range(1, int64(retry.MaxTimeout)).Draw(t, "left")),
		}
		h := http.Header{}
		want.Set(h)
		got, err := retry.ParseChain(h)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
	invalidValues := map[string][]string{
		retry.AttemptsHeader: {"0", "9", "-1", "+3", "03", "3 ", "", "99999999999999999999"},
		retry.DepthHeader:    {"-1", "20", "1.0", "0x1"},
		retry.TimeoutHeader:  {"0s", "-1s", "5m1ns", "10", "1h", "", "0.00000000000000000000000000000001h"},
	}
	for name, values := range invalidValues {
		for _, v := range values {
			_, err := retry.ParseChain(http.Header{name: {v}})
			assert.ErrorIs(t, err, retry.ErrInvalidChain, "%s: %q", name, v)
		}
		_, err := retry.ParseChain(http.Header{name: {"1", "1"}})
		assert.ErrorIs(t, err, retry.ErrInvalidChain, "%s twice", name)
	}
}

func BenchmarkPlanNext(b *testing.B) {
	b.ReportAllocs()
	budget := retry.NewBudget(retry.BudgetOptions{})
	p := *retry.New(retry.Chain{Attempts: 3, Timeout: time.Second}, budget, epoch)
	for b.Loop() {
		q := p
		q.Next(retry.NotRun, retry.Full, false, epoch)
		q.Next(retry.Unknown, retry.NoAnswer, false, epoch)
		q.Next(retry.Pending, retry.None, true, epoch)
	}
}
