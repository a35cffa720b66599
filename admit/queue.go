package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// waiting is a queued ticket; order keeps equal deadlines first in, first out.
type waiting struct {
	ticket Ticket
	order  uint64
}

func (w waiting) before(o waiting) bool {
	if w.ticket.Deadline.Equal(o.ticket.Deadline) {
		return w.order < o.order
	}
	return w.ticket.Deadline.Before(o.ticket.Deadline)
}

// queue holds tickets sorted by deadline, the earliest at the end. The bound
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

// ahead counts the tickets that run before one with the given deadline.
func (q *queue) ahead(deadline time.Time) int {
	n := 0
	for i := len(q.items) - 1; i >= 0 && !q.items[i].ticket.Deadline.After(deadline); i-- {
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

func (q *queue) remove(id ident.Request) bool {
	for i := range q.items {
		if q.items[i].ticket.ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
