package admit

import (
	"slices"

	"github.com/cicadahall/cicadahall/ident"
)

// waiting is a queued ticket; order keeps equal deadlines first in, first out.
type waiting struct {
	ticket Ticket
	order  uint64
}

// before reports whether w runs before o: by priority, then by deadline. A
// Limiter's tickets have no priority.
func (w waiting) before(o waiting) bool {
	if w.ticket.Priority != o.ticket.Priority {
		return w.ticket.Priority < o.ticket.Priority
	}
	if w.ticket.Deadline.Equal(o.ticket.Deadline) {
		return w.order < o.order
	}
	return w.ticket.Deadline.Before(o.ticket.Deadline)
}

// queue holds tickets in order, the next one at the end. The bound
// is small, so that a sorted slice beats a heap and gives positions for free.
type queue struct {
	items []waiting
	order uint64
}

func newQueue(bound int) queue {
	return queue{items: make([]waiting, 0, bound)}
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) full() bool { return len(q.items) == cap(q.items) }

// ahead counts the tickets that run before one that is pushed now.
func (q *queue) ahead(t Ticket) int {
	w := waiting{ticket: t, order: q.order + 1}
	n := 0
	for i := len(q.items) - 1; i >= 0 && q.items[i].before(w); i-- {
		n++
	}
	return n
}

func (q *queue) push(t Ticket) {
	q.order++
	w := waiting{ticket: t, order: q.order}
	i := len(q.items)
	q.items = append(q.items, w)
	for ; i > 0 && q.items[i-1].before(w); i-- {
		q.items[i] = q.items[i-1]
	}
	q.items[i] = w
}

func (q *queue) first() Ticket {
	return q.items[len(q.items)-1].ticket
}

func (q *queue) pop() Ticket {
	t := q.first()
	q.items = q.items[:len(q.items)-1]
	return t
}

// take removes the first ticket that is preferred, or else the first one.
func (q *queue) take(preferred func(Ticket) bool) Ticket {
	for i := len(q.items) - 1; i >= 0; i-- {
		if t := q.items[i].ticket; preferred(t) {
			q.items = slices.Delete(q.items, i, i+1)
			return t
		}
	}
	return q.pop()
}

// drop removes the tickets that match and passes each to gone.
func (q *queue) drop(match func(Ticket) bool, gone func(Ticket)) {
	var dropped []Ticket
	q.items = slices.DeleteFunc(q.items, func(w waiting) bool {
		if match(w.ticket) {
			dropped = append(dropped, w.ticket)
			return true
		}
		return false
	})
	for _, t := range dropped {
		gone(t)
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
