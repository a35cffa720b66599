package canary_test

import (
	"flag"
	"os"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/canary"
)

// moves is the number of moves of each kind; make long-moves raises it.
var moves = flag.Int("moves", 1, "bad moves of each kind; good kinds have goodTimes as many")

const (
	seed   = 20261204
	length = 10 * time.Minute
	// rate is the service's requests per second at which P4's 2 s are tested.
	rate = 80
	// badMost is P4's bound for a version that is bad from the start.
	badMost = 0.005
	// goodTimes makes 24 bad moves of each kind go with 1,008 good ones.
	goodTimes = 14
	// wrongOneIn is P4's bound for good moves that are reverted.
	wrongOneIn = 1000
)

func setups(k canary.Kind, n int, perSecond float64) []canary.Setup {
	var out []canary.Setup
	for i := range n {
		out = append(out, canary.Setup{Kind: k, Seed: seed + uint64(i), Rate: perSecond, Length: length})
	}
	return out
}

// Guards against wrong reverts and unfinished good moves, against a bad
// version that gets too much or is missed, and against late faults that
// last (P4). The baseline runs on the same seeds for comparison.
func TestMoves(t *testing.T) {
	parallel := max(1, runtime.NumCPU()/2)
	var rows, base []canary.Row
	wrong, good := 0, 0
	for _, k := range []canary.Kind{
		canary.Good, canary.GoodBoth, canary.GoodOld, canary.Fail, canary.Slow,
		canary.LateFail, canary.LateSlow, canary.Middle, canary.Load, canary.Route, canary.Sick,
	} {
		n := *moves
		if k.IsGood() {
			n *= goodTimes
		}
		s := setups(k, n, rate)
		row := canary.Sum(canary.RunAll(s, canary.Mover, parallel))
		t.Logf("%+v", row)
		rows = append(rows, row)
		base = append(base, canary.Sum(canary.RunAll(s, canary.Threshold, parallel)))
		switch {
		case k.IsGood():
			wrong += row.Stopped
			good += row.Moves
			assert.Check(t, row.Done+row.Stopped == row.Moves, "%s: unfinished", k)
		case k.IsLate():
			assert.Check(t, row.Missed == 0, "%s: missed", k)
			assert.Check(t, row.Shown == row.Moves, "%s: never shown", k)
			assert.Check(t, row.LateRequests == 0, "%s: requests after 2 s", k)
		default:
			assert.Check(t, row.Missed == 0, "%s: missed", k)
			assert.Check(t, row.MostBad <= badMost, "%s: bad share %v", k, row.MostBad)
		}
	}
	assert.Check(t, wrong <= good/wrongOneIn, "%d of %d good moves reverted", wrong, good)
	assert.NilError(t, canary.Write(os.Stdout, canary.Mover, rate, rows))
	assert.NilError(t, canary.Write(os.Stdout, canary.Threshold, rate, base))
}

// lateSeeds are moves in which a late fault once got requests for more than 2 s.
var lateSeeds = []canary.Setup{
	// The old version got 1 of 10 requests in the windows after the fault, and
	// a quantile of such a window lies within the slow answers of the new one.
	{Kind: canary.LateSlow, Seed: 20261246, Rate: rate, Length: length},
}

// Guards against late faults that last (P4), on the moves where one did.
func TestLateSeeds(t *testing.T) {
	for _, s := range lateSeeds {
		r := canary.Run(s, canary.Mover)
		assert.Check(t, r.Shown && r.Stopped, "seed %d", s.Seed)
		assert.Check(t, r.Late == 0, "seed %d: requests until %v after the fault showed", s.Seed, r.Clear)
	}
}

// Reports the time to stop a late fault as a function of the rate, and guards
// against a fault that is missed at a low one.
func TestRates(t *testing.T) {
	for _, r := range []float64{20, 40, 80, 160, 320} {
		var rows []canary.Row
		for _, k := range []canary.Kind{canary.LateFail, canary.LateSlow, canary.Middle} {
			row := canary.Sum(canary.RunAll(setups(k, *moves, r), canary.Mover, max(1, runtime.NumCPU()/2)))
			assert.Check(t, row.Missed == 0, "%s: missed at %v/s", k, r)
			rows = append(rows, row)
		}
		assert.NilError(t, canary.Write(os.Stdout, canary.Mover, r, rows))
	}
}
