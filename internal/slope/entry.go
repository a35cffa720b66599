package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	entryHeap   = "heap of members and hints"
	entryUpdate = "processor time of one changed member list"
	entryChoose = "processor time of one choice"
	entryCall   = "processor time of one call between nodes, both sides"
	entryBytes  = "bytes of one call without its body, both ways"
)

var entryRows = []string{entryHeap, entryUpdate, entryChoose, entryBytes, entryCall}

// epoch is the begin of all measurements in virtual time.
var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// memberOf makes up one member of a system with n services.
func memberOf(i, n int) choose.Member {
	service := i % n
	return choose.Member{
		Node:    ident.Node(fmt.Sprintf("service-%d-%d", service, i)),
		Service: ident.Service(fmt.Sprintf("service-%d", service)),
		Version: "v1",
		Domain:  ident.Domain(fmt.Sprintf("mvd-%c", 'a'+i%domains)),
		Region:  "mvd",
		Slots:   10,
	}
}

func targets(n, services int) []entry.Target {
	all := make([]entry.Target, n)
	for i := range all {
		all[i] = entry.Target{Member: memberOf(i, services), Address: fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200)}
	}
	return all
}

func newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Node: "service-0-0", Domain: "mvd-a", Region: "mvd", Body: 1 << 20, Inflight: 1,
		Rand:   rand.New(rand.NewPCG(seed, seed)).Uint64,
		Weight: func(ident.Domain, time.Time) float64 { return 1 },
		Cohort: func(ident.Service, uint64, time.Time) ident.Version { return "v1" },
		Emit:   func(event.Code, ...event.Field) {},
	})
}

func measureEntry(ctx context.Context, _ Options) ([]Series, error) {
	var b board
	b.define(Series{Name: entryHeap, Unit: "B", By: "members", Size: members, Carrier: "one hint a member, replaced by each answer"})
	b.define(Series{Name: entryUpdate, Unit: "µs", By: "members", Size: members, Carrier: "at most one list in 20 ms"})
	b.define(Series{Name: entryChoose, Unit: "µs", By: "members", Size: members, Carrier: "a constant number of random candidates"})
	b.define(Series{Name: entryBytes, Unit: "B", By: "levels", Size: levels, Carrier: "hint on the answer; attempts and depth in the call"})
	for _, n := range sizes {
		all := targets(n, services)
		b.add(entryHeap, n, heapOf(func() any {
			e := newEntry()
			e.Update(all)
			return e
		}))
		e := newEntry()
		b.add(entryUpdate, n, microseconds(func() { e.Update(all) }))
		e.Close()
		b.add(entryChoose, n, chooseTime(n))
	}
	for _, depth := range []int{1, 7, 13, levels} {
		q, a := callOf(depth)
		b.add(entryBytes, depth, float64(proto.Size(q)+proto.Size(a)))
	}
	b.define(Series{Name: entryCall, Unit: "µs", By: "body bytes", Size: 2000, Carrier: "keep-alive connections; calls and answers aren't compressed"})
	for _, n := range []int{500, 2000, 8000} {
		if err := measureCall(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// measureCall sends calls over loopback, with an answer of n bytes.
func measureCall(ctx context.Context, b *board, n int) error {
	q, a := callOf(1)
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for len(a.Body) < n {
		a.Body = fmt.Appendf(a.Body, `{"lesson": %d, "room": "r%d", "seats": %d},`, r.Uint32(), r.IntN(100), r.IntN(30))
	}
	w, err := servePeer(&fixedPeer{call: a})
	if err != nil {
		return err
	}
	defer w.Close()
	pool := peer.NewPool(peer.Options{Body: bodyLimit})
	defer pool.Close()
	call := func() error {
		_, err := pool.Call(ctx, w.address, q, func() {})
		return err
	}
	if err := call(); err != nil {
		return err
	}
	b.add(entryCall, n, microseconds(func() { _ = call() }))
	return nil
}

// chooseTime is for one service with all members, the worst case.
func chooseTime(n int) float64 {
	r := rand.New(rand.NewPCG(seed, seed))
	c := choose.New(choose.Options{
		Domain: "mvd-a", Region: "mvd", Rand: r.Uint64,
		Weight: func(ident.Domain, time.Time) float64 { return 1 },
	})
	all := make([]choose.Member, n)
	for i := range all {
		all[i] = memberOf(i, 1)
	}
	c.Update(all)
	now := epoch
	return microseconds(func() {
		now = now.Add(time.Millisecond)
		p, ok := c.Choose(choose.Query{Service: "service-0", Version: "v1"}, now)
		if ok {
			c.Sent(p.Member.Node, now)
			c.Done(p.Member.Node, choose.Hint{Inflight: 3, Limit: 10, Service: time.Millisecond, At: now}, time.Millisecond, now)
		}
	})
}

// callOf makes up a call at some depth of a call chain, with four headers.
func callOf(depth int) (*wirepb.CallRequest, *wirepb.CallResponse) {
	var headers []*wirepb.Header
	for _, h := range []string{"Accept", "Content-Type", "User-Agent", "Traceparent"} {
		headers = append(headers, &wirepb.Header{Name: h, Values: []string{"value of a usual length, say 32 B"}})
	}
	q := &wirepb.CallRequest{
		Id: make([]byte, 16), Start: 1 << 63, Service: "service-17", Version: "v1", Route: "lessons", Caller: "service-16",
		Method: "POST", Path: "/lessons/1234567", Headers: headers, DeadlineNanos: epoch.UnixNano(),
		Attempts: 3, Depth: int32(depth),
	}
	a := &wirepb.CallResponse{
		Id: make([]byte, 16), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: 200, Headers: headers[:2],
		BusyNanos: int64(10 * time.Millisecond),
		Hint:      &wirepb.Hint{Inflight: 7, Queued: 1, Limit: 10, ServiceNanos: int64(10 * time.Millisecond)},
	}
	return q, a
}
