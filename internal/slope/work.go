package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/store"
	"github.com/cicadahall/cicadahall/work"
)

const (
	workSnapshotBytes = "bytes of one snapshot to the peer, both ways"
	workRowBytes      = "bytes of one row"
	workEncodeTime    = "processor time to take and encode a snapshot"
	workDecodeTime    = "processor time to decode a peer's snapshot"
	workSendTime      = "processor time of the call with a snapshot, both sides"
	workHeap          = "heap of the counters"
	workSteadyReads   = "row reads of all nodes, steady"
	workSteadyWrites  = "row writes of all nodes, steady"
	workPeakWrites    = "row writes of all nodes in the worst second after a common start"
)

var workRows = []string{
	workSnapshotBytes, workRowBytes, workEncodeTime, workDecodeTime, workSendTime, workHeap, workSteadyReads, workSteadyWrites, workPeakWrites,
}

// callsPerHour is the number of calls that one exit counts in an hour.
const callsPerHour = callsPerSecond / memberCount * 3600

// snapshotsPerSecond is the rate at which a busy node sends snapshots to its
// peer.
const snapshotsPerSecond = float64(time.Second) / float64(work.KeepInterval)

func measureWork(ctx context.Context, _ Options) ([]Series, error) {
	var b seriesBuilder
	for _, s := range []Series{
		{Name: workSnapshotBytes, Unit: "B", Mechanism: "cumulative counters to one peer, every 500 ms if changed; gzip from 512 bytes on"},
		{Name: workRowBytes, Unit: "B", Mechanism: "cumulative counters, one row a node start"},
		{Name: workEncodeTime, Unit: "µs", Mechanism: "every 500 ms if changed"},
		{Name: workDecodeTime, Unit: "µs", Mechanism: "every 500 ms if changed"},
		{Name: workSendTime, Unit: "µs", Mechanism: "gzip from 512 bytes on"},
		{Name: workHeap, Unit: "B", Mechanism: "at most 256 keys, the rest under (other)"},
	} {
		s.SizeUnit, s.FullSize = "keys", workKeys
		b.define(s)
	}
	for _, n := range []int{5, workKeys, 64, 256} {
		if err := measureSnapshot(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	b.define(Series{Name: workSteadyReads, Unit: "/s", SizeUnit: "nodes", FullSize: memberCount, Mechanism: "one batch a minute"})
	b.define(Series{Name: workSteadyWrites, Unit: "/s", SizeUnit: "nodes", FullSize: memberCount, Mechanism: "one batch a minute"})
	b.define(Series{Name: workPeakWrites, Unit: "/s", SizeUnit: "nodes", FullSize: memberCount, Mechanism: "phase from the node's name"})
	for _, n := range memberCounts {
		if err := measureKeepers(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// newLedger returns a ledger with n keys and the counters of one hour at the
// planned rate.
func newLedger(name string, n int) *work.Ledger {
	l := work.NewLedger(work.LedgerOptions{Node: ident.Node(name), Start: 1<<63 + 12345}, epoch)
	for i := range n {
		l.Record(newWorkEntry(i))
	}
	// Set the sums of an hour with different digits for each key: equal ones
	// would compress better than real ones.
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		e := newWorkEntry(i)
		e.Busy = time.Duration(r.Int64N(int64(callsPerHour/n) * int64(20*time.Millisecond)))
		e.Bytes = r.Uint64N(uint64(callsPerHour / n * 4000))
		l.Record(e)
	}
	return l
}

func newWorkEntry(i int) work.RequestWork {
	return work.RequestWork{
		Key: work.Key{
			Service: "service-17", Version: "v1",
			Route:  ident.Route(fmt.Sprintf("route-%d", i%routesPerService)),
			Caller: ident.Service(fmt.Sprintf("service-%d", 18+i/routesPerService)),
		},
		Outcome: work.Ran, Busy: 12345 * time.Microsecond, Bytes: 2345,
	}
}

func measureSnapshot(ctx context.Context, b *seriesBuilder, n int) error {
	l := newLedger("service-17-187", n)
	s := l.Snapshot(epoch.Add(time.Hour))
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range s.Rows {
		s.Rows[i].Counts.Ran = r.Uint64N(uint64(2 * callsPerHour / n))
		s.Rows[i].Counts.Refused = r.Uint64N(uint64(callsPerHour / n / 10))
	}
	encoded := s.Encode()
	b.add(workRowBytes, n, float64(len(encoded)))
	b.add(workEncodeTime, n, microsecondsPerCall(func() { l.Snapshot(epoch).Encode() }))
	b.add(workDecodeTime, n, microsecondsPerCall(func() { _, _ = work.Decode(encoded) }))
	b.add(workHeap, n, retainedHeap(func() any { return newLedger("service-17-187", n) }))
	request := &wirepb.KeepRequest{Node: string(s.Node), Start: uint64(s.Start), Sequence: 7200, Snapshot: encoded}
	server, err := servePeer(&fixedPeer{})
	if err != nil {
		return err
	}
	defer server.Close()
	pool := peer.NewPool(peer.Options{MaxBodyBytes: bodyLimit})
	defer pool.Close()
	call := func() error {
		_, err := pool.ControlClient(server.address).Keep(ctx, request)
		return err
	}
	size, err := server.bytesPerCall(call)
	if err != nil {
		return err
	}
	b.add(workSnapshotBytes, n, size)
	b.add(workSendTime, n, microsecondsPerCall(func() { _ = call() }))
	return nil
}

// keeperMinutes is the virtual time over which row reads and writes are counted.
const keeperMinutes = 5

// measureKeepers measures the row reads and writes of the keepers of n busy nodes
// that start at the same time.
func measureKeepers(ctx context.Context, b *seriesBuilder, n int) error {
	fake := fakes.NewStore()
	reads, writes := 0, 0
	table := fake.Table()
	get, commit := table.Get, table.Commit
	table.Get = func(ctx context.Context, key string) (store.Row, store.Result) {
		reads++
		return get(ctx, key)
	}
	table.Commit = func(ctx context.Context, w []store.Write) store.Result {
		writes++
		return commit(ctx, w)
	}
	var keepers []*work.Keeper
	var ledgers []*work.Ledger
	for i := range n {
		name := fmt.Sprintf("service-%d-%d", i%serviceCount, i)
		ledgers = append(ledgers, newLedger(name, 1))
		keepers = append(keepers, work.NewKeeper(work.KeeperOptions{Node: ident.Node(name), Table: table}, epoch))
	}
	peak := 0
	for second := 1; second <= keeperMinutes*60; second++ {
		now := epoch.Add(time.Duration(second) * time.Second)
		before := writes
		for i, k := range keepers {
			if !k.Due(now) {
				continue
			}
			ledgers[i].Record(newWorkEntry(0))
			if err := k.Keep(ledgers[i].Snapshot(now), now); err != nil {
				return err
			}
			if err := k.Write(ctx, now); err != nil {
				return err
			}
		}
		peak = max(peak, writes-before)
	}
	b.add(workSteadyReads, n, float64(reads)/(keeperMinutes*60))
	b.add(workSteadyWrites, n, float64(writes)/(keeperMinutes*60))
	b.add(workPeakWrites, n, float64(peak))
	return nil
}
