// Package work counts the requests that exit nodes process for each service, and
// merges the counts of all nodes into reports.
//
// A node counts cumulatively from its start, and every snapshot of its counts
// has a sequence number. A report uses the latest snapshot of each node start,
// so repeated, lost and reordered snapshots only affect how recent the report
// is. Invariants: a report never counts work twice, never contains work that
// wasn't done, and lists a gap for each start whose end it doesn't know.
package work

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// DefaultMaxKeys is the default bound on the keys of one node; 256 keys take
	// about 40 KB.
	DefaultMaxKeys = 256
	// maxOverflowKeys bounds the additional keys, one for each service and
	// version, that collect work beyond the bound on keys.
	maxOverflowKeys = 16
	// Other stands for all remaining values in a field of a key. It isn't a valid
	// name.
	Other = "(other)"
	// KeepInterval is the interval at which a node sends snapshots to a peer.
	// If the node is killed between two of them and one is lost in transit, at
	// most one second of work is lost.
	KeepInterval = 500 * time.Millisecond
	// WriteInterval is the interval at which a node writes its row to the table
	// service. With 1,100 nodes this is about 18 writes per second.
	WriteInterval = time.Minute
)

// Outcome is the result of one request at the exit.
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

// Key identifies a group of requests that are counted together.
type Key struct {
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	// Caller is the calling service; it is empty for callers outside the system.
	Caller ident.Service
}

// RequestWork describes the work of one request.
type RequestWork struct {
	Key     Key
	Outcome Outcome
	// Busy is the time for which the request occupied a slot of the upstream.
	Busy time.Duration
	// Bytes is the size of the request and response bodies.
	Bytes uint64
}

// Counts are the cumulative counts of one key. Each request is counted in
// exactly one of Ran, Failed, Unknown and Refused.
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

// LedgerOptions configure a Ledger.
type LedgerOptions struct {
	Node  ident.Node
	Start ident.Start
	// MaxKeys bounds the number of keys; 0 means DefaultMaxKeys. Work of further
	// keys is counted under its service and version with Other as route and
	// caller, and under Other in all fields if there are too many of these.
	MaxKeys int
}

// Ledger counts the work of one start of an exit node. It performs no I/O and
// isn't safe for concurrent use.
type Ledger struct {
	options   LedgerOptions
	counts    map[Key]*Counts
	sequence  uint64
	startedAt time.Time
	changed   bool
}

// NewLedger returns an empty ledger of a node that started now.
func NewLedger(o LedgerOptions, now time.Time) *Ledger {
	if o.MaxKeys <= 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	return &Ledger{options: o, counts: map[Key]*Counts{}, startedAt: now, changed: true}
}

// Record counts the work of one request.
func (l *Ledger) Record(e RequestWork) {
	c, ok := l.counts[e.Key]
	if !ok {
		c = l.newCounts(e.Key)
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

// newCounts returns the counts for a new key, or the overflow counts if there
// are too many keys.
func (l *Ledger) newCounts(k Key) *Counts {
	if len(l.counts) < l.options.MaxKeys {
		return l.countsAt(k)
	}
	overflow := Key{Service: k.Service, Version: k.Version, Route: Other, Caller: Other}
	if _, ok := l.counts[overflow]; ok || len(l.counts) < l.options.MaxKeys+maxOverflowKeys {
		return l.countsAt(overflow)
	}
	return l.countsAt(Key{Service: Other, Version: Other, Route: Other, Caller: Other})
}

func (l *Ledger) countsAt(k Key) *Counts {
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

// Final returns the last snapshot of a planned shutdown. It must be taken after
// the last request has ended, because it states that no work is missing.
func (l *Ledger) Final(now time.Time) Snapshot {
	return l.snapshot(now, true)
}

func (l *Ledger) snapshot(now time.Time, final bool) Snapshot {
	l.sequence++
	l.changed = false
	s := Snapshot{
		Node:      l.options.Node,
		Start:     l.options.Start,
		Sequence:  l.sequence,
		StartedAt: l.startedAt.UTC(),
		TakenAt:   now.UTC(),
		Final:     final,
		Rows:      make([]Row, 0, len(l.counts)),
	}
	for k, c := range l.counts {
		s.Rows = append(s.Rows, Row{Key: k, Counts: *c})
	}
	sortRows(s.Rows)
	return s
}
