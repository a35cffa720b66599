package work

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

// NodeStart identifies one start of a node.
type NodeStart struct {
	Node  ident.Node
	Start ident.Start
}

// GapKind classifies a gap.
type GapKind string

const (
	// Open means that the last snapshot isn't final: the node was killed or is
	// still running, and work after Gap.MissingAfter isn't in the report.
	Open GapKind = "open"
	// Missing means that there is no snapshot of a start that is known to exist.
	Missing GapKind = "missing"
	// Unreadable means that a row of the table service can't be decoded.
	Unreadable GapKind = "unreadable"
)

// Gap is a part of the work that a report doesn't contain.
type Gap struct {
	Kind  GapKind     `json:"kind"`
	Node  ident.Node  `json:"node,omitempty"`
	Start ident.Start `json:"start,omitempty"`
	// MissingAfter is the time after which work is missing. It is set for Open
	// only.
	MissingAfter time.Time `json:"after,omitzero"`
	// Row is the key of the row. It is set for Unreadable only.
	Row string `json:"row,omitempty"`
}

// Report merges snapshots of any number of nodes. The result doesn't depend on
// the order of the calls or on repeated snapshots. Use NewReport to create one.
type Report struct {
	latest     map[NodeStart]Snapshot
	expected   map[NodeStart]bool
	unreadable map[string]bool
}

// NewReport returns a report of the snapshots.
func NewReport(snapshots ...Snapshot) *Report {
	r := &Report{latest: map[NodeStart]Snapshot{}, expected: map[NodeStart]bool{}, unreadable: map[string]bool{}}
	for _, s := range snapshots {
		r.Add(s)
	}
	return r
}

// Add merges one snapshot. For each node start, the snapshot with the highest
// sequence number counts.
func (r *Report) Add(s Snapshot) {
	nodeStart := NodeStart{Node: s.Node, Start: s.Start}
	if old, ok := r.latest[nodeStart]; !ok || s.later(old) {
		r.latest[nodeStart] = s
	}
}

// Merge adds everything in report o.
func (r *Report) Merge(o *Report) {
	for _, s := range o.latest {
		r.Add(s)
	}
	for nodeStart := range o.expected {
		r.Expect(nodeStart)
	}
	for key := range o.unreadable {
		r.unreadable[key] = true
	}
}

// AddRow merges a row of the table service. A row that can't be decoded becomes
// a gap.
func (r *Report) AddRow(row store.Row) {
	s, err := Decode(row.Value)
	if err != nil || s.RowKey() != row.Key {
		r.unreadable[row.Key] = true
		return
	}
	r.Add(s)
}

// Expect states that a node start exists, for example because membership lists
// it.
func (r *Report) Expect(nodeStart NodeStart) {
	r.expected[nodeStart] = true
}

// Read adds the rows of the table service whose keys begin with RowPrefix.
func (r *Report) Read(ctx context.Context, t store.Table) error {
	rows, result := t.Scan(ctx, RowPrefix)
	if !result.OK() {
		return oops.In("work").With("outcome", result.Outcome.String()).Wrapf(result.Err, "read work rows")
	}
	for _, row := range rows {
		r.AddRow(row)
	}
	return nil
}

// Rows returns the sums over all node starts, sorted by key.
func (r *Report) Rows() []Row {
	sums := map[Key]Counts{}
	for _, s := range r.latest {
		for _, row := range s.Rows {
			sums[row.Key] = sums[row.Key].Plus(row.Counts)
		}
	}
	rows := make([]Row, 0, len(sums))
	for k, c := range sums {
		rows = append(rows, Row{Key: k, Counts: c})
	}
	sortRows(rows)
	return rows
}

// Snapshots returns the latest snapshot of each node start, sorted by node and start.
func (r *Report) Snapshots() []Snapshot {
	all := make([]Snapshot, 0, len(r.latest))
	for _, s := range r.latest {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Snapshot) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Start, b.Start))
	})
	return all
}

// Gaps returns the parts of the work that are missing, sorted by node, start and
// row.
func (r *Report) Gaps() []Gap {
	gaps := []Gap{}
	for nodeStart, s := range r.latest {
		if !s.Final {
			gaps = append(gaps, Gap{Kind: Open, Node: nodeStart.Node, Start: nodeStart.Start, MissingAfter: s.TakenAt})
		}
	}
	for nodeStart := range r.expected {
		if _, ok := r.latest[nodeStart]; !ok {
			gaps = append(gaps, Gap{Kind: Missing, Node: nodeStart.Node, Start: nodeStart.Start})
		}
	}
	for key := range r.unreadable {
		gaps = append(gaps, Gap{Kind: Unreadable, Row: key})
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Start, b.Start), cmp.Compare(a.Row, b.Row))
	})
	return gaps
}
