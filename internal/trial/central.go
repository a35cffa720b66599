package trial

import (
	"github.com/cicadahall/cicadahall/internal/fakes"
)

// central is the limit: one queue that knows every slot, speed and fault. A
// request starts the moment a slot is free; the way there and back is added
// to its latency, but no slot stays idle meanwhile.
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
		w.events.After(2*w.hop(r.entry, k), func() { w.settle(r, outcomeOf(reply)) })
		c.dispatch()
	})
}

// pick prefers full speed, then the nearest worker, then the most free slots.
func (c *central) pick(r *request) *worker {
	var best *worker
	better := func(k *worker) bool {
		if s, o := k.upstream.Speed(), best.upstream.Speed(); s != o {
			return s > o
		}
		if h, o := c.world.hop(r.entry, k), c.world.hop(r.entry, best); h != o {
			return h < o
		}
		return k.upstream.Running() < best.upstream.Running()
	}
	for _, k := range c.world.workers {
		free := float64(k.upstream.Running()+1) <= k.upstream.Capacity()
		if !free || k.failing || c.world.weight(k.domain) == 0 {
			continue
		}
		if best == nil || better(k) {
			best = k
		}
	}
	return best
}
