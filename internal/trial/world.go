package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

// request is one call from a caller.
type request struct {
	number   int
	entry    int
	work     time.Duration
	born     time.Time
	deadline time.Time
	settled  bool
	// tried lists the nodes that refused it.
	tried []ident.Node
	sent  time.Time
}

// worker is one upstream with its node.
type worker struct {
	node     ident.Node
	index    int
	domain   int
	upstream *fakes.Upstream
	// start changes when a cold start is announced.
	start   ident.Start
	failing bool
}

// world is the state that all policies share.
type world struct {
	options Options
	events  *fakes.Events
	load    *rand.Rand
	workers []*worker
	place   func(*request)
	tally   tally
	born    int
	// open holds requests in the order of their deadlines.
	open []*request
	// out is the domain that is out since outSince, or ramps up since backSince.
	out       int
	outSince  time.Time
	backSince time.Time
	failSince time.Time
	// announce is called when a worker announces a new start.
	announce func(*worker)
}

func newWorld(o Options) *world {
	w := &world{
		options: o, events: fakes.NewEvents(epoch), tally: newTally(), out: -1,
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

// rate is the number of requests per second.
func (w *world) rate() float64 {
	d := w.options.Deployment
	all := float64(d.Workers * d.Slots)
	return all * w.options.Scenario.load(d) / service.Seconds()
}

func (w *world) run() {
	length := time.Duration(float64(w.options.Requests) / w.rate() * float64(time.Second))
	end := epoch.Add(settling + length)
	w.options.Scenario.Start(&Faults{world: w, random: source(w.options.Seed, faultStream)})
	w.arrive(end)
	w.expire(end.Add(2 * timeout))
	w.events.Run(end.Add(2 * timeout))
}

// arrive creates the next request. The load stream is drawn in a fixed order.
func (w *world) arrive(end time.Time) {
	gap := time.Duration(w.load.ExpFloat64() / w.rate() * float64(time.Second))
	r := &request{
		number: w.born,
		entry:  w.load.IntN(w.options.Deployment.Entries),
		work:   time.Duration(w.load.ExpFloat64() * float64(service)),
	}
	w.born++
	w.events.After(gap, func() {
		r.born = w.events.Now()
		if r.born.After(end) {
			return
		}
		r.deadline = r.born.Add(timeout)
		w.open = append(w.open, r)
		w.place(r)
		w.arrive(end)
	})
}

// expire settles requests whose deadline has passed as unknown.
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

// settle ends a request for its caller. Only the first call counts.
func (w *world) settle(r *request, o outcome) {
	if r.settled {
		return
	}
	r.settled = true
	if r.born.Sub(epoch) < settling {
		return
	}
	w.tally.ends[o]++
	if o == ran {
		_ = w.tally.latency.RecordValue(w.events.Now().Sub(r.born).Microseconds())
	}
	if !w.failSince.IsZero() && r.born.Sub(w.failSince) > time.Second {
		w.tally.late++
		if o == failed {
			w.tally.affected++
		}
	}
}

// send delivers f after the latency between an entry and a worker's node.
func (w *world) send(entry int, k *worker, f func()) {
	w.tally.messages++
	w.events.After(w.hop(entry, k), f)
}

func (w *world) hop(entry int, k *worker) time.Duration {
	switch {
	case entry == k.index:
		return 0
	case entry%w.options.Deployment.Domains == k.domain:
		return near
	default:
		return w.options.Deployment.Hop
	}
}

// serve runs a request on an upstream and accounts for its work.
func (w *world) serve(r *request, k *worker, done func(fakes.Reply)) {
	k.upstream.ServeFor(r.work, func(reply fakes.Reply) {
		if reply == fakes.Answered || reply == fakes.Broken {
			w.tally.work += r.work
			if r.settled || reply == fakes.Broken {
				w.tally.waste += r.work
			}
		}
		done(reply)
	})
}

// outcomeOf maps the reply of an upstream. A broken connection may have run
// the request, which isn't idempotent here.
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

// weight is the share of a domain, from 0 (out) to 1.
func (w *world) weight(domain int) float64 {
	if domain != w.out {
		return 1
	}
	if w.backSince.IsZero() {
		return 0
	}
	const first = 0.1
	return min(1, first+(1-first)*float64(w.events.Now().Sub(w.backSince))/float64(domainRamp))
}
