package fakes_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/fakes"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func ExampleUpstream() {
	e := fakes.NewEvents(start)
	u := fakes.NewUpstream(fakes.UpstreamOptions{Slots: 1, Events: e})
	u.SlowDown(5, time.Second)
	u.ServeFor(10*time.Millisecond, func(fakes.Reply) { fmt.Println(e.Now().Sub(start).Round(time.Millisecond)) })
	e.Run(start.Add(time.Second))
	// Output: 50ms
}

// Guards against faults of the model that don't have the documented effect.
// The results of all tests and measurements on the model would be wrong.
func TestUpstreamFaults(t *testing.T) {
	const work = 10 * time.Millisecond
	for name, c := range map[string]struct {
		fault   func(*fakes.Upstream)
		serve   int
		reply   fakes.Reply
		latency time.Duration // until the last response; 0: no response
	}{
		"none":          {func(*fakes.Upstream) {}, 2, fakes.Answered, work},
		"over capacity": {func(*fakes.Upstream) {}, 4, fakes.Answered, 2 * work},
		"cold":          {func(u *fakes.Upstream) { u.StartCold(0.5, time.Hour) }, 2, fakes.Answered, 2 * work},
		"slowdown ends": {func(u *fakes.Upstream) { u.SlowDown(5, 25*time.Millisecond) }, 1, fakes.Answered, 30 * time.Millisecond},
		"fail fast":     {func(u *fakes.Upstream) { u.FailFast(time.Millisecond) }, 9, fakes.Errored, time.Millisecond},
		"shed":          {func(u *fakes.Upstream) { u.SetShedding(true) }, 1, fakes.Shed, time.Nanosecond},
		"silent":        {func(u *fakes.Upstream) { u.DropResponses(1) }, 1, 0, 0},
	} {
		e := fakes.NewEvents(start)
		u := fakes.NewUpstream(fakes.UpstreamOptions{Slots: 2, Events: e})
		c.fault(u)
		latency := time.Duration(0)
		for range c.serve {
			u.ServeFor(work, func(r fakes.Reply) {
				assert.Equal(t, r, c.reply, name)
				latency = max(e.Now().Sub(start), time.Nanosecond)
			})
		}
		e.Run(start.Add(time.Second))
		deviation := (latency - c.latency).Abs()
		assert.Assert(t, deviation < time.Millisecond/2, "%s: latency %v, want %v", name, latency, c.latency)
	}
}

// Guards against a restart after which running requests never end, and against
// runs with the same seed that differ.
func TestUpstreamRestartAndSeed(t *testing.T) {
	run := func() (broken int, ends []time.Duration) {
		e := fakes.NewEvents(start)
		u := fakes.NewUpstream(fakes.UpstreamOptions{
			Slots: 4, Events: e, Seed: 7, Service: fakes.Exponential(10 * time.Millisecond),
		})
		for range 20 {
			u.Serve(func(r fakes.Reply) {
				ends = append(ends, e.Now().Sub(start))
				if r == fakes.Broken {
					broken++
				}
			})
		}
		e.After(20*time.Millisecond, func() { u.Restart(0.1, time.Second) })
		e.Run(start.Add(time.Minute))
		return broken, ends
	}
	broken, ends := run()
	again, same := run()
	assert.Assert(t, broken > 0 && broken < 20 && len(ends) == 20, "%d broken, %d ended", broken, len(ends))
	assert.Equal(t, broken, again)
	assert.DeepEqual(t, ends, same)
}
