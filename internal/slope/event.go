package slope

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	eventHeap  = "heap of the ring"
	eventPage  = "bytes of all pages of one node"
	eventEmit  = "processor time of one event with its log line"
	eventMerge = "processor time to merge and print the time line"
)

var eventRows = []string{eventHeap, eventPage, eventEmit, eventMerge}

// ringSize is the number of records that a node keeps.
const ringSize = 4096

func measureEvent(context.Context, Options) ([]Series, error) {
	var b board
	b.define(Series{Name: eventHeap, Unit: "B", By: "records", Size: ringSize, Carrier: "bounded ring"})
	b.define(Series{Name: eventPage, Unit: "B", By: "records", Size: ringSize, Carrier: "read by the command only"})
	b.define(Series{Name: eventEmit, Unit: "µs", By: "records", Size: ringSize, Carrier: "level before the sequence"})
	b.define(Series{Name: eventMerge, Unit: "µs", By: "records", Size: 100_000, Carrier: "sort by hybrid time, in the command"})
	for _, n := range []int{256, 1024, ringSize} {
		b.add(eventHeap, n, heapOf(func() any { return logOf(n, "service-1-1") }))
		l := logOf(n, "service-1-1")
		b.add(eventEmit, n, microseconds(func() { emit(l, n) }))
		size := 0
		for since := uint64(0); ; {
			p := gather.Page(l, &wirepb.EventsRequest{Since: since})
			if len(p.GetEvents()) == 0 {
				break
			}
			size += proto.Size(p)
			since = p.GetEvents()[len(p.GetEvents())-1].GetSequence()
		}
		b.add(eventPage, n, float64(size))
	}
	for _, nodes := range []int{1, 4, 16} {
		var lists [][]event.Record
		for i := range nodes {
			records, _ := logOf(ringSize, fmt.Sprintf("service-1-%d", i)).Since(0)
			lists = append(lists, records)
		}
		b.add(eventMerge, nodes*ringSize, microseconds(func() {
			_ = event.WriteText(io.Discard, event.Merge(lists...))
		}))
	}
	return b.series, nil
}

// logOf returns the full ring of a node whose members come and go.
func logOf(n int, name string) *event.Log {
	at := epoch
	l := event.New(event.Options{
		Node: ident.Node(name), Start: 1, Size: n, Output: event.Output(io.Discard),
		Now: func() time.Time {
			at = at.Add(time.Millisecond)
			return at
		},
	})
	for i := range n {
		emit(l, i)
	}
	return l
}

func emit(l *event.Log, i int) {
	if i%2 == 0 {
		l.Emit(event.MemberUnreachable, event.F(event.Peer, fmt.Sprintf("service-%d-%d", i%services, i)))
		return
	}
	l.Emit(event.MemberJoined,
		event.F(event.Peer, fmt.Sprintf("service-%d-%d", i%services, i)), event.F(event.Domain, "mvd-a"),
		event.F(event.Service, fmt.Sprintf("service-%d", i%services)), event.F(event.Version, "v1"),
		event.F(event.Address, fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200)))
}
