package trial

import (
	"math/rand/v2"
	"time"
)

// Scenario is a load and the faults that occur during a run.
type Scenario struct {
	Name string
	// Load is the offered work as a share of the capacity of the workers that
	// the faults of the scenario leave.
	Load float64
	// Lost is the number of workers that are unavailable at a time. If Domain is
	// set, it is all workers of one domain instead.
	Lost   int
	Domain bool
	// Start schedules the faults of a run.
	Start func(*Faults)
}

// load returns the offered work as a share of the capacity of all workers.
func (s Scenario) load(d Deployment) float64 {
	lost := s.Lost
	if s.Domain {
		lost = (d.Workers + d.Domains - 1) / d.Domains
	}
	return s.Load * float64(d.Workers-lost) / float64(d.Workers)
}

const (
	// A noisy neighbour slows a random worker by noiseFactor for noiseDuration,
	// with a mean of noiseInterval between two slowdowns.
	noiseInterval = 2 * time.Second
	noiseDuration = 200 * time.Millisecond
	noiseFactor   = 5
	// coldInterval is the time between cold starts, coldRamp the time until full
	// capacity and coldShare the share of the capacity at the start.
	coldInterval = 5 * time.Second
	coldRamp     = 2 * time.Second
	coldShare    = 0.1
	// failLatency is the time after which a worker that fails fast responds.
	failLatency = time.Millisecond
	// domainRamp is the time in which the weight of a returning domain grows to 1.
	domainRamp = 3 * time.Second
	// faultAt is when a worker begins to fail or a domain becomes unavailable, and
	// backAt is when the domain returns.
	faultAt = 3 * time.Second
	backAt  = 8 * time.Second
)

// Scenarios lists all scenarios in the order of the table.
func Scenarios() []Scenario {
	quiet := func(*Faults) {}
	return []Scenario{
		{Name: "steady 50", Load: 0.50, Start: quiet},
		{Name: "steady 80", Load: 0.80, Start: quiet},
		{Name: "steady 95", Load: 0.95, Start: quiet},
		{Name: "noisy 80", Load: 0.80, Start: (*Faults).noisy},
		{Name: "noisy 95", Load: 0.95, Start: (*Faults).noisy},
		{Name: "cold start", Load: 0.90, Lost: 1, Start: func(f *Faults) { f.cold(true) }},
		{Name: "unannounced cold", Load: 0.90, Lost: 1, Start: func(f *Faults) { f.cold(false) }},
		{Name: "domain out and back", Load: 0.80, Domain: true, Start: (*Faults).domain},
		{Name: "fail fast", Load: 0.80, Lost: 1, Start: (*Faults).failFast},
	}
}

// Faults schedules the faults of one run.
type Faults struct {
	world  *world
	random *rand.Rand
}

// every applies fault to random workers, at exponentially distributed intervals
// with the given mean.
func (f *Faults) every(mean time.Duration, fault func(*worker)) {
	w := f.world
	gap := time.Duration(f.random.ExpFloat64() * float64(mean))
	k := w.workers[f.random.IntN(len(w.workers))]
	w.events.After(gap, func() {
		fault(k)
		f.every(mean, fault)
	})
}

func (f *Faults) noisy() {
	f.every(noiseInterval, func(k *worker) { k.upstream.SlowDown(noiseFactor, noiseDuration) })
}

// cold begins a cold start of a random worker at intervals of coldInterval. The
// interval is fixed, so that only one worker at a time is cold. Running requests
// continue: a planned restart drains the upstream first, and an unannounced
// cold start breaks no connection.
func (f *Faults) cold(announced bool) {
	w := f.world
	k := w.workers[f.random.IntN(len(w.workers))]
	w.events.After(coldInterval, func() {
		k.upstream.StartCold(coldShare, coldRamp)
		if announced {
			k.start++
			w.announce(k)
		}
		f.cold(announced)
	})
}

// domain makes domain 0 unavailable and lets it return, repeatedly.
func (f *Faults) domain() {
	w := f.world
	w.events.After(faultAt, func() { w.domainOut, w.domainOutSince, w.domainBackSince = 0, w.events.Now(), time.Time{} })
	w.events.After(backAt, func() { w.domainBackSince = w.events.Now() })
	w.events.After(backAt+2*domainRamp, f.domain)
}

func (f *Faults) failFast() {
	w := f.world
	k := w.workers[f.random.IntN(len(w.workers))]
	w.events.After(faultAt, func() {
		k.failsFast = true
		k.upstream.FailFast(failLatency)
		w.failSince = w.events.Now()
	})
}
