package fence

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// TryID returns the fence id of the n-th try of a request, n from 0. Each
// message that an entry sends anew needs its own fence id: an exit that
// refused the first try has to refuse a late copy of it for good, and can
// still accept the last try of the same request.
func TryID(id ident.Request, n uint8) ident.Request {
	id[0] ^= n
	return id
}

// advance moves the time of the table and removes expired fences.
func (t *Table[A]) advance(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	for len(t.due) > 0 && t.latest.After(t.due[0].at) {
		t.expireOne(t.due.pop().slot)
	}
	return t.latest
}

// expireOne removes a fence taken from the heap. A running request keeps its
// fence until Finish, and an extended one returns to the heap.
func (t *Table[A]) expireOne(i int32) {
	r := &t.slab[i]
	if !t.latest.After(r.expire) {
		t.due.push(due{at: r.expire, slot: i})
		return
	}
	if r.answer.State == Running {
		r.queued = false
		return
	}
	t.drop(i)
	delete(t.index, r.id)
	*r = record[A]{}
	t.free = append(t.free, i)
}

// trim drops the oldest answers until the rest fits. Their states stay.
func (t *Table[A]) trim() {
	for t.bytes > t.options.Bytes && t.oldest != none {
		t.drop(t.oldest)
	}
}

// drop removes the stored answer of a record, but not its state.
func (t *Table[A]) drop(i int32) {
	r := &t.slab[i]
	if !r.stored {
		return
	}
	t.unlink(i)
	t.bytes -= r.size
	r.answer = Answer[A]{State: r.answer.State}
	r.stored = false
	r.size = 0
}

func (t *Table[A]) link(i int32) {
	r := &t.slab[i]
	r.older = t.newest
	r.newer = none
	if t.newest != none {
		t.slab[t.newest].newer = i
	} else {
		t.oldest = i
	}
	t.newest = i
}

func (t *Table[A]) unlink(i int32) {
	r := &t.slab[i]
	if r.older != none {
		t.slab[r.older].newer = r.newer
	} else {
		t.oldest = r.newer
	}
	if r.newer != none {
		t.slab[r.newer].older = r.older
	} else {
		t.newest = r.older
	}
	r.older = none
	r.newer = none
}

// due is one entry of the expiry heap.
type due struct {
	at   time.Time
	slot int32
}

// dueHeap is a binary heap by time. container/heap would allocate on each push.
type dueHeap []due

func (h *dueHeap) push(d due) {
	*h = append(*h, d)
	s := *h
	i := len(s) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !s[i].at.Before(s[p].at) {
			return
		}
		s[i], s[p] = s[p], s[i]
		i = p
	}
}

func (h *dueHeap) pop() due {
	s := *h
	top := s[0]
	n := len(s) - 1
	s[0] = s[n]
	s = s[:n]
	*h = s
	i := 0
	for {
		c := 2*i + 1
		if c >= n {
			return top
		}
		if c+1 < n && s[c+1].at.Before(s[c].at) {
			c++
		}
		if !s[c].at.Before(s[i].at) {
			return top
		}
		s[i], s[c] = s[c], s[i]
		i = c
	}
}
