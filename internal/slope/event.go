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
	eventHeap      = "heap of the ring"
	eventPageBytes = "bytes of all pages of one node"
	eventEmitTime  = "processor time of one event with its log line"
	eventMergeTime = "processor time to merge and print the time line"
)

var eventRows = []string{eventHeap, eventPageBytes, eventEmitTime, eventMergeTime}

// ringSize is the number of event records that a node keeps.
const ringSize = 4096

func measureEvent(context.Context, Options) ([]Series, error) {
	var b seriesBuilder
	b.define(Series{Name: eventHeap, Unit: "B", SizeUnit: "records", FullSize: ringSize, Mechanism: "bounded ring"})
	b.define(Series{Name: eventPageBytes, Unit: "B", SizeUnit: "records", FullSize: ringSize, Mechanism: "read by the command only"})
	b.define(Series{Name: eventEmitTime, Unit: "µs", SizeUnit: "records", FullSize: ringSize, Mechanism: "level before the sequence"})
	b.define(Series{Name: eventMergeTime, Unit: "µs", SizeUnit: "records", FullSize: 100_000, Mechanism: "sort by hybrid time, in the command"})
	for _, n := range []int{256, 1024, ringSize} {
		b.add(eventHeap, n, retainedHeap(func() any { return newFullLog(n, "service-1-1") }))
		l := newFullLog(n, "service-1-1")
		b.add(eventEmitTime, n, microsecondsPerCall(func() { emitEvent(l, n) }))
		size := 0
		for since := uint64(0); ; {
			p := gather.EventsPage(l, &wirepb.EventsRequest{Since: since})
			if len(p.GetEvents()) == 0 {
				break
			}
			size += proto.Size(p)
			since = p.GetEvents()[len(p.GetEvents())-1].GetSequence()
		}
		b.add(eventPageBytes, n, float64(size))
	}
	for _, nodes := range []int{1, 4, 16} {
		var logs [][]event.Record
		for i := range nodes {
			records, _ := newFullLog(ringSize, fmt.Sprintf("service-1-%d", i)).Since(0)
			logs = append(logs, records)
		}
		b.add(eventMergeTime, nodes*ringSize, microsecondsPerCall(func() {
			_ = event.WriteText(io.Discard, event.Merge(logs...))
		}))
	}
	return b.series, nil
}

// newFullLog returns an event log whose ring is full of n records on members
// that join and become unreachable.
func newFullLog(n int, name string) *event.Log {
	at := epoch
	l := event.New(event.Options{
		Node: ident.Node(name), Start: 1, RingSize: n, Output: event.Output(io.Discard),
		Now: func() time.Time {
			at = at.Add(time.Millisecond)
			return at
		},
	})
	for i := range n {
		emitEvent(l, i)
	}
	return l
}

func emitEvent(l *event.Log, i int) {
	if i%2 == 0 {
		l.Emit(event.MemberUnreachable, event.NewField(event.Peer, fmt.Sprintf("service-%d-%d", i%serviceCount, i)))
		return
	}
	l.Emit(event.MemberJoined,
		event.NewField(event.Peer, fmt.Sprintf("service-%d-%d", i%serviceCount, i)), event.NewField(event.Domain, "mvd-a"),
		event.NewField(event.Service, fmt.Sprintf("service-%d", i%serviceCount)), event.NewField(event.Version, "v1"),
		event.NewField(event.Address, fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200)))
}
