package fence

import (
	"encoding/binary"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// filterBitsPerEntry is the number of filter bits per fence of the table. If
// as many ids overflow as there are fences, each generation refuses
// (1-exp(-2/8))^2, about 5 %, of the new requests as false positives.
const filterBitsPerEntry = 8

// overflowFilter holds the ids that were refused or cancelled while the table
// was full. Without it a second copy of such a request could run once there is
// room, after the first copy was reported as not run. It is a Bloom filter with
// two generations. A false positive only refuses a request that has not run, so
// the report that it didn't run is still correct.
type overflowFilter struct {
	bitCount uint64 // of each generation
	current  generation
	previous generation
}

// generation is one of the two Bloom filters, valid until the given time.
type generation struct {
	bits  []uint64
	until time.Time // the latest expiry of its ids
	count int       // of added ids
}

func newOverflowFilter(entries int) overflowFilter {
	return overflowFilter{bitCount: uint64(max(entries, 8)) * filterBitsPerEntry}
}

// add records an id until the given time.
func (f *overflowFilter) add(id ident.Request, until, now time.Time) {
	if f.current.count > 0 && now.After(f.previous.until) && f.current.count >= int(f.bitCount)/(4*filterBitsPerEntry) {
		f.previous, f.current = f.current, f.previous
		f.current.count = 0
		clear(f.current.bits)
		f.current.until = time.Time{}
	}
	if f.current.bits == nil {
		f.current.bits = make([]uint64, (f.bitCount+63)/64)
	}
	for _, b := range f.bitPositions(id) {
		f.current.bits[b/64] |= 1 << (b % 64)
	}
	f.current.count++
	if until.After(f.current.until) {
		f.current.until = until
	}
}

// has reports whether the id may have been added and has not expired.
func (f *overflowFilter) has(id ident.Request, now time.Time) bool {
	return f.inGeneration(&f.current, id, now) || f.inGeneration(&f.previous, id, now)
}

func (f *overflowFilter) inGeneration(g *generation, id ident.Request, now time.Time) bool {
	if g.count == 0 || now.After(g.until) {
		return false
	}
	for _, b := range f.bitPositions(id) {
		if g.bits[b/64]&(1<<(b%64)) == 0 {
			return false
		}
	}
	return true
}

// bitPositions returns the filter bits of an id. The id is random, so its own
// bits serve as the hashes.
func (f *overflowFilter) bitPositions(id ident.Request) [2]uint64 {
	return [2]uint64{
		binary.BigEndian.Uint64(id[:8]) % f.bitCount,
		id.Low64() % f.bitCount,
	}
}
