// Package canary simulates moves from one version of a service to another in
// virtual time and counts the requests that reach a bad version. It compares
// move.Mover with a baseline that reverts at a fixed error rate in a sliding
// window. It also simulates the configuration rollout to a large fleet. Only
// tests use it.
package canary

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/move"
)

const (
	oldVersion ident.Version = "v1"
	newVersion ident.Version = "v2"

	// step is the resolution of virtual time, and the interval of ticks.
	step = 100 * time.Millisecond
	// workers is the number of workers of each version. A noisy neighbour slows one
	// of all workers at a time.
	workers = 4
	// baseErrors is the error rate of a healthy version.
	baseErrors = 0.002
	// baseLatency and latencySpread are the median and the logarithmic
	// standard deviation of a healthy version's latencies.
	baseLatency   = 10 * time.Millisecond
	latencySpread = 0.5
	// A noisy neighbour slows one worker by noiseFactor for noiseDuration. The mean
	// time to the beginning of the next slowdown is noiseInterval.
	noiseInterval = 2 * time.Second
	noiseDuration = 200 * time.Millisecond
	noiseFactor   = 5
	// targetShare is the share of the new version at which a late fault occurs; it
	// is at most the share that a move has before its outcome. The fault begins
	// within lateDelay seconds after the share is reached.
	targetShare = 0.5
	lateDelay   = 20
)

// routes are the routes of the service. Each gets a third of the requests; their
// latencies differ.
var routes = []ident.Route{"lessons", "rooms", "users"}

// Kind is a kind of move.
type Kind string

// Kinds of moves to good and to bad versions.
const (
	Good             Kind = "good"
	GoodBothDegraded Kind = "good, both versions degraded for a while"
	GoodOldDegraded  Kind = "good, old version degraded for a while"
	Fail             Kind = "failing at once"
	Slow             Kind = "slow at once"
	LateFail         Kind = "failing late, at the target share"
	LateSlow         Kind = "slow late, at the target share"
	MidFail          Kind = "failing late, at a smaller share"
	FailUnderLoad    Kind = "failing under load only"
	FailOneRoute     Kind = "failing on one route"
	FailOldDegraded  Kind = "failing, old version degraded, too"
)

// IsGood reports whether the new version of a kind is good.
func (k Kind) IsGood() bool {
	return k == Good || k == GoodBothDegraded || k == GoodOldDegraded
}

// IsLate reports whether the fault occurs at the target share, at which it must
// be stopped within 2 s.
func (k Kind) IsLate() bool {
	return k == LateFail || k == LateSlow
}

// Setup describes one move.
type Setup struct {
	Kind Kind
	Seed uint64
	// Rate is the service's requests per second.
	Rate float64
	// Length is the time from begin to deadline.
	Length time.Duration
}

// world draws requests and their results. Both controllers get the same world
// for the same seed.
type world struct {
	Setup
	rand  *rand.Rand
	begin time.Time
	// faultAt is the time of the fault from the beginning of the move, failure the
	// error rate and factor the slowdown that it causes, drawn from the seed.
	faultAt time.Duration
	failure float64
	factor  float64
	// limit is the share from which on a fault is active, or at which the delay of
	// a late fault begins.
	limit float64
	delay time.Duration
	// faultSeen is set once a request was affected by the fault.
	faultSeen bool
	// From degradedFrom to degradedTo the old or both versions have the error rate
	// degradedErrors and the slowdown degradedFactor.
	degradedFrom, degradedTo time.Duration
	degradedErrors           float64
	degradedFactor           float64
	// noisyWorker is the worker that is slowed from noiseFrom on.
	noisyWorker int
	noiseFrom   time.Duration
}

