package usage

import (
	"cmp"
	"slices"

	"github.com/cicadahall/cicadahall/ident"
)

// Table merges the counts of all nodes at the holder of the duty. A pure state
// machine.
type Table struct {
	rows    map[Receiver]*tableRow
	newest  Window
	decided Window
}

// tableRow holds the counts of one start of a node.
type tableRow struct {
	counts   map[Window]map[ident.Workspace]uint64
	complete Window
	// active is the last window with counts, also after those were removed.
	active Window
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{rows: map[Receiver]*tableRow{}}
}

// Merge merges an update by maximum.
func (t *Table) Merge(u Update) {
	key := Receiver{u.Node, u.Start}
	row := t.rows[key]
	if row == nil {
		row = &tableRow{counts: map[Window]map[ident.Workspace]uint64{}}
		t.rows[key] = row
	}
	row.complete = max(row.complete, u.Complete)
	for _, w := range u.Windows {
		row.active = max(row.active, w.Window)
		if w.Window <= t.decided || w.Window <= t.newest-Retained {
			continue
		}
		counts := row.counts[w.Window]
		if counts == nil {
			counts = map[ident.Workspace]uint64{}
			row.counts[w.Window] = counts
		}
		for _, c := range w.Counts {
			counts[c.Workspace] = max(counts[c.Workspace], c.Requests)
		}
		if w.Window > t.newest {
			t.newest = w.Window
			t.drop(t.newest - Retained)
		}
	}
}

// RecordDecided removes the counts of the windows up to the given one.
func (t *Table) RecordDecided(through Window) {
	t.decided = max(t.decided, through)
	t.drop(t.decided)
}

func (t *Table) drop(through Window) {
	for key, row := range t.rows {
		for w := range row.counts {
			if w <= through {
				delete(row.counts, w)
			}
		}
		if len(row.counts) == 0 && row.complete < t.newest-Retained {
			delete(t.rows, key)
		}
	}
}

// Sum returns the counts of a window over all nodes.
func (t *Table) Sum(w Window) map[ident.Workspace]uint64 {
	sum := map[ident.Workspace]uint64{}
	for _, row := range t.rows {
		for workspace, n := range row.counts[w] {
			sum[workspace] += n
		}
	}
	return sum
}

// First returns the first window after a given one that has counts.
func (t *Table) First(after Window) (Window, bool) {
	first, found := Window(0), false
	for _, row := range t.rows {
		for w := range row.counts {
			if w > after && (!found || w < first) {
				first, found = w, true
			}
		}
	}
	return first, found
}

// Incomplete reports whether a node that has counts in the window or the one
// before, and that responds, may still have counts of the window.
func (t *Table) Incomplete(w Window, responds func(ident.Node) bool) bool {
	for key, row := range t.rows {
		if row.complete < w && row.active >= w-1 && responds(key.Node) {
			return true
		}
	}
	return false
}

// Updates returns all counts, for the next holder.
func (t *Table) Updates() []Update {
	var out []Update
	for key, row := range t.rows {
		u := Update{Node: key.Node, Start: key.Start, Complete: row.complete}
		for w, counts := range row.counts {
			wc := WindowCounts{Window: w}
			for workspace, n := range counts {
				wc.Counts = append(wc.Counts, Count{workspace, n})
			}
			u.Windows = append(u.Windows, wc)
		}
		if len(u.Windows) > 0 {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Update) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Start, b.Start))
	})
	return out
}
