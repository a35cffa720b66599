package trial

import (
	"math/rand/v2"

	"github.com/cicadahall/cicadahall/internal/fakes"
)

// server is the slots of a worker with a bounded first-in, first-out queue.
type server struct {
	worker  *worker
	running int
	queue   []*request
}

// simple implements the policies that send each request once.
type simple struct {
	world   *world
	policy  Policy
	random  *rand.Rand
	servers []*server
	// inFlight counts the requests in flight by entry and worker.
	inFlight [][]int
	// reported is the load in the latest response plus the requests sent since, by
	// entry and worker.
	reported [][]int
	// latest is the index of the latest worker in the round robin of each entry.
	latest []int
}

func newSimple(w *world, p Policy) *simple {
	s := &simple{world: w, policy: p, random: source(w.options.Seed, policyStream)}
	for _, k := range w.workers {
		s.servers = append(s.servers, &server{worker: k})
	}
	for range w.options.Deployment.Entries {
		s.inFlight = append(s.inFlight, make([]int, len(w.workers)))
		s.reported = append(s.reported, make([]int, len(w.workers)))
		s.latest = append(s.latest, s.random.IntN(len(w.workers)))
	}
	return s
}

func (s *simple) arrive(r *request) {
	d := s.choose(r)
	s.inFlight[r.entry][d.worker.index]++
	s.reported[r.entry][d.worker.index]++
	s.world.send(r.entry, d.worker, func() { s.offer(d, r) })
}

// answer sends the outcome of a request and the load of the worker to the entry.
func (s *simple) answer(d *server, r *request, o outcome) {
	length := d.length()
	s.world.send(r.entry, d.worker, func() {
		s.inFlight[r.entry][d.worker.index]--
		s.reported[r.entry][d.worker.index] = length
		s.world.settle(r, o)
	})
}

// choose picks a worker. It picks again with the probability by which the weight
// of the worker's domain is below 1.
func (s *simple) choose(r *request) *server {
	for {
		d := s.pick(r)
		if weight := s.world.weight(d.worker.domain); weight >= 1 || s.random.Float64() < weight {
			return d
		}
	}
}

func (s *simple) pick(r *request) *server {
	n := len(s.servers)
	switch s.policy {
	case RoundRobin:
		s.latest[r.entry]++
		return s.servers[s.latest[r.entry]%n]
	case LeastInFlight:
		return s.leastInFlight(r)
	case TwoChoices, TwoChoicesExact:
		return s.twoChoices(r)
	default:
		return s.servers[s.random.IntN(n)]
	}
}

// twoChoices picks the less loaded of two different random workers.
func (s *simple) twoChoices(r *request) *server {
	n := len(s.servers)
	i := s.random.IntN(n)
	j := (i + 1 + s.random.IntN(n-1)) % n
	load := func(i int) int { return s.reported[r.entry][i] }
	if s.policy == TwoChoicesExact {
		s.world.tally.probes += 2
		load = func(i int) int { return s.servers[i].length() }
	}
	if load(j) < load(i) {
		return s.servers[j]
	}
	return s.servers[i]
}

func (d *server) length() int { return d.running + len(d.queue) }

// leastInFlight picks a random one of the workers with the fewest requests of
// this entry in flight.
func (s *simple) leastInFlight(r *request) *server {
	inFlight := s.inFlight[r.entry]
	var best *server
	ties := 0
	for _, d := range s.servers {
		i := d.worker.index
		if s.world.weight(d.worker.domain) == 0 {
			continue
		}
		switch {
		case best == nil || inFlight[i] < inFlight[best.worker.index]:
			best, ties = d, 1
		case inFlight[i] == inFlight[best.worker.index]:
			ties++
			if s.random.IntN(ties) == 0 {
				best = d
			}
		}
	}
	return best
}

// offer starts a request, queues it, or refuses it if the queue is full.
func (s *simple) offer(d *server, r *request) {
	switch {
	case d.running < s.world.options.Deployment.Slots:
		s.start(d, r)
	case len(d.queue) < queuePerSlot*s.world.options.Deployment.Slots:
		d.queue = append(d.queue, r)
	default:
		s.answer(d, r, refused)
	}
}

func (s *simple) start(d *server, r *request) {
	d.running++
	s.world.serve(r, d.worker, func(reply fakes.Reply) {
		d.running--
		s.answer(d, r, outcomeOf(reply))
		s.next(d)
	})
}

// next starts queued requests while slots are free. It drops those that are
// already settled.
func (s *simple) next(d *server) {
	for len(d.queue) > 0 && d.running < s.world.options.Deployment.Slots {
		r := d.queue[0]
		d.queue = d.queue[1:]
		if !r.settled {
			s.start(d, r)
		}
	}
}
