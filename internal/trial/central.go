package trial

import (
	"github.com/cicadahall/cicadahall/internal/fakes"
)

// central is the lower bound: one queue that knows the slots, speed and faults
// of all workers without delay. A request starts as soon as a slot is free. The
// network latency both ways is added to the latency of the request, but no slot
// is idle during it.
type central struct {
	world *world
	queue []*request
}

func newCentral(w *world) *central {
	return &central{world: w}
}

func (c *central) arrive(r *request) {
	c.queue = append(c.queue, r)
	c.dispatch()
}

// dispatch starts queued requests until no worker has a free slot.
func (c *central) dispatch() {
	for len(c.queue) > 0 {
		r := c.queue[0]
		if r.settled {
			c.queue = c.queue[1:]
			continue
		}
		k := c.pick(r)
		if k == nil {
			return
		}
		c.queue = c.queue[1:]
		c.start(r, k)
	}
}

func (c *central) start(r *request, k *worker) {
	w := c.world
	w.tally.messages++
	w.serve(r, k, func(reply fakes.Reply) {
		w.tally.messages++
		w.events.After(2*w.latency(r.entry, k), func() { w.settle(r, outcomeOf(reply)) })
		c.dispatch()
	})
}

// pick returns the fastest worker with a free slot; ties are broken by the lowest
// network latency, then by the fewest running requests. It returns nil if there is none.
func (c *central) pick(r *request) *worker {
	var best *worker
	better := func(k *worker) bool {
		if s, o := k.upstream.Speed(), best.upstream.Speed(); s != o {
			return s > o
		}
		if l, o := c.world.latency(r.entry, k), c.world.latency(r.entry, best); l != o {
			return l < o
		}
		return k.upstream.Running() < best.upstream.Running()
	}
	for _, k := range c.world.workers {
		free := float64(k.upstream.Running()+1) <= k.upstream.Capacity()
		if !free || k.failsFast || c.world.weight(k.domain) == 0 {
			continue
		}
		if best == nil || better(k) {
			best = k
		}
	}
	return best
}
