package hist_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/hist"
	"github.com/cicadahall/cicadahall/retry"
)

// quiet lets connections go silent under three of ten calls, and now and then
// under a resolve. A tenth of what was sent on a silent connection arrives late.
func quiet(seed uint64) hist.Options {
	return hist.Options{
		Pick:    rand.New(rand.NewPCG(20261204, seed)).IntN,
		Exits:   8,
		Skew:    250 * time.Millisecond,
		Timeout: 2 * time.Second,
		Faults:  hist.Faults{Late: 10, Refuse: 20, Silent: 300, SilentNew: 20},
	}
}

// share plays non-idempotent requests and returns the share of those under a
// silent connection that ended with a known outcome.
// With harm, every 20 s one exit is killed and another one frozen for a second.
func share(t *testing.T, name string, o hist.Options, harm bool) float64 {
	w := hist.New(o)
	for i := range 10000 {
		w.Start(false)
		w.Advance(25 * time.Millisecond)
		switch exit := i / 400 % o.Exits; {
		case harm && i%800 == 0:
			w.Kill(exit)
		case harm && i%800 == 400:
			w.Freeze(exit)
		case harm && i%800 == 440:
			w.Resume(exit)
		}
	}
	w.Drain()
	assert.NilError(t, w.Check())
	told := map[retry.Outcome]int{}
	var took []time.Duration
	for _, r := range w.Requests {
		if r.WasSilent {
			told[r.Outcome]++
			took = append(took, r.Took)
		}
	}
	slices.Sort(took)
	known := 100 * float64(told[retry.Ran]+told[retry.NotRun]) / float64(len(took))
	t.Logf("%-26s harm %-5t %5d silent, known %5.1f %%, ran %5d, not-run %4d, unknown %4d, time p50 %v p99 %v",
		name, harm, len(took), known, told[retry.Ran], told[retry.NotRun], told[retry.Unknown],
		took[len(took)/2].Round(time.Millisecond), took[len(took)*99/100].Round(time.Millisecond))
	return known
}

// Guards against non-idempotent requests that stay unknown after a connection
// went silent (target: at least 95 % known), and against a cancel mark or a
// resolve that has no effect.
func TestKnownOutcomes(t *testing.T) {
	for seed := range uint64(3) {
		full, unmarked, alone := quiet(seed), quiet(seed), quiet(seed)
		unmarked.NoMark = true
		alone.NoResolve = true
		with := share(t, "resolve and cancel mark", full, false)
		assert.Assert(t, with >= 95, "known %.1f %%", with)
		assert.Assert(t, share(t, "resolve, no cancel mark", unmarked, false) < with)
		assert.Assert(t, share(t, "no resolve", alone, false) < with)
		harmed := quiet(seed)
		harmed.Faults.SilentNew = 200
		known := share(t, "resolve and cancel mark", harmed, true)
		assert.Assert(t, known >= 95, "known %.1f %%", known)
	}
}
