package usage

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// Retained is the number of windows for which counts are kept: two minutes
	// of windows of 5 s, as long as outages of the store that were seen.
	Retained = 24
	// undatedSlot is the resolution of counts while true time isn't known.
	undatedSlot = 100 * time.Millisecond
	// maxUndated bounds the counts kept while true time isn't known, of one
	// minute and 82 workspaces.
	maxUndated = 60 * 10 * 82
)

// Count is the number of requests of a workspace.
type Count struct {
	Workspace ident.Workspace
	Requests  uint64
}

// WindowCounts holds the counts of one window.
type WindowCounts struct {
	Window Window
	Counts []Count
}

// Update is a message with cumulative counts of one start of a node. It may omit
// counts that the receiver has acknowledged.
type Update struct {
	Node  ident.Node
	Start ident.Start
	// Complete is the last window of which the node will count no more requests.
	Complete Window
	Windows  []WindowCounts
}

// Receiver is the process to which counts are sent. Start is 0 until its first
// answer.
type Receiver struct {
	Node  ident.Node
	Start ident.Start
}

type undatedKey struct {
	slot      int64
	workspace ident.Workspace
}

// Ledger holds the counts of one start of a node. A pure state machine.
type Ledger struct {
	node   ident.Node
	start  ident.Start
	length time.Duration
	counts map[Window]map[ident.Workspace]uint64
	newest Window
	// decided is the last window of which the report is known to be decided.
	decided Window
	// undated holds counts of the time before true time was known, by time since
	// epoch.
	undated map[undatedKey]uint64
	epoch   time.Time
	dropped uint64
	// receiver has acknowledged the counts in acknowledged and all windows up to
	// complete.
	receiver     Receiver
	acknowledged map[Window]map[ident.Workspace]uint64
	complete     Window
}

// NewLedger returns an empty Ledger for windows of the given length. Epoch is the
// start of the process.
func NewLedger(node ident.Node, start ident.Start, length time.Duration, epoch time.Time) *Ledger {
	return &Ledger{
		node: node, start: start, length: length, epoch: epoch,
		counts:       map[Window]map[ident.Workspace]uint64{},
		undated:      map[undatedKey]uint64{},
		acknowledged: map[Window]map[ident.Workspace]uint64{},
	}
}

// Count counts a request that was sent to the upstream at now.
func (l *Ledger) Count(w ident.Workspace, c *Clock, now time.Time) {
	if t, ok := c.True(now); ok {
		l.add(WindowAt(t, l.length), w, 1)
		return
	}
	k := undatedKey{slot: int64(now.Sub(l.epoch) / undatedSlot), workspace: w}
	if _, ok := l.undated[k]; !ok && len(l.undated) >= maxUndated {
		l.dropped++
		return
	}
	l.undated[k]++
}

// Dropped returns the number of requests that were not counted, because true time
// was not known for too long.
func (l *Ledger) Dropped() uint64 { return l.dropped }

func (l *Ledger) add(window Window, w ident.Workspace, n uint64) {
	if window <= l.decided || window <= l.newest-Retained {
		return
	}
	if l.counts[window] == nil {
		l.counts[window] = map[ident.Workspace]uint64{}
	}
	l.counts[window][w] += n
	if window > l.newest {
		l.newest = window
		l.forget(l.newest - Retained)
	}
}

// date moves the counts of the time before true time was known to their windows.
func (l *Ledger) date(c *Clock) {
	for k, n := range l.undated {
		t, ok := c.True(l.epoch.Add(time.Duration(k.slot)*undatedSlot + undatedSlot/2))
		if !ok {
			return
		}
		l.add(WindowAt(t, l.length), k.workspace, n)
		delete(l.undated, k)
	}
}

// RecordDecided removes the counts of the windows up to the given one, whose
// reports can't change any more.
func (l *Ledger) RecordDecided(through Window) {
	l.decided = max(l.decided, through)
	l.forget(l.decided)
}

func (l *Ledger) forget(through Window) {
	for w := range l.counts {
		if w <= through {
			delete(l.counts, w)
			delete(l.acknowledged, w)
		}
	}
}

// Update returns the counts that the receiver hasn't acknowledged. It returns
// false if there are none and all windows with counts that have ended are known
// to the receiver as complete.
func (l *Ledger) Update(to Receiver, c *Clock, now time.Time) (Update, bool) {
	if to != l.receiver {
		l.receiver, l.complete = to, 0
		clear(l.acknowledged)
	}
	t, ok := c.True(now)
	if !ok {
		return Update{Node: l.node, Start: l.start}, false
	}
	l.date(c)
	u := Update{Node: l.node, Start: l.start, Complete: WindowAt(t, l.length) - 1}
	due := false
	for window, counts := range l.counts {
		var changed []Count
		for w, n := range counts {
			if n != l.acknowledged[window][w] {
				changed = append(changed, Count{w, n})
			}
		}
		if len(changed) > 0 {
			u.Windows = append(u.Windows, WindowCounts{window, changed})
		}
		due = due || len(changed) > 0 || window > l.complete && window <= u.Complete
	}
	return u, due
}

// Acknowledge records that the receiver has merged an update.
func (l *Ledger) Acknowledge(from Receiver, u Update) {
	if l.receiver.Start == 0 && l.receiver.Node == from.Node {
		l.receiver = from
	}
	if from != l.receiver {
		return
	}
	l.complete = max(l.complete, u.Complete)
	for _, w := range u.Windows {
		if l.counts[w.Window] == nil {
			continue
		}
		if l.acknowledged[w.Window] == nil {
			l.acknowledged[w.Window] = map[ident.Workspace]uint64{}
		}
		for _, c := range w.Counts {
			l.acknowledged[w.Window][c.Workspace] = max(l.acknowledged[w.Window][c.Workspace], c.Requests)
		}
	}
}
