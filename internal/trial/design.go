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
	// tries is the number of immediate tries before the last one, which may queue.
	tries = 3
	// prompt tries follow each other at once. Those beyond tries+1 are due to
	// exits that gave up a queued request.
	prompt = 6
	// most bounds all tries, with a pause before each one beyond the prompt
	// ones, because then every queue is full.
	most  = 16
	pause = 10 * time.Millisecond
	// tickEvery is how often an exit gives up what it can't finish in time.
	tickEvery = 5 * time.Millisecond
	// noticeMost bounds the time in which an entry hears of a domain's state.
	noticeMost = time.Second
)

// design is the design's own policy: choose at the entries, admit at the exits.
type design struct {
	world    *world
	choosers []*choose.Chooser
	exits    []*exit
	byNode   map[ident.Node]*exit
}

// exit is a worker's node with the requests that it holds.
type exit struct {
	worker  *worker
	limiter *admit.Limiter
	waiting map[ident.Request]*request
}

func newDesign(w *world) *design {
	d := &design{world: w, byNode: map[ident.Node]*exit{}}
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

func (d *design) newChooser(entry int, members []choose.Member) *choose.Chooser {
	w := d.world
	random := source(w.options.Seed, policyStream+uint64(entry)<<8)
	notice := time.Duration(random.Int64N(int64(noticeMost)))
	c := choose.New(choose.Options{
		Domain: domainName(entry % w.options.Deployment.Domains), Region: "r",
		Rand:   random.Uint64,
		Weight: func(n ident.Domain, now time.Time) float64 { return w.heard(n, notice, now) },
	})
	c.Update(members)
	return c
}

// heard is the weight of a domain as an entry knows it, notice after the change.
func (w *world) heard(name ident.Domain, notice time.Duration, now time.Time) float64 {
	if w.out < 0 || name != domainName(w.out) || now.Sub(w.outSince) < notice {
		return 1
	}
	return w.weight(w.out)
}

func (d *design) newExit(k *worker, slots ident.Slots) *exit {
	x := &exit{worker: k, waiting: map[ident.Request]*request{}}
	x.limiter = admit.New(admit.Options{
		Slots: slots, Warm: true,
		Start: func(t admit.Ticket, _ time.Time) { d.serve(x, x.take(t.ID)) },
		Expire: func(t admit.Ticket, _ admit.Reason, _ time.Time) {
			d.refuse(x, x.take(t.ID))
		},
	})
	x.limiter.SetSlots(slots, k.start, epoch)
	return x
}

func (x *exit) take(id ident.Request) *request {
	r := x.waiting[id]
	delete(x.waiting, id)
	return r
}

func (d *design) tick() {
	for _, x := range d.exits {
		x.limiter.Tick(d.world.events.Now())
	}
	d.world.events.After(tickEvery, d.tick)
}

// arrive sends a request to the member that the entry's chooser picks.
func (d *design) arrive(r *request) {
	now := d.world.events.Now()
	c := d.choosers[r.entry]
	q := choose.Query{Service: "s", Version: "v1", Tried: r.tried, Last: len(r.tried) >= tries}
	p, ok := c.Choose(q, now)
	if !q.Last && len(r.tried) > 0 && (!ok || p.Doubtful) {
		q.Last = true
		p, ok = c.Choose(q, now)
	}
	if !ok {
		d.world.settle(r, refused)
		return
	}
	x := d.byNode[p.Member.Node]
	c.Sent(p.Member.Node, now)
	r.sent = now
	d.world.send(r.entry, x.worker, func() { d.offer(x, r, q.Last) })
}

func (d *design) offer(x *exit, r *request, last bool) {
	if d.world.weight(x.worker.domain) == 0 {
		d.refuse(x, r)
		return
	}
	t := admit.Ticket{ID: ident.NewRequest(0, uint64(r.number)+1), Deadline: r.deadline, Last: last}
	switch x.limiter.Offer(t, d.world.events.Now()).Verdict {
	case admit.Run:
		d.serve(x, r)
	case admit.Queue:
		x.waiting[t.ID] = r
	default:
		d.refuse(x, r)
	}
}

func (d *design) refuse(x *exit, r *request) {
	h := x.limiter.Load()
	if d.world.weight(x.worker.domain) == 0 {
		h.Limit = 0
	}
	d.world.send(r.entry, x.worker, func() {
		d.choosers[r.entry].Refused(x.worker.node, h, d.world.events.Now())
		d.again(x, r)
	})
}

// again tries elsewhere until the last try has been refused.
func (d *design) again(x *exit, r *request) {
	if r.settled {
		return
	}
	if len(r.tried) >= most {
		d.world.settle(r, refused)
		return
	}
	r.tried = append(r.tried, x.worker.node)
	if len(r.tried) < prompt {
		d.arrive(r)
		return
	}
	d.world.events.After(pause, func() {
		if !r.settled {
			d.arrive(r)
		}
	})
}

func (d *design) serve(x *exit, r *request) {
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

func (d *design) answer(x *exit, r *request, reply fakes.Reply, h choose.Hint) {
	now := d.world.events.Now()
	c := d.choosers[r.entry]
	if reply == fakes.Answered {
		c.Done(x.worker.node, h, now.Sub(r.sent), now)
	} else {
		c.Failed(x.worker.node, now)
	}
	d.world.settle(r, outcomeOf(reply))
}
