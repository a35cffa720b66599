package work_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/store"
	"github.com/cicadahall/cicadahall/work"
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func testKey(n int) work.Key {
	return work.Key{Service: "counter", Version: "v1", Route: ident.Route(fmt.Sprintf("r%d", n)), Caller: "portal"}
}

func testEntry(n int) work.RequestWork {
	return work.RequestWork{Key: testKey(n), Outcome: work.Ran, Busy: time.Millisecond, Bytes: 10}
}

func newLedger(start ident.Start) *work.Ledger {
	return work.NewLedger(work.LedgerOptions{Node: "a", Start: start}, epoch)
}

// totalRan returns the sum of Ran over all rows.
func totalRan(rows []work.Row) (n uint64) {
	for _, r := range rows {
		n += r.Counts.Ran
	}
	return n
}

// Guards against a report that depends on the order of snapshots or on
// repetitions, or that uses a lower sequence number over a higher one.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []work.Snapshot
		want := uint64(0)
		for start := range ident.Start(3) {
			l := newLedger(start + 1)
			for range rapid.IntRange(0, 4).Draw(t, "snapshots") {
				l.Record(testEntry(rapid.IntRange(0, 2).Draw(t, "key")))
				want++
				all = append(all, l.Snapshot(epoch.Add(time.Second)))
			}
		}
		complete := work.NewReport(all...)
		shuffled := rapid.Permutation(append(all, all...)).Draw(t, "order")
		cut := rapid.IntRange(0, len(shuffled)).Draw(t, "cut")
		left, right := work.NewReport(shuffled[:cut]...), work.NewReport(shuffled[cut:]...)
		left.Merge(right)
		left.Merge(right)
		assert.DeepEqual(t, left.Rows(), complete.Rows())
		assert.DeepEqual(t, left.Gaps(), complete.Gaps())
		assert.Equal(t, totalRan(left.Rows()), want)
	})
}

// Guards against a report that depends on the order of two different snapshots
// with the same sequence number.
func TestMergeSameSequence(t *testing.T) {
	a, b := newLedger(1), newLedger(1)
	b.Record(testEntry(1))
	x, y := a.Snapshot(epoch), b.Snapshot(epoch)
	assert.DeepEqual(t, work.NewReport(x, y).Rows(), work.NewReport(y, x).Rows())
}

// Guards against unbounded keys, against work that is dropped when there are too
// many, and against overflow that is counted under a regular key.
func TestLedgerBoundsKeys(t *testing.T) {
	l := work.NewLedger(work.LedgerOptions{Node: "a", Start: 1, MaxKeys: 4}, epoch)
	for i := range 1000 {
		e := testEntry(i)
		e.Key.Version = ident.Version(fmt.Sprintf("v%d", i%50))
		l.Record(e)
	}
	s := l.Snapshot(epoch)
	assert.Assert(t, len(s.Rows) <= 4+16+1, "%d", len(s.Rows))
	assert.Equal(t, totalRan(s.Rows), uint64(1000))
	others := 0
	for _, r := range s.Rows {
		if r.Key.Route == work.Other {
			others++
		}
	}
	assert.Equal(t, others, len(s.Rows)-4)
}

// Guards against outcomes counted in the wrong field and against negative times.
func TestLedgerOutcomes(t *testing.T) {
	l := newLedger(1)
	for i, o := range []work.Outcome{work.Ran, work.Failed, work.Failed, work.Unknown, work.Refused} {
		l.Record(work.RequestWork{Key: testKey(1), Outcome: o, Busy: time.Duration(i-1) * time.Second, Bytes: 2})
	}
	want := work.Counts{Ran: 1, Failed: 2, Unknown: 1, Refused: 1, Busy: 6 * time.Second, Bytes: 10}
	assert.DeepEqual(t, l.Snapshot(epoch).Rows, []work.Row{{Key: testKey(1), Counts: want}})
	assert.Assert(t, !l.Changed())
}

