// Package cost compares what it costs callers to have their requests delayed or
// refused, by priority, objective, deadline and expected work.
//
// It is pure: it has no goroutine, socket or clock and keeps no state.
package cost

import (
	"math"
	"time"
)

// Request is what is known about a request that waits for a slot.
type Request struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Arrived is when the request began to wait, Deadline the time by which a
	// response must be there to have any value.
	Arrived  time.Time
	Deadline time.Time
	// Objective is the time by which a response has its full value; zero if there
	// is none.
	Objective time.Time
	// Work is how long the request is expected to occupy a slot.
	Work time.Duration
}

// MeetsObjective reports whether the request ends by its objective if it starts
// at start. A request without an objective doesn't.
func (r Request) MeetsObjective(start time.Time) bool {
	return !r.Objective.IsZero() && !start.Add(r.Work).After(r.Objective)
}

// Loss is what the caller loses if a request is refused.
type Loss struct {
	// MeetsObjective is set if the request would have met its objective. Most of
	// the value of a response is lost with its objective, whatever its priority.
	MeetsObjective bool
	Priority       int
}

// Refusal returns the loss if the request is refused instead of started at
// start.
func (r Request) Refusal(start time.Time) Loss {
	return Loss{MeetsObjective: r.MeetsObjective(start), Priority: r.Priority}
}

// Less reports whether l is a smaller loss than o.
func (l Loss) Less(o Loss) bool {
	if l.MeetsObjective != o.MeetsObjective {
		return o.MeetsObjective
	}
	return l.Priority > o.Priority
}

// Rank is the position of a request in a queue. Ranks are comparable only if they
// were computed for the same time and service time.
type Rank struct {
	level int
	// order is the position within a level.
	order float64
}

const (
	// levelsPerPriority leaves a level between two priorities for requests that
	// moved up from the group of those that miss their objective.
	levelsPerPriority = 2
	// missedLevel is the first level of requests that miss their objective, above
	// that of any priority that does not.
	missedLevel = 1 << 40
)

// Rank returns the rank at a time: requests that still meet their objective come
// before those that don't, and more urgent priorities first within each group.
//
// Within a priority, the request comes first that loses most value per slot time
// if it waits for another service time. Until its slack is used up, that loss is
// estimated as exp(-slack/serviceTime)/work, because the time of the next free slot
// is known only to about a service time. Requests that miss their objective are
// ordered by deadline.
//
// A request that has waited for more than half of the time that it had moves up
// one step: to the next priority or, if it misses its objective, behind the
// requests of its priority that meet theirs.
func (r Request) Rank(now time.Time, serviceTime time.Duration) Rank {
	aged := 2*now.Sub(r.Arrived) > r.Deadline.Sub(r.Arrived)
	level := levelsPerPriority * r.Priority
	if !r.MeetsObjective(now) {
		if aged {
			level++
		} else {
			level += missedLevel
		}
		return Rank{level: level, order: r.Deadline.Sub(now).Seconds()}
	}
	if aged {
		level -= levelsPerPriority
	}
	slack := r.Objective.Sub(now) - r.Work
	return Rank{level: level, order: slack.Seconds()/serviceTime.Seconds() + math.Log(r.Work.Seconds())}
}

// Before reports whether a request of rank r starts before one of rank o.
// Requests of equal rank start in the order of their arrival.
func (r Rank) Before(o Rank) bool {
	if r.level != o.level {
		return r.level < o.level
	}
	return r.order < o.order
}
