// Package canary runs seeded version moves in virtual time and counts what the
// callers of a service see. It compares the Mover with a baseline that judges
// by a fixed error rate over a sliding window. It is used by tests only.
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
	// workers serve each version; a noisy neighbour slows one of them.
	workers = 4
	// baseErrors is the error rate of a healthy version.
	baseErrors = 0.002
	// baseLatency and latencySpread are the median and the logarithmic
	// standard deviation of a healthy version's latencies.
	baseLatency   = 10 * time.Millisecond
	latencySpread = 0.5
	// noiseEvery, noiseFor and noiseFactor describe the noisy neighbour of the
	// project's targets: one worker 5x slower for 200 ms at random.
	noiseEvery  = 2 * time.Second
	noiseFor    = 200 * time.Millisecond
	noiseFactor = 5
	// targetShare is at most the share that a move has before its outcome. A
	// late fault comes within lateDelay seconds of it.
	targetShare = 0.5
	lateDelay   = 20
)

// routes have a third of the requests each and differ in latency.
var routes = []ident.Route{"lessons", "rooms", "users"}

// Kind is a kind of move.
type Kind string

// Kinds of good moves and of bad versions.
const (
	Good     Kind = "good"
	GoodBoth Kind = "good, both sick for a while"
	GoodOld  Kind = "good, old version sick for a while"
	Fail     Kind = "failing at once"
	Slow     Kind = "slow at once"
	LateFail Kind = "failing late, at the target share"
	LateSlow Kind = "slow late, at the target share"
	Middle   Kind = "failing late, at a smaller share"
	Load     Kind = "failing under load only"
	Route    Kind = "failing on one route"
	Sick     Kind = "failing, old version sick, too"
)

// IsGood reports whether the new version of a kind is good.
func (k Kind) IsGood() bool {
	return k == Good || k == GoodBoth || k == GoodOld
}

// IsLate reports whether the fault comes at a share at which P4's 2 s hold.
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

// world draws requests and their results. Both contenders get the same world
// for the same seed.
type world struct {
	Setup
	rand  *rand.Rand
	begin time.Time
	// fault and its parameters, drawn from the seed.
	faultAt time.Duration
	failure float64
	factor  float64
	// limit is the share from which on a fault is active, or from which on the
	// delay of a late fault runs.
	limit float64
	delay time.Duration
	shown bool
	// sickFrom and sickTo bound a sickness of the old or of both versions.
	sickFrom, sickTo time.Duration
	sickErrors       float64
	sickFactor       float64
	noisy            int
	noisyFrom        time.Duration
}

func newWorld(s Setup) *world {
	w := &world{Setup: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), begin: time.Unix(1_800_000_000, 0)}
	w.factor = 0.9 + 0.2*w.rand.Float64()
	length := float64(s.Length)
	w.sickFrom = time.Duration(length * (0.1 + 0.5*w.rand.Float64()))
	w.sickTo = w.sickFrom + time.Duration(2+18*w.rand.Float64())*time.Second
	w.sickErrors, w.sickFactor = 0.3+0.7*w.rand.Float64(), 1
	if w.rand.IntN(2) == 0 {
		w.sickErrors, w.sickFactor = baseErrors, 4
	}
	w.drawFault()
	return w
}

func (w *world) drawFault() {
	u := w.rand.Float64()
	switch w.Kind {
	case Fail, Route:
		w.failure = 0.2 + 0.8*u
	case Slow:
		w.factor = 2 + 3*u
	case LateFail, Middle:
		w.failure = 0.7 + 0.3*u
	case LateSlow:
		w.factor = 5 + 3*u
	case Load:
		w.failure = 0.7 + 0.3*u
		w.limit = 0.08 + 0.5*w.rand.Float64()
	case Sick:
		w.failure = 0.8 + 0.2*u
		w.sickFrom, w.sickTo, w.sickErrors, w.sickFactor = 0, w.Length/4, 0.3, 1
	}
	switch w.Kind {
	case LateFail, LateSlow:
		w.limit = targetShare
		w.delay = time.Duration(lateDelay * w.rand.Float64() * float64(time.Second))
	case Middle:
		// The second stage begins at a fifth of the move, the last at two.
		w.faultAt = time.Duration(float64(w.Length) * (0.25 + 0.15*w.rand.Float64()))
	}
}

// active reports whether the new version's fault is active, given the share
// of requests that it gets.
func (w *world) active(at time.Duration, share float64) bool {
	if w.Kind == Load {
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

// request is the result of one request.
type request struct {
	sample move.Sample
	end    time.Duration
}

// serve draws the result of one request at a time.
func (w *world) serve(at time.Duration, v ident.Version, share float64) request {
	r := w.rand.IntN(len(routes))
	errs, factor := baseErrors, 1.0
	if at >= w.sickFrom && at < w.sickTo {
		if both := w.Kind == GoodBoth; both || (v == oldVersion && (w.Kind == GoodOld || w.Kind == Sick)) {
			errs, factor = w.sickErrors, w.sickFactor
		}
	}
	if v == newVersion {
		bad := w.active(at, share) && (w.Kind != Route || r == 0)
		if bad {
			errs = max(errs, w.failure)
			w.shown = true
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

// noise returns the slowdown of the worker that a request goes to.
func (w *world) noise(at time.Duration, v ident.Version) float64 {
	if at >= w.noisyFrom+noiseFor {
		w.noisyFrom = at + time.Duration(w.rand.ExpFloat64()*float64(noiseEvery))
		w.noisy = w.rand.IntN(2 * workers)
	}
	worker := w.rand.IntN(workers)
	if v == newVersion {
		worker += workers
	}
	if at >= w.noisyFrom && worker == w.noisy {
		return noiseFactor
	}
	return 1
}
