package trial

import (
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

const (
	// triesBeforeLast is the number of tries that must not queue. They precede the
	// last one, which may queue.
	triesBeforeLast = 3
	// immediateTries is the number of tries without a pause. Those beyond
	// triesBeforeLast+1 occur when an exit expires a queued request.
	immediateTries = 6
	// maxTries bounds all tries. Each one beyond immediateTries follows after
	// retryPause, because all queues are full then.
	maxTries   = 16
	retryPause = 10 * time.Millisecond
	// tickInterval is the interval at which an exit expires queued requests that
	// can't finish before their deadline.
	tickInterval = 5 * time.Millisecond
	// maxWeightDelay bounds the delay after which an entry learns of a new weight of
	// a domain.
	maxWeightDelay = time.Second
)

// cicadahall is the policy of the nodes: entries choose with package choose,
// exits admit with package admit.
type cicadahall struct {
	world    *world
	choosers []*choose.Chooser
	exits    []*exit
	byNode   map[ident.Node]*exit
}

// exit is a worker's node. waiting holds its queued requests.
type exit struct {
	worker  *worker
	limiter *admit.Limiter
	waiting map[ident.Request]*request
}

func newCicadahall(w *world) *cicadahall {
	d := &cicadahall{world: w, byNode: map[ident.Node]*exit{}}
	var members []choose.Member
	slots := ident.Slots(w.options.Deployment.Slots)
	for _, k := range w.workers {
		x := d.newExit(k, slots)
		d.exits = append(d.exits, x)
		d.byNode[k.node] = x
		members = append(members, choose.Member{
			Node: k.node, Service: "s", Version: "v1", Slots: slots, Domain: domainName(k.domain), Region: "r",
		})
	}
	for i := range w.options.Deployment.Entries {
		d.choosers = append(d.choosers, d.newChooser(i, members))
	}
	w.announce = func(k *worker) {
		d.exits[k.index].limiter.SetSlots(slots, k.start, w.events.Now())
	}
	d.tick()
	return d
}

func domainName(i int) ident.Domain { return ident.Domain(fmt.Sprint("d", i)) }

func (d *cicadahall) newChooser(entry int, members []choose.Member) *choose.Chooser {
	w := d.world
	random := source(w.options.Seed, policyStream+uint64(entry)<<8)
	weightDelay := time.Duration(random.Int64N(int64(maxWeightDelay)))
	c := choose.New(choose.Options{
		Domain: domainName(entry % w.options.Deployment.Domains), Region: "r",
		Rand:         random.Uint64,
		DomainWeight: func(n ident.Domain, now time.Time) float64 { return w.delayedWeight(n, weightDelay, now) },
	})
	c.Update(members)
	return c
}

// delayedWeight returns the weight of a domain known at an entry, which learns of
// a change after weightDelay.
func (w *world) delayedWeight(name ident.Domain, weightDelay time.Duration, now time.Time) float64 {
	if w.domainOut < 0 || name != domainName(w.domainOut) || now.Sub(w.domainOutSince) < weightDelay {
		return 1
	}
	return w.weight(w.domainOut)
}

func (d *cicadahall) newExit(k *worker, slots ident.Slots) *exit {
	x := &exit{worker: k, waiting: map[ident.Request]*request{}}
	x.limiter = admit.New(admit.Options{
		Slots: slots, Warm: true,
		Start: func(t admit.Request, _ time.Time) { d.serve(x, x.take(t.ID)) },
		Expire: func(t admit.Request, _ admit.Reason, _ time.Time) {
			d.refuse(x, x.take(t.ID))
		},
	})
	x.limiter.SetSlots(slots, k.start, epoch)
	return x
}

// take removes a request from the queue and returns it.
func (x *exit) take(id ident.Request) *request {
	r := x.waiting[id]
	delete(x.waiting, id)
	return r
}

// tick ticks the limiters of all exits at intervals of tickInterval.
func (d *cicadahall) tick() {
	for _, x := range d.exits {
		x.limiter.Tick(d.world.events.Now())
	}
	d.world.events.After(tickInterval, d.tick)
}

// arrive sends a request to the member that the entry's chooser picks.
func (d *cicadahall) arrive(r *request) {
	now := d.world.events.Now()
	c := d.choosers[r.entry]
	q := choose.Query{Service: "s", Version: "v1", Tried: r.tried, MayQueue: len(r.tried) >= triesBeforeLast}
	p, ok := c.Choose(q, now)
	if !q.MayQueue && len(r.tried) > 0 && (!ok || p.LastResort) {
		q.MayQueue = true
		p, ok = c.Choose(q, now)
	}
	if !ok {
		d.world.settle(r, refused)
		return
	}
	x := d.byNode[p.Member.Node]
	c.RecordSent(p.Member.Node, now)
	r.sent = now
	d.world.send(r.entry, x.worker, func() { d.offer(x, r, q.MayQueue) })
}

// offer offers a request to the limiter of an exit. Only the last try may queue.
func (d *cicadahall) offer(x *exit, r *request, last bool) {
	if d.world.weight(x.worker.domain) == 0 {
		d.refuse(x, r)
		return
	}
	t := admit.Request{ID: ident.NewRequest(0, uint64(r.number)+1), Deadline: r.deadline, MayQueue: last}
	switch x.limiter.Offer(t, d.world.events.Now()).Verdict {
	case admit.Run:
		d.serve(x, r)
	case admit.Queue:
		x.waiting[t.ID] = r
	default:
		d.refuse(x, r)
	}
}

// refuse reports a refusal to the entry, which tries again.
func (d *cicadahall) refuse(x *exit, r *request) {
	h := x.limiter.Load()
	if d.world.weight(x.worker.domain) == 0 {
		h.Limit = 0
	}
	d.world.send(r.entry, x.worker, func() {
		d.choosers[r.entry].RecordRefusal(x.worker.node, h, d.world.events.Now())
		d.retry(x, r)
	})
}

// retry starts the next try at another member, or settles the request as refused
// after maxTries.
func (d *cicadahall) retry(x *exit, r *request) {
	if r.settled {
		return
	}
	if len(r.tried) >= maxTries {
		d.world.settle(r, refused)
		return
	}
	r.tried = append(r.tried, x.worker.node)
	if len(r.tried) < immediateTries {
		d.arrive(r)
		return
	}
	d.world.events.After(retryPause, func() {
		if !r.settled {
			d.arrive(r)
		}
	})
}

// serve runs a request on the worker's upstream and reports its end to the
// limiter and to the entry.
func (d *cicadahall) serve(x *exit, r *request) {
	results := [...]admit.Result{admit.Done, admit.Failed, admit.Shed, admit.Broken}
	d.world.serve(r, x.worker, func(reply fakes.Reply) {
		now := d.world.events.Now()
		x.limiter.Finish(ident.NewRequest(0, uint64(r.number)+1), results[reply], now)
		if reply == fakes.Shed {
			d.refuse(x, r)
			return
		}
		h := x.limiter.Load()
		d.world.send(r.entry, x.worker, func() { d.answer(x, r, reply, h) })
	})
}

// answer handles a response at the entry.
func (d *cicadahall) answer(x *exit, r *request, reply fakes.Reply, h choose.Hint) {
	now := d.world.events.Now()
	c := d.choosers[r.entry]
	if reply == fakes.Answered {
		c.RecordAnswer(x.worker.node, h, now.Sub(r.sent), now)
	} else {
		c.RecordFailure(x.worker.node, now)
	}
	d.world.settle(r, outcomeOf(reply))
}
