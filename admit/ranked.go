package admit

import (
	"slices"

	"github.com/cicadahall/cicadahall/ident"
)

// ranked is a queue by priority and then by deadline. The queue is short, so
// that a sorted slice is enough; the next ticket is at the end.
type ranked struct {
	items []waiting
	order uint64
}

func (q *ranked) len() int { return len(q.items) }

// first reports whether a runs before b.
func (w waiting) first(o waiting) bool {
	if w.ticket.Priority != o.ticket.Priority {
		return w.ticket.Priority < o.ticket.Priority
	}
	return w.before(o)
}

// ahead counts the tickets that run before one that is pushed now.
func (q *ranked) ahead(t Ticket) int {
	w := waiting{ticket: t, order: q.order + 1}
	n := 0
	for _, o := range q.items {
		if o.first(w) {
			n++
		}
	}
	return n
}

func (q *ranked) push(t Ticket) {
	q.order++
	w := waiting{ticket: t, order: q.order}
	i := len(q.items)
	q.items = append(q.items, w)
	for ; i > 0 && q.items[i-1].first(w); i-- {
		q.items[i] = q.items[i-1]
	}
	q.items[i] = w
}

func (q *ranked) pop() Ticket {
	t := q.items[len(q.items)-1].ticket
	q.items = q.items[:len(q.items)-1]
	return t
}

// take removes the first ticket that is preferred, or else the first one.
func (q *ranked) take(preferred func(Ticket) bool) Ticket {
	for i := len(q.items) - 1; i >= 0; i-- {
		if t := q.items[i].ticket; preferred(t) {
			q.items = slices.Delete(q.items, i, i+1)
			return t
		}
	}
	return q.pop()
}

func (q *ranked) remove(id ident.Request) bool {
	n := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w waiting) bool { return w.ticket.ID == id })
	return len(q.items) < n
}

// drop removes the tickets that match and passes each to gone.
func (q *ranked) drop(match func(Ticket) bool, gone func(Ticket)) {
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
