package move

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

// freshWindows is the number of fine windows that Fresh sends: those of the
// last second. At 10 requests a second a row takes about 60 bytes then, so
// that four nodes can gossip every 100 ms within 5 KB/s each.
const freshWindows = 5

// Fault is the latch of a move. It is only ever set.
type Fault struct {
	Set bool
	// Reason names the test that set the latch, for operators.
	Reason string
}

// join sets f if o is set. The lesser reason wins, so that all nodes end with
// the same text.
func (f *Fault) join(o Fault) {
	if !o.Set {
		return
	}
	if !f.Set || o.Reason < f.Reason {
		*f = o
	}
}

// Row is the evidence of one node start, with encoded counters.
type Row struct {
	Node     ident.Node
	Start    ident.Start
	Counters []byte
}

// Evidence is what nodes exchange on a move.
type Evidence struct {
	Move    ident.Move
	Rows    []Row
	Fault   Fault
	Outcome Outcome
}

// Evidence returns everything known, for anti-entropy.
func (m *Mover) Evidence() Evidence {
	return m.collect(func(row map[cell]*counts) (keys []cell) {
		for c := range row {
			if m.kept(c.span) {
				keys = append(keys, c)
			}
		}
		return keys
	})
}

// Fresh returns what changed within the last second, for gossip.
func (m *Mover) Fresh(now time.Time) Evidence {
	m.advance(now)
	var spans []span
	p := &m.opt.Plan
	for r := range len(p.Routes) + 1 {
		for i := range freshWindows + fineAhead {
			spans = append(spans, span{fine, uint8(r), uint32(p.window(fine, m.now) + fineAhead - i)})
		}
		w := p.window(wide, m.now)
		spans = append(spans, span{wide, uint8(r), uint32(w)}, span{wide, uint8(r), uint32(w - 1)})
	}
	return m.collect(func(row map[cell]*counts) (keys []cell) {
		for _, s := range spans {
			for c := range cohorts {
				if k := (cell{s, c}); row[k] != nil {
					keys = append(keys, k)
				}
			}
		}
		return keys
	})
}

// State returns the latch and the outcome without counters. A node that has
// just set or learned of a latch sends it in every datagram.
func (m *Mover) State() Evidence {
	return Evidence{Move: m.opt.Plan.Move, Fault: m.fault, Outcome: m.final.outcome}
}

func (m *Mover) collect(keys func(map[cell]*counts) []cell) Evidence {
	e := m.State()
	for o, cells := range m.rows {
		e.Rows = append(e.Rows, Row{Node: o.node, Start: o.start, Counters: encode(cells, keys(cells))})
	}
	slices.SortFunc(e.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Start, b.Start))
	})
	return e
}

// Merge takes in the evidence of another node by maximum. Evidence of another
// move is ignored. A row that can't be decoded gives ErrCounters and is left
// out; the others are merged.
func (m *Mover) Merge(e Evidence) error {
	if e.Move != m.opt.Plan.Move {
		return nil
	}
	m.fault.join(e.Fault)
	m.learn(e.Outcome)
	var bad error
	for _, r := range e.Rows {
		cells, err := decode(r.Counters)
		if err != nil {
			bad = oops.In("move").With("peer", r.Node).Wrap(err)
			continue
		}
		m.merge(owner{r.Node, r.Start}, cells)
	}
	return bad
}

func (m *Mover) merge(o owner, cells map[cell]*counts) {
	for k, c := range cells {
		if !m.kept(k.span) {
			continue
		}
		if rise := m.slot(o, k).join(c); rise != (counts{}) {
			m.raise(k, &rise)
		}
	}
	m.cache.valid = false
}

// raise adds new counts to the sums over all node starts.
func (m *Mover) raise(k cell, rise *counts) {
	t := m.table(k.span)
	t.cohorts[k.cohort].sum(rise)
	if !t.stale {
		t.stale = true
		m.stale[k.scale] = append(m.stale[k.scale], k.span)
	}
	if k.scale == wide {
		m.loads[k.window][k.cohort].add(rise)
	}
}

// load summarises counters of one cohort.
type load struct {
	requests int
	errors   int
	// level is the sum of the bucket numbers, a logarithm of the latencies.
	level int
}

func (l *load) add(c *counts) {
	l.errors += int(c.errors)
	l.requests += int(c.errors)
	for i, n := range c.buckets {
		l.requests += int(n)
		l.level += i * int(n)
	}
}

// mean returns the mean bucket of the served requests.
func (l load) mean() float64 {
	return float64(l.level) / float64(max(1, l.requests-l.errors))
}
