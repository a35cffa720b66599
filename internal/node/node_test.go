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

// patience bounds the wait for a state that must come; no test measures time.
const patience = 30 * time.Second

// system is a platform and nodes on loopback, all in this process.
type system struct {
	t        *testing.T
	platform *httptest.Server
	pool     *peer.Pool
	nodes    []*running
}

// running is one node with its upstream.
type running struct {
	name     string
	upstream *stand.Upstream
	server   *httptest.Server
	settings *spec.Settings
	stop     context.CancelFunc
	ended    chan error
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, pool: peer.NewPool(peer.Options{Body: 1 << 20})}
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

// add starts a node and its upstream, without waiting for anything.
func (s *system) add(name, service, version, domain string, peers ...string) *running {
	s.t.Helper()
	any := "127.0.0.1:0"
	r := &running{name: name, ended: make(chan error, 1)}
	r.settings = &spec.Settings{
		Node: ident.Node(name), Domain: ident.Domain(domain), Region: "r",
		Listen:   spec.Listen{Callers: any, Peers: any, Gossip: any, Local: any, Admin: any},
		Platform: spec.Platform{Table: s.platform.URL, Objects: s.platform.URL},
		Peers:    peers,
		Limits:   spec.Limits{Body: 1 << 16, Inflight: 100, Queue: 16},
		Drain:    patience,
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

// publish stores a manifest as the verb apply does.
func (s *system) publish(change string, body string) config.Head {
	s.t.Helper()
	p := config.NewPublisher(config.PublisherOptions{Table: plat.NewTable(s.platform.URL), Objects: plat.NewObjects(s.platform.URL)})
	row, r := plat.NewTable(s.platform.URL).Get(s.t.Context(), config.HeadKey)
	assert.NilError(s.t, r.Err)
	seen, err := config.ParseHead(row.Value)
	assert.NilError(s.t, err)
	h, o, err := p.Apply(s.t.Context(), ident.Change(change), seen.Revision, []byte(body))
	assert.NilError(s.t, err)
	assert.Equal(s.t, o, config.Accepted)
	return h
}

// until waits for a state.
func (s *system) until(what string, seen func() string, holds func() bool) {
	s.t.Helper()
	end := time.Now().Add(patience)
	for !holds() {
		assert.Assert(s.t, time.Now().Before(end), "waited in vain for: %s; seen: %s", what, seen())
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) status(r *running) *wirepb.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := s.pool.Client(r.settings.Listen.Peers).Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		return &wirepb.StatusResponse{}
	}
	return a
}

// checkEvents guards against events whose fields the catalogue doesn't list.
func (s *system) checkEvents(r *running) {
	a, err := s.pool.Client(r.settings.Listen.Peers).Events(context.Background(), &wirepb.EventsRequest{})
	if err != nil {
		return // stopped by the test
	}
	assert.Assert(s.t, len(a.GetEvents()) > 0)
	for _, e := range a.GetEvents() {
		assert.NilError(s.t, gather.FromWire(e).Check())
	}
}

// settled waits until every node has the revision and knows all upstreams.
func (s *system) settled(h config.Head) {
	s.t.Helper()
	for _, r := range s.nodes {
		s.until(r.name+" has the manifest and all members", func() string { return s.status(r).String() }, func() bool {
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

func (s *system) get(r *running, service, order string) (call.Outcome, string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Listen.Callers+"/x", http.NoBody)
	assert.NilError(s.t, err)
	req.Header.Set(call.HeaderService, service)
	req.Header.Set(stand.HeaderOrder, order)
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

// Guards against an entry that reaches only the upstream beside it, and
// against answers that are mixed up on the way.
func TestEveryNodePlacesCallsOnEveryService(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	for i, n := range []string{"counter", "counter", "workshop", "workshop"} {
		s.add(fmt.Sprintf("n%d", i), n, "v1", "a")
	}
	s.settled(s.publish("c1", manifest("in", "counter", "workshop")))
	for i, r := range s.nodes {
		for _, n := range []string{"counter", "workshop"} {
			order := fmt.Sprintf("%s-%d", n, i)
			outcome, body := s.get(r, n, order)
			assert.Equal(t, outcome, call.Ran)
			assert.Equal(t, body, n+" v1 /x "+order+"\n")
		}
	}
}

// Guards against nodes that join at the same time and form groups that don't
// know of each other: each had read the join rows before the others wrote.
func TestNodesThatStartTogetherFindEachOther(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	for i := range 8 {
		s.add(fmt.Sprintf("n%d", i), "counter", "v1", "a")
	}
	s.settled(s.publish("c1", manifest("in", "counter")))
}

// Guards against a system that can't start or change while the table service
// is down, although peers have all it needs.
func TestJoinAndServeWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	first := s.add("n0", "counter", "v1", "a")
	h := s.publish("c1", manifest("in", "counter"))
	s.settled(h)
	resp, err := http.Post(s.platform.URL+"/fault", "application/json", strings.NewReader(`{"mode":"down"}`))
	assert.NilError(t, err)
	resp.Body.Close()
	second := s.add("n1", "counter", "v1", "a", first.settings.Listen.Peers)
	s.settled(h)
	outcome, _ := s.get(second, "counter", "o")
	assert.Equal(t, outcome, call.Ran)
}

// Guards against work in a failure domain that is out, and against a refusal
// while another domain has capacity. The entry inside the domain goes on.
func TestDomainOutGetsNoWorkAndStillForwards(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.add("n0", "counter", "v1", "a")
	inside := s.add("n1", "counter", "v1", "b")
	s.settled(s.publish("c1", manifest("in", "counter")))
	s.settled(s.publish("c2", manifest("out", "counter")))
	before := inside.upstream.Runs()
	for i := range 30 {
		outcome, _ := s.get(s.nodes[i%2], "counter", fmt.Sprint(i))
		assert.Equal(t, outcome, call.Ran)
	}
	assert.Equal(t, inside.upstream.Runs(), before)
	s.settled(s.publish("c3", manifest("in", "counter")))
	s.until("work returns to the domain", func() string { return s.status(inside).String() }, func() bool {
		s.get(inside, "counter", "again")
		return inside.upstream.Runs() > before
	})
}

// Guards against a planned stop of a node that cuts or refuses requests which
// another node can serve.
func TestStoppedNodeMovesItsWork(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.add("n0", "counter", "v1", "a")
	leaving := s.add("n1", "counter", "v1", "a")
	s.settled(s.publish("c1", manifest("in", "counter")))
	leaving.stop()
	for i := range 100 {
		outcome, _ := s.get(s.nodes[0], "counter", fmt.Sprint(i))
		assert.Equal(t, outcome, call.Ran)
	}
	err := <-leaving.ended
	assert.NilError(t, err)
	leaving.ended <- nil
}

// Guards against a store whose answers are lost keeping an accepted manifest
// from being found again.
func TestLostAnswerOfApplyIsResolved(t *testing.T) {
	f := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: f.Table(), Objects: f.Objects(), Pause: func(context.Context) {}})
	f.SetFault(fakes.Always(fakes.Lose))
	_, o, err := p.Apply(t.Context(), "c1", 0, []byte("body"))
	assert.Assert(t, err != nil && o != config.Accepted)
	f.SetFault(fakes.Always(fakes.None))
	h, o, err := p.Apply(t.Context(), "c1", 0, []byte("body"))
	assert.NilError(t, err)
	assert.Equal(t, o, config.Accepted)
	assert.Equal(t, h.Revision, ident.Revision(1))
}
