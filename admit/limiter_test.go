package admit_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

const meanServiceTime = 10 * time.Millisecond

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func id(n int) ident.Request { return ident.NewRequest(0, uint64(n)) }

func request(n int, left time.Duration, now time.Time) admit.Request {
	return admit.Request{ID: id(n), Deadline: now.Add(left), MayQueue: true}
}

func Example() {
	l := admit.New(admit.Options{
		Slots: 1, ServiceTime: meanServiceTime,
		Start: func(t admit.Request, _ time.Time) { fmt.Println("start", t.ID.Low64()) },
	})
	fmt.Println(l.Offer(request(1, time.Second, startTime), startTime).Verdict == admit.Run)
	fmt.Println(l.Offer(request(2, time.Second, startTime), startTime).Verdict == admit.Queue)
	fmt.Println(l.Offer(request(3, 15*time.Millisecond, startTime), startTime).Reason)
	l.Finish(id(1), admit.Done, startTime.Add(meanServiceTime))
	// Output:
	// true
	// true
	// late
	// start 2
}

// model tracks the requests of a Limiter and checks the invariants of the
// package comment.
type model struct {
	running, queued map[ident.Request]admit.Request
	slots           int
	draining        bool
}

func (m *model) start(t *rapid.T, k admit.Request, now time.Time) {
	_, waited := m.queued[k.ID]
	assert.Assert(t, waited, "started without waiting")
	assert.Assert(t, !now.After(k.Deadline), "started after its deadline")
	for _, o := range m.queued {
		assert.Assert(t, !o.Deadline.Before(k.Deadline), "a later deadline started first")
	}
	delete(m.queued, k.ID)
	m.run(t, k)
}

func (m *model) run(t *rapid.T, k admit.Request) {
	m.running[k.ID] = k
	assert.Assert(t, len(m.running) <= m.slots, "%d run in %d slots", len(m.running), m.slots)
	assert.Assert(t, !m.draining, "started while draining")
}

// Guards over random interleavings against more running requests than slots, a
// queued request that is started and expired or neither, a start after the
// deadline or out of order, and a slot that stays free while a request waits.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{running: map[ident.Request]admit.Request{}, queued: map[ident.Request]admit.Request{}}
		m.slots = rapid.IntRange(0, 5).Draw(t, "slots")
		now, n := startTime, 0
		l := admit.New(admit.Options{
			Slots: ident.Slots(m.slots), MaxQueued: 4, Warm: rapid.Bool().Draw(t, "warm"),
			Start: func(k admit.Request, at time.Time) { m.start(t, k, at) },
			Expire: func(k admit.Request, r admit.Reason, _ time.Time) {
				_, waited := m.queued[k.ID]
				assert.Assert(t, waited && r != admit.None)
				delete(m.queued, k.ID)
			},
		})
		pick := func(requests map[ident.Request]admit.Request) (ident.Request, bool) {
			if len(requests) == 0 {
				return ident.Request{}, false
			}
			byLow := func(a, b ident.Request) int { return cmp.Compare(a.Low64(), b.Low64()) }
			return rapid.SampledFrom(slices.SortedFunc(maps.Keys(requests), byLow)).Draw(t, "request"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				n++
				k := request(n, time.Duration(rapid.IntRange(-5, 300).Draw(t, "left"))*time.Millisecond, now)
				k.MayQueue = rapid.Bool().Draw(t, "last")
				d := l.Offer(k, now)
				switch d.Verdict {
				case admit.Run:
					assert.Assert(t, k.Deadline.After(now), "ran after its deadline")
					m.run(t, k)
				case admit.Queue:
					assert.Assert(t, k.MayQueue && !m.draining)
					m.queued[k.ID] = k
				default:
					assert.Assert(t, d.Reason != admit.None)
				}
			},
			"finish": func(t *rapid.T) {
				if k, ok := pick(m.running); ok {
					delete(m.running, k)
					l.Finish(k, admit.Result(rapid.IntRange(0, 3).Draw(t, "result")), now)
				}
			},
			"cancel": func(t *rapid.T) {
				if k, ok := pick(m.queued); ok {
					assert.Assert(t, l.Cancel(k, now))
					delete(m.queued, k)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "tick") {
					l.Tick(now)
				}
			},
			"slots": func(t *rapid.T) {
				m.slots = rapid.IntRange(0, 5).Draw(t, "slots")
				l.SetSlots(ident.Slots(m.slots), ident.Start(rapid.IntRange(0, 2).Draw(t, "start")), now)
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					m.draining = true
					l.Drain(now)
					assert.Equal(t, len(m.queued), 0)
				}
			},
			"": func(t *rapid.T) {
				h := l.Load()
				assert.Equal(t, int(h.Inflight), len(m.running))
				assert.Equal(t, int(h.Queued), len(m.queued))
				assert.Equal(t, l.Idle(), len(m.running) == 0)
				assert.Assert(t, int(h.Limit) <= m.slots)
				assert.Assert(t, len(m.queued) == 0 || h.Inflight >= h.Limit, "free slot although requests are queued")
			},
		})
	})
}

