// Package trial compares load balancing policies in a simulation in virtual
// time. Each run applies one policy to fake upstreams. Runs with the same seed
// have the same arrivals, service times and faults; only the policy differs.
//
// Two policies can't be implemented and serve as bounds: "central" knows the
// slots, speed and faults of all workers without network delay, and "two true"
// compares the current loads of two random workers without the delay of a
// probe, while "two choices" compares the loads reported in responses.
package trial

import (
	"errors"
	"math/rand/v2"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadahall/cicadahall/internal/fakes"
)

// Policy names a load balancing policy.
type Policy string

// The policies, in the order of the information that they use.
const (
	Random          Policy = "random"
	RoundRobin      Policy = "round robin"
	LeastInFlight   Policy = "least own"
	TwoChoices      Policy = "two choices"
	TwoChoicesExact Policy = "two true"
	Cicadahall      Policy = "cicadahall"
	Central         Policy = "central"
)

// Policies lists all policies in the order of the table.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, LeastInFlight, TwoChoices, TwoChoicesExact, Cicadahall, Central}
}

// Deployment is one service of an example deployment.
type Deployment struct {
	Name    string
	Workers int
	Slots   int
	Domains int
	// Entries is the number of nodes. The first ones run beside the workers.
	Entries int
	// Hop is the one-way latency between domains.
	Hop time.Duration
}

// Deployments lists the services of both example deployments.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "booking", Workers: 6, Slots: 6, Domains: 4, Entries: 10, Hop: 500 * time.Microsecond},
		{Name: "dispatch", Workers: 4, Slots: 6, Domains: 4, Entries: 10, Hop: 500 * time.Microsecond},
		{Name: "counter", Workers: 8, Slots: 10, Domains: 4, Entries: 12, Hop: 1500 * time.Microsecond},
		{Name: "workshop", Workers: 4, Slots: 10, Domains: 4, Entries: 12, Hop: 1500 * time.Microsecond},
	}
}

const (
	// meanService is the mean of the exponentially distributed service times.
	meanService = 10 * time.Millisecond
	// timeout is the time from the arrival of a request to its deadline, as in the
	// example manifest.
	timeout = 2 * time.Second
	// sameDomainLatency is the one-way latency between nodes of one domain.
	sameDomainLatency = 100 * time.Microsecond
	// warmUp is the time from the start of a run during which arriving requests
	// aren't counted.
	warmUp = time.Second
	// queuePerSlot is the limit of the queue length per slot; it is the default of
	// package admit.
	queuePerSlot = 32
)

// Options describes one run.
type Options struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	Seed       uint64
	// Requests is the number of requests; 0 means 300,000, so that 300 of them
	// lie above the 99.9th percentile.
	Requests int
}

const defaultRequests = 300_000

// Result holds the results of one run. Refused, Unknown and Failed are shares of
// all counted requests.
type Result struct {
	Service  string  `json:"service"`
	Scenario string  `json:"scenario"`
	Policy   Policy  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	P50      float64 `json:"p50"` // milliseconds, of responses without an error
	P99      float64 `json:"p99"`
	P999     float64 `json:"p999"`
	Refused  float64 `json:"refused"`
	Unknown  float64 `json:"unknown"`
	Failed   float64 `json:"failed"`
	// Affected is the share of failed requests among those that arrived more
	// than 1 s after a worker began to fail fast.
	Affected float64 `json:"affected"`
	// Wasted is the share of service time spent on requests whose caller got no
	// response.
	Wasted   float64 `json:"wasted"`
	Messages float64 `json:"messages"` // per request
	Probes   float64 `json:"probes"`   // per request
	// Over is the share of the requests that started on an upstream that had no
	// capacity left.
	Over float64 `json:"over"`
}

// ErrPolicy reports an unknown policy.
var ErrPolicy = errors.New("unknown policy")

// Run simulates one policy.
func Run(o Options) (Result, error) {
	if o.Requests <= 0 {
		o.Requests = defaultRequests
	}
	w := newWorld(o)
	switch o.Policy {
	case Random, RoundRobin, LeastInFlight, TwoChoices, TwoChoicesExact:
		w.policyArrive = newSimple(w, o.Policy).arrive
	case Cicadahall:
		w.policyArrive = newCicadahall(w).arrive
	case Central:
		w.policyArrive = newCentral(w).arrive
	default:
		return Result{}, ErrPolicy
	}
	w.run()
	return w.result(), nil
}

// outcome is how a request ended for its caller.
type outcome uint8

const (
	ran outcome = iota
	failed
	refused
	unknown
	outcomeCount
)

// tally collects the counts of a run.
type tally struct {
	latency  *hdr.Histogram
	outcomes [outcomeCount]int
	work     time.Duration
	wasted   time.Duration
	messages int
	probes   int
	// afterFault counts the requests that arrived more than 1 s after a worker
	// began to fail, and affected those of them that failed.
	afterFault int
	affected   int
}

func newTally() tally {
	const digits = 3
	return tally{latency: hdr.New(1, timeout.Microseconds(), digits)}
}

func (w *world) result() Result {
	t := &w.tally
	all := 0
	for _, n := range t.outcomes {
		all += n
	}
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	starts, over := 0, 0
	for _, k := range w.workers {
		s, o := k.upstream.StartCounts()
		starts, over = starts+s, over+o
	}
	return Result{
		Service: w.options.Deployment.Name, Scenario: w.options.Scenario.Name,
		Policy: w.options.Policy, Seed: w.options.Seed, Requests: all,
		P50: ms(50), P99: ms(99), P999: ms(99.9),
		Refused: share(t.outcomes[refused], all), Unknown: share(t.outcomes[unknown], all),
		Failed: share(t.outcomes[failed], all), Affected: share(t.affected, t.afterFault),
		Wasted:   float64(t.wasted) / float64(max(1, t.work)),
		Messages: share(t.messages, w.created), Probes: share(t.probes, w.created),
		Over: share(over, starts),
	}
}

// source returns the random numbers of one stream of a seed.
func source(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// Streams of random numbers. Policies use only policyStream, so that the load and
// the faults don't depend on the policy.
const (
	loadStream = iota + 1
	faultStream
	policyStream
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newUpstream(e *fakes.Events, slots int) *fakes.Upstream {
	return fakes.NewUpstream(fakes.UpstreamOptions{Slots: slots, Events: e})
}
