// Package probe implements the health checks of an exit node: it decides when to
// probe the upstream and derives the upstream's state from probes and traffic.
//
// A Prober is a pure state machine. Invariants: no probe is due while traffic
// shows the state, nor while another probe runs; probes stay within their
// Budget; observed traffic takes precedence over a probe's result. It depends
// on neither membership nor the store, so that churn and outages don't change
// the number of probes.
package probe

import "time"

const (
	// defaultTTL is how long an observation is valid.
	defaultTTL = time.Second
	// defaultTimeout is how long a probe may run before it counts as failed.
	defaultTimeout = 2 * time.Second
)

// State is the state of an upstream.
type State uint8

const (
	// Unknown means that there is no valid observation.
	Unknown State = iota
	// Working means that the upstream answered the latest request or probe.
	Working
	// Failing means that the upstream didn't answer the latest request or probe.
	Failing
)

var stateNames = [...]string{"unknown", "working", "failing"}

// String returns the name as it appears in logs and in the status.
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

// Options configures a Prober. Zero durations take their defaults.
type Options struct {
	// Budget is shared by all Probers of one upstream in the process. It is
	// required.
	Budget *Budget
	// TTL is how long an observation is valid.
	TTL time.Duration
	// Timeout is the time after which a probe without a result counts as failed.
	Timeout time.Duration
}

// observation is a state observed at a point in time.
type observation struct {
	at    time.Time
	state State
}

func (o observation) isFresh(now time.Time, ttl time.Duration) bool {
	return o.state != Unknown && now.Sub(o.at) < ttl
}

func newObservation(working bool, now time.Time) observation {
	if working {
		return observation{at: now, state: Working}
	}
	return observation{at: now, state: Failing}
}

// Prober schedules the probes of one upstream. It is not safe for concurrent use.
type Prober struct {
	options            Options
	trafficObservation observation
	probeObservation   observation
	probeRunning       bool
	probeSentAt        time.Time
}

// New returns a Prober without observations of the upstream.
func New(o Options) *Prober {
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	return &Prober{options: o}
}

// RecordTraffic records the outcome of a request that the upstream ran.
func (p *Prober) RecordTraffic(working bool, now time.Time) {
	p.trafficObservation = newObservation(working, now)
}

// StartProbe reports whether to send a probe now. If so, it consumes the probe
// from the budget, and the caller must send it and pass its result to
// RecordResult.
func (p *Prober) StartProbe(now time.Time) bool {
	p.expireProbe(now)
	if p.probeRunning || p.State(now) != Unknown || !p.options.Budget.Allow(now) {
		return false
	}
	p.probeRunning = true
	p.probeSentAt = now
	return true
}

// RecordResult records the result of the running probe. It ignores a result
// that arrives after the timeout or after Reset.
func (p *Prober) RecordResult(r Result, now time.Time) {
	p.expireProbe(now)
	if !p.probeRunning {
		return
	}
	p.probeRunning = false
	p.probeObservation = newObservation(r.Working, now)
}

// Reset discards all observations, because the upstream has restarted. The
// budget is unchanged.
func (p *Prober) Reset() {
	p.trafficObservation = observation{}
	p.probeObservation = observation{}
	p.probeRunning = false
}

// State returns the state from valid traffic, otherwise from a valid probe.
func (p *Prober) State(now time.Time) State {
	if p.trafficObservation.isFresh(now, p.options.TTL) {
		return p.trafficObservation.state
	}
	if p.probeObservation.isFresh(now, p.options.TTL) {
		return p.probeObservation.state
	}
	return Unknown
}

// expireProbe counts a probe as failed if it has run for longer than the timeout.
func (p *Prober) expireProbe(now time.Time) {
	if !p.probeRunning || now.Sub(p.probeSentAt) < p.options.Timeout {
		return
	}
	p.probeRunning = false
	p.probeObservation = newObservation(false, p.probeSentAt.Add(p.options.Timeout))
}