// Guards against a report without a gap for a killed start, for a start without
// any row, or for a row that can't be decoded or is stored under another node's
// key.
func TestReportStatesGaps(t *testing.T) {
	open, final := newLedger(1).Snapshot(epoch.Add(time.Second)), newLedger(2).Final(epoch)
	r := work.NewReport(open, final)
	for start := range ident.Start(3) {
		r.Expect(work.NodeStart{Node: "a", Start: start + 1})
	}
	r.AddRow(store.Row{Key: "work/a/4", Value: []byte("{")})
	r.AddRow(store.Row{Key: "work/b/2", Value: final.Encode()})
	assert.DeepEqual(t, r.Gaps(), []work.Gap{
		{Kind: work.Unreadable, Row: "work/a/4"},
		{Kind: work.Unreadable, Row: "work/b/2"},
		{Kind: work.Open, Node: "a", Start: 1, MissingAfter: epoch.Add(time.Second)},
		{Kind: work.Missing, Node: "a", Start: 3},
	})
	b, err := json.Marshal(r)
	assert.NilError(t, err)
	want := `{"format":1,"runs":2,"rows":[],"gaps":[{"kind":"unreadable","row":"work/a/4"},` +
		`{"kind":"unreadable","row":"work/b/2"},{"kind":"open","node":"a","start":1,"after":"2026-12-04T10:00:01Z"},` +
		`{"kind":"missing","node":"a","start":3}]}`
	assert.Equal(t, string(b), want)
}

// Guards against a snapshot that the encoding changes, and against malformed
// ones that are accepted.
func TestSnapshotEncoding(t *testing.T) {
	l := newLedger(1 << 63)
	for i := range 15 {
		l.Record(testEntry(i))
	}
	s := l.Snapshot(epoch)
	got, err := work.Decode(s.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s)
	t.Logf("15 keys: %d bytes", len(s.Encode()))
	head := `"node":"a","start":1,"sequence":1,"from":"2026-12-04T10:00:00Z","at":"2026-12-04T10:00:00Z","final":false,"rows":`
	row := `["s","v","r","c",1,0,0,0,5,6]`
	_, err = work.Decode([]byte(`{"format":1,` + head + `[` + row + `]}`))
	assert.NilError(t, err)
	for _, bad := range []string{
		``, `{}`, `{"format":2,` + head + `[]}`, `{"format":1,"more":1,` + head + `[]}`,
		`{"format":1,` + head + `[]}{}`,
		`{"format":1,` + head + `[` + row + `,` + row + `]}`,
		`{"format":1,` + head + `[["s","v","r","c",-1,0,0,0,5,6]]}`,
		`{"format":1,` + head + `[["s","v","r","c",1,0,0,0,-5,6]]}`,
		`{"format":1,` + head + `[["s","v","r","c",1,0,0,0,5]]}`,
	} {
		_, err := work.Decode([]byte(bad))
		assert.ErrorIs(t, err, work.ErrInvalidSnapshot, bad)
	}
}

// Guards against a loss of more than one second of work when a node is killed
// while the store is down and one snapshot to the peer is lost in transit.
func TestKillLosesAtMostOneSecond(t *testing.T) {
	s := fakes.NewStore()
	s.SetFault(fakes.AlwaysFault(fakes.Unavailable))
	peer := work.NewKeeper(work.KeeperOptions{Node: "b", Table: s.Table()}, epoch)
	l := newLedger(1)
	now := epoch
	const step = 10 * time.Millisecond
	for ; now.Before(epoch.Add(89 * time.Second)); now = now.Add(step) {
		l.Record(testEntry(1))
		tick := now.Sub(epoch)
		lost := tick == 88500*time.Millisecond
		if tick%work.KeepInterval == 0 {
			snapshot := l.Snapshot(now)
			if !lost {
				assert.NilError(t, peer.Keep(snapshot, now))
			}
		}
	}
	peer.MarkEnded(work.NodeStart{Node: "a", Start: 1})
	assert.ErrorContains(t, peer.Write(context.Background(), now), "down")
	s.SetFault(fakes.AlwaysFault(fakes.NoFault))
	assert.NilError(t, peer.Write(context.Background(), now))
	r := work.NewReport()
	assert.NilError(t, r.Read(context.Background(), s.Table()))
	lost := 8900 - totalRan(r.Rows())
	assert.Assert(t, lost <= uint64(time.Second/step), "%d requests lost", lost)
	assert.DeepEqual(t, r.Gaps(), []work.Gap{{Kind: work.Open, Node: "a", Start: 1, MissingAfter: epoch.Add(88 * time.Second)}})
	assert.Equal(t, len(peer.Snapshots()), 0)
}

