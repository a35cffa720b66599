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

func ExampleShortMove() {
	now := time.Unix(0, 0)
	b := move.NewShortMove(move.ShortMoveOptions{Node: "n", Start: 1, Length: 16 * time.Second, Share: 0.1, ExtraRequests: 50}, now)
	for range 6 {
		b.RecordSent("book", true)
		b.RecordEnd("book", true, true, 0, now)
		b.RecordEnd("book", false, false, 100*time.Millisecond, now)
	}
	fmt.Println(b.Fault(), b.OutcomeToWrite(now), b.Share(now))
	// Output: failures reverted 0
}

// briefSim simulates a service during a short move: exits of both versions, one
// ShortMove each, and requests at a fixed rate.
type briefSim struct {
	random    *rand.Rand
	exits     []*move.ShortMove
	baselines int // exits of the old version come first
	now       time.Time
	// fails reports whether the new version fails a request; workFactor
	// multiplies its work time.
	fails      func(route int, age time.Duration, running int) bool
	workFactor float64
	// commonFailureRate is the failure rate of both versions.
	commonFailureRate float64
	// pending holds the answers in flight, in the order of their requests.
	pending        []answer
	canaryRequests int
	total          int
}

// answer is a request that ends at an exit at a given time.
type answer struct {
	at       time.Time
	exit     *move.ShortMove
	route    ident.Route
	isCanary bool
	failed   bool
	work     time.Duration
}

// answerTime is the time until an answer, which includes queueing at exits and
// slow instances.
const answerTime = time.Second

func allNodes(ident.Node, ident.Start) bool { return true }

const briefLength = 16 * time.Second

var briefStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newBriefSim(seed uint64, baselines, canaries int) *briefSim {
	s := &briefSim{random: rand.New(rand.NewPCG(seed, 3)), baselines: baselines, now: briefStart, workFactor: 1}
	for i := range baselines + canaries {
		o := move.ShortMoveOptions{Node: ident.Node(fmt.Sprint(i)), Start: 1, Length: briefLength, Share: 0.1, ExtraRequests: 50}
		s.exits = append(s.exits, move.NewShortMove(o, s.now))
	}
	s.fails = func(int, time.Duration, int) bool { return false }
	return s
}

// run simulates the move at a rate of requests a second and returns its outcome.
func (s *briefSim) run(t *testing.T, rate int) move.Outcome {
	step := time.Second / time.Duration(rate)
	recentCanary := 0
	for tick := 0; s.now.Sub(briefStart) < briefLength; tick++ {
		s.now = s.now.Add(step)
		s.deliver()
		recentCanary = s.placeRequest(recentCanary)
		if tick%max(1, rate/5) == 0 {
			s.exchangeCounters(t)
			recentCanary = 0
		}
		for _, e := range s.exits {
			if v := e.OutcomeToWrite(s.now); v != move.Open {
				for _, x := range s.exits {
					x.SetOutcome(v)
				}
				return v
			}
		}
	}
	return move.Open
}

// deliver ends the requests whose answers are due.
func (s *briefSim) deliver() {
	for len(s.pending) > 0 && !s.pending[0].at.After(s.now) {
		a := s.pending[0]
		a.exit.RecordEnd(a.route, a.isCanary, a.failed, a.work, s.now)
		s.pending = s.pending[1:]
	}
}

func (s *briefSim) send(e *move.ShortMove, a answer) {
	a.exit, a.at = e, s.now.Add(answerTime)
	e.RecordSent(a.route, a.isCanary)
	s.pending = append(s.pending, a)
}

// placeRequest routes one request as an entry does: to the new version according
// to the share, and to the old one if the exit refuses it. It returns the number
// of recent requests on the new version.
func (s *briefSim) placeRequest(recentCanary int) int {
	s.total++
	route := s.random.IntN(2)
	name := ident.Route(fmt.Sprint(route))
	work := time.Duration(100+s.random.IntN(100)) * time.Millisecond
	if s.random.Float64() < s.exits[0].Share(s.now) {
		e := s.exits[s.baselines+s.random.IntN(len(s.exits)-s.baselines)]
		if e.CanAdmit(len(s.exits)-s.baselines, s.now) {
			s.canaryRequests++
			failed := s.random.Float64() < s.commonFailureRate || s.fails(route, s.now.Sub(briefStart), recentCanary)
			s.send(e, answer{route: name, isCanary: true, failed: failed, work: time.Duration(s.workFactor * float64(work))})
			return recentCanary + 1
		}
	}
	e := s.exits[s.random.IntN(s.baselines)]
	s.send(e, answer{route: name, failed: s.random.Float64() < s.commonFailureRate, work: work})
	return recentCanary
}

