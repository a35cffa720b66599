// Package probe decides when an exit node probes its upstream and what is
// known of the upstream's state.
//
// A Prober is a pure state machine. Invariants: no probe is due while traffic
// shows the state, nor while another probe runs; probes stay within their
// Budget; observed traffic takes precedence over a probe's result. It needs
// neither members nor the store, so churn and outages don't change the budget.
package probe

import "time"

const (
	// defaultFresh is how long an observation tells the state.
	defaultFresh = time.Second
	// defaultTimeout is how long a probe may run before it counts as failed.
	defaultTimeout = 2 * time.Second
)

// State is what is known of an upstream.
type State uint8

const (
	// Unknown means that there is no fresh observation.
	Unknown State = iota
	// Working means that the upstream answered the latest request or probe.
	Working
	// Failing means that it didn't.
	Failing
)

var stateNames = [...]string{"unknown", "working", "failing"}

// String returns the name used in logs and in the status.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[Unknown]
}

// Result is the outcome of one probe.
type Result struct {
	Working bool
}

// Options configure a Prober. Zero durations take their defaults.
type Options struct {
	// Budget is shared by all Probers of one upstream in the process. Required.
	Budget *Budget
	// Fresh is how long an observation tells the state.
	Fresh time.Duration
	// Timeout is when a probe without a result counts as failed.
	Timeout time.Duration
}

// observation is one piece of evidence.
type observation struct {
	at    time.Time
	state State
}

func (o observation) fresh(now time.Time, span time.Duration) bool {
	return o.state != Unknown && now.Sub(o.at) < span
}

func observed(working bool, now time.Time) observation {
	if working {
		return observation{at: now, state: Working}
	}
	return observation{at: now, state: Failing}
}

// Prober decides for one upstream. It is not safe for concurrent use.
type Prober struct {
	options Options
	traffic observation
	probe   observation
	running bool
	sent    time.Time
}

// New returns a Prober that knows nothing of the upstream yet.
func New(o Options) *Prober {
	if o.Fresh <= 0 {
		o.Fresh = defaultFresh
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	return &Prober{options: o}
}

// Traffic records the outcome of a request that the upstream ran.
func (p *Prober) Traffic(working bool, now time.Time) {
	p.traffic = observed(working, now)
}

// Due tells whether to send a probe now, and takes it from the budget. The
// caller sends it and reports the result with Observe.
func (p *Prober) Due(now time.Time) bool {
	p.expire(now)
	if p.running || p.State(now) != Unknown || !p.options.Budget.Take(now) {
		return false
	}
	p.running = true
	p.sent = now
	return true
}

// Observe records the result of the running probe. A result that comes after
// its timeout or after Reset is ignored.
func (p *Prober) Observe(r Result, now time.Time) {
	p.expire(now)
	if !p.running {
		return
	}
	p.running = false
	p.probe = observed(r.Working, now)
}

// Reset forgets what is known, because the upstream has restarted. The budget
// stays as it is.
func (p *Prober) Reset() {
	p.traffic = observation{}
	p.probe = observation{}
	p.running = false
}

// State returns what is known: by fresh traffic, otherwise by a fresh probe.
func (p *Prober) State(now time.Time) State {
	if p.traffic.fresh(now, p.options.Fresh) {
		return p.traffic.state
	}
	if p.probe.fresh(now, p.options.Fresh) {
		return p.probe.state
	}
	return Unknown
}

// expire counts a probe as failed that has run for too long.
func (p *Prober) expire(now time.Time) {
	if !p.running || now.Sub(p.sent) < p.options.Timeout {
		return
	}
	p.running = false
	p.probe = observed(false, p.sent.Add(p.options.Timeout))
}
