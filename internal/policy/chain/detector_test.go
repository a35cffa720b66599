package chain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/policy/chain"
)

var startTime = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// load plays callers' requests and the runs of one upstream, each of which makes a
// call with the given probability, and returns the share of arrivals after the
// first few seconds that are taken for calls.
func load(random *rand.Rand, perSecond, runsPerSecond float64, work time.Duration) (requests, calls float64) {
	d := chain.New(chain.Options{})
	var ends []time.Time
	counts := map[bool][2]float64{}
	now := startTime
	for range 4_000 {
		now = now.Add(time.Duration(random.ExpFloat64() / (perSecond + runsPerSecond) * float64(time.Second)))
		for len(ends) > 0 && ends[0].Before(now) {
			d.RecordEnd(ends[0])
			ends = ends[1:]
		}
		isCall := random.Float64() < runsPerSecond/(perSecond+runsPerSecond)
		if isCall {
			// The run that makes the call has just started.
			d.RecordStart(now)
			ends = append(ends, now.Add(work))
		}
		route := ident.Route("request")
		if isCall {
			route = "call"
		}
		taken := d.RecordArrival(route, now)
		if now.Sub(startTime) > 10*time.Second {
			c := counts[isCall]
			c[0]++
			if taken {
				c[1]++
			}
			counts[isCall] = c
		}
	}
	return counts[false][1] / max(1, counts[false][0]), counts[true][1] / max(1, counts[true][0])
}

// Guards against callers' requests that are taken for calls and go before all
// others, and against calls that aren't recognized, while the upstream is busy for
// less than nine tenths of the time.
func TestRequestsAndCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		work := time.Duration(rapid.IntRange(20, 300).Draw(rt, "work")) * time.Millisecond
		runs := rapid.Float64Range(0.1, 2).Draw(rt, "load") / work.Seconds()
		requests, calls := load(random, rapid.Float64Range(2, 50).Draw(rt, "requests"), runs, work)
		assert.Assert(rt, requests < 0.02, "%.3f of the requests are taken for calls", requests)
		assert.Assert(rt, calls > 0.95, "%.3f of the calls are recognized", calls)
	})
}

// Guards against a node that takes every route for a called one during an
// overload, in which each request finds the upstream busy.
func TestOverloadIsNoEvidence(t *testing.T) {
	d := chain.New(chain.Options{})
	d.RecordStart(startTime)
	now := startTime.Add(time.Minute)
	for range 10_000 {
		now = now.Add(time.Millisecond)
		assert.Assert(t, !d.RecordArrival("request", now))
	}
}

// Guards against state that grows with the routes of the configurations.
func TestRoutesAreBounded(t *testing.T) {
	d := chain.New(chain.Options{MaxRoutes: 10})
	d.RecordStart(startTime)
	for i := range 1000 {
		d.RecordArrival(ident.Route(fmt.Sprint(i)), startTime)
	}
	assert.Equal(t, d.Routes(), 10)
}
