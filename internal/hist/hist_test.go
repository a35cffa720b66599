package hist_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/internal/hist"
	"github.com/cicadahall/cicadahall/retry"
)

// frequentFaults returns options with all faults at a high rate. The fence
// table is small, so that it fills up and drops stored replies.
func frequentFaults(pick func(int) int) hist.Options {
	return hist.Options{
		Pick: pick, Exits: 3, Entries: 6, Bytes: 100,
		Skew: fence.ClockBound, Timeout: 1500 * time.Millisecond,
		Faults: hist.Faults{
			Lose: 50, Duplicate: 150, Late: 100, Misdeliver: 50, Truncate: 50,
			Refuse: 100, Shed: 50, Silent: 100, SilentNew: 100,
		},
	}
}

// action is one external event of a history.
type action struct {
	name string
	do   func(w *hist.World, pick func(n int) int)
}

// actions are drawn with equal probability, so those listed several times are
// more frequent. pick(3) is the number of an exit, and 1+pick(3) the ways argument
// of World.Silence.
var actions = []action{
	{"request", request},
	{"request2", request},
	{"request3", request},
	{"advance", advance},
	{"advance2", advance},
	{"advance3", advance},
	{"silence", func(w *hist.World, pick func(int) int) { w.Silence(pick(3), 1+pick(3)) }},
	{"kill", func(w *hist.World, pick func(int) int) { w.Kill(pick(3)) }},
	{"freeze", func(w *hist.World, pick func(int) int) { w.Freeze(pick(3)) }},
	{"resume", func(w *hist.World, pick func(int) int) { w.Resume(pick(3)) }},
	{"resume2", func(w *hist.World, pick func(int) int) { w.Resume(pick(3)) }},
	{"upstream", func(w *hist.World, pick func(int) int) { w.KillUpstream(pick(3)) }},
}

func request(w *hist.World, pick func(int) int) {
	w.Start(pick(4) == 0)
}

func advance(w *hist.World, pick func(int) int) {
	ms := []int{1, 5, 50, 300, 1500}[pick(5)]
	w.Advance(time.Duration(ms) * time.Millisecond)
}

// tally holds totals over histories for the log.
type tally struct {
	histories, requests, runs int
	outcomes                  map[retry.Outcome]int
}

func (y *tally) add(w *hist.World) {
	if y.outcomes == nil {
		y.outcomes = map[retry.Outcome]int{}
	}
	y.histories++
	y.requests += len(w.Requests)
	for _, r := range w.Requests {
		y.runs += r.Runs
		y.outcomes[r.Outcome]++
	}
}

func (y *tally) log(t *testing.T) {
	t.Logf("histories %d, requests %d, runs %d; outcomes: ran %d, not-run %d, unknown %d",
		y.histories, y.requests, y.runs, y.outcomes[retry.Ran], y.outcomes[retry.NotRun], y.outcomes[retry.Unknown])
}

// Guards against wrong or truncated responses, false not-run outcomes and
// repeated runs of non-idempotent requests. The causes are messages that are
// lost, duplicated, late, reordered, misdelivered or truncated, silent
// connections, exits that are killed, restarted, frozen and resumed, a killed
// upstream and clock skew. make long runs 100,000 of these histories.
func TestHistories(t *testing.T) {
	var y tally
	rapid.Check(t, func(t *rapid.T) {
		// rapid prefers small numbers, which would make message faults rare, so
		// they come from a generator of which rapid draws only the seed.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := hist.New(frequentFaults(random.IntN))
		steps := map[string]func(*rapid.T){}
		for _, a := range actions {
			steps[a.name] = func(t *rapid.T) {
				a.do(w, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
			}
		}
		t.Repeat(steps)
		w.Drain()
		assert.NilError(t, w.Check())
		y.add(w)
	})
	y.log(t)
}

// Guards against the same failures in a fixed set of longer histories, so that
// CI runs the same ones each time.
func TestHistoriesFixed(t *testing.T) {
	var y tally
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(20261204, seed))
		w := hist.New(frequentFaults(random.IntN))
		for range 20 + random.IntN(60) {
			actions[random.IntN(len(actions))].do(w, random.IntN)
		}
		w.Drain()
		assert.NilError(t, w.Check(), "seed %d", seed)
		y.add(w)
	}
	y.log(t)
}
