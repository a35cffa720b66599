package fleet_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// usageSink accepts all counts.
type usageSink struct {
	wirepb.UnimplementedPeerHandler
}

func (usageSink) Usage(context.Context, *wirepb.UsageRequest) (*wirepb.UsageResponse, error) {
	return &wirepb.UsageResponse{
		Accepted: true, Holder: "counter-211", Start: 1 << 63, LeaseNanos: int64(2 * time.Second),
		StoreMillis: 1_800_000_000_000, HasOffset: true, OffsetMillis: 12, Decided: 353_445_120,
	}, nil
}

// Guards against messages with counts that take more of a node's 5 KB/s than the
// design note says: those of one second at 300 nodes have up to 10 workspaces.
func TestUsageMessageSize(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var bytes atomic.Int64
	s := peer.NewServer(usageSink{}, peer.Options{MaxBodyBytes: 1 << 20})
	go func() { _ = s.Serve(countingListener{l, &bytes}) }()
	defer func() { _ = s.Close() }()
	pool := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 20})
	defer pool.Close()
	size := func(workspaces int) int64 {
		w := &wirepb.UsageWindow{Window: 353_445_121}
		for i := range workspaces {
			w.Workspaces = append(w.Workspaces, fmt.Sprintf("hule%03d", i))
			w.Counts = append(w.Counts, uint64(100+i))
		}
		req := &wirepb.UsageRequest{
			Node: "counter-212", HasWallOffset: true, WallOffsetMillis: 12,
			Updates: []*wirepb.UsageUpdate{{Node: "counter-212", Start: 1 << 63, Complete: 353_445_120, Windows: []*wirepb.UsageWindow{w}}},
		}
		before := bytes.Load()
		for range 10 {
			_, err := pool.ControlClient(l.Addr().String()).Usage(t.Context(), req)
			assert.NilError(t, err)
		}
		return (bytes.Load() - before) / 10
	}
	usual, whole := size(10), size(82)
	t.Logf("%d bytes with 10 workspaces, %d with 82, both ways", usual, whole)
	assert.Assert(t, usual < 1000 && whole < 2000)
}
