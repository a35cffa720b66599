package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// recorder is a relay in front of a node that records, decoded, the messages that
// other nodes exchange with it.
type recorder struct {
	wirepb.UnimplementedPeerHandler
	t      *testing.T
	target string
	pool   *peer.Pool

	mu    sync.Mutex
	text  bytes.Buffer
	calls []*wirepb.CallRequest
}

// record starts recorders in front of all nodes, which are restarted.
func (c *cluster) record() []*recorder {
	var all []*recorder
	for _, n := range c.nodes {
		r := &recorder{t: c.t, target: n.settings.Listen.Peers, pool: peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})}
		address := r.listen()
		all = append(all, r)
		c.restart(n, func(s *spec.Sidecar) { s.Listen.Public = address })
	}
	for _, n := range c.nodes {
		c.await("all upstreams to be reachable", func() bool { return c.reachedUpstreams(n) == len(c.nodes) })
	}
	return all
}

// restart restarts a node with changed settings.
func (c *cluster) restart(n *testNode, change func(*spec.Sidecar)) {
	n.stop()
	assert.NilError(c.t, <-n.ended)
	settings := *n.settings
	change(&settings)
	n.settings = &settings
	c.start(n)
	c.announce(n)
}

// listen opens the relay's listeners and returns their address.
func (r *recorder) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	address := l.Addr().String()
	datagrams, err := net.ListenPacket("udp", address)
	assert.NilError(r.t, err)
	s := peer.NewServer(r, peer.Options{MaxBodyBytes: 64 << 20})
	go func() { _ = s.Serve(l) }()
	go r.relayDatagrams(datagrams)
	r.t.Cleanup(func() {
		_ = s.Close()
		_ = datagrams.Close()
		r.pool.Close()
	})
	return address
}

// relayDatagrams passes datagrams between the node and the latest sender.
func (r *recorder) relayDatagrams(conn net.PacketConn) {
	target, err := net.ResolveUDPAddr("udp", r.target)
	assert.Check(r.t, err)
	var sender net.Addr
	b := make([]byte, 64<<10)
	for {
		n, from, err := conn.ReadFrom(b)
		if err != nil {
			return
		}
		r.add(b[:n])
		to := sender
		if from.String() != r.target {
			sender, to = from, target
		}
		if to != nil {
			_, _ = conn.WriteTo(b[:n], to)
		}
	}
}

func (r *recorder) add(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Write(b)
}

func (r *recorder) addMessage(m proto.Message) {
	b, err := proto.Marshal(m)
	assert.Check(r.t, err)
	r.add(b)
}

// recorded returns all messages so far, and those that carry requests.
func (r *recorder) recorded() ([]byte, []*wirepb.CallRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.text.Bytes()), append([]*wirepb.CallRequest(nil), r.calls...)
}

// relay passes one message on and records it with its response.
func relay[Q, A proto.Message](ctx context.Context, r *recorder, q Q, send func(context.Context, Q) (A, error)) (A, error) {
	r.addMessage(q)
	a, err := send(ctx, q)
	if err == nil {
		r.addMessage(a)
	}
	return a, err
}

// Call passes on a request.
func (r *recorder) Call(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	r.mu.Lock()
	r.calls = append(r.calls, proto.CloneOf(q))
	r.mu.Unlock()
	return relay(ctx, r, q, func(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
		return r.pool.Call(ctx, r.target, q, func() {})
	})
}

// Resolve passes on the question for an outcome.
func (r *recorder) Resolve(ctx context.Context, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return relay(ctx, r, q, r.pool.ControlClient(r.target).Resolve)
}

// Sync passes on an exchange of members.
func (r *recorder) Sync(ctx context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return relay(ctx, r, q, r.pool.ControlClient(r.target).Sync)
}

// Share passes on an exchange of the state of rollouts.
func (r *recorder) Share(ctx context.Context, q *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	return relay(ctx, r, q, r.pool.ControlClient(r.target).Share)
}

// Body passes on the operator's rows and records their decoded values.
func (r *recorder) Body(ctx context.Context, q *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	a, err := relay(ctx, r, q, r.pool.ControlClient(r.target).Body)
	if err == nil {
		var rows []struct{ Value []byte }
		assert.Check(r.t, json.Unmarshal(a.GetBody(), &rows))
		for _, row := range rows {
			r.add(row.Value)
		}
	}
	return a, err
}

// Events passes on recorded events.
func (r *recorder) Events(ctx context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return relay(ctx, r, q, r.pool.ControlClient(r.target).Events)
}

// seenHeaders records the headers of requests that reach an upstream.
type seenHeaders struct {
	mu      sync.Mutex
	headers []http.Header
}

func (s *seenHeaders) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.headers = append(s.headers, r.Header.Clone())
	s.mu.Unlock()
	w.Header().Set("Seen-Tenant", r.Header.Get("X-Tenant"))
	w.Header().Set("Seen-Authorization", r.Header.Get("Authorization"))
	serveSlowly(w, r)
}

func (s *seenHeaders) all() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}
