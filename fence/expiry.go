package fence

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// AttemptID returns the fence id of the n-th attempt of a request, n from 0.
// Each message that an entry sends again needs its own fence id: an exit that
// refused the first attempt must also refuse every late copy of it, but may
// still accept a later attempt of the same request.
func AttemptID(id ident.Request, n uint8) ident.Request {
	id[0] ^= n
	return id
}

// advance moves the time of the table forward to now, removes expired fences
// and returns the time of the table, which never goes back.
func (t *Table[A]) advance(now time.Time) time.Time {
	if now.After(t.latest) {
		t.latest = now
	}
	for len(t.expiries) > 0 && t.latest.After(t.expiries[0].at) {
		t.expireSlot(t.expiries.pop().slot)
	}
	return t.latest
}

// expireSlot removes the fence in slot i, whose entry was popped from the heap.
// A running request keeps its fence until Finish, and a fence whose expiry was
// extended returns to the heap.
func (t *Table[A]) expireSlot(i int32) {
	r := &t.slab[i]
	if !t.latest.After(r.expire) {
		t.expiries.push(expiryEntry{at: r.expire, slot: i})
		return
	}
	if r.answer.State == Running {
		r.inHeap = false
		return
	}
	t.dropAnswer(i)
	delete(t.index, r.id)
	*r = record[A]{}
	t.free = append(t.free, i)
}

// trimAnswers drops the oldest answers until the rest fits in Options.Bytes.
// The states of their requests stay.
func (t *Table[A]) trimAnswers() {
	for t.bytes > t.options.Bytes && t.oldest != noSlot {
		t.dropAnswer(t.oldest)
	}
}

// dropAnswer removes the stored answer of a record, but not its state.
func (t *Table[A]) dropAnswer(i int32) {
	r := &t.slab[i]
	if !r.stored {
		return
	}
	t.unlinkAnswer(i)
	t.bytes -= r.size
	r.answer = Answer[A]{State: r.answer.State}
	r.stored = false
	r.size = 0
}

// linkAnswer appends the record in slot i to the list of stored answers.
func (t *Table[A]) linkAnswer(i int32) {
	r := &t.slab[i]
	r.older = t.newest
	r.newer = noSlot
	if t.newest != noSlot {
		t.slab[t.newest].newer = i
	} else {
		t.oldest = i
	}
	t.newest = i
}

// unlinkAnswer removes the record in slot i from the list of stored answers.
func (t *Table[A]) unlinkAnswer(i int32) {
	r := &t.slab[i]
	if r.older != noSlot {
		t.slab[r.older].newer = r.newer
	} else {
		t.oldest = r.newer
	}
	if r.newer != noSlot {
		t.slab[r.newer].older = r.older
	} else {
		t.newest = r.older
	}
	r.older = noSlot
	r.newer = noSlot
}

// expiryEntry is one entry of the expiry heap.
type expiryEntry struct {
	at   time.Time
	slot int32
}

// expiryHeap is a binary min-heap ordered by time. container/heap would
// allocate on each push.
type expiryHeap []expiryEntry

func (h *expiryHeap) push(e expiryEntry) {
	*h = append(*h, e)
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

func (h *expiryHeap) pop() expiryEntry {
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
