package admit

import (
	"slices"

	"github.com/cicadahall/cicadahall/ident"
)

// queuedRequest is a queued ticket. The sequence number keeps tickets with
// equal deadlines first in, first out.
type queuedRequest struct {
	ticket   Ticket
	sequence uint64
}

// before reports whether w runs before o: by priority, then by deadline. The
// tickets of a Limiter have no priority.
func (w queuedRequest) before(o queuedRequest) bool {
	if w.ticket.Priority != o.ticket.Priority {
		return w.ticket.Priority < o.ticket.Priority
	}
	if w.ticket.Deadline.Equal(o.ticket.Deadline) {
		return w.sequence < o.sequence
	}
	return w.ticket.Deadline.Before(o.ticket.Deadline)
}

// queue holds tickets in running order, the next one at the end of the slice.
// The capacity is small, so a sorted slice is faster than a heap and yields
// the position of a ticket at no extra cost.
type queue struct {
	items    []queuedRequest
	sequence uint64
}

func newQueue(capacity int) queue {
	return queue{items: make([]queuedRequest, 0, capacity)}
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) full() bool { return len(q.items) == cap(q.items) }

// ahead returns the number of queued tickets that would run before t if it
// were pushed now.
func (q *queue) ahead(t Ticket) int {
	w := queuedRequest{ticket: t, sequence: q.sequence + 1}
	n := 0
	for i := len(q.items) - 1; i >= 0 && q.items[i].before(w); i-- {
		n++
	}
	return n
}

func (q *queue) push(t Ticket) {
	q.sequence++
	w := queuedRequest{ticket: t, sequence: q.sequence}
	i := len(q.items)
	q.items = append(q.items, w)
	for ; i > 0 && q.items[i-1].before(w); i-- {
		q.items[i] = q.items[i-1]
	}
	q.items[i] = w
}

func (q *queue) peek() Ticket {
	return q.items[len(q.items)-1].ticket
}

func (q *queue) pop() Ticket {
	t := q.peek()
	q.items = q.items[:len(q.items)-1]
	return t
}

// popPreferred removes and returns the first preferred ticket, or the first
// ticket if none is preferred.
func (q *queue) popPreferred(preferred func(Ticket) bool) Ticket {
	for i := len(q.items) - 1; i >= 0; i-- {
		if t := q.items[i].ticket; preferred(t) {
			q.items = slices.Delete(q.items, i, i+1)
			return t
		}
	}
	return q.pop()
}

// removeMatching removes the tickets that match and passes each to onRemove.
func (q *queue) removeMatching(match func(Ticket) bool, onRemove func(Ticket)) {
	var removed []Ticket
	q.items = slices.DeleteFunc(q.items, func(w queuedRequest) bool {
		if match(w.ticket) {
			removed = append(removed, w.ticket)
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
		if q.items[i].ticket.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
