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
	entryHeap       = "heap of members and hints"
	entryUpdateTime = "processor time of one changed member list"
	entryChooseTime = "processor time of one choice"
	entryCallTime   = "processor time of one call between nodes, both sides"
	entryCallBytes  = "bytes of one call without its body, both ways"
)

var entryRows = []string{entryHeap, entryUpdateTime, entryChooseTime, entryCallBytes, entryCallTime}

// epoch is the start of all measurements in virtual time.
var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// newMember returns the synthetic member i of a system with serviceTotal
// services.
func newMember(i, serviceTotal int) choose.Member {
	service := i % serviceTotal
	return choose.Member{
		Node:    ident.Node(fmt.Sprintf("service-%d-%d", service, i)),
		Service: ident.Service(fmt.Sprintf("service-%d", service)),
		Version: "v1",
		Domain:  ident.Domain(fmt.Sprintf("mvd-%c", 'a'+i%domainCount)),
		Region:  "mvd",
		Slots:   10,
	}
}

func newTargets(n, serviceTotal int) []entry.Target {
	list := make([]entry.Target, n)
	for i := range list {
		list[i] = entry.Target{Member: newMember(i, serviceTotal), Address: fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200)}
	}
	return list
}

func newEntry() *entry.Entry {
	return entry.New(entry.Options{
		Node: "service-0-0", Domain: "mvd-a", Region: "mvd", MaxBodyBytes: 1 << 20, MaxInflight: 1,
		Rand:          rand.New(rand.NewPCG(seed, seed)).Uint64,
		DomainWeight:  func(ident.Domain, time.Time) float64 { return 1 },
		SelectVersion: func(ident.Service, uint64, time.Time) ident.Version { return "v1" },
		Emit:          func(event.Code, ...event.Field) {},
	})
}

func measureEntry(ctx context.Context, _ Options) ([]Series, error) {
	var b seriesBuilder
	b.define(Series{Name: entryHeap, Unit: "B", SizeUnit: "members", FullSize: memberCount, Mechanism: "one hint a member, replaced by each answer"})
	b.define(Series{Name: entryUpdateTime, Unit: "µs", SizeUnit: "members", FullSize: memberCount, Mechanism: "at most one list in 20 ms"})
	b.define(Series{Name: entryChooseTime, Unit: "µs", SizeUnit: "members", FullSize: memberCount, Mechanism: "a constant number of random candidates"})
	b.define(Series{Name: entryCallBytes, Unit: "B", SizeUnit: "levels", FullSize: callLevels, Mechanism: "hint on the answer; attempts and depth in the call"})
	for _, n := range memberCounts {
		all := newTargets(n, serviceCount)
		b.add(entryHeap, n, retainedHeap(func() any {
			e := newEntry()
			e.SetMembers(all)
			return e
		}))
		e := newEntry()
		b.add(entryUpdateTime, n, microsecondsPerCall(func() { e.SetMembers(all) }))
		e.Close()
		b.add(entryChooseTime, n, chooseTime(n))
	}
	for _, depth := range []int{1, 7, 13, callLevels} {
		request, response := newCall(depth)
		b.add(entryCallBytes, depth, float64(proto.Size(request)+proto.Size(response)))
	}
	b.define(Series{Name: entryCallTime, Unit: "µs", SizeUnit: "body bytes", FullSize: 2000, Mechanism: "keep-alive connections; calls and answers aren't compressed"})
	for _, n := range []int{500, 2000, 8000} {
		if err := measureCall(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

// measureCall measures calls over loopback whose response body has at least n
// bytes.
func measureCall(ctx context.Context, b *seriesBuilder, n int) error {
	request, response := newCall(1)
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for len(response.Body) < n {
		response.Body = fmt.Appendf(response.Body, `{"lesson": %d, "room": "r%d", "seats": %d},`, r.Uint32(), r.IntN(100), r.IntN(30))
	}
	server, err := servePeer(&fixedPeer{call: response})
	if err != nil {
		return err
	}
	defer server.Close()
	pool := peer.NewPool(peer.Options{MaxBodyBytes: bodyLimit})
	defer pool.Close()
	call := func() error {
		_, err := pool.Call(ctx, server.address, request, func() {})
		return err
	}
	if err := call(); err != nil {
		return err
	}
	b.add(entryCallTime, n, microsecondsPerCall(func() { _ = call() }))
	return nil
}

// chooseTime returns the processor time in µs of one choice among n members of
// one service, the worst case.
func chooseTime(n int) float64 {
	r := rand.New(rand.NewPCG(seed, seed))
	c := choose.New(choose.Options{
		Domain: "mvd-a", Region: "mvd", Rand: r.Uint64,
		DomainWeight: func(ident.Domain, time.Time) float64 { return 1 },
	})
	all := make([]choose.Member, n)
	for i := range all {
		all[i] = newMember(i, 1)
	}
	c.Update(all)
	now := epoch
	return microsecondsPerCall(func() {
		now = now.Add(time.Millisecond)
		p, ok := c.Choose(choose.Query{Service: "service-0", Version: "v1"}, now)
		if ok {
			c.RecordSent(p.Member.Node, now)
			c.RecordAnswer(p.Member.Node, choose.Hint{Inflight: 3, Limit: 10, ServiceTime: time.Millisecond, At: now}, time.Millisecond, now)
		}
	})
}

// newCall returns a synthetic call with four headers at the given depth of a
// call chain, and its response.
func newCall(depth int) (*wirepb.CallRequest, *wirepb.CallResponse) {
	var headers []*wirepb.Header
	for _, h := range []string{"Accept", "Content-Type", "User-Agent", "Traceparent"} {
		headers = append(headers, &wirepb.Header{Name: h, Values: []string{"value of a usual length, say 32 B"}})
	}
	request := &wirepb.CallRequest{
		Id: make([]byte, 16), Start: 1 << 63, Service: "service-17", Version: "v1", Route: "lessons", Caller: "service-16",
		Method: "POST", Path: "/lessons/1234567", Headers: headers, DeadlineNanos: epoch.UnixNano(),
		Attempts: 3, Depth: int32(depth),
	}
	response := &wirepb.CallResponse{
		Id: make([]byte, 16), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: 200, Headers: headers[:2],
		BusyNanos: int64(10 * time.Millisecond),
		Hint:      &wirepb.Hint{Inflight: 7, Queued: 1, Limit: 10, ServiceNanos: int64(10 * time.Millisecond)},
	}
	return request, response
}
