package gather_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

var errRefused = errors.New("connection refused")

// testSystem is a set of nodes by address.
type testSystem struct {
	members []*wirepb.Record
	logs    map[string]*event.Log
	names   map[string]string
}

func newTestSystem() *testSystem {
	return &testSystem{logs: map[string]*event.Log{}, names: map[string]string{}}
}

// add creates a node with n events, all recorded at the given second of the clock.
func (s *testSystem) add(name, address string, n, second int) *event.Log {
	at := time.Date(2026, 12, 4, 12, 0, second, 0, time.UTC)
	l := event.New(event.Options{Node: ident.Node(name), Start: 1, RingSize: 2500, Now: func() time.Time { return at }})
	for range n {
		l.Emit(event.NodeReady)
	}
	s.logs[address] = l
	s.names[address] = name
	s.addMember(name, address, 1)
	return l
}

func (s *testSystem) addMember(name, address string, incarnation uint64) {
	s.members = append(s.members, &wirepb.Record{Node: name, Rpc: address, Incarnation: incarnation})
}

func (s *testSystem) collector() *gather.Collector {
	return &gather.Collector{
		Timeout: 5 * time.Second,
		Status: func(_ context.Context, address string) (*wirepb.StatusResponse, error) {
			if s.logs[address] == nil {
				return nil, errRefused
			}
			return &wirepb.StatusResponse{Node: s.names[address], Members: s.members}, nil
		},
		Events: func(_ context.Context, address string, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
			if s.logs[address] == nil {
				return nil, errRefused
			}
			return gather.EventsPage(s.logs[address], q), nil
		},
	}
}

func ExampleCollector_Collect() {
	s := newTestSystem()
	s.add("a", "host-a:7001", 1, 2)
	s.add("b", "host-b:7001", 1, 1)
	s.addMember("c", "host-c:7001", 1)
	r, err := s.collector().Collect(context.Background(), []string{"host-a:7001"})
	for _, e := range r.Records {
		fmt.Println(e.Node, e.Code)
	}
	fmt.Println(r.Missing, err)
	// Output:
	// b node-ready
	// a node-ready
	// [node c did not answer: connection refused] <nil>
}

// Guards against a time line without the members that only one of the peers knows,
// and against a failed peer that prevents the collection from the others.
func TestPeersAreJoined(t *testing.T) {
	s := newTestSystem()
	s.add("a", "a:1", 1, 0)
	r, err := s.collector().Collect(t.Context(), []string{"x:1", "a:1"})
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, 1)
	assert.DeepEqual(t, r.Missing, []string{"peer x:1 did not answer: connection refused"})
	_, err = s.collector().Collect(t.Context(), []string{"x:1"})
	assert.ErrorIs(t, err, gather.ErrNoPeer)
	s.add("b", "b:1", 1, 0)
	s.members = nil // as after a start without connection to other nodes
	r, err = s.collector().Collect(t.Context(), []string{"a:1", "b:1"})
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, 2)
}

// Guards against the loss of events after the first page, and against a gap without
// a note where the ring buffer has overwritten records.
func TestPagesAndLoss(t *testing.T) {
	s := newTestSystem()
	s.add("a", "a:1", 2700, 0)
	r, err := s.collector().Collect(t.Context(), []string{"a:1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 2500)
	assert.Equal(t, r.Records[0].Sequence, uint64(201))
	assert.DeepEqual(t, r.Missing, []string{"node a has lost 200 older events"})
}

// Guards against a response that exceeds the maximum number of events of a page.
func TestPageIsBounded(t *testing.T) {
	l := newTestSystem().add("a", "a:1", 2000, 0)
	for limit, want := range map[int32]int{3: 3, 0: 1000, 5000: 1000} {
		r := gather.EventsPage(l, &wirepb.EventsRequest{Since: 10, Most: limit})
		assert.Equal(t, len(r.GetEvents()), want)
		assert.Equal(t, r.GetEvents()[0].GetSequence(), uint64(11))
	}
}

// Guards against a node that is reported as not answering because a peer has its
// old address.
func TestEveryAddressIsTried(t *testing.T) {
	s := newTestSystem()
	s.addMember("a", "old:1", 9)
	s.add("a", "a:1", 3, 0)
	r, err := s.collector().Collect(t.Context(), []string{"a:1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Records), 3)
	assert.Equal(t, len(r.Missing), 0)
}

// Guards against a node whose list of events never ends, and against the loss of
// the events that were read before a node failed.
func TestBrokenNode(t *testing.T) {
	s := newTestSystem()
	s.add("a", "a:1", 1, 0)
	c := s.collector()
	c.Events = func(context.Context, string, *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
		return &wirepb.EventsResponse{Events: []*wirepb.Event{{Node: "a", Sequence: 1}}}, nil
	}
	r, err := c.Collect(t.Context(), []string{"a:1"})
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, 0)
	assert.Equal(t, len(r.Records), 1)
	assert.DeepEqual(t, r.Missing, []string{"node a stopped answering after 2 events: list of events does not end"})
}

// Guards against a collection that never ends because one node doesn't respond.
func TestFrozenNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSystem()
		s.add("a", "a:1", 1, 0)
		s.add("b", "b:1", 1, 0)
		c := s.collector()
		respond := c.Events
		c.Events = func(ctx context.Context, address string, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
			if address == "b:1" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return respond(ctx, address, q)
		}
		begin := time.Now()
		r, err := c.Collect(t.Context(), []string{"a:1"})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), c.Timeout)
		assert.Equal(t, len(r.Records), 1)
		assert.DeepEqual(t, r.Missing, []string{"node b did not answer: context deadline exceeded"})
	})
}

// Guards against a log file in which lines that aren't events hide the events or
// aren't counted, and against fields that are lost in the wire form.
func TestReadLog(t *testing.T) {
	var b strings.Builder
	fixedTime := func() time.Time { return time.Unix(1, 0) }
	l := event.New(event.Options{Node: "a", Start: 5, Now: fixedTime, Output: event.Output(&b)})
	l.Emit(event.StoreDown, event.NewField(event.Store, "table"), event.NewField(event.Error, "dial: refused"))
	b.WriteString("panic: something else\n")
	l.Emit(event.StoreUp)
	got, other, err := gather.ReadLog(strings.NewReader(b.String()))
	assert.NilError(t, err)
	assert.Equal(t, other, 1)
	want, _ := l.Since(0)
	assert.DeepEqual(t, got, want)
	for _, r := range want {
		assert.DeepEqual(t, gather.FromWire(gather.ToWire(r)), r)
	}
}

// Guards against a page that clients reject because it exceeds 4 MiB or has text
// that isn't valid UTF-8, which a message can't contain.
func TestLargestPageFits(t *testing.T) {
	l := event.New(event.Options{Node: ident.Node(strings.Repeat("n", 63))})
	long := strings.Repeat("x", 1000) + "\xff"
	for range 1200 {
		l.Emit(event.RequestUnknown, event.NewField(event.Request, long), event.NewField(event.Service, long), event.NewField(event.Route, long),
			event.NewField(event.Caller, long), event.NewField(event.Peer, "\xff"+long), event.NewField(event.Reason, long))
	}
	b, err := proto.Marshal(gather.EventsPage(l, &wirepb.EventsRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 4<<20, "%d bytes", len(b))
}
