package move_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/move"
)

func ExampleBrief() {
	now := time.Unix(0, 0)
	b := move.NewBrief(move.BriefOptions{Node: "n", Start: 1, Length: 16 * time.Second, Share: 0.1, Slack: 50}, now)
	for range 6 {
		b.Sent("book", true)
		b.Ended("book", true, true, 0, now)
		b.Ended("book", false, false, 100*time.Millisecond, now)
	}
	fmt.Println(b.Fault(), b.Verdict(now), b.Share(now))
	// Output: failures reverted 0
}

// service is a fake service in the middle of a move: exits of both versions,
// one Brief each, and requests at a rate.
type service struct {
	random *rand.Rand
	exits  []*move.Brief
	old    int // exits of the old version come first
	now    time.Time
	// fails tells whether the new version fails a request, slow its factor.
	fails func(route int, age time.Duration, running int) bool
	slow  float64
	// common is the failure rate of both versions.
	common float64
	// pending are the answers that haven't come yet, in order of their start.
	pending []answer
	bad     int
	total   int
}

// answer is the end of a request at an exit.
type answer struct {
	at    time.Time
	exit  *move.Brief
	route ident.Route
	fresh bool
	bad   bool
	work  time.Duration
}

// answerTime is the time until an answer: requests wait at their exits, and
// their instances are slow at times.
const answerTime = time.Second

func everyone(ident.Node, ident.Start) bool { return true }

const briefLength = 16 * time.Second

var briefStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newService(seed uint64, old, fresh int) *service {
	s := &service{random: rand.New(rand.NewPCG(seed, 3)), old: old, now: briefStart, slow: 1}
	for i := range old + fresh {
		o := move.BriefOptions{Node: ident.Node(fmt.Sprint(i)), Start: 1, Length: briefLength, Share: 0.1, Slack: 50}
		s.exits = append(s.exits, move.NewBrief(o, s.now))
	}
	s.fails = func(int, time.Duration, int) bool { return false }
	return s
}

// play runs the move at a rate of requests a second and returns its outcome.
func (s *service) play(t *testing.T, rate int) move.Outcome {
	step := time.Second / time.Duration(rate)
	recent := 0
	for tick := 0; s.now.Sub(briefStart) < briefLength; tick++ {
		s.now = s.now.Add(step)
		s.deliver()
		recent = s.request(recent)
		if tick%max(1, rate/5) == 0 {
			s.trade(t)
			recent = 0
		}
		for _, e := range s.exits {
			if v := e.Verdict(s.now); v != move.Open {
				for _, x := range s.exits {
					x.Learn(v)
				}
				return v
			}
		}
	}
	return move.Open
}

// deliver ends the requests whose answers have come by now.
func (s *service) deliver() {
	for len(s.pending) > 0 && !s.pending[0].at.After(s.now) {
		a := s.pending[0]
		a.exit.Ended(a.route, a.fresh, a.bad, a.work, s.now)
		s.pending = s.pending[1:]
	}
}

func (s *service) send(e *move.Brief, a answer) {
	a.exit, a.at = e, s.now.Add(answerTime)
	e.Sent(a.route, a.fresh)
	s.pending = append(s.pending, a)
}

// request places one request as an entry does: on the new version by the
// share, and on the old one if the exit refuses.
func (s *service) request(recent int) int {
	s.total++
	route := s.random.IntN(2)
	name := ident.Route(fmt.Sprint(route))
	work := time.Duration(100+s.random.IntN(100)) * time.Millisecond
	if s.random.Float64() < s.exits[0].Share(s.now) {
		e := s.exits[s.old+s.random.IntN(len(s.exits)-s.old)]
		if e.Admits(len(s.exits)-s.old, s.now) {
			s.bad++
			failed := s.random.Float64() < s.common || s.fails(route, s.now.Sub(briefStart), recent)
			s.send(e, answer{route: name, fresh: true, bad: failed, work: time.Duration(s.slow * float64(work))})
			return recent + 1
		}
	}
	e := s.exits[s.random.IntN(s.old)]
	s.send(e, answer{route: name, bad: s.random.Float64() < s.common, work: work})
	return recent
}

// trade lets every exit exchange its counters with a random one.
func (s *service) trade(t *testing.T) {
	for _, a := range s.exits {
		b := s.exits[s.random.IntN(len(s.exits))]
		a.Rows(0, everyone, func(n ident.Node, st ident.Start, c []byte) { assert.NilError(t, b.Merge(n, st, c)) })
		b.Rows(0, everyone, func(n ident.Node, st ident.Start, c []byte) { assert.NilError(t, a.Merge(n, st, c)) })
		a.Judge()
		b.Judge()
		if a.Fault() != "" {
			b.Latch(a.Fault())
		}
		if b.Fault() != "" {
			a.Latch(b.Fault())
		}
	}
}