// exchangeCounters lets every exit exchange its counters with a random one.
func (s *briefSim) exchangeCounters(t *testing.T) {
	for _, a := range s.exits {
		b := s.exits[s.random.IntN(len(s.exits))]
		a.EachRow(0, allNodes, func(n ident.Node, st ident.Start, c []byte) { assert.NilError(t, b.Merge(n, st, c)) })
		b.EachRow(0, allNodes, func(n ident.Node, st ident.Start, c []byte) { assert.NilError(t, a.Merge(n, st, c)) })
		a.Evaluate()
		b.Evaluate()
		if a.Fault() != "" {
			b.SetFault(a.Fault())
		}
		if b.Fault() != "" {
			a.SetFault(b.Fault())
		}
	}
}

// Guards against a good version that is rolled back by chance or because both
// versions fail, or that isn't done before its deadline. At least 9 of 10 must
// be done.
func TestBriefFinishesGoodVersions(t *testing.T) {
	for _, common := range []float64{0, 0.05, 0.3} {
		done := 0
		for seed := range uint64(20) {
			s := newBriefSim(seed, 4, 4)
			s.commonFailureRate = common
			if s.run(t, 40) == move.Done {
				done++
			}
		}
		assert.Assert(t, done >= 18, "%d of 20 good versions done at a common failure rate of %v", done, common)
	}
}

// Guards against a bad version that becomes done, or that gets more requests
// than the bound before its fault is detected, for each kind of fault.
func TestBriefStopsBadVersions(t *testing.T) {
	failHalf := func(r *rand.Rand) bool { return r.Float64() < 0.5 }
	kinds := map[string]func(s *briefSim){
		"errors": func(s *briefSim) { s.fails = func(int, time.Duration, int) bool { return failHalf(s.random) } },
		"one route": func(s *briefSim) {
			s.fails = func(r int, _ time.Duration, _ int) bool { return r == 1 && failHalf(s.random) }
		},
		"late": func(s *briefSim) {
			s.fails = func(_ int, age time.Duration, _ int) bool { return age > 3400*time.Millisecond && failHalf(s.random) }
		},
		"after the load test": func(s *briefSim) {
			s.fails = func(_ int, age time.Duration, _ int) bool { return age > 10*time.Second && failHalf(s.random) }
		},
		"under load": func(s *briefSim) {
			s.fails = func(_ int, _ time.Duration, n int) bool { return n >= 3 && failHalf(s.random) }
		},
		"slow": func(s *briefSim) { s.workFactor = 4.5 },
		"among failures": func(s *briefSim) {
			s.commonFailureRate = 0.2
			s.fails = func(int, time.Duration, int) bool { return failHalf(s.random) }
		},
		"slow among failures": func(s *briefSim) { s.commonFailureRate = 0.2; s.workFactor = 4.5 },
	}
	for name, set := range kinds {
		t.Run(name, func(t *testing.T) {
			for _, rate := range []int{30, 90, 290} {
				for seed := range uint64(3) {
					s := newBriefSim(seed, 4, 4)
					set(s)
					assert.Equal(t, s.run(t, rate), move.Reverted, "rate %d seed %d", rate, seed)
					expected := float64(rate) * briefLength.Seconds()
					assert.Assert(t, float64(s.canaryRequests) <= 50+0.1*expected, "%d requests, rate %d seed %d", s.canaryRequests, rate, seed)
				}
			}
		})
	}
}

// Guards against a version that is done while its exits still refuse requests,
// because the old upstreams stop at once then. Until shortly before, the bound
// must hold.
func TestBriefTakesAllBeforeDone(t *testing.T) {
	o := move.ShortMoveOptions{Node: "n", Start: 1, Length: briefLength, Share: 0.1, ExtraRequests: 50}
	b := move.NewShortMove(o, briefStart)
	for range 60 {
		b.RecordSent("book", true)
		b.RecordEnd("book", true, false, 100*time.Millisecond, briefStart.Add(briefLength/2))
	}
	done := briefStart
	for b.OutcomeToWrite(done) == move.Open {
		done = done.Add(10 * time.Millisecond)
	}
	assert.Equal(t, b.OutcomeToWrite(done), move.Done)
	assert.Assert(t, b.CanAdmit(1, done.Add(-100*time.Millisecond)))
	assert.Assert(t, !b.CanAdmit(1, done.Add(-time.Second)))
}

// Guards against counters whose state depends on the order of merges.
func TestBriefMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := move.ShortMoveOptions{Node: "a", Start: 1, Length: briefLength, Share: 0.1, ExtraRequests: 50}
		source := move.NewShortMove(o, briefStart)
		var copies [][]byte
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			source.RecordSent("r", rapid.Bool().Draw(t, "fresh"))
			source.EachRow(0, allNodes, func(_ ident.Node, _ ident.Start, c []byte) { copies = append(copies, c) })
		}
		last := copies[len(copies)-1]
		shuffled := rapid.Permutation(copies).Draw(t, "order")
		o.Node = "b"
		merged := move.NewShortMove(o, briefStart)
		for _, c := range shuffled {
			assert.NilError(t, merged.Merge("a", 1, c))
		}
		merged.EachRow(0, allNodes, func(n ident.Node, _ ident.Start, c []byte) {
			if n == "a" {
				assert.Equal(t, string(c), string(last))
			}
		})
	})
}
