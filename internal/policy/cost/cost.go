// Package cost compares what it costs callers to have their requests delayed or
// refused, by priority, objective, deadline and expected work.
//
// It is pure: it has no goroutine, socket or clock and keeps no state.
package cost

import "time"

// Request is what is known about a request that waits for a slot.
type Request struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
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
