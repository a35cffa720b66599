package work_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/work"
)

// testNode is one node with its ledger and keeper.
type testNode struct {
	name   ident.Node
	start  ident.Start
	ledger *work.Ledger
	keeper *work.Keeper
}

// nodeStart identifies the current start of the node.
func (n *testNode) nodeStart() work.NodeStart { return work.NodeStart{Node: n.name, Start: n.start} }

// sequenced identifies one snapshot.
type sequenced struct {
	nodeStart work.NodeStart
	sequence  uint64
}

// sim is a few nodes, their store, and the work that was actually recorded.
type sim struct {
	store *fakes.Store
	now   time.Time
	nodes []*testNode
	// inFlight holds snapshots sent to peers; they stay in it and may be
	// delivered again.
	inFlight []work.Snapshot
	// recorded holds the counts at each snapshot, recordedCount the current
	// number of requests of each start.
	recorded      map[sequenced][]work.Row
	recordedCount map[work.NodeStart]uint64
	shutDown      map[work.NodeStart]bool // planned shutdown
}

func newSim() *sim {
	s := &sim{
		store: fakes.NewStore(), now: epoch,
		recorded: map[sequenced][]work.Row{}, recordedCount: map[work.NodeStart]uint64{}, shutDown: map[work.NodeStart]bool{},
	}
	for _, name := range []ident.Node{"a", "b", "c"} {
		n := &testNode{name: name}
		s.boot(n)
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (sm *sim) boot(n *testNode) {
	n.start++
	sm.recordedCount[n.nodeStart()] = 0
	n.ledger = work.NewLedger(work.LedgerOptions{Node: n.name, Start: n.start, MaxKeys: 2}, sm.now)
	n.keeper = work.NewKeeper(work.KeeperOptions{Node: n.name, Table: sm.store.Table()}, sm.now)
}

// takeSnapshot takes a snapshot, keeps it and sends it to peers.
func (sm *sim) takeSnapshot(t *rapid.T, n *testNode, final bool) {
	var snapshot work.Snapshot
	if final {
		snapshot = n.ledger.Final(sm.now)
		sm.shutDown[n.nodeStart()] = true
	} else {
		snapshot = n.ledger.Snapshot(sm.now)
	}
	assert.Equal(t, totalRan(snapshot.Rows), sm.recordedCount[n.nodeStart()])
	sm.recorded[sequenced{n.nodeStart(), snapshot.Sequence}] = snapshot.Rows
	assert.NilError(t, n.keeper.Keep(snapshot, sm.now))
	sm.inFlight = append(sm.inFlight, snapshot)
}

// deliver passes a snapshot to a keeper, which must not replace a later one.
func (sm *sim) deliver(t *rapid.T, k *work.Keeper, snapshot work.Snapshot) {
	before := k.Snapshots()
	assert.NilError(t, k.Keep(snapshot, sm.now))
	for _, old := range before {
		for _, s := range k.Snapshots() {
			same := s.Node == old.Node && s.Start == old.Start
			assert.Assert(t, !same || s.Sequence >= old.Sequence, "a later snapshot was replaced")
		}
	}
}

// check compares a report with the recorded work.
func (sm *sim) check(t *rapid.T, r *work.Report) {
	total := uint64(0)
	for _, s := range r.Snapshots() {
		nodeStart := work.NodeStart{Node: s.Node, Start: s.Start}
		assert.DeepEqual(t, s.Rows, sm.recorded[sequenced{nodeStart, s.Sequence}])
		assert.Assert(t, totalRan(s.Rows) <= sm.recordedCount[nodeStart])
		total += totalRan(s.Rows)
	}
	assert.Equal(t, totalRan(r.Rows()), total, "work counted twice or invented")
}

// report reads the table without faults and, with withHeld, the snapshots that
// the keepers hold.
func (sm *sim) report(t *rapid.T, withHeld bool) *work.Report {
	sm.store.SetFault(fakes.AlwaysFault(fakes.NoFault))
	r := work.NewReport()
	assert.NilError(t, r.Read(context.Background(), sm.store.Table()))
	for _, n := range sm.nodes {
		if withHeld {
			r.Merge(work.NewReport(n.keeper.Snapshots()...))
		}
	}
	return r
}

// Guards against work that is counted twice, invented or lost without a gap. It
// can come about when nodes are killed or shut down, peers are declared ended
// while they run, snapshots are lost, delayed or repeated, and the store is down
// or loses calls or answers.
func TestReportsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		pick := func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "pick") }
		drawNode := func() *testNode { return s.nodes[pick(3)] }
		t.Repeat(map[string]func(*rapid.T){
			"record": func(*rapid.T) {
				n := drawNode()
				n.ledger.Record(testEntry(pick(4)))
				s.recordedCount[n.nodeStart()]++
			},
			"snapshot": func(t *rapid.T) { s.takeSnapshot(t, drawNode(), false) },
			"deliver": func(t *rapid.T) {
				if len(s.inFlight) > 0 {
					s.deliver(t, drawNode().keeper, s.inFlight[pick(len(s.inFlight))])
				}
			},
			"write": func(*rapid.T) {
				s.store.SetFault(func() fakes.Fault { return fakes.Fault(pick(4)) })
				_ = drawNode().keeper.Write(context.Background(), s.now)
			},
			"kill": func(*rapid.T) { s.boot(drawNode()) },
			"stop": func(t *rapid.T) {
				n := drawNode()
				s.takeSnapshot(t, n, true)
				assert.NilError(t, drawNode().keeper.Keep(s.inFlight[len(s.inFlight)-1], s.now))
				s.boot(n)
			},
			"gone": func(*rapid.T) {
				ended := drawNode()
				drawNode().keeper.MarkEnded(work.NodeStart{Node: ended.name, Start: ended.start - ident.Start(pick(2))})
			},
			"time": func(*rapid.T) { s.now = s.now.Add(time.Duration(pick(100)) * time.Second) },
			"":     func(t *rapid.T) { s.check(t, s.report(t, true)) },
		})
		s.settle(t)
	})
}

