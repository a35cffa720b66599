package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/internal/policy/cost"
)

const (
	// reservedQueueDivisor is the number of slots for each queue place that more
	// urgent requests don't take from a priority whose requests meet their
	// objective. Without such places, the requests of a priority are displaced
	// before they have waited long enough to move up, and the least urgent ones get
	// almost nothing while the load exceeds the slots. The number of places is that
	// of requests that miss their objective.
	reservedQueueDivisor = objectiveQueueDivisor
	// maxFlows bounds the workspaces that share fairly at a time. A flow takes
	// about 200 bytes.
	maxFlows = 1024
)

// push queues a request.
func (g *SlotLimiter) push(t Request, now time.Time) {
	if g.queue.len() == 0 {
		g.share.Reset()
	}
	work := g.expectedServiceTime(t, now)
	flow := g.share.Join(t.Priority, t.Workspace, work)
	g.queue.insert(queuedRequest{request: t, arrived: now, flow: flow, work: work})
}

// Flows returns the number of workspaces whose share is known, counted once for
// each priority.
func (g *SlotLimiter) Flows() int { return g.share.Len() }

// takeAt removes the queued request that starts next from the queue.
func (g *SlotLimiter) takeAt(index int) Request {
	g.queue.items[index].flow.Start(g.queue.items[index].work)
	return g.queue.removeAt(index)
}

// first returns the index of the queued request that starts next: that of the
// first rank or, if another workspace of its priority has got less and has a
// request that meets its objective as well, the first of that workspace.
func (g *SlotLimiter) first(now time.Time) int {
	top := g.firstOf(now, func(queuedRequest) bool { return true })
	w := g.queue.items[top]
	meets := g.costOf(w, now).MeetsObjective(now)
	flow := w.flow
	for _, o := range g.queue.items {
		if o.request.Priority == w.request.Priority && o.flow.Tag() < flow.Tag() && g.costOf(o, now).MeetsObjective(now) == meets {
			flow = o.flow
		}
	}
	if flow == w.flow {
		return top
	}
	return g.firstOf(now, func(o queuedRequest) bool {
		return o.flow == flow && g.costOf(o, now).MeetsObjective(now) == meets
	})
}

// firstOf returns the index of the matching request of the first rank.
func (g *SlotLimiter) firstOf(now time.Time, match func(queuedRequest) bool) int {
	index, best := none, cost.Rank{}
	for i, w := range g.queue.items {
		if !match(w) {
			continue
		}
		rank := g.rank(w, now)
		if index == none || rank.Before(best) || !best.Before(rank) && w.sequence < g.queue.items[index].sequence {
			index, best = i, rank
		}
	}
	return index
}

func (g *SlotLimiter) rank(w queuedRequest, now time.Time) cost.Rank {
	serviceTime := g.meanServiceTime
	if serviceTime == 0 {
		serviceTime = initialRouteServiceTime
	}
	return g.costOf(w, now).Rank(now, serviceTime)
}

func (g *SlotLimiter) costOf(w queuedRequest, now time.Time) cost.Request {
	t := w.request
	if t.Priority <= CallPriority {
		// The run that makes the call waits for it until the deadline.
		t.Objective = t.Deadline
	}
	return cost.Request{
		Priority:  t.Priority,
		Arrived:   w.arrived,
		Deadline:  t.Deadline,
		Objective: t.Objective,
		Work:      g.expectedServiceTime(t, now),
	}
}

// displaceable returns the index of the queued request whose refusal costs least,
// or none if that isn't less than the refusal of t, which would wait as long as
// stated. Queued requests are compared as if they started now, so that no request
// displaces one of its own workspace and priority only because it arrived later.
//
// If refusals cost the same, the workspace with the most queued work is refused
// one, the request that would start last. It must have more queued than the
// workspace of t would have, so that the two don't displace each other.
func (g *SlotLimiter) displaceable(t Request, now time.Time, wait time.Duration) int {
	offered := g.costOf(queuedRequest{request: t, arrived: now}, now)
	own, fairWork := offered.Refusal(now.Add(wait)), offered.Work
	if _, queued, flow := g.share.Peek(t.Priority, t.Workspace); flow != nil {
		fairWork += queued
	}
	index := none
	var least cost.Loss
	var last cost.Rank
	for i, w := range g.queue.items {
		loss := g.costOf(w, now).Refusal(now)
		samePriority := w.request.Priority == t.Priority
		if loss.MeetsObjective && !samePriority && g.queue.prioritySpan(i) <= g.slots/reservedQueueDivisor {
			continue
		}
		if !loss.Less(own) && (own.Less(loss) || w.flow.Work() <= fairWork || w.request.Workspace == t.Workspace) {
			continue
		}
		rank := g.rank(w, now)
		if index == none || loss.Less(least) || !least.Less(loss) && g.moreExpendable(w, rank, g.queue.items[index], last) {
			index, least, last = i, loss, rank
		}
	}
	return index
}

// moreExpendable reports whether w is displaced before o if their refusals cost the
// same.
func (g *SlotLimiter) moreExpendable(w queuedRequest, rank cost.Rank, o queuedRequest, other cost.Rank) bool {
	if w.flow != o.flow {
		return w.flow.Work() > o.flow.Work()
	}
	return other.Before(rank)
}

// workAhead returns the expected work of the queued requests that would start
// before t if it were queued now, and their number.
func (g *SlotLimiter) workAhead(t Request) (work time.Duration, n int) {
	offered := queuedRequest{request: t, arrived: g.now}
	rank := g.rank(offered, g.now)
	meets := g.costOf(offered, g.now).MeetsObjective(g.now)
	tag, _, flow := g.share.Peek(t.Priority, t.Workspace)
	for _, w := range g.queue.items {
		w.flow.Scratch = 0
		if w.flow == flow && !rank.Before(g.rank(w, g.now)) {
			tag += w.work
		}
	}
	for i := len(g.queue.items) - 1; i >= 0; i-- {
		w := g.queue.items[i]
		ahead := !rank.Before(g.rank(w, g.now))
		if w.flow != flow && w.request.Priority == t.Priority && g.costOf(w, g.now).MeetsObjective(g.now) == meets {
			ahead = w.flow.Tag()+w.flow.Scratch <= tag
			w.flow.Scratch += w.work
		}
		if ahead {
			work += g.expectedServiceTime(w.request, g.now)
			n++
		}
	}
	return work, n
}

// countUrgent returns the number of queued requests of more urgent priorities than
// t and of those of its priority. Of another workspace it counts as many as t's own
// one would have, so that none fills the limit alone.
func (g *SlotLimiter) countUrgent(t Request) int {
	own := 0
	_, _, flow := g.share.Peek(t.Priority, t.Workspace)
	if flow != nil {
		own = flow.Queued()
	}
	for _, w := range g.queue.items {
		w.flow.Scratch = 0
	}
	n := 0
	for _, w := range g.queue.items {
		if w.request.Priority > t.Priority {
			continue
		}
		if w.flow != flow && w.request.Priority == t.Priority {
			if w.flow.Scratch > time.Duration(own) {
				continue
			}
			w.flow.Scratch++
		}
		n++
	}
	return n
}
