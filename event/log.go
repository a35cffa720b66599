package event

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// defaultSize is the number of records that a log keeps: at about 200 bytes
// each it stays below 1 MB of the node's 128 MB.
const defaultSize = 4096

// maxValue bounds the value of a field in bytes, so that the ring and a message
// with 1,000 records stay below 4 MiB.
const maxValue = 512

// Options configure a Log.
type Options struct {
	Node  ident.Node
	Start ident.Start
	// Size is the number of records that the ring keeps; 0 means 4096.
	Size int
	// Bound is the largest accepted drift of observed timestamps.
	Bound time.Duration
	// Level is the lowest level that is recorded. Events below it are dropped
	// before they get a sequence number: a burst of refused requests would push
	// all others out of the ring, and a gap in the log always means a lost line.
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
	if !l.Enabled(c) {
		return
	}
	fields = bounded(fields)
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
	if l.o.Output != nil {
		_ = l.o.Output(r.Keyvals()...)
	}
}

// Enabled reports whether events of a code are recorded. Callers on the path of
// a request ask it before they build fields.
func (l *Log) Enabled(c Code) bool {
	k, _ := Lookup(c)
	return k.Level >= l.o.Level
}

// bounded returns a copy of the fields whose values are valid UTF-8 and at most
// maxValue bytes long. Values may come from callers, as in a path, and a message
// between nodes can't carry other text.
func bounded(fields []Field) []Field {
	kept := slices.Clone(fields)
	for i, f := range kept {
		if len(f.Value) > maxValue {
			f.Value = f.Value[:maxValue]
		}
		kept[i].Value = strings.ToValidUTF8(f.Value, "")
	}
	return kept
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
