package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/policy/cost"
)

// queuedRequest is a queued request. The sequence number keeps requests with
// equal deadlines first in, first out.
type queuedRequest struct {
	request  Request
	sequence uint64
	// arrived is when the request was queued.
	arrived time.Time
	// flow is the share of the request's workspace, nil in a Limiter, and work the
	// expected work with which the request joined it.
	flow *cost.Flow
	work time.Duration
}

// leave records that the request is no longer queued.
func (w queuedRequest) leave() {
	if w.flow != nil {
		w.flow.Leave(w.work)
	}
}

// before reports whether w runs before o: by priority, then by deadline. The
// requests of a Limiter have no priority.
func (w queuedRequest) before(o queuedRequest) bool {
	if w.request.Priority != o.request.Priority {
		return w.request.Priority < o.request.Priority
	}
	if w.request.Deadline.Equal(o.request.Deadline) {
		return w.sequence < o.sequence
	}
	return w.request.Deadline.Before(o.request.Deadline)
}

// queue holds requests by priority and deadline, the next one at the end of the
// slice. A Limiter runs them in this order; a SlotLimiter chooses by rank.
// The capacity is small, so a sorted slice is faster than a heap and yields
// the position of a request at no extra cost. The slice grows with the requests:
// the capacity follows from the slots that an upstream announces.
type queue struct {
	items    []queuedRequest
	capacity int
	sequence uint64
}

func newQueue(capacity int) queue {
	return queue{capacity: capacity}
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) full() bool { return len(q.items) >= q.capacity }

// ahead returns the number of queued requests that would run before t if it
// were pushed now.
func (q *queue) ahead(t Request) int {
	w := queuedRequest{request: t, sequence: q.sequence + 1}
	n := 0
	for i := len(q.items) - 1; i >= 0 && q.items[i].before(w); i-- {
		n++
	}
	return n
}

func (q *queue) push(t Request) { q.insert(queuedRequest{request: t}) }

// insert queues a request and sets its sequence number.
func (q *queue) insert(w queuedRequest) {
	q.sequence++
	w.sequence = q.sequence
	i := len(q.items)
	q.items = append(q.items, w)
	for ; i > 0 && q.items[i-1].before(w); i-- {
		q.items[i] = q.items[i-1]
	}
	q.items[i] = w
}

func (q *queue) peek() Request {
	return q.items[len(q.items)-1].request
}

func (q *queue) pop() Request {
	return q.removeAt(len(q.items) - 1)
}

// prioritySpan returns the number of queued requests with the priority of the one
// at index i.
func (q *queue) prioritySpan(i int) int {
	priority := q.items[i].request.Priority
	compare := func(w queuedRequest, p int) int { return cmp.Compare(p, w.request.Priority) }
	first, _ := slices.BinarySearchFunc(q.items, priority, compare)
	end, _ := slices.BinarySearchFunc(q.items, priority-1, compare)
	return end - first
}

// none is the index of no request.
const none = -1

func (q *queue) removeAt(i int) Request {
	w := q.items[i]
	w.leave()
	q.items = slices.Delete(q.items, i, i+1)
	return w.request
}

// removeMatching removes the requests that match and passes each to onRemove.
func (q *queue) removeMatching(match func(Request) bool, onRemove func(Request)) {
	var removed []Request
	q.items = slices.DeleteFunc(q.items, func(w queuedRequest) bool {
		if match(w.request) {
			w.leave()
			removed = append(removed, w.request)
			return true
		}
		return false
	})
	for _, t := range removed {
		onRemove(t)
	}
}

func (q *queue) remove(id ident.Request) bool {
	for i := range q.items {
		if q.items[i].request.ID == id {
			q.removeAt(i)
			return true
		}
	}
	return false
}