// Guards against a queue that starts a later deadline first, and against a
// drain that neither starts nor expires the queued requests.
func TestQueueOrderAndDrain(t *testing.T) {
	var outcomes []string
	l := admit.New(admit.Options{
		Slots: 1, ServiceTime: meanServiceTime,
		Start: func(k admit.Request, _ time.Time) { outcomes = append(outcomes, fmt.Sprint("start ", k.ID.Low64())) },
		Expire: func(k admit.Request, r admit.Reason, _ time.Time) {
			outcomes = append(outcomes, fmt.Sprint(r, " ", k.ID.Low64()))
		},
	})
	for n, left := range []time.Duration{1, 9, 5, 5, 8} {
		l.Offer(request(n, left*time.Second, startTime), startTime)
	}
	l.Finish(id(0), admit.Done, startTime)
	l.Finish(id(2), admit.Done, startTime)
	l.Drain(startTime)
	assert.DeepEqual(t, outcomes, []string{"start 2", "start 3", "draining 4", "draining 1"})
	assert.Equal(t, l.Offer(request(9, time.Second, startTime), startTime).Reason, admit.Draining)
}

// simulation offers requests to one limiter in front of one fake upstream.
type simulation struct {
	events       *fakes.Events
	upstream     *fakes.Upstream
	limiter      *admit.Limiter
	random       *rand.Rand
	next         int
	rate         float64 // offers per mean service time
	mayQueue     bool
	expiredCount int // expired queued requests
}

func newSimulation(seed uint64, rate float64, warm bool) *simulation {
	e := fakes.NewEvents(startTime)
	s := &simulation{
		events: e, rate: rate, random: rand.New(rand.NewPCG(seed, 9)),
		upstream: fakes.NewUpstream(fakes.UpstreamOptions{
			Slots: 10, Service: fakes.Exponential(meanServiceTime), Seed: seed, Events: e,
		}),
	}
	s.limiter = admit.New(admit.Options{
		Slots: 10, ServiceTime: meanServiceTime, Warm: warm,
		Start:  func(k admit.Request, _ time.Time) { s.serve(k) },
		Expire: func(admit.Request, admit.Reason, time.Time) { s.expiredCount++ },
	})
	s.arrive()
	return s
}

func (s *simulation) arrive() {
	s.next++
	k := request(s.next, time.Minute, s.events.Now())
	k.MayQueue = s.mayQueue
	if s.limiter.Offer(k, s.events.Now()).Verdict == admit.Run {
		s.serve(k)
	}
	s.events.After(time.Duration(s.random.ExpFloat64()/s.rate*float64(meanServiceTime)), s.arrive)
}

func (s *simulation) serve(k admit.Request) {
	s.upstream.Serve(func(r fakes.Reply) {
		results := [...]admit.Result{admit.Done, admit.Failed, admit.Shed, admit.Broken}
		s.limiter.Finish(k.ID, results[r], s.events.Now())
	})
}