// Guards against nodes that start together and write their rows in the same
// second of every minute, and against a node that doesn't write exactly once a
// minute.
func TestKeepersWriteSpread(t *testing.T) {
	const nodes = 1100
	const minutes = 3
	var keepers []*work.Keeper
	for i := range nodes {
		name := ident.Node(fmt.Sprintf("service-%d-%d", i%170, i))
		keepers = append(keepers, work.NewKeeper(work.KeeperOptions{Node: name, Table: fakes.NewStore().Table()}, epoch))
	}
	writes := make([]int, nodes)
	for second := 1; second <= minutes*60; second++ {
		now, due := epoch.Add(time.Duration(second)*time.Second), 0
		for i, k := range keepers {
			if k.Due(now) {
				due++
				writes[i]++
				assert.NilError(t, k.Write(context.Background(), now))
				assert.Assert(t, !k.Due(now.Add(work.WriteInterval-1)) && k.Due(now.Add(work.WriteInterval)))
			}
		}
		// The bound is twice the mean of 18 a second plus a margin, far below the
		// several hundred writes a second that the platform allows.
		assert.Assert(t, due <= 2*nodes/60+4, "%d rows in second %d", due, second)
	}
	for i, n := range writes {
		assert.Equal(t, n, minutes, "node %d", i)
	}
}

// Guards against overwriting a damaged or newer row, and against a first write
// that is due too late.
func TestKeeperLeavesUnreadableRow(t *testing.T) {
	s := fakes.NewStore()
	s.Table().Commit(context.Background(), []store.Write{{Key: "work/a/1", Value: []byte(`{"format":2}`)}})
	k := work.NewKeeper(work.KeeperOptions{Node: "a", Table: s.Table()}, epoch)
	assert.Assert(t, !k.Due(epoch) && k.Due(epoch.Add(work.WriteInterval)))
	assert.NilError(t, k.Keep(newLedger(1).Snapshot(epoch), epoch))
	assert.ErrorIs(t, k.Write(context.Background(), epoch), work.ErrInvalidSnapshot)
	row, _ := s.Table().Get(context.Background(), "work/a/1")
	assert.Equal(t, string(row.Value), `{"format":2}`)
}

// Guards against a keeper that grows without bound, and against snapshots of
// silent peers that are held forever without being written.
func TestKeeperBounds(t *testing.T) {
	s := fakes.NewStore()
	k := work.NewKeeper(work.KeeperOptions{Node: "b", Table: s.Table(), MaxStarts: 1}, epoch)
	other := work.NewLedger(work.LedgerOptions{Node: "c", Start: 1}, epoch)
	assert.NilError(t, k.Keep(newLedger(1).Snapshot(epoch), epoch))
	assert.ErrorIs(t, k.Keep(other.Snapshot(epoch), epoch), work.ErrKeeperFull)
	assert.NilError(t, k.Write(context.Background(), epoch.Add(work.WriteInterval)))
	assert.Equal(t, len(k.Snapshots()), 1)
	assert.NilError(t, k.Write(context.Background(), epoch.Add(2*work.WriteInterval)))
	assert.Equal(t, len(k.Snapshots()), 0)
	row, _ := s.Table().Get(context.Background(), "work/a/1")
	assert.Equal(t, row.Version, uint64(1))
}

func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	l := newLedger(1)
	entries := make([]work.RequestWork, 64)
	for i := range entries {
		entries[i] = testEntry(i)
	}
	i := 0
	for b.Loop() {
		l.Record(entries[i%len(entries)])
		i++
	}
}

func BenchmarkSnapshotEncode(b *testing.B) {
	b.ReportAllocs()
	l := newLedger(1)
	for i := range 15 {
		l.Record(testEntry(i))
	}
	for b.Loop() {
		l.Snapshot(epoch).Encode()
	}
}
