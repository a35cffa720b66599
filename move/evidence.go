package move

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
)

// recentWindows is the number of fine windows that Recent returns, those of the
// last second. A row then takes about 60 bytes at 10 requests a second, so four
// nodes can gossip every 100 ms within 5 KB/s each.
const recentWindows = 5

// Fault is the fault latch of a move. Once set, it stays set.
type Fault struct {
	Set bool
	// Reason names the test that set the latch, for display to operators.
	Reason string
}

// merge sets f if o is set. The lexically smaller reason wins, so that all nodes
// converge on the same text.
func (f *Fault) merge(o Fault) {
	if !o.Set {
		return
	}
	if !f.Set || o.Reason < f.Reason {
		*f = o
	}
}

// EvidenceRow is the evidence of one node start, with its counters encoded.
type EvidenceRow struct {
	Node     ident.Node
	Start    ident.Start
	Counters []byte
}

// Evidence is the state of a move that nodes exchange.
type Evidence struct {
	Move    ident.Move
	Rows    []EvidenceRow
	Fault   Fault
	Outcome Outcome
}

// Evidence returns the complete state, for anti-entropy.
func (m *Mover) Evidence() Evidence {
	return m.collect(func(row map[counterKey]*counts) (keys []counterKey) {
		for c := range row {
			if m.isKept(c.windowKey) {
				keys = append(keys, c)
			}
		}
		return keys
	})
}

// Recent returns the counters that changed within about the last second, for
// gossip.
func (m *Mover) Recent(now time.Time) Evidence {
	m.advanceClock(now)
	var windows []windowKey
	p := &m.options.Plan
	for r := range len(p.Routes) + 1 {
		for i := range recentWindows + fineWindowsAhead {
			windows = append(windows, windowKey{fine, uint8(r), uint32(p.windowIndex(fine, m.now) + fineWindowsAhead - i)})
		}
		w := p.windowIndex(wide, m.now)
		windows = append(windows, windowKey{wide, uint8(r), uint32(w)}, windowKey{wide, uint8(r), uint32(w - 1)})
	}
	return m.collect(func(row map[counterKey]*counts) (keys []counterKey) {
		for _, window := range windows {
			for c := range cohortCount {
				if k := (counterKey{window, c}); row[k] != nil {
					keys = append(keys, k)
				}
			}
		}
		return keys
	})
}

// State returns the latch and the outcome without counters. A node whose latch
// has just been set, by its own test or by a merge, sends it in every datagram.
func (m *Mover) State() Evidence {
	return Evidence{Move: m.options.Plan.Move, Fault: m.fault, Outcome: m.decision.outcome}
}

func (m *Mover) collect(keys func(map[counterKey]*counts) []counterKey) Evidence {
	e := m.State()
	for o, counters := range m.rows {
		e.Rows = append(e.Rows, EvidenceRow{Node: o.node, Start: o.start, Counters: encode(counters, keys(counters))})
	}
	slices.SortFunc(e.Rows, func(a, b EvidenceRow) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Start, b.Start))
	})
	return e
}

// Merge merges the evidence of another node by the maximum of each counter.
// Evidence of another move is ignored. Rows that can't be decoded are skipped
// and reported as ErrInvalidCounters; the others are merged.
func (m *Mover) Merge(e Evidence) error {
	if e.Move != m.options.Plan.Move {
		return nil
	}
	m.fault.merge(e.Fault)
	m.setOutcome(e.Outcome)
	var rowErr error
	for _, r := range e.Rows {
		counters, err := decode(r.Counters)
		if err != nil {
			rowErr = oops.In("move").With("peer", r.Node).Wrap(err)
			continue
		}
		m.mergeRow(nodeStart{r.Node, r.Start}, counters)
	}
	return rowErr
}

func (m *Mover) mergeRow(o nodeStart, counters map[counterKey]*counts) {
	for k, c := range counters {
		if !m.isKept(k.windowKey) {
			continue
		}
		if increase := m.countsAt(o, k).mergeMax(c); increase != (counts{}) {
			m.addIncrease(k, &increase)
		}
	}
	m.cache.valid = false
}

// addIncrease adds new counts to the sums over all node starts.
func (m *Mover) addIncrease(k counterKey, increase *counts) {
	t := m.windowAt(k.windowKey)
	t.cohorts[k.cohort].add(increase)
	if !t.stale {
		t.stale = true
		m.staleWindows[k.scale] = append(m.staleWindows[k.scale], k.windowKey)
	}
	if k.scale == wide {
		m.wideTotals[k.window][k.cohort].add(increase)
	}
}

// cohortTotals sums up the counters of one cohort.
type cohortTotals struct {
	requests int
	errors   int
	// bucketSum is the sum of the bucket indexes, which are proportional to the
	// logarithms of the latencies.
	bucketSum int
}

func (l *cohortTotals) add(c *counts) {
	l.errors += int(c.errors)
	l.requests += int(c.errors)
	for i, n := range c.buckets {
		l.requests += int(n)
		l.bucketSum += i * int(n)
	}
}

// mean returns the mean bucket index of the served requests.
func (l cohortTotals) mean() float64 {
	return float64(l.bucketSum) / float64(max(1, l.requests-l.errors))
}