func newWorld(s Setup) *world {
	w := &world{Setup: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), begin: time.Unix(1_800_000_000, 0)}
	w.factor = 0.9 + 0.2*w.rand.Float64()
	length := float64(s.Length)
	w.degradedFrom = time.Duration(length * (0.1 + 0.5*w.rand.Float64()))
	w.degradedTo = w.degradedFrom + time.Duration(2+18*w.rand.Float64())*time.Second
	w.degradedErrors, w.degradedFactor = 0.3+0.7*w.rand.Float64(), 1
	if w.rand.IntN(2) == 0 {
		w.degradedErrors, w.degradedFactor = baseErrors, 4
	}
	w.drawFault()
	return w
}

// drawFault draws the parameters of the fault of the move's kind.
func (w *world) drawFault() {
	u := w.rand.Float64()
	switch w.Kind {
	case Fail, FailOneRoute:
		w.failure = 0.2 + 0.8*u
	case Slow:
		w.factor = 2 + 3*u
	case LateFail, MidFail:
		w.failure = 0.7 + 0.3*u
	case LateSlow:
		w.factor = 5 + 3*u
	case FailUnderLoad:
		w.failure = 0.7 + 0.3*u
		w.limit = 0.08 + 0.5*w.rand.Float64()
	case FailOldDegraded:
		w.failure = 0.8 + 0.2*u
		w.degradedFrom, w.degradedTo, w.degradedErrors, w.degradedFactor = 0, w.Length/4, 0.3, 1
	}
	switch w.Kind {
	case LateFail, LateSlow:
		w.limit = targetShare
		w.delay = time.Duration(lateDelay * w.rand.Float64() * float64(time.Second))
	case MidFail:
		// The second stage begins after a fifth of the move, the last one after
		// two fifths.
		w.faultAt = time.Duration(float64(w.Length) * (0.25 + 0.15*w.rand.Float64()))
	}
}

// active reports whether the new version's fault is active, given the share
// of requests that it gets.
func (w *world) active(at time.Duration, share float64) bool {
	if w.Kind == FailUnderLoad {
		return share >= w.limit
	}
	if w.Kind.IsLate() {
		if share >= w.limit && w.faultAt == 0 {
			w.faultAt = at + w.delay
		}
		return w.faultAt > 0 && at >= w.faultAt
	}
	return !w.Kind.IsGood() && at >= w.faultAt
}

// request is the result of one request. end is its end from the beginning of
// the move.
type request struct {
	sample move.Sample
	end    time.Duration
}

// serve draws the result of one request at a time.
func (w *world) serve(at time.Duration, v ident.Version, share float64) request {
	r := w.rand.IntN(len(routes))
	errs, factor := baseErrors, 1.0
	if at >= w.degradedFrom && at < w.degradedTo {
		if both := w.Kind == GoodBothDegraded; both || (v == oldVersion && (w.Kind == GoodOldDegraded || w.Kind == FailOldDegraded)) {
			errs, factor = w.degradedErrors, w.degradedFactor
		}
	}
	if v == newVersion {
		bad := w.active(at, share) && (w.Kind != FailOneRoute || r == 0)
		if bad {
			errs = max(errs, w.failure)
			w.faultSeen = true
		}
		if w.Kind != LateSlow || bad {
			factor *= w.factor
		}
	}
	factor *= w.noise(at, v)
	l := float64(baseLatency) * float64(int(1)<<r) * factor * math.Exp(latencySpread*w.rand.NormFloat64())
	s := move.Sample{Route: routes[r], Version: v, Failed: w.rand.Float64() < errs, Latency: time.Duration(l)}
	return request{sample: s, end: at + s.Latency}
}

// noise returns the slowdown by a noisy neighbour for a request, which is served
// by a random worker of its version.
func (w *world) noise(at time.Duration, v ident.Version) float64 {
	if at >= w.noiseFrom+noiseDuration {
		w.noiseFrom = at + time.Duration(w.rand.ExpFloat64()*float64(noiseInterval))
		w.noisyWorker = w.rand.IntN(2 * workers)
	}
	worker := w.rand.IntN(workers)
	if v == newVersion {
		worker += workers
	}
	if at >= w.noiseFrom && worker == w.noisyWorker {
		return noiseFactor
	}
	return 1
}