// Guards against a good version that is rolled back by common failures or by
// chance, or that isn't done before its deadline: at least 9 of 10.
func TestBriefFinishesGoodVersions(t *testing.T) {
	for _, common := range []float64{0, 0.05, 0.3} {
		done := 0
		for seed := range uint64(20) {
			s := newService(seed, 4, 4)
			s.common = common
			if s.play(t, 40) == move.Done {
				done++
			}
		}
		assert.Assert(t, done >= 18, "%d of 20 good versions done at a common failure rate of %v", done, common)
	}
}

// Guards against a bad version that is done, or that gets more requests than
// the bound before it is known, whatever kind its fault is.
func TestBriefStopsBadVersions(t *testing.T) {
	half := func(r *rand.Rand) bool { return r.Float64() < 0.5 }
	kinds := map[string]func(s *service){
		"errors": func(s *service) { s.fails = func(int, time.Duration, int) bool { return half(s.random) } },
		"one route": func(s *service) {
			s.fails = func(r int, _ time.Duration, _ int) bool { return r == 1 && half(s.random) }
		},
		"late": func(s *service) {
			s.fails = func(_ int, age time.Duration, _ int) bool { return age > 3400*time.Millisecond && half(s.random) }
		},
		"after the push": func(s *service) {
			s.fails = func(_ int, age time.Duration, _ int) bool { return age > 10*time.Second && half(s.random) }
		},
		"under load": func(s *service) {
			s.fails = func(_ int, _ time.Duration, n int) bool { return n >= 3 && half(s.random) }
		},
		"slow": func(s *service) { s.slow = 4.5 },
		"among failures": func(s *service) {
			s.common = 0.2
			s.fails = func(int, time.Duration, int) bool { return half(s.random) }
		},
		"slow among fails": func(s *service) { s.common = 0.2; s.slow = 4.5 },
	}
	for name, set := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, rate := range []int{30, 90, 290} {
				for seed := range uint64(3) {
					s := newService(seed, 4, 4)
					set(s)
					assert.Equal(t, s.play(t, rate), move.Reverted, "rate %d seed %d", rate, seed)
					expected := float64(rate) * briefLength.Seconds()
					assert.Assert(t, float64(s.bad) <= 50+0.1*expected, "%d requests, rate %d seed %d", s.bad, rate, seed)
				}
			}
		})
	}
}

// Guards against a version that is done while its exits still refuse requests:
// the old upstreams stop at once then. Before that the bound holds.
func TestBriefTakesAllBeforeDone(t *testing.T) {
	o := move.BriefOptions{Node: "n", Start: 1, Length: briefLength, Share: 0.1, Slack: 50}
	b := move.NewBrief(o, briefStart)
	for range 60 {
		b.Sent("book", true)
		b.Ended("book", true, false, 100*time.Millisecond, briefStart.Add(briefLength/2))
	}
	done := briefStart
	for b.Verdict(done) == move.Open {
		done = done.Add(10 * time.Millisecond)
	}
	assert.Equal(t, b.Verdict(done), move.Done)
	assert.Assert(t, b.Admits(1, done.Add(-100*time.Millisecond)))
	assert.Assert(t, !b.Admits(1, done.Add(-time.Second)))
}

// Guards against counters that depend on the order of merges.
func TestBriefMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := move.BriefOptions{Node: "a", Start: 1, Length: briefLength, Share: 0.1, Slack: 50}
		source := move.NewBrief(o, briefStart)
		var copies [][]byte
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			source.Sent("r", rapid.Bool().Draw(t, "fresh"))
			source.Rows(0, everyone, func(_ ident.Node, _ ident.Start, c []byte) { copies = append(copies, c) })
		}
		last := copies[len(copies)-1]
		shuffled := rapid.Permutation(copies).Draw(t, "order")
		o.Node = "b"
		one := move.NewBrief(o, briefStart)
		for _, c := range shuffled {
			assert.NilError(t, one.Merge("a", 1, c))
		}
		one.Rows(0, everyone, func(n ident.Node, _ ident.Start, c []byte) {
			if n == "a" {
				assert.Equal(t, string(c), string(last))
			}
		})
	})
}