// runUntil runs in steps of 1 ms until the condition holds or the timeout has
// passed, and returns the elapsed time.
func (s *simulation) runUntil(timeout time.Duration, condition func(limit int32) bool) time.Duration {
	startedAt := s.events.Now()
	for s.events.Now().Sub(startedAt) < timeout && !condition(s.limiter.Load().Limit) {
		s.events.Run(s.events.Now().Add(time.Millisecond))
	}
	return s.events.Now().Sub(startedAt)
}

// Guards against a cold start that takes too long or overloads the upstream:
// under full load, the time to the full limit must be at most twice the
// upstream's own ramp, and the limit may exceed the capacity by no more than the
// one request that probes for more, on average.
func TestColdStartLimitFollowsCapacity(t *testing.T) {
	for _, ramp := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		for seed := range uint64(20) {
			s := newSimulation(seed, 20, false)
			s.upstream.StartCold(0.1, ramp)
			excess, steps := 0.0, 0
			elapsed := s.runUntil(3*ramp, func(limit int32) bool {
				excess += float64(limit) - s.upstream.Capacity()
				steps++
				return limit == 10
			})
			assert.Assert(t, elapsed <= 2*ramp, "ramp %v seed %d took %v", ramp, seed, elapsed)
			assert.Assert(t, excess <= float64(steps), "ramp %v seed %d: mean excess %.2f", ramp, seed, excess/float64(steps))
			t.Logf("ramp %v seed %d: full after %v, mean excess %.2f", ramp, seed, elapsed, excess/float64(steps))
		}
	}
}

// Guards against an unannounced cold start that keeps the full limit: a latency
// jump at low load, connection errors and a new process identity must each
// restart the limit.
func TestUnannouncedColdStartRestartsLimit(t *testing.T) {
	for name, coldStart := range map[string]func(*simulation){
		"latency jump": func(s *simulation) { s.upstream.SlowDown(8, time.Minute) },
		"broken":       func(s *simulation) { s.upstream.Restart(1, 0) },
		"new start":    func(s *simulation) { s.limiter.SetSlots(10, 2, s.events.Now()) },
	} {
		for seed := range uint64(20) {
			s := newSimulation(seed, 4, true)
			s.limiter.SetSlots(10, 1, startTime)
			s.events.Run(startTime.Add(time.Second))
			assert.Equal(t, s.limiter.Load().Limit, int32(10))
			coldStart(s)
			elapsed := s.runUntil(time.Second, func(limit int32) bool { return limit < 10 })
			assert.Assert(t, elapsed <= 10*meanServiceTime, "%s, seed %d: %v", name, seed, elapsed)
			assert.Equal(t, s.limiter.Load().Limit, int32(1), "%s, seed %d", name, seed)
		}
	}
}

// Guards against a slow spell that isn't reported to entries or that keeps the
// queue, against a short stall that cuts the limit, against a lasting slowness
// at high load that keeps the full limit, and against a recovery that takes
// longer than a cold start in the same run.
func TestSlowSpellCutsLimitAndRecovers(t *testing.T) {
	const seeds, brief, lasting = 50, 200 * time.Millisecond, 2 * time.Second
	atFullLimit := func(limit int32) bool { return limit == 10 }
	recoveryTime, coldStartTime := time.Duration(0), time.Duration(0)
	for seed := range uint64(seeds) {
		s := newSimulation(seed, 15, true)
		s.mayQueue = true
		s.events.Run(startTime.Add(time.Second))
		s.upstream.SlowDown(5, brief)
		expiredBefore := s.expiredCount
		s.runUntil(6*meanServiceTime, func(int32) bool { return s.limiter.Load().ServiceTime >= 4*meanServiceTime })
		assert.Assert(t, s.limiter.Load().ServiceTime >= 4*meanServiceTime, "seed %d: %v", seed, s.limiter.Load())
		assert.Assert(t, s.expiredCount > expiredBefore, "seed %d: the queued requests weren't expired for a slow worker", seed)
		elapsed := s.runUntil(brief, func(limit int32) bool { return limit < 10 })
		assert.Equal(t, elapsed, brief, "seed %d: a short stall cut the limit", seed)
		s.events.Run(startTime.Add(4 * time.Second))
		s.upstream.SlowDown(5, lasting)
		elapsed = s.runUntil(lasting, func(limit int32) bool { return limit <= 3 })
		assert.Assert(t, elapsed <= lasting/2, "seed %d: a lasting slowness kept the limit for %v", seed, elapsed)
		s.events.Run(startTime.Add(4*time.Second + lasting))
		recoveryTime += s.runUntil(lasting, atFullLimit)
		s.limiter.RestartLimit(s.events.Now())
		coldStartTime += s.runUntil(lasting, atFullLimit)
	}
	assert.Assert(t, recoveryTime <= coldStartTime, "back after %v, cold start %v", recoveryTime/seeds, coldStartTime/seeds)
}

