package trial

import (
	"math/rand/v2"

	"github.com/cicadahall/cicadahall/internal/fakes"
)

// desk is a worker's slots with a bounded first-in, first-out queue.
type desk struct {
	worker  *worker
	running int
	queue   []*request
}

// simple holds the policies that send each request once.
type simple struct {
	world  *world
	policy Policy
	random *rand.Rand
	desks  []*desk
	// own counts requests in flight per entry and worker.
	own [][]int
	// known is the load that the latest answer reported, plus requests sent since.
	known [][]int
	// turn is the next worker of each entry.
	turn []int
}

func newSimple(w *world, p Policy) *simple {
	s := &simple{world: w, policy: p, random: source(w.options.Seed, policyStream)}
	for _, k := range w.workers {
		s.desks = append(s.desks, &desk{worker: k})
	}
	for range w.options.Deployment.Entries {
		s.own = append(s.own, make([]int, len(w.workers)))
		s.known = append(s.known, make([]int, len(w.workers)))
		s.turn = append(s.turn, s.random.IntN(len(w.workers)))
	}
	return s
}

func (s *simple) arrive(r *request) {
	d := s.choose(r)
	s.own[r.entry][d.worker.index]++
	s.known[r.entry][d.worker.index]++
	s.world.send(r.entry, d.worker, func() { s.offer(d, r) })
}

// answer tells the entry how the request ended at the worker.
func (s *simple) answer(d *desk, r *request, o outcome) {
	length := d.length()
	s.world.send(r.entry, d.worker, func() {
		s.own[r.entry][d.worker.index]--
		s.known[r.entry][d.worker.index] = length
		s.world.settle(r, o)
	})
}

// choose draws again for a domain that is out or ramping up.
func (s *simple) choose(r *request) *desk {
	for {
		d := s.pick(r)
		if weight := s.world.weight(d.worker.domain); weight >= 1 || s.random.Float64() < weight {
			return d
		}
	}
}

func (s *simple) pick(r *request) *desk {
	n := len(s.desks)
	switch s.policy {
	case RoundRobin:
		s.turn[r.entry]++
		return s.desks[s.turn[r.entry]%n]
	case Least:
		return s.least(r)
	case Two, TwoTrue:
		return s.two(r)
	default:
		return s.desks[s.random.IntN(n)]
	}
}

// two compares two different random workers.
func (s *simple) two(r *request) *desk {
	n := len(s.desks)
	i := s.random.IntN(n)
	j := (i + 1 + s.random.IntN(n-1)) % n
	load := func(i int) int { return s.known[r.entry][i] }
	if s.policy == TwoTrue {
		s.world.tally.probes += 2
		load = func(i int) int { return s.desks[i].length() }
	}
	if load(j) < load(i) {
		return s.desks[j]
	}
	return s.desks[i]
}

func (d *desk) length() int { return d.running + len(d.queue) }

// least picks the worker with the fewest own requests; ties are drawn.
func (s *simple) least(r *request) *desk {
	own := s.own[r.entry]
	var best *desk
	ties := 0
	for _, d := range s.desks {
		i := d.worker.index
		if s.world.weight(d.worker.domain) == 0 {
			continue
		}
		switch {
		case best == nil || own[i] < own[best.worker.index]:
			best, ties = d, 1
		case own[i] == own[best.worker.index]:
			ties++
			if s.random.IntN(ties) == 0 {
				best = d
			}
		}
	}
	return best
}

func (s *simple) offer(d *desk, r *request) {
	switch {
	case d.running < s.world.options.Deployment.Slots:
		s.start(d, r)
	case len(d.queue) < boundPerSlot*s.world.options.Deployment.Slots:
		d.queue = append(d.queue, r)
	default:
		s.answer(d, r, refused)
	}
}

func (s *simple) start(d *desk, r *request) {
	d.running++
	s.world.serve(r, d.worker, func(reply fakes.Reply) {
		d.running--
		s.answer(d, r, outcomeOf(reply))
		s.next(d)
	})
}

// next starts the first request in the queue that still has time.
func (s *simple) next(d *desk) {
	for len(d.queue) > 0 && d.running < s.world.options.Deployment.Slots {
		r := d.queue[0]
		d.queue = d.queue[1:]
		if !r.settled {
			s.start(d, r)
		}
	}
}
