// Package work counts the work that exit nodes do for each service and merges
// the counts of all nodes into reports.
//
// A node counts cumulatively from its start, and every snapshot of its counts
// has a sequence number. A report takes the latest snapshot of each node start,
// so that repeated, lost and reordered snapshots change nothing but how recent
// the report is. Invariants: a report never counts work twice, never contains
// work that wasn't done, and states each start whose end it doesn't know.
package work

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// DefaultKeys bounds the keys of one node; 256 keys take about 40 KB.
	DefaultKeys = 256
	// otherKeys bounds the additional keys that collect the rest of one version.
	otherKeys = 16
	// Other stands for the rest in a field of a key. It is no valid name.
	Other = "(other)"
	// KeepEvery is the interval for snapshots to a peer. A kill between two of
	// them, with one lost on the way, loses at most a second of work.
	KeepEvery = 500 * time.Millisecond
	// WriteEvery is the interval for writing rows to the table service. With
	// 1,100 nodes this is about 18 writes per second.
	WriteEvery = time.Minute
)

// Outcome is how one request ended at the exit.
type Outcome uint8

const (
	// Ran means that the upstream answered without failure.
	Ran Outcome = iota
	// Failed means that the upstream answered with a failure.
	Failed
	// Unknown means that the upstream may have run the request.
	Unknown
	// Refused means that the request didn't run.
	Refused
)

// Key is what work is counted by.
type Key struct {
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	// Caller is the calling service; empty for callers outside.
	Caller ident.Service
}

// Entry is the work for one request.
type Entry struct {
	Key     Key
	Outcome Outcome
	// Busy is the time that the request held a slot of the upstream.
	Busy time.Duration
	// Bytes is the size of both bodies.
	Bytes uint64
}

// Counts are the cumulative counts of one key. Each request is in exactly one
// of Ran, Failed, Unknown and Refused.
type Counts struct {
	Ran     uint64        `json:"ran"`
	Failed  uint64        `json:"failed"`
	Unknown uint64        `json:"unknown"`
	Refused uint64        `json:"refused"`
	Busy    time.Duration `json:"busy"`
	Bytes   uint64        `json:"bytes"`
}

// Plus returns the sum of both counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Ran:     c.Ran + o.Ran,
		Failed:  c.Failed + o.Failed,
		Unknown: c.Unknown + o.Unknown,
		Refused: c.Refused + o.Refused,
		Busy:    c.Busy + o.Busy,
		Bytes:   c.Bytes + o.Bytes,
	}
}

// Options configure a Ledger.
type Options struct {
	Node  ident.Node
	Start ident.Start
	// Keys bounds the number of keys; 0 means DefaultKeys. Work of further keys
	// is counted under the service and version with Other as route and caller,
	// and if there are too many of these, under Other in all fields.
	Keys int
}

// Ledger counts the work of one start of an exit node. It is a pure machine;
// the caller serializes the calls.
type Ledger struct {
	options  Options
	counts   map[Key]*Counts
	sequence uint64
	from     time.Time
	changed  bool
}

// NewLedger returns an empty ledger of a node that started now.
func NewLedger(o Options, now time.Time) *Ledger {
	if o.Keys <= 0 {
		o.Keys = DefaultKeys
	}
	return &Ledger{options: o, counts: map[Key]*Counts{}, from: now, changed: true}
}

// Record counts the work for one request.
func (l *Ledger) Record(e Entry) {
	c, ok := l.counts[e.Key]
	if !ok {
		c = l.add(e.Key)
	}
	switch e.Outcome {
	case Ran:
		c.Ran++
	case Failed:
		c.Failed++
	case Refused:
		c.Refused++
	default:
		c.Unknown++
	}
	c.Busy += max(0, e.Busy)
	c.Bytes += e.Bytes
	l.changed = true
}

// add returns the counts for a new key, or those that collect the rest.
func (l *Ledger) add(k Key) *Counts {
	if len(l.counts) < l.options.Keys {
		return l.at(k)
	}
	rest := Key{Service: k.Service, Version: k.Version, Route: Other, Caller: Other}
	if _, ok := l.counts[rest]; ok || len(l.counts) < l.options.Keys+otherKeys {
		return l.at(rest)
	}
	return l.at(Key{Service: Other, Version: Other, Route: Other, Caller: Other})
}

func (l *Ledger) at(k Key) *Counts {
	c, ok := l.counts[k]
	if !ok {
		c = &Counts{}
		l.counts[k] = c
	}
	return c
}

// Changed reports whether work was recorded since the last snapshot. A node
// sends no snapshot of an unchanged ledger.
func (l *Ledger) Changed() bool {
	return l.changed
}

// Snapshot returns the counts so far under the next sequence number.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	return l.snapshot(now, false)
}

// Final returns the last snapshot of a planned shutdown. It states that no
// work is missing and is taken after the last request has ended.
func (l *Ledger) Final(now time.Time) Snapshot {
	return l.snapshot(now, true)
}

func (l *Ledger) snapshot(now time.Time, final bool) Snapshot {
	l.sequence++
	l.changed = false
	s := Snapshot{
		Node:     l.options.Node,
		Start:    l.options.Start,
		Sequence: l.sequence,
		From:     l.from.UTC(),
		At:       now.UTC(),
		Final:    final,
		Rows:     make([]Row, 0, len(l.counts)),
	}
	for k, c := range l.counts {
		s.Rows = append(s.Rows, Row{Key: k, Counts: *c})
	}
	sortRows(s.Rows)
	return s
}
