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

// silentConnections returns options in which a connection goes silent under
// 30 % of the calls and 2 % of the Resolve messages. A tenth of the messages on
// a silent connection arrive late, the others never.
func silentConnections(seed uint64) hist.Options {
	return hist.Options{
		Pick:    rand.New(rand.NewPCG(20261204, seed)).IntN,
		Exits:   8,
		Skew:    250 * time.Millisecond,
		Timeout: 2 * time.Second,
		Faults:  hist.Faults{Late: 10, Refuse: 20, Silent: 300, SilentNew: 20},
	}
}

// knownPercent runs non-idempotent requests and returns the percentage with a
// known outcome among those whose first connection was silent. With exitFaults,
// one exit is killed and another one frozen for a second every 20 s.
func knownPercent(t *testing.T, name string, o hist.Options, exitFaults bool) float64 {
	w := hist.New(o)
	for i := range 10000 {
		w.Start(false)
		w.Advance(25 * time.Millisecond)
		switch exit := i / 400 % o.Exits; {
		case exitFaults && i%800 == 0:
			w.Kill(exit)
		case exitFaults && i%800 == 400:
			w.Freeze(exit)
		case exitFaults && i%800 == 440:
			w.Resume(exit)
		}
	}
	w.Drain()
	assert.NilError(t, w.Check())
	outcomes := map[retry.Outcome]int{}
	var latencies []time.Duration
	for _, r := range w.Requests {
		if r.FirstSilent {
			outcomes[r.Outcome]++
			latencies = append(latencies, r.Latency)
		}
	}
	slices.Sort(latencies)
	known := 100 * float64(outcomes[retry.Ran]+outcomes[retry.NotRun]) / float64(len(latencies))
	t.Logf("%-26s exit faults %-5t %5d silent, known %5.1f %%, ran %5d, not-run %4d, unknown %4d, latency p50 %v p99 %v",
		name, exitFaults, len(latencies), known, outcomes[retry.Ran], outcomes[retry.NotRun], outcomes[retry.Unknown],
		latencies[len(latencies)/2].Round(time.Millisecond), latencies[len(latencies)*99/100].Round(time.Millisecond))
	return known
}

// Guards against non-idempotent requests whose outcome stays unknown after their
// connection went silent: at least 95 % must become known. Also guards against a
// cancel mark or a Resolve that has no effect on this percentage.
func TestKnownOutcomes(t *testing.T) {
	for seed := range uint64(3) {
		full, noMark, noResolve := silentConnections(seed), silentConnections(seed), silentConnections(seed)
		noMark.NoMark = true
		noResolve.NoResolve = true
		withBoth := knownPercent(t, "resolve and cancel mark", full, false)
		assert.Assert(t, withBoth >= 95, "known %.1f %%", withBoth)
		assert.Assert(t, knownPercent(t, "resolve, no cancel mark", noMark, false) < withBoth)
		assert.Assert(t, knownPercent(t, "no resolve", noResolve, false) < withBoth)
		exitFaults := silentConnections(seed)
		exitFaults.Faults.SilentNew = 200
		known := knownPercent(t, "resolve and cancel mark", exitFaults, true)
		assert.Assert(t, known >= 95, "known %.1f %%", known)
	}
}
