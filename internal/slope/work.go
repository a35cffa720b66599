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
	workKeep   = "bytes of one snapshot to the peer, both ways"
	workRow    = "bytes of one row"
	workEncode = "processor time to take and encode a snapshot"
	workDecode = "processor time to decode a peer's snapshot"
	workKept   = "processor time of the call with a snapshot, both sides"
	workHeap   = "heap of the counters"
	workReads  = "row reads of all nodes, steady"
	workWrites = "row writes of all nodes, steady"
	workPeak   = "row writes of all nodes in the worst second after a common start"
)

var workRows = []string{
	workKeep, workRow, workEncode, workDecode, workKept, workHeap, workReads, workWrites, workPeak,
}

// callsPerHour is what one exit counts in an hour.
const callsPerHour = calls / members * 3600

// keepsPerSecond is how often a busy node sends a snapshot to its peer.
const keepsPerSecond = float64(time.Second) / float64(work.KeepEvery)

func measureWork(ctx context.Context, _ Options) ([]Series, error) {
	var b board
	for _, s := range []Series{
		{Name: workKeep, Unit: "B", Carrier: "cumulative counters to one peer, every 500 ms if changed; gzip from 512 bytes on"},
		{Name: workRow, Unit: "B", Carrier: "cumulative counters, one row a node start"},
		{Name: workEncode, Unit: "µs", Carrier: "every 500 ms if changed"},
		{Name: workDecode, Unit: "µs", Carrier: "every 500 ms if changed"},
		{Name: workKept, Unit: "µs", Carrier: "gzip from 512 bytes on"},
		{Name: workHeap, Unit: "B", Carrier: "at most 256 keys, the rest under (other)"},
	} {
		s.By, s.Size = "keys", workKeys
		b.define(s)
	}
	for _, n := range []int{5, workKeys, 64, 256} {
		if err := measureSnapshot(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	b.define(Series{Name: workReads, Unit: "/s", By: "nodes", Size: members, Carrier: "one batch a minute"})
	b.define(Series{Name: workWrites, Unit: "/s", By: "nodes", Size: members, Carrier: "one batch a minute"})
	b.define(Series{Name: workPeak, Unit: "/s", By: "nodes", Size: members, Carrier: "phase from the node's name"})
	for _, n := range sizes {
		if err := measureKeepers(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// ledgerOf returns the counters of an hour at the planned rate with n keys.
func ledgerOf(name string, n int) *work.Ledger {
	l := work.NewLedger(work.Options{Node: ident.Node(name), Start: 1<<63 + 12345}, epoch)
	for i := range n {
		l.Record(entryOf(i))
	}
	// The sums of an hour, with digits that differ from key to key: equal ones
	// would make compression look better than it is.
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		e := entryOf(i)
		e.Busy = time.Duration(r.Int64N(int64(callsPerHour/n) * int64(20*time.Millisecond)))
		e.Bytes = r.Uint64N(uint64(callsPerHour / n * 4000))
		l.Record(e)
	}
	return l
}

func entryOf(i int) work.Entry {
	return work.Entry{
		Key: work.Key{
			Service: "service-17", Version: "v1",
			Route:  ident.Route(fmt.Sprintf("route-%d", i%routes)),
			Caller: ident.Service(fmt.Sprintf("service-%d", 18+i/routes)),
		},
		Outcome: work.Ran, Busy: 12345 * time.Microsecond, Bytes: 2345,
	}
}

func measureSnapshot(ctx context.Context, b *board, n int) error {
	l := ledgerOf("service-17-187", n)
	s := l.Snapshot(epoch.Add(time.Hour))
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range s.Rows {
		s.Rows[i].Counts.Ran = r.Uint64N(uint64(2 * callsPerHour / n))
		s.Rows[i].Counts.Refused = r.Uint64N(uint64(callsPerHour / n / 10))
	}
	encoded := s.Encode()
	b.add(workRow, n, float64(len(encoded)))
	b.add(workEncode, n, microseconds(func() { l.Snapshot(epoch).Encode() }))
	b.add(workDecode, n, microseconds(func() { _, _ = work.Decode(encoded) }))
	b.add(workHeap, n, heapOf(func() any { return ledgerOf("service-17-187", n) }))
	q := &wirepb.KeepRequest{Node: string(s.Node), Start: uint64(s.Start), Sequence: 7200, Snapshot: encoded}
	w, err := servePeer(&fixedPeer{})
	if err != nil {
		return err
	}
	defer w.Close()
	pool := peer.NewPool(peer.Options{Body: bodyLimit})
	defer pool.Close()
	call := func() error {
		_, err := pool.Client(w.address).Keep(ctx, q)
		return err
	}
	size, err := w.perCall(call)
	if err != nil {
		return err
	}
	b.add(workKeep, n, size)
	b.add(workKept, n, microseconds(func() { _ = call() }))
	return nil
}

// keeperMinutes is the virtual time over which the row writes are counted.
const keeperMinutes = 5

// measureKeepers runs the keepers of n busy nodes that start together.
func measureKeepers(ctx context.Context, b *board, n int) error {
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
		name := fmt.Sprintf("service-%d-%d", i%services, i)
		ledgers = append(ledgers, ledgerOf(name, 1))
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
			ledgers[i].Record(entryOf(0))
			if err := k.Keep(ledgers[i].Snapshot(now), now); err != nil {
				return err
			}
			if err := k.Write(ctx, now); err != nil {
				return err
			}
		}
		peak = max(peak, writes-before)
	}
	b.add(workReads, n, float64(reads)/(keeperMinutes*60))
	b.add(workWrites, n, float64(writes)/(keeperMinutes*60))
	b.add(workPeak, n, float64(peak))
	return nil
}
