package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

// request is one request of a caller.
type request struct {
	number   int
	entry    int
	work     time.Duration
	arrived  time.Time
	deadline time.Time
	settled  bool
	// tried lists the nodes that refused the request.
	tried []ident.Node
	// sent is the time of the latest try.
	sent time.Time
}

// worker is one upstream with its node.
type worker struct {
	node     ident.Node
	index    int
	domain   int
	upstream *fakes.Upstream
	// start changes when a cold start is announced.
	start ident.Start
	// failsFast is set once the upstream returns errors at once.
	failsFast bool
}

// world is the simulation state that all policies share.
type world struct {
	options Options
	events  *fakes.Events
	load    *rand.Rand
	workers []*worker
	// policyArrive passes an arriving request to the policy.
	policyArrive func(*request)
	tally        tally
	// created counts the requests created so far.
	created int
	// open holds requests in the order of their deadlines.
	open []*request
	// domainOut is the index of the domain that is unavailable since
	// domainOutSince and, if domainBackSince is set, ramps up since then; -1 if
	// there is none.
	domainOut       int
	domainOutSince  time.Time
	domainBackSince time.Time
	// failSince is when a worker began to fail fast, or zero.
	failSince time.Time
	// announce is called when a worker announces a new start.
	announce func(*worker)
}

func newWorld(o Options) *world {
	w := &world{
		options: o, events: fakes.NewEvents(epoch), tally: newTally(), domainOut: -1,
		load: source(o.Seed, loadStream), announce: func(*worker) {},
	}
	for i := range o.Deployment.Workers {
		w.workers = append(w.workers, &worker{
			node: ident.Node(fmt.Sprintf("node-%d", i)), index: i, domain: i % o.Deployment.Domains,
			upstream: newUpstream(w.events, o.Deployment.Slots), start: 1,
		})
	}
	return w
}

// rate returns the arrival rate in requests per second.
func (w *world) rate() float64 {
	d := w.options.Deployment
	all := float64(d.Workers * d.Slots)
	return all * w.options.Scenario.load(d) / meanService.Seconds()
}

func (w *world) run() {
	length := time.Duration(float64(w.options.Requests) / w.rate() * float64(time.Second))
	end := epoch.Add(warmUp + length)
	w.options.Scenario.Start(&Faults{world: w, random: source(w.options.Seed, faultStream)})
	w.arrive(end)
	w.expire(end.Add(2 * timeout))
	w.events.Run(end.Add(2 * timeout))
}

// arrive creates the next request. It draws from the load stream in a fixed order,
// so that all policies get the same requests.
func (w *world) arrive(end time.Time) {
	gap := time.Duration(w.load.ExpFloat64() / w.rate() * float64(time.Second))
	r := &request{
		number: w.created,
		entry:  w.load.IntN(w.options.Deployment.Entries),
		work:   time.Duration(w.load.ExpFloat64() * float64(meanService)),
	}
	w.created++
	w.events.After(gap, func() {
		r.arrived = w.events.Now()
		if r.arrived.After(end) {
			return
		}
		r.deadline = r.arrived.Add(timeout)
		w.open = append(w.open, r)
		w.policyArrive(r)
		w.arrive(end)
	})
}

// expire settles the requests whose deadline has passed as unknown, until end.
func (w *world) expire(end time.Time) {
	const step = 10 * time.Millisecond
	now := w.events.Now()
	for len(w.open) > 0 && (w.open[0].settled || !w.open[0].deadline.After(now)) {
		w.settle(w.open[0], unknown)
		w.open = w.open[1:]
	}
	if now.Before(end) {
		w.events.After(step, func() { w.expire(end) })
	}
}

// settle records the outcome of a request for its caller. Only the first call for
// a request has an effect.
func (w *world) settle(r *request, o outcome) {
	if r.settled {
		return
	}
	r.settled = true
	if r.arrived.Sub(epoch) < warmUp {
		return
	}
	w.tally.outcomes[o]++
	if o == ran {
		_ = w.tally.latency.RecordValue(w.events.Now().Sub(r.arrived).Microseconds())
	}
	if !w.failSince.IsZero() && r.arrived.Sub(w.failSince) > time.Second {
		w.tally.afterFault++
		if o == failed {
			w.tally.affected++
		}
	}
}

// send counts a message and calls f after the latency between an entry and a
// worker's node.
func (w *world) send(entry int, k *worker, f func()) {
	w.tally.messages++
	w.events.After(w.latency(entry, k), f)
}

// latency returns the one-way latency between an entry and a worker's node.
func (w *world) latency(entry int, k *worker) time.Duration {
	switch {
	case entry == k.index:
		return 0
	case entry%w.options.Deployment.Domains == k.domain:
		return sameDomainLatency
	default:
		return w.options.Deployment.Hop
	}
}

// serve runs a request on an upstream and adds its service time to the tally.
func (w *world) serve(r *request, k *worker, done func(fakes.Reply)) {
	k.upstream.ServeFor(r.work, func(reply fakes.Reply) {
		if reply == fakes.Answered || reply == fakes.Broken {
			w.tally.work += r.work
			if r.settled || reply == fakes.Broken {
				w.tally.wasted += r.work
			}
		}
		done(reply)
	})
}

// outcomeOf maps the reply of an upstream to an outcome. A request on a broken
// connection may have run and isn't repeated, because it isn't idempotent.
func outcomeOf(reply fakes.Reply) outcome {
	switch reply {
	case fakes.Errored:
		return failed
	case fakes.Shed:
		return refused
	case fakes.Broken:
		return unknown
	default:
		return ran
	}
}

// weight returns the weight of a domain, from 0 for unavailable to 1.
func (w *world) weight(domain int) float64 {
	if domain != w.domainOut {
		return 1
	}
	if w.domainBackSince.IsZero() {
		return 0
	}
	const initial = 0.1
	return min(1, initial+(1-initial)*float64(w.events.Now().Sub(w.domainBackSince))/float64(domainRamp))
}
