package fakes

import (
	"math/rand/v2"
	"time"
)

// Reply is how the fake upstream answers a request.
type Reply uint8

const (
	// Answered is a complete answer.
	Answered Reply = iota
	// Errored is a complete answer that reports a failure.
	Errored
	// Shed is a refusal before the request ran.
	Shed
	// Broken is a connection error while the request ran.
	Broken
)

// Exponential returns a distribution of service times with the given mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
}

// UpstreamOptions configures a fake upstream.
type UpstreamOptions struct {
	Slots   int
	Service func(*rand.Rand) time.Duration
	Seed    uint64
	Events  *Events
}

// rampStep is how often the rate of running requests follows a cold ramp.
const rampStep = 2 * time.Millisecond

// task is a running request; left is the service time that remains.
type task struct {
	left float64
	done func(Reply)
}

// Upstream is a model of an upstream in virtual time. Up to its capacity, each
// request runs at full speed; beyond it, the running requests share the
// capacity equally. A cold upstream's capacity grows linearly to its slots.
// Nothing limits admission: requests beyond the capacity are counted.
type Upstream struct {
	options UpstreamOptions
	random  *rand.Rand
	tasks   []task
	updated time.Time
	plan    uint64
	speed   float64
	spell   uint64
	// cold start: capacity at coldAt and the time until full capacity.
	coldAt   time.Time
	coldFrom float64
	coldRamp time.Duration
	failing  time.Duration
	shedding bool
	silent   int
	started  int
	over     int
}

// NewUpstream returns a warm upstream without faults.
func NewUpstream(o UpstreamOptions) *Upstream {
	return &Upstream{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		updated: o.Events.Now(),
		speed:   1,
		failing: -1,
	}
}

// Serve runs a request with a service time of the upstream's distribution.
// Done is called at its end, and never for a request on a silent connection.
func (u *Upstream) Serve(done func(Reply)) {
	u.ServeFor(u.options.Service(u.random), done)
}

// ServeFor runs a request that takes d at full speed.
func (u *Upstream) ServeFor(d time.Duration, done func(Reply)) {
	switch {
	case u.silent > 0:
		u.silent--
		return
	case u.shedding:
		u.options.Events.After(0, func() { done(Shed) })
		return
	case u.failing >= 0:
		u.options.Events.After(u.failing, func() { done(Errored) })
		return
	}
	u.sync()
	u.started++
	if float64(len(u.tasks)) >= u.Capacity() {
		u.over++
	}
	u.tasks = append(u.tasks, task{left: float64(d), done: done})
	u.schedule()
}

// Slow divides the speed by factor for d. A later spell replaces the earlier one.
func (u *Upstream) Slow(factor float64, d time.Duration) {
	u.sync()
	u.speed = 1 / factor
	u.spell++
	spell := u.spell
	u.schedule()
	u.options.Events.After(d, func() {
		if spell == u.spell {
			u.sync()
			u.speed = 1
			u.schedule()
		}
	})
}

// Chill starts a cold ramp: the capacity falls to a share of the slots and
// grows back linearly within ramp.
func (u *Upstream) Chill(share float64, ramp time.Duration) {
	u.sync()
	u.coldAt, u.coldFrom, u.coldRamp = u.options.Events.Now(), share, ramp
	u.schedule()
}

// Restart breaks the running requests and starts a cold ramp.
func (u *Upstream) Restart(share float64, ramp time.Duration) {
	u.sync()
	broken := u.tasks
	u.tasks = nil
	u.Chill(share, ramp)
	for _, t := range broken {
		t.done(Broken)
	}
}

// FailFast makes the upstream answer failures after d; a negative d ends it.
func (u *Upstream) FailFast(d time.Duration) { u.failing = d }

// SetShed makes the upstream refuse every request.
func (u *Upstream) SetShed(on bool) { u.shedding = on }

// Silence makes the next n requests end without any answer.
func (u *Upstream) Silence(n int) { u.silent = n }

// Capacity is the number of requests that run at full speed now.
func (u *Upstream) Capacity() float64 {
	slots := float64(u.options.Slots)
	if u.coldRamp <= 0 {
		return slots
	}
	passed := float64(u.options.Events.Now().Sub(u.coldAt)) / float64(u.coldRamp)
	return slots * min(1, u.coldFrom+(1-u.coldFrom)*passed)
}

// Speed is 1 unless a slow spell is on.
func (u *Upstream) Speed() float64 { return u.speed }

// Running is the number of running requests.
func (u *Upstream) Running() int { return len(u.tasks) }

// Starts returns how many requests started, and how many of them when the
// capacity was already used up.
func (u *Upstream) Starts() (all, over int) { return u.started, u.over }

// rate is the speed of each running request.
func (u *Upstream) rate() float64 {
	return u.speed * min(1, u.Capacity()/float64(len(u.tasks)))
}

// sync takes off the work done since the previous call.
func (u *Upstream) sync() {
	now := u.options.Events.Now()
	d := float64(now.Sub(u.updated))
	u.updated = now
	if d <= 0 || len(u.tasks) == 0 {
		return
	}
	done := d * u.rate()
	for i := range u.tasks {
		u.tasks[i].left -= done
	}
}

// schedule plans the next end of a request, or the next step of a cold ramp.
func (u *Upstream) schedule() {
	u.plan++
	if len(u.tasks) == 0 {
		return
	}
	left := u.tasks[0].left
	for _, t := range u.tasks[1:] {
		left = min(left, t.left)
	}
	wait := time.Duration(left/u.rate()) + 1
	if float64(len(u.tasks)) > u.Capacity() {
		wait = min(wait, rampStep)
	}
	plan := u.plan
	u.options.Events.After(wait, func() {
		if plan == u.plan {
			u.sync()
			u.finish()
		}
	})
}

// finish ends the requests without work left. Callbacks run last, because they
// may start further requests.
func (u *Upstream) finish() {
	var ended []func(Reply)
	kept := u.tasks[:0]
	for _, t := range u.tasks {
		if t.left <= 0 {
			ended = append(ended, t.done)
			continue
		}
		kept = append(kept, t)
	}
	u.tasks = kept
	u.schedule()
	for _, done := range ended {
		done(Answered)
	}
}
