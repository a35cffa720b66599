package event

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// defaultRingSize is the number of records that a log keeps by default. At about
// 200 bytes each, the ring stays below 1 MB of the node's 128 MB.
const defaultRingSize = 4096

// maxValueBytes limits the value of a field, so that the ring and a message with
// 1,000 records each stay below 4 MiB.
const maxValueBytes = 512

// Options configure a Log.
type Options struct {
	Node  ident.Node
	Start ident.Start
	// RingSize is the number of records that the ring keeps; 0 means 4096.
	RingSize int
	// MaxDrift is how far an observed timestamp may be ahead of the local clock.
	MaxDrift time.Duration
	// Level is the lowest level that is recorded. Events below it get neither a
	// place in the ring, where a burst of refused requests would evict all other
	// events, nor a sequence number, so that a gap in the log always means a lost
	// line.
	Level Level
	// Now returns the physical time; nil means time.Now.
	Now func() time.Time
	// Output writes the key and value pairs of one record. It has the type of the
	// method Log of log.Logger in go-kit/log. Nil means no output. Its errors are
	// ignored, because a full disk must not stop the node.
	Output func(keyvals ...any) error
}

// Log keeps the latest records of a node in a ring. It is safe for concurrent
// use.
type Log struct {
	options Options
	mu      sync.Mutex
	clock   Clock
	ring    []Record
	last    uint64 // sequence number of the latest record
}

// New returns an empty log.
func New(o Options) *Log {
	if o.RingSize <= 0 {
		o.RingSize = defaultRingSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Log{options: o, clock: Clock{MaxDrift: o.MaxDrift}, ring: make([]Record, o.RingSize)}
}

// Start returns the start id of all records of this log. It differs after a
// restart, when sequence numbers begin again at 1.
func (l *Log) Start() ident.Start { return l.options.Start }

// Emit records an event and writes it to Options.Output. Output is called with
// mu held, so that lines are in the order of their sequence numbers; it must not
// call Emit.
func (l *Log) Emit(c Code, fields ...Field) {
	if !l.Enabled(c) {
		return
	}
	fields = sanitizeFields(fields)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	r := Record{
		Time:     l.clock.Now(l.options.Now()),
		Node:     l.options.Node,
		Start:    l.options.Start,
		Sequence: l.last,
		Code:     c,
		Fields:   fields,
	}
	l.ring[l.last%uint64(len(l.ring))] = r
	if l.options.Output != nil {
		_ = l.options.Output(r.Keyvals()...)
	}
}

// Enabled reports whether events of a code are recorded. Callers on the request
// path check it before they build fields.
func (l *Log) Enabled(c Code) bool {
	k, _ := Lookup(c)
	return k.Level >= l.options.Level
}

// sanitizeFields returns a copy of the fields whose values are valid UTF-8 and at
// most maxValueBytes long. Values such as a path may come from callers, and a
// message between nodes can't hold text that isn't UTF-8.
func sanitizeFields(fields []Field) []Field {
	copied := slices.Clone(fields)
	for i, f := range copied {
		if len(f.Value) > maxValueBytes {
			f.Value = f.Value[:maxValueBytes]
		}
		copied[i].Value = strings.ToValidUTF8(f.Value, "")
	}
	return copied
}

// Observe advances the clock to a timestamp from another node, so that later
// events of this node sort after it. It returns a DriftError if the timestamp is
// more than Options.MaxDrift ahead of the local clock.
func (l *Log) Observe(t Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Observe(t, l.options.Now())
}

// Time returns a new timestamp to send to other nodes.
func (l *Log) Time() Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now(l.options.Now())
}

// Since returns the records after a sequence number, and the number of records
// after it that the ring has already overwritten. Since(0) returns all records
// in the ring.
func (l *Log) Since(seq uint64) (records []Record, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(len(l.ring))
	first := seq + 1
	if l.last > size && first <= l.last-size {
		lost = l.last - size + 1 - first
		first += lost
	}
	if first > l.last {
		return nil, lost
	}
	records = make([]Record, 0, l.last-first+1)
	for s := first; s <= l.last; s++ {
		records = append(records, l.ring[s%size])
	}
	return records, lost
}