// settle shuts all nodes down with a healthy store and checks the last report.
func (sm *sim) settle(t *rapid.T) {
	before := sm.report(t, true)
	sm.store.SetFault(fakes.AlwaysFault(fakes.NoFault))
	for _, s := range sm.nodes {
		sm.takeSnapshot(t, s, true)
		for _, p := range sm.nodes {
			for nodeStart := range sm.recordedCount {
				p.keeper.MarkEnded(nodeStart)
			}
			assert.NilError(t, p.keeper.Write(context.Background(), sm.now))
		}
	}
	final := sm.report(t, false)
	sm.check(t, final)
	latest := map[work.NodeStart]work.Snapshot{}
	for _, s := range final.Snapshots() {
		latest[work.NodeStart{Node: s.Node, Start: s.Start}] = s
	}
	for _, s := range before.Snapshots() {
		kept := latest[work.NodeStart{Node: s.Node, Start: s.Start}]
		assert.Assert(t, kept.Sequence >= s.Sequence, "a held snapshot of %s %d was lost", s.Node, s.Start)
	}
	for nodeStart, s := range latest {
		if s.Final {
			assert.Assert(t, sm.shutDown[nodeStart])
			assert.Equal(t, totalRan(s.Rows), sm.recordedCount[nodeStart], "final snapshot misses work")
		}
	}
	for _, s := range sm.nodes {
		assert.Assert(t, latest[s.nodeStart()].Final, "shutdown of %s is not in the table", s.name)
	}
	openGaps := 0
	for _, g := range final.Gaps() {
		assert.Equal(t, g.Kind, work.Open)
		openGaps++
	}
	finals := 0
	for _, s := range latest {
		if s.Final {
			finals++
		}
	}
	assert.Equal(t, openGaps, len(latest)-finals, "a start without a final snapshot has no gap")
}
