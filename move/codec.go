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
	// cellsMost bounds the cells of one row: both scales, 256 routes at most.
	cellsMost = 1 << 16
)

// ErrCounters reports encoded counters that can't be read.
var ErrCounters = errors.New("malformed move counters")

// encode writes the cells of keys as variable-length integers: scale, route, cohort,
// window, errors, number of filled buckets, then a bucket and its count each.
func encode(cells map[cell]*counts, keys []cell) []byte {
	slices.SortFunc(keys, cell.compare)
	out := []byte{countersFormat}
	out = binary.AppendUvarint(out, uint64(len(keys)))
	for _, k := range keys {
		out = append(out, byte(k.scale)<<1|byte(k.cohort), k.route)
		out = binary.AppendUvarint(out, uint64(k.window))
		out = cells[k].append(out)
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

// reader decodes counters; the first error sticks.
type reader struct {
	in  []byte
	bad bool
}

func (r *reader) octet() byte {
	if len(r.in) == 0 {
		r.bad = true
		return 0
	}
	b := r.in[0]
	r.in = r.in[1:]
	return b
}

func (r *reader) number() uint32 {
	v, n := binary.Uvarint(r.in)
	if n <= 0 || v > 1<<32-1 {
		r.bad = true
		return 0
	}
	r.in = r.in[n:]
	return uint32(v)
}

// decode reads what encode wrote.
func decode(in []byte) (map[cell]*counts, error) {
	r := &reader{in: in}
	format := r.octet()
	n := r.number()
	if r.bad || format != countersFormat || n > cellsMost {
		return nil, oops.In("move").With("step", "decode counters").Wrap(ErrCounters)
	}
	cells := map[cell]*counts{}
	for range n {
		k, c := r.cell()
		if r.bad {
			return nil, oops.In("move").With("step", "decode counters").Wrap(ErrCounters)
		}
		cells[k] = c
	}
	if len(r.in) > 0 {
		return nil, oops.In("move").With("step", "decode counters").Wrap(ErrCounters)
	}
	return cells, nil
}

func (r *reader) cell() (cell, *counts) {
	head := r.octet()
	k := cell{cohort: cohort(head & 1)}
	k.scale = scale(head >> 1)
	k.route = r.octet()
	k.window = r.number()
	c := &counts{errors: r.number()}
	for range r.octet() {
		i := r.octet()
		if int(i) >= bucketCount {
			r.bad = true
			break
		}
		c.buckets[i] = r.number()
	}
	r.bad = r.bad || k.scale >= scales
	return k, c
}
