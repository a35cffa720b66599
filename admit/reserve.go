package admit

import (
	"math"
	"time"
)

// CallPriority is the priority of calls: requests that an upstream makes while it
// runs another one. They go before all other priorities, because a call that waits
// holds the slot of the run that makes it, and one that fails wastes what that run
// has cost.
const CallPriority = -1

const (
	// reservePeriod is the time over which the slots in use by calls are averaged.
	reservePeriod = time.Second
	// minReservedLoad is the average number of slots in use by calls from which a
	// slot is reserved.
	minReservedLoad = 0.02
	// maxReservedDivisor bounds the reserved slots to a part of all.
	maxReservedDivisor = 2
)

// callReserve keeps slots for calls, as many as calls have used on average. It
// answers the load in which two services call each other: without it, new requests
// take every slot, and each of their runs then waits for a call that waits for a
// slot of another such run.
type callReserve struct {
	running   int
	load      float64
	updatedAt time.Time
}

func (r *callReserve) advance(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.load += (float64(r.running) - r.load) * (1 - math.Exp(-float64(elapsed)/float64(reservePeriod)))
		r.updatedAt = now
	}
}

// add changes the number of calls that run.
func (r *callReserve) add(n int, now time.Time) {
	r.advance(now)
	r.running += n
}

// unused returns the number of reserved slots that no call uses.
func (r *callReserve) unused(slots int, now time.Time) int {
	if r.load < minReservedLoad && r.running == 0 {
		return 0
	}
	r.advance(now)
	if r.load < minReservedLoad {
		return 0
	}
	return max(0, min(int(math.Ceil(r.load)), slots/maxReservedDivisor)-r.running)
}

// passesQueue reports whether t is a call and no call is queued, so that it goes
// before all queued requests.
func (g *SlotLimiter) passesQueue(t Request) bool {
	if t.Priority > CallPriority {
		return false
	}
	for _, w := range g.queue.items {
		if w.request.Priority <= CallPriority {
			return false
		}
	}
	return true
}
