package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/node"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// waitTimeout bounds the wait for an expected state. It is long because the tests
// don't check durations.
const waitTimeout = 30 * time.Second

// testSystem is a platform and nodes on loopback, all in this process.
type testSystem struct {
	t        *testing.T
	platform *httptest.Server
	pool     *peer.Pool
	nodes    []*testNode
}

// testNode is one running node with its upstream.
type testNode struct {
	name     string
	upstream *stand.Upstream
	server   *httptest.Server
	settings *spec.Settings
	stop     context.CancelFunc
	ended    chan error
}

func newTestSystem(t *testing.T) *testSystem {
	s := &testSystem{t: t, pool: peer.NewPool(peer.Options{MaxBodyBytes: 1 << 20})}
	s.platform = httptest.NewServer(stand.NewPlatform().Handler())
	t.Cleanup(func() {
		for _, r := range s.nodes {
			s.checkEvents(r)
			r.stop()
		}
		for _, r := range s.nodes {
			<-r.ended
			r.server.Close()
		}
		s.platform.Close()
		s.pool.Close()
	})
	return s
}

// add starts a node and its upstream, without waiting until they are ready.
func (s *testSystem) add(name, service, version, domain string, peers ...string) *testNode {
	s.t.Helper()
	anyPort := "127.0.0.1:0"
	r := &testNode{name: name, ended: make(chan error, 1)}
	r.settings = &spec.Settings{
		Node: ident.Node(name), Domain: ident.Domain(domain), Region: "r",
		Listen:   spec.Listen{Callers: anyPort, Peers: anyPort, Gossip: anyPort, Local: anyPort, Admin: anyPort},
		Platform: spec.Platform{Table: s.platform.URL, Objects: s.platform.URL},
		Peers:    peers,
		Limits:   spec.Limits{Body: 1 << 16, Inflight: 100, Queue: 16},
		Drain:    waitTimeout,
		Log:      spec.Info,
	}
	n, err := node.New(node.Options{Settings: r.settings, Version: "test"})
	assert.NilError(s.t, err)
	r.settings.Listen = n.Listen()
	r.server = httptest.NewUnstartedServer(nil)
	r.upstream = stand.NewUpstream(stand.UpstreamOptions{
		Service: ident.Service(service), Version: ident.Version(version), Slots: 8,
		Address: r.server.Listener.Addr().String(), Local: "http://" + r.settings.Listen.Local,
		Mean: time.Millisecond, Seed: uint64(len(s.nodes) + 1),
	})
	r.server.Config.Handler = r.upstream.Handler()
	r.server.Start()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- n.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			_ = r.upstream.Announce(ctx)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.nodes = append(s.nodes, r)
	return r
}

// publish publishes a manifest as the apply command does.
func (s *testSystem) publish(change string, body string) config.Head {
	s.t.Helper()
	p := config.NewPublisher(config.PublisherOptions{Table: plat.NewTable(s.platform.URL), Objects: plat.NewObjects(s.platform.URL)})
	row, r := plat.NewTable(s.platform.URL).Get(s.t.Context(), config.HeadKey)
	assert.NilError(s.t, r.Err)
	head, err := config.ParseHead(row.Value)
	assert.NilError(s.t, err)
	h, o, err := p.Apply(s.t.Context(), ident.Change(change), head.Revision, []byte(body))
	assert.NilError(s.t, err)
	assert.Equal(s.t, o, config.Accepted)
	return h
}

// waitFor waits until holds returns true. It fails with state() at the timeout.
func (s *testSystem) waitFor(condition string, state func() string, holds func() bool) {
	s.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !holds() {
		assert.Assert(s.t, time.Now().Before(end), "timed out waiting for: %s; state: %s", condition, state())
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *testSystem) status(r *testNode) *wirepb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := s.pool.ControlClient(r.settings.Listen.Peers).Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		return &wirepb.StatusResponse{}
	}
	return a
}

// checkEvents checks that the fields of all events of a node are those that the
// event catalog lists.
func (s *testSystem) checkEvents(r *testNode) {
	a, err := s.pool.ControlClient(r.settings.Listen.Peers).Events(context.Background(), &wirepb.EventsRequest{})
	if err != nil {
		return // the test has stopped the node
	}
	assert.Assert(s.t, len(a.GetEvents()) > 0)
	for _, e := range a.GetEvents() {
		assert.NilError(s.t, gather.FromWire(e).Check())
	}
}

// waitForAll waits until every node has the revision in effect and has a ready
// record of all nodes.
func (s *testSystem) waitForAll(h config.Head) {
	s.t.Helper()
	for _, r := range s.nodes {
		s.waitFor(r.name+" has the manifest and all members", func() string { return s.status(r).String() }, func() bool {
			a := s.status(r)
			ready := 0
			for _, m := range a.GetMembers() {
				if m.GetReady() != 0 {
					ready++
				}
			}
			return ident.Revision(a.GetHead().GetRevision()) == h.Revision && ready == len(s.nodes)
		})
	}
}

