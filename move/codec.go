package move

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/samber/oops"
)

const (
	// countersFormat is the first byte of encoded counters.
	countersFormat = 1
	// maxCells bounds the counters of one row: both scales, 256 routes at most.
	maxCells = 1 << 16
)

// ErrInvalidCounters reports encoded counters that can't be decoded.
var ErrInvalidCounters = errors.New("malformed move counters")

// encode encodes the counters of keys. A counter is one byte for scale and
// cohort, one byte for the route, then the window and the errors as
// variable-length integers, the number of non-empty buckets as a byte, and for
// each of these its index as a byte and its count as a variable-length integer.
func encode(counters map[counterKey]*counts, keys []counterKey) []byte {
	slices.SortFunc(keys, counterKey.compare)
	out := []byte{countersFormat}
	out = binary.AppendUvarint(out, uint64(len(keys)))
	for _, k := range keys {
		out = append(out, byte(k.scale)<<1|byte(k.cohort), k.route)
		out = binary.AppendUvarint(out, uint64(k.window))
		out = counters[k].append(out)
	}
	return out
}

func (c *counts) append(out []byte) []byte {
	filled := 0
	for _, n := range c.buckets {
		if n > 0 {
			filled++
		}
	}
	out = binary.AppendUvarint(out, uint64(c.errors))
	out = append(out, byte(filled))
	for i, n := range c.buckets {
		if n > 0 {
			out = append(out, byte(i))
			out = binary.AppendUvarint(out, uint64(n))
		}
	}
	return out
}

// counterReader decodes counters. After a failed read, failed stays set.
type counterReader struct {
	in     []byte
	failed bool
}

func (r *counterReader) readByte() byte {
	if len(r.in) == 0 {
		r.failed = true
		return 0
	}
	b := r.in[0]
	r.in = r.in[1:]
	return b
}

func (r *counterReader) readUvarint() uint32 {
	v, n := binary.Uvarint(r.in)
	if n <= 0 || v > 1<<32-1 {
		r.failed = true
		return 0
	}
	r.in = r.in[n:]
	return uint32(v)
}

// decode decodes the output of encode.
func decode(in []byte) (map[counterKey]*counts, error) {
	r := &counterReader{in: in}
	format := r.readByte()
	n := r.readUvarint()
	if r.failed || format != countersFormat || n > maxCells {
		return nil, oops.In("move").With("step", "decode counters").Wrap(ErrInvalidCounters)
	}
	counters := map[counterKey]*counts{}
	for range n {
		k, c := r.readCounter()
		if r.failed {
			return nil, oops.In("move").With("step", "decode counters").Wrap(ErrInvalidCounters)
		}
		counters[k] = c
	}
	if len(r.in) > 0 {
		return nil, oops.In("move").With("step", "decode counters").Wrap(ErrInvalidCounters)
	}
	return counters, nil
}

func (r *counterReader) readCounter() (counterKey, *counts) {
	head := r.readByte()
	k := counterKey{cohort: cohort(head & 1)}
	k.scale = scale(head >> 1)
	k.route = r.readByte()
	k.window = r.readUvarint()
	c := &counts{errors: r.readUvarint()}
	for range r.readByte() {
		i := r.readByte()
		if int(i) >= bucketCount {
			r.failed = true
			break
		}
		c.buckets[i] = r.readUvarint()
	}
	r.failed = r.failed || k.scale >= scaleCount
	return k, c
}
