package trial

import (
	"math/rand/v2"
	"time"
)

// Scenario is a load and the faults that happen during a run.
type Scenario struct {
	Name string
	// Load is the offered work as a share of the capacity of the workers that
	// the scenario leaves.
	Load float64
	// Lost is the number of workers, or if Domain is set of domains, that the
	// scenario takes away at a time.
	Lost   int
	Domain bool
	// Start plans the faults of a run.
	Start func(*Faults)
}

// load is the offered work as a share of the capacity of all workers.
func (s Scenario) load(d Deployment) float64 {
	lost := s.Lost
	if s.Domain {
		lost = (d.Workers + d.Domains - 1) / d.Domains
	}
	return s.Load * float64(d.Workers-lost) / float64(d.Workers)
}

const (
	// spellEvery, spellLength and spellFactor are the noisy neighbour of the
	// rough trial in the design page.
	spellEvery  = 2 * time.Second
	spellLength = 200 * time.Millisecond
	spellFactor = 5
	// coldEvery is the mean time between cold starts, coldRamp the upstream's
	// own ramp and coldShare its capacity at the start.
	coldEvery = 5 * time.Second
	coldRamp  = 2 * time.Second
	coldShare = 0.1
	// failAnswer is the time in which a worker that fails fast answers.
	failAnswer = time.Millisecond
	// domainRamp is the time in which a returning domain gets its full share.
	domainRamp = 3 * time.Second
	// faultAt, backAt are when a worker fails or a domain goes out, and returns.
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

// Faults plans the faults of one run.
type Faults struct {
	world  *world
	random *rand.Rand
}

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
	f.every(spellEvery, func(k *worker) { k.upstream.Slow(spellFactor, spellLength) })
}

// cold restarts a worker's capacity. Gaps are fixed, so that one worker at a
// time is cold. The running requests aren't interrupted: a planned restart
// drains, and what stays hidden breaks no connection.
func (f *Faults) cold(announced bool) {
	w := f.world
	k := w.workers[f.random.IntN(len(w.workers))]
	w.events.After(coldEvery, func() {
		k.upstream.Chill(coldShare, coldRamp)
		if announced {
			k.start++
			w.announce(k)
		}
		f.cold(announced)
	})
}

func (f *Faults) domain() {
	w := f.world
	w.events.After(faultAt, func() { w.out, w.outSince, w.backSince = 0, w.events.Now(), time.Time{} })
	w.events.After(backAt, func() { w.backSince = w.events.Now() })
	w.events.After(backAt+2*domainRamp, f.domain)
}

func (f *Faults) failFast() {
	w := f.world
	k := w.workers[f.random.IntN(len(w.workers))]
	w.events.After(faultAt, func() {
		k.failing = true
		k.upstream.FailFast(failAnswer)
		w.failSince = w.events.Now()
	})
}
