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

// site is one node with its ledger and keeper.
type site struct {
	node   ident.Node
	start  ident.Start
	ledger *work.Ledger
	keeper *work.Keeper
}

// run names the present start of the site.
func (s *site) run() work.Run { return work.Run{Node: s.node, Start: s.start} }

// sequenced names one snapshot.
type sequenced struct {
	run      work.Run
	sequence uint64
}

// system is a few nodes, their store, and what really happened.
type system struct {
	store *fakes.Store
	now   time.Time
	sites []*site
	// flight holds snapshots on their way to peers; they stay and are replayed.
	flight []work.Snapshot
	// truth holds the true counts at each snapshot; done the present ones.
	truth map[sequenced][]work.Row
	done  map[work.Run]uint64
	ended map[work.Run]bool // planned shutdown
}

func newSystem() *system {
	y := &system{
		store: fakes.NewStore(), now: epoch,
		truth: map[sequenced][]work.Row{}, done: map[work.Run]uint64{}, ended: map[work.Run]bool{},
	}
	for _, n := range []ident.Node{"a", "b", "c"} {
		s := &site{node: n}
		y.boot(s)
		y.sites = append(y.sites, s)
	}
	return y
}

func (y *system) boot(s *site) {
	s.start++
	y.done[s.run()] = 0
	s.ledger = work.NewLedger(work.Options{Node: s.node, Start: s.start, Keys: 2}, y.now)
	s.keeper = work.NewKeeper(work.KeeperOptions{Node: s.node, Table: y.store.Table()}, y.now)
}

// take makes a snapshot, keeps it and sends it to peers.
func (y *system) take(t *rapid.T, s *site, final bool) {
	var shot work.Snapshot
	if final {
		shot = s.ledger.Final(y.now)
		y.ended[s.run()] = true
	} else {
		shot = s.ledger.Snapshot(y.now)
	}
	assert.Equal(t, ran(shot.Rows), y.done[s.run()])
	y.truth[sequenced{s.run(), shot.Sequence}] = shot.Rows
	assert.NilError(t, s.keeper.Keep(shot, y.now))
	y.flight = append(y.flight, shot)
}

// deliver hands a snapshot to a keeper, which must not lose a later one.
func (y *system) deliver(t *rapid.T, k *work.Keeper, shot work.Snapshot) {
	before := k.Held()
	assert.NilError(t, k.Keep(shot, y.now))
	for _, old := range before {
		for _, s := range k.Held() {
			same := s.Node == old.Node && s.Start == old.Start
			assert.Assert(t, !same || s.Sequence >= old.Sequence, "a later snapshot was replaced")
		}
	}
}

// check compares a report with what really happened.
func (y *system) check(t *rapid.T, r *work.Report) {
	total := uint64(0)
	for _, s := range r.Snapshots() {
		run := work.Run{Node: s.Node, Start: s.Start}
		assert.DeepEqual(t, s.Rows, y.truth[sequenced{run, s.Sequence}])
		assert.Assert(t, ran(s.Rows) <= y.done[run])
		total += ran(s.Rows)
	}
	assert.Equal(t, ran(r.Rows()), total, "work counted twice or invented")
}

// report reads the table, without faults, and what the keepers hold.
func (y *system) report(t *rapid.T, held bool) *work.Report {
	y.store.SetFault(fakes.Always(fakes.None))
	r := work.NewReport()
	assert.NilError(t, r.Read(context.Background(), y.store.Table()))
	for _, s := range y.sites {
		if held {
			r.Merge(work.NewReport(s.keeper.Held()...))
		}
	}
	return r
}

// Guards against work that is counted twice, invented or lost without a gap:
// nodes killed or shut down, peers taken for gone while they live, snapshots
// lost, late and replayed, a store that is down or loses calls and answers.
func TestReportsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newSystem()
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		draw := func() *site { return y.sites[pick(3)] }
		t.Repeat(map[string]func(*rapid.T){
			"record": func(*rapid.T) {
				s := draw()
				s.ledger.Record(entry(pick(4)))
				y.done[s.run()]++
			},
			"snapshot": func(t *rapid.T) { y.take(t, draw(), false) },
			"deliver": func(t *rapid.T) {
				if len(y.flight) > 0 {
					y.deliver(t, draw().keeper, y.flight[pick(len(y.flight))])
				}
			},
			"write": func(*rapid.T) {
				y.store.SetFault(func() fakes.Fault { return fakes.Fault(pick(4)) })
				_ = draw().keeper.Write(context.Background(), y.now)
			},
			"kill": func(*rapid.T) { y.boot(draw()) },
			"stop": func(t *rapid.T) {
				s := draw()
				y.take(t, s, true)
				assert.NilError(t, draw().keeper.Keep(y.flight[len(y.flight)-1], y.now))
				y.boot(s)
			},
			"gone": func(*rapid.T) {
				of := draw()
				draw().keeper.Gone(work.Run{Node: of.node, Start: of.start - ident.Start(pick(2))})
			},
			"time": func(*rapid.T) { y.now = y.now.Add(time.Duration(pick(100)) * time.Second) },
			"":     func(t *rapid.T) { y.check(t, y.report(t, true)) },
		})
		y.settle(t)
	})
}

// settle shuts everything down with a healthy store and checks the last report.
func (y *system) settle(t *rapid.T) {
	best := y.report(t, true)
	y.store.SetFault(fakes.Always(fakes.None))
	for _, s := range y.sites {
		y.take(t, s, true)
		for _, p := range y.sites {
			for run := range y.done {
				p.keeper.Gone(run)
			}
			assert.NilError(t, p.keeper.Write(context.Background(), y.now))
		}
	}
	last := y.report(t, false)
	y.check(t, last)
	latest := map[work.Run]work.Snapshot{}
	for _, s := range last.Snapshots() {
		latest[work.Run{Node: s.Node, Start: s.Start}] = s
	}
	for _, s := range best.Snapshots() {
		kept := latest[work.Run{Node: s.Node, Start: s.Start}]
		assert.Assert(t, kept.Sequence >= s.Sequence, "a held snapshot of %s %d was lost", s.Node, s.Start)
	}
	for run, s := range latest {
		if s.Final {
			assert.Assert(t, y.ended[run])
			assert.Equal(t, ran(s.Rows), y.done[run], "final snapshot misses work")
		}
	}
	for _, s := range y.sites {
		assert.Assert(t, latest[s.run()].Final, "shutdown of %s is not in the table", s.node)
	}
	open := 0
	for _, g := range last.Gaps() {
		assert.Equal(t, g.Kind, work.Open)
		open++
	}
	finals := 0
	for _, s := range latest {
		if s.Final {
			finals++
		}
	}
	assert.Equal(t, open, len(latest)-finals, "an open end isn't stated")
}
