// Package trial compares ways of placing requests in virtual time. Each run
// puts one policy in front of fake upstreams. Runs with the same seed see the
// same arrivals, service times and faults, so that only the policy differs.
//
// Two policies are bounds rather than candidates: "central" knows every slot,
// speed and fault at once and loses no time to the network while it decides;
// "two true" compares the true loads of two random workers without the delay
// of asking for them, while "two choices" compares what answers reported.
package trial

import (
	"errors"
	"math/rand/v2"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cicadahall/cicadahall/internal/fakes"
)

// Policy names a way of placing requests.
type Policy string

// The policies, from the least to the most informed.
const (
	Random     Policy = "random"
	RoundRobin Policy = "round robin"
	Least      Policy = "least own"
	Two        Policy = "two choices"
	TwoTrue    Policy = "two true"
	Design     Policy = "cicadahall"
	Central    Policy = "central"
)

// Policies lists all policies in the order of the table.
func Policies() []Policy {
	return []Policy{Random, RoundRobin, Least, Two, TwoTrue, Design, Central}
}

// Deployment is one service of a deployment of the design page, section 1.3.
type Deployment struct {
	Name    string
	Workers int
	Slots   int
	Domains int
	// Entries is the number of nodes; the first ones are beside the workers.
	Entries int
	// Hop is the one-way latency between domains.
	Hop time.Duration
}

// Deployments lists the services of both deployments.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "booking", Workers: 6, Slots: 6, Domains: 4, Entries: 10, Hop: 500 * time.Microsecond},
		{Name: "dispatch", Workers: 4, Slots: 6, Domains: 4, Entries: 10, Hop: 500 * time.Microsecond},
		{Name: "counter", Workers: 8, Slots: 10, Domains: 4, Entries: 12, Hop: 1500 * time.Microsecond},
		{Name: "workshop", Workers: 4, Slots: 10, Domains: 4, Entries: 12, Hop: 1500 * time.Microsecond},
	}
}

const (
	// service is the mean of the exponential service times, as in the rough
	// trial of the design page.
	service = 10 * time.Millisecond
	// timeout is the deadline of each request, as in the manifest's example.
	timeout = 2 * time.Second
	// near is the one-way latency between nodes of one domain.
	near = 100 * time.Microsecond
	// settling is the virtual time before requests are counted.
	settling = time.Second
	// boundPerSlot is the queue length at an exit, admit's own default.
	boundPerSlot = 32
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

// Result holds the figures of one run. Shares are of all counted requests.
type Result struct {
	Service  string  `json:"service"`
	Scenario string  `json:"scenario"`
	Policy   Policy  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	P50      float64 `json:"p50"` // milliseconds, of answers that report no failure
	P99      float64 `json:"p99"`
	P999     float64 `json:"p999"`
	Refused  float64 `json:"refused"`
	Unknown  float64 `json:"unknown"`
	Failed   float64 `json:"failed"`
	// Affected is the share of failed requests among those that arrived more
	// than 1 s after a worker began to fail fast.
	Affected float64 `json:"affected"`
	// Wasted is the share of service time spent on requests that got no answer.
	Wasted   float64 `json:"wasted"`
	Messages float64 `json:"messages"` // per request
	Probes   float64 `json:"probes"`   // per request
	// Over is the share of requests that started on an upstream with no capacity left.
	Over float64 `json:"over"`
}

// ErrPolicy reports an unknown policy.
var ErrPolicy = errors.New("policy is not known")

// Run measures one policy.
func Run(o Options) (Result, error) {
	if o.Requests <= 0 {
		o.Requests = defaultRequests
	}
	w := newWorld(o)
	switch o.Policy {
	case Random, RoundRobin, Least, Two, TwoTrue:
		w.place = newSimple(w, o.Policy).arrive
	case Design:
		w.place = newDesign(w).arrive
	case Central:
		w.place = newCentral(w).arrive
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
	outcomes
)

// tally collects the figures of a run.
type tally struct {
	latency  *hdr.Histogram
	ends     [outcomes]int
	work     time.Duration
	waste    time.Duration
	messages int
	probes   int
	// late counts requests that arrived 1 s after a worker began to fail.
	late     int
	affected int
}

func newTally() tally {
	const digits = 3
	return tally{latency: hdr.New(1, timeout.Microseconds(), digits)}
}

func (w *world) result() Result {
	t := &w.tally
	all := 0
	for _, n := range t.ends {
		all += n
	}
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	starts, over := 0, 0
	for _, k := range w.workers {
		s, o := k.upstream.Starts()
		starts, over = starts+s, over+o
	}
	return Result{
		Service: w.options.Deployment.Name, Scenario: w.options.Scenario.Name,
		Policy: w.options.Policy, Seed: w.options.Seed, Requests: all,
		P50: ms(50), P99: ms(99), P999: ms(99.9),
		Refused: share(t.ends[refused], all), Unknown: share(t.ends[unknown], all),
		Failed: share(t.ends[failed], all), Affected: share(t.affected, t.late),
		Wasted:   float64(t.waste) / float64(max(1, t.work)),
		Messages: share(t.messages, w.born), Probes: share(t.probes, w.born),
		Over: share(over, starts),
	}
}

func source(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// Streams of random numbers. Only policyStream is used by policies.
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
