package quota

import (
	"io"
	"sync/atomic"
)

// Meter bounds the bytes of all bodies that are being read at one time, for
// readers without a lease. It is safe for concurrent use.
type Meter struct {
	limit Bytes
	err   error
	held  atomic.Int64
}

// NewMeter returns a Meter whose readers fail with err while they hold more than
// limit bytes.
func NewMeter(limit Bytes, err error) *Meter {
	return &Meter{limit: limit, err: err}
}

// MeteredReader reads one body. It isn't safe for concurrent use.
type MeteredReader struct {
	meter  *Meter
	source io.Reader
	read   int64
}

// NewReader returns a reader of source. The caller must call Close after it
// has read the body.
func (m *Meter) NewReader(source io.Reader) *MeteredReader {
	return &MeteredReader{meter: m, source: source}
}

// Read reads from the source.
func (r *MeteredReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.read += int64(n)
	if Bytes(r.meter.held.Add(int64(n))) > r.meter.limit {
		return n, r.meter.err
	}
	return n, err
}

// Close returns the bytes that were read to the meter.
func (r *MeteredReader) Close() {
	r.meter.held.Add(-r.read)
	r.read = 0
}