func (s *testSystem) get(r *testNode, service, order string) (call.Outcome, string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Listen.Callers+"/x", http.NoBody)
	assert.NilError(s.t, err)
	req.Header.Set(call.HeaderService, service)
	req.Header.Set(stand.HeaderOrderNumber, order)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	return call.Outcome(resp.Header.Get(call.HeaderOutcome)), string(body)
}

func manifest(stateB string, services ...string) string {
	var list []string
	for _, n := range services {
		list = append(list, fmt.Sprintf(`{"name": %q, "version": "v1", "timeout": "5s"}`, n))
	}
	return fmt.Sprintf(`{"name": "test", "domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r", "state": %q}],
		"services": [%s]}`, stateB, strings.Join(list, ","))
}

// Guards against an entry that reaches only its local upstream, and against
// responses that are returned to the wrong request.
func TestEveryNodePlacesCallsOnEveryService(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	for i, n := range []string{"counter", "counter", "workshop", "workshop"} {
		s.add(fmt.Sprintf("n%d", i), n, "v1", "a")
	}
	s.waitForAll(s.publish("c1", manifest("in", "counter", "workshop")))
	for i, r := range s.nodes {
		for _, n := range []string{"counter", "workshop"} {
			order := fmt.Sprintf("%s-%d", n, i)
			outcome, body := s.get(r, n, order)
			assert.Equal(t, outcome, call.Ran)
			assert.Equal(t, body, n+" v1 /x "+order+"\n")
		}
	}
}

// Guards against nodes that start at the same time and form separate groups,
// because each reads the join rows before the others have written theirs.
func TestNodesThatStartTogetherFindEachOther(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	for i := range 8 {
		s.add(fmt.Sprintf("n%d", i), "counter", "v1", "a")
	}
	s.waitForAll(s.publish("c1", manifest("in", "counter")))
}

// Guards against a node that can't join and serve while the table service is
// down, although its peers have the members and the manifest.
func TestJoinAndServeWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	first := s.add("n0", "counter", "v1", "a")
	h := s.publish("c1", manifest("in", "counter"))
	s.waitForAll(h)
	resp, err := http.Post(s.platform.URL+"/fault", "application/json", strings.NewReader(`{"mode":"down"}`))
	assert.NilError(t, err)
	resp.Body.Close()
	second := s.add("n1", "counter", "v1", "a", first.settings.Listen.Peers)
	s.waitForAll(h)
	outcome, _ := s.get(second, "counter", "o")
	assert.Equal(t, outcome, call.Ran)
}

// Guards against requests that run in a failure domain whose state is out, and
// against refusals while another domain has capacity. The entry of a node in the
// domain must still forward requests.
func TestDomainOutGetsNoWorkAndStillForwards(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	s.add("n0", "counter", "v1", "a")
	inside := s.add("n1", "counter", "v1", "b")
	s.waitForAll(s.publish("c1", manifest("in", "counter")))
	s.waitForAll(s.publish("c2", manifest("out", "counter")))
	before := inside.upstream.Runs()
	for i := range 30 {
		outcome, _ := s.get(s.nodes[i%2], "counter", fmt.Sprint(i))
		assert.Equal(t, outcome, call.Ran)
	}
	assert.Equal(t, inside.upstream.Runs(), before)
	s.waitForAll(s.publish("c3", manifest("in", "counter")))
	s.waitFor("work returns to the domain", func() string { return s.status(inside).String() }, func() bool {
		s.get(inside, "counter", "again")
		return inside.upstream.Runs() > before
	})
}

// Guards against a planned stop of a node that aborts or refuses requests that
// another node can serve.
func TestStoppedNodeMovesItsWork(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	s.add("n0", "counter", "v1", "a")
	leaving := s.add("n1", "counter", "v1", "a")
	s.waitForAll(s.publish("c1", manifest("in", "counter")))
	leaving.stop()
	for i := range 100 {
		outcome, _ := s.get(s.nodes[0], "counter", fmt.Sprint(i))
		assert.Equal(t, outcome, call.Ran)
	}
	err := <-leaving.ended
	assert.NilError(t, err)
	leaving.ended <- nil
}

// Guards against a manifest that was written but whose response was lost: a
// repeated Apply must find it accepted.
func TestLostAnswerOfApplyIsResolved(t *testing.T) {
	f := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: f.Table(), Objects: f.Objects(), Pause: func(context.Context) {}})
	f.SetFault(fakes.AlwaysFault(fakes.ResponseLost))
	_, o, err := p.Apply(t.Context(), "c1", 0, []byte("body"))
	assert.Assert(t, err != nil && o != config.Accepted)
	f.SetFault(fakes.AlwaysFault(fakes.NoFault))
	h, o, err := p.Apply(t.Context(), "c1", 0, []byte("body"))
	assert.NilError(t, err)
	assert.Equal(t, o, config.Accepted)
	assert.Equal(t, h.Revision, ident.Revision(1))
}
