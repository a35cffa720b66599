package event

import (
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// defaultSize is the number of records that a log keeps: at about 200 bytes
// each it stays below 1 MB of the node's 128 MB.
const defaultSize = 4096

// Options configure a Log.
type Options struct {
	Node  ident.Node
	Start ident.Start
	// Size is the number of records that the ring keeps; 0 means 4096.
	Size int
	// Bound is the largest accepted drift of observed timestamps.
	Bound time.Duration
	// Level is the lowest level that goes to Output. The ring keeps all.
	Level Level
	// Now is the physical clock; nil means time.Now.
	Now func() time.Time
	// Output writes the key and value pairs of one record. Its type is that of
	// log.Logger.Log of go-kit/log. Nil means no output. Its errors are ignored:
	// a full disk must not stop the node.
	Output func(keyvals ...any) error
}

// Log keeps the latest records of a node. It is safe for concurrent use.
type Log struct {
	o     Options
	mu    sync.Mutex
	clock Clock
	ring  []Record
	last  uint64 // sequence of the latest record
}

// New makes an empty log.
func New(o Options) *Log {
	if o.Size <= 0 {
		o.Size = defaultSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Log{o: o, clock: Clock{Bound: o.Bound}, ring: make([]Record, o.Size)}
}

// Start returns the start identity that all records of this log carry. After a
// restart it differs, and sequence numbers begin again.
func (l *Log) Start() ident.Start { return l.o.Start }

// Emit records an event and writes it to the output. Output runs under the
// lock, so that lines are in the order of the sequence; it must not call Emit.
func (l *Log) Emit(c Code, fields ...Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	r := Record{
		Time:     l.clock.Now(l.o.Now()),
		Node:     l.o.Node,
		Start:    l.o.Start,
		Sequence: l.last,
		Code:     c,
		Fields:   fields,
	}
	l.ring[l.last%uint64(len(l.ring))] = r
	k, _ := Lookup(c)
	if l.o.Output != nil && k.Level >= l.o.Level {
		_ = l.o.Output(r.Keyvals()...)
	}
}

// Observe moves the clock past a timestamp from another node, so that later
// events of this node sort after it. It returns a DriftError if the timestamp
// is too far ahead.
func (l *Log) Observe(t Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Observe(t, l.o.Now())
}

// Time returns a new timestamp, to be sent to other nodes.
func (l *Log) Time() Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Now(l.o.Now())
}

// Since returns the records after a sequence number, and how many records
// after it the ring has lost. Since(0) returns all that are left.
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
