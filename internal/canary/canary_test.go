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

// moves is the number of bad moves of each kind; make long-moves raises it.
var moves = flag.Int("moves", 1, "number of bad moves of each kind; there are 14 times as many good ones")

const (
	seed   = 20261204
	length = 10 * time.Minute
	// rate is the request rate, in requests per second, at which a fault at the
	// target share must be stopped within 2 s.
	rate = 80
	// maxBadShare is the required bound on the share of requests on a version that
	// is bad from the start.
	maxBadShare = 0.005
	// goodPerBad is the number of good moves for each bad one; 24 bad moves of each
	// kind go with 1,008 good ones.
	goodPerBad = 14
	// goodPerWrong is the required bound on reverted good moves: at most one in this
	// many.
	goodPerWrong = 1000
)

func setups(k canary.Kind, n int, perSecond float64) []canary.Setup {
	var out []canary.Setup
	for i := range n {
		out = append(out, canary.Setup{Kind: k, Seed: seed + uint64(i), Rate: perSecond, Length: length})
	}
	return out
}

// Guards against good moves that are reverted or don't finish, against a bad
// version that gets too many requests or isn't stopped, and against a version
// that still gets requests 2 s after a late fault. The baseline runs on the same
// seeds for comparison.
func TestMoves(t *testing.T) {
	parallel := max(1, runtime.NumCPU()/2)
	var rows, baseline []canary.Row
	wrong, good := 0, 0
	for _, k := range []canary.Kind{
		canary.Good, canary.GoodBothDegraded, canary.GoodOldDegraded, canary.Fail, canary.Slow,
		canary.LateFail, canary.LateSlow, canary.MidFail, canary.FailUnderLoad, canary.FailOneRoute, canary.FailOldDegraded,
	} {
		n := *moves
		if k.IsGood() {
			n *= goodPerBad
		}
		s := setups(k, n, rate)
		row := canary.Sum(canary.RunAll(s, canary.Mover, parallel))
		t.Logf("%+v", row)
		rows = append(rows, row)
		baseline = append(baseline, canary.Sum(canary.RunAll(s, canary.Threshold, parallel)))
		switch {
		case k.IsGood():
			wrong += row.Stopped
			good += row.Moves
			assert.Check(t, row.Done+row.Stopped == row.Moves, "%s: not finished", k)
		case k.IsLate():
			assert.Check(t, row.Missed == 0, "%s: not stopped", k)
			assert.Check(t, row.FaultSeen == row.Moves, "%s: fault did not occur", k)
			assert.Check(t, row.LateRequests == 0, "%s: requests later than 2 s after the fault", k)
		default:
			assert.Check(t, row.Missed == 0, "%s: not stopped", k)
			assert.Check(t, row.MaxBadShare <= maxBadShare, "%s: bad share %v", k, row.MaxBadShare)
		}
	}
	assert.Check(t, wrong <= good/goodPerWrong, "%d of %d good moves reverted", wrong, good)
	assert.NilError(t, canary.Write(os.Stdout, canary.Mover, rate, rows))
	assert.NilError(t, canary.Write(os.Stdout, canary.Threshold, rate, baseline))
}

// lateSeeds are moves in which a version got requests for more than 2 s after a
// late fault.
var lateSeeds = []canary.Setup{
	// The old version got 1 of 10 requests in the windows after the fault, and
	// a quantile of such a window lies within the slow responses of the new one.
	{Kind: canary.LateSlow, Seed: 20261246, Rate: rate, Length: length},
}

// Guards against a version that still gets requests 2 s after a late fault, on
// moves in which this happened.
func TestLateSeeds(t *testing.T) {
	for _, s := range lateSeeds {
		r := canary.Run(s, canary.Mover)
		assert.Check(t, r.FaultSeen && r.Stopped, "seed %d", s.Seed)
		assert.Check(t, r.Late == 0, "seed %d: requests until %v after the fault", s.Seed, r.TimeToStop)
	}
}

// Logs the time to stop a late fault by request rate, and guards against a fault
// that isn't stopped at a low rate.
func TestRates(t *testing.T) {
	for _, r := range []float64{20, 40, 80, 160, 320} {
		var rows []canary.Row
		for _, k := range []canary.Kind{canary.LateFail, canary.LateSlow, canary.MidFail} {
			row := canary.Sum(canary.RunAll(setups(k, *moves, r), canary.Mover, max(1, runtime.NumCPU()/2)))
			assert.Check(t, row.Missed == 0, "%s: not stopped at %v/s", k, r)
			rows = append(rows, row)
		}
		assert.NilError(t, canary.Write(os.Stdout, canary.Mover, r, rows))
	}
}