// Guards against an unannounced cold start at high load after which the limit
// returns to all slots after each cut, although half of them is too much.
func TestColdStartAtHighLoadCutsLimitFurther(t *testing.T) {
	const seeds, cold, steps = 20, 4 * time.Second, 4000
	sum := 0.0
	for seed := range uint64(seeds) {
		s := newSimulation(seed, 15, true)
		s.events.Run(startTime.Add(2 * time.Second))
		s.upstream.StartCold(0.3, time.Hour)
		for range steps {
			s.events.Run(s.events.Now().Add(cold / steps))
			sum += float64(s.limiter.Load().Limit)
		}
	}
	assert.Assert(t, sum/seeds/steps <= 6, "capacity 3, mean limit %.1f of 10", sum/seeds/steps)
}

// Guards against capacity lost to false alarms in normal operation.
func TestSteadyLoadKeepsLimit(t *testing.T) {
	lostSlots, totalSlots := 0, 0
	for seed := range uint64(10) {
		s := newSimulation(seed, 9, true)
		for range 20_000 {
			s.events.Run(s.events.Now().Add(time.Millisecond))
			lostSlots += 10 - int(s.limiter.Load().Limit)
			totalSlots += 10
		}
	}
	t.Logf("%d of %d slots lost", lostSlots, totalSlots)
	assert.Assert(t, float64(lostSlots) <= 0.01*float64(totalSlots), "%d of %d slots lost", lostSlots, totalSlots)
}

// Guards against requests beyond the number that an overloaded upstream accepts.
func TestShedLowersLimit(t *testing.T) {
	s := newSimulation(1, 20, true)
	s.events.Run(startTime.Add(time.Second))
	s.upstream.SetShedding(true)
	assert.Assert(t, s.runUntil(time.Second, func(limit int32) bool { return limit == 1 }) <= 5*meanServiceTime)
	s.upstream.SetShedding(false)
	assert.Assert(t, s.runUntil(time.Minute, func(limit int32) bool { return limit == 10 }) <= time.Second)
}

func benchmarkAdmit(b *testing.B, slots int) {
	l := admit.New(admit.Options{Slots: ident.Slots(slots), ServiceTime: meanServiceTime, Warm: true})
	b.ReportAllocs()
	now, n := startTime, 0
	for b.Loop() {
		n++
		now = now.Add(meanServiceTime / time.Duration(slots))
		k := request(n, time.Second, now)
		k.MayQueue = false
		l.Offer(k, now)
		l.Finish(id(n-slots+1), admit.Done, now)
	}
}

// The limits are 2 microseconds and 0 allocations per operation.
func BenchmarkAdmit10Slots(b *testing.B) { benchmarkAdmit(b, 10) }

func BenchmarkAdmit1100Slots(b *testing.B) { benchmarkAdmit(b, 1100) }

// Guards against an allocation per request on the hot path.
func TestImmediatePathDoesNotAllocate(t *testing.T) {
	l := admit.New(admit.Options{Slots: 10, ServiceTime: meanServiceTime, Warm: true})
	now, n := startTime, 0
	allocs := testing.AllocsPerRun(10_000, func() {
		n++
		now = now.Add(time.Millisecond)
		l.Offer(request(n, time.Second, now), now)
		l.Finish(id(n-8), admit.Done, now)
	})
	assert.Equal(t, allocs, 0.0)
}
