package fakes

import (
	"math/rand/v2"
	"time"
)

// Reply is the kind of response of the fake upstream to a request.
type Reply uint8

const (
	// Answered is a complete response.
	Answered Reply = iota
	// Errored is a complete response that reports an error.
	Errored
	// Shed is a refusal because of overload, before the request ran.
	Shed
	// Broken is a connection that failed while the request ran.
	Broken
)

// Exponential returns a function that draws exponentially distributed service
// times with the given mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
}

// UpstreamOptions configures a fake upstream.
type UpstreamOptions struct {
	// Slots is the number of requests that run at full speed when warm.
	Slots int
	// Service draws the service time of a request; only Serve uses it.
	Service func(*rand.Rand) time.Duration
	Seed    uint64
	// Events is the virtual clock.
	Events *Events
}

// rampStep is the interval at which the speed of the running requests is
// updated during a cold start.
const rampStep = 2 * time.Millisecond

// task is a running request. remaining is the service time left at full speed,
// in nanoseconds.
type task struct {
	remaining float64
	done      func(Reply)
}

// Upstream is a model of an upstream in virtual time. Up to its capacity, each
// request runs at full speed; beyond it, the running requests share the
// capacity equally. After a cold start, the capacity grows linearly to the
// number of slots. Upstream has no admission control; it counts the requests
// that start beyond its capacity.
type Upstream struct {
	options UpstreamOptions
	random  *rand.Rand
	tasks   []task
	// updated is the time up to which the work done is taken off the tasks.
	updated time.Time
	// schedules counts the calls of schedule; only the event of the latest is valid.
	schedules uint64
	speed     float64
	// slowdowns counts the calls of SlowDown; only the end of the latest is
	// valid.
	slowdowns uint64
	// coldAt is when the latest cold start began, coldShare the share of the
	// slots at that time, and coldRamp the time until full capacity.
	coldAt    time.Time
	coldShare float64
	coldRamp  time.Duration
	// failAfter is the time after which requests fail; negative if they don't.
	failAfter time.Duration
	shedding  bool
	// unanswered is the number of following requests that get no response.
	unanswered   int
	started      int
	overCapacity int
}

// NewUpstream returns a warm upstream without faults.
func NewUpstream(o UpstreamOptions) *Upstream {
	return &Upstream{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		updated:   o.Events.Now(),
		speed:     1,
		failAfter: -1,
	}
}

// Serve runs a request whose service time is drawn from the distribution in the
// options. It calls done at the end of the request, or never if DropResponses
// applies.
func (u *Upstream) Serve(done func(Reply)) {
	u.ServeFor(u.options.Service(u.random), done)
}

// ServeFor is like Serve for a request that takes d at full speed.
func (u *Upstream) ServeFor(d time.Duration, done func(Reply)) {
	switch {
	case u.unanswered > 0:
		u.unanswered--
		return
	case u.shedding:
		u.options.Events.After(0, func() { done(Shed) })
		return
	case u.failAfter >= 0:
		u.options.Events.After(u.failAfter, func() { done(Errored) })
		return
	}
	u.sync()
	u.started++
	if float64(len(u.tasks)) >= u.Capacity() {
		u.overCapacity++
	}
	u.tasks = append(u.tasks, task{remaining: float64(d), done: done})
	u.schedule()
}

// SlowDown divides the speed by factor for d. A later call replaces an earlier
// one.
func (u *Upstream) SlowDown(factor float64, d time.Duration) {
	u.sync()
	u.speed = 1 / factor
	u.slowdowns++
	slowdowns := u.slowdowns
	u.schedule()
	u.options.Events.After(d, func() {
		if slowdowns == u.slowdowns {
			u.sync()
			u.speed = 1
			u.schedule()
		}
	})
}

// StartCold begins a cold start: the capacity falls to a share of the slots and
// grows back linearly within ramp. Running requests continue.
func (u *Upstream) StartCold(share float64, ramp time.Duration) {
	u.sync()
	u.coldAt, u.coldShare, u.coldRamp = u.options.Events.Now(), share, ramp
	u.schedule()
}

// Restart ends the running requests as Broken and begins a cold start.
func (u *Upstream) Restart(share float64, ramp time.Duration) {
	u.sync()
	broken := u.tasks
	u.tasks = nil
	u.StartCold(share, ramp)
	for _, t := range broken {
		t.done(Broken)
	}
}

// FailFast makes every request end as Errored after d. A negative d turns it off.
func (u *Upstream) FailFast(d time.Duration) { u.failAfter = d }

// SetShedding sets whether the upstream refuses every request.
func (u *Upstream) SetShedding(on bool) { u.shedding = on }

// DropResponses makes the next n requests get no response.
func (u *Upstream) DropResponses(n int) { u.unanswered = n }

// Capacity returns the number of requests that can run at full speed now.
func (u *Upstream) Capacity() float64 {
	slots := float64(u.options.Slots)
	if u.coldRamp <= 0 {
		return slots
	}
	passed := float64(u.options.Events.Now().Sub(u.coldAt)) / float64(u.coldRamp)
	return slots * min(1, u.coldShare+(1-u.coldShare)*passed)
}

// Speed returns the current speed; it is 1 except during SlowDown.
func (u *Upstream) Speed() float64 { return u.speed }

// Running returns the number of running requests.
func (u *Upstream) Running() int { return len(u.tasks) }

// StartCounts returns the number of requests that started, and the number of
// those that started when no capacity was left.
func (u *Upstream) StartCounts() (all, overCapacity int) { return u.started, u.overCapacity }

// rate returns the speed of each running request.
func (u *Upstream) rate() float64 {
	return u.speed * min(1, u.Capacity()/float64(len(u.tasks)))
}

// sync subtracts the work done since the previous call from all tasks.
func (u *Upstream) sync() {
	now := u.options.Events.Now()
	d := float64(now.Sub(u.updated))
	u.updated = now
	if d <= 0 || len(u.tasks) == 0 {
		return
	}
	done := d * u.rate()
	for i := range u.tasks {
		u.tasks[i].remaining -= done
	}
}

// schedule adds the event for the next end of a request, or for the next step
// of a cold start. It replaces the event added before.
func (u *Upstream) schedule() {
	u.schedules++
	if len(u.tasks) == 0 {
		return
	}
	remaining := u.tasks[0].remaining
	for _, t := range u.tasks[1:] {
		remaining = min(remaining, t.remaining)
	}
	wait := time.Duration(remaining/u.rate()) + 1
	if float64(len(u.tasks)) > u.Capacity() {
		wait = min(wait, rampStep)
	}
	schedules := u.schedules
	u.options.Events.After(wait, func() {
		if schedules == u.schedules {
			u.sync()
			u.finish()
		}
	})
}

// finish ends the requests that have no work left. It runs the callbacks last,
// because they may start further requests.
func (u *Upstream) finish() {
	var ended []func(Reply)
	kept := u.tasks[:0]
	for _, t := range u.tasks {
		if t.remaining <= 0 {
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
