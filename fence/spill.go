package fence

import (
	"encoding/binary"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// spillBits is the number of filter bits per fence of the table. With as many
// overflowing ids as fences, (1-exp(-2/8))^2, about 5 %, of the new requests
// are refused in each generation.
const spillBits = 8

// spill remembers the ids that were refused or cancelled while the table was
// full. Without it a second copy of such a request could run once there is
// room, after the first copy was reported as not run. It is a Bloom filter in
// two generations: a false positive is a refusal that is true.
type spill struct {
	size uint64
	now  generation
	old  generation
}

// generation is one half of the filter, valid until the given time.
type generation struct {
	bits  []uint64
	until time.Time
	count int
}

func newSpill(entries int) spill {
	return spill{size: uint64(max(entries, 8)) * spillBits}
}

// add remembers an id until the given time.
func (s *spill) add(id ident.Request, until, now time.Time) {
	if s.now.count > 0 && now.After(s.old.until) && s.now.count >= int(s.size)/(4*spillBits) {
		s.old, s.now = s.now, s.old
		s.now.count = 0
		clear(s.now.bits)
		s.now.until = time.Time{}
	}
	if s.now.bits == nil {
		s.now.bits = make([]uint64, (s.size+63)/64)
	}
	for _, b := range s.places(id) {
		s.now.bits[b/64] |= 1 << (b % 64)
	}
	s.now.count++
	if until.After(s.now.until) {
		s.now.until = until
	}
}

// has reports whether the id may have been added and is still remembered.
func (s *spill) has(id ident.Request, now time.Time) bool {
	return s.in(&s.now, id, now) || s.in(&s.old, id, now)
}

func (s *spill) in(g *generation, id ident.Request, now time.Time) bool {
	if g.count == 0 || now.After(g.until) {
		return false
	}
	for _, b := range s.places(id) {
		if g.bits[b/64]&(1<<(b%64)) == 0 {
			return false
		}
	}
	return true
}

// places uses the id's own random bits as hashes.
func (s *spill) places(id ident.Request) [2]uint64 {
	return [2]uint64{
		binary.BigEndian.Uint64(id[:8]) % s.size,
		id.Low() % s.size,
	}
}
