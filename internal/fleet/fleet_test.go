package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fleet"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/platform/fake"
)

// patience bounds the wait for a state that must come; no test measures time.
const patience = 20 * time.Second

// system is a store and nodes with their upstreams on loopback.
type system struct {
	t     *testing.T
	store *fake.Store
	nodes []*node
	next  atomic.Int64
	// domains is the number of failure domains that the nodes are spread over.
	domains int
}

type node struct {
	settings *spec.Side
	upstream *fake.Upstream
	service  string
	version  string
	sequence int64
	stop     context.CancelFunc
	ended    chan error
}

const config = `{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"shop.example","rules":[
 {"name":"read","kind":"safe","target_latency_ms":500,"priority":1,"match":{"prefix":"/read/"},"action":{"service":"counter","timeout_ms":3000,"max_attempts":2}},
 {"name":"book","kind":"unsafe","target_latency_ms":500,"priority":0,"match":{"prefix":"/book/"},"action":{"service":"counter","timeout_ms":3000,"max_attempts":2}}%s]}],
"clusters":[{"name":"counter","health_path":"/health","max_conns":50,"cold_start_s":3,"cold_per_s":6}]}`

func configuration(version int, more string) string { return fmt.Sprintf(config, version, more) }

// newSystem starts nodes with one upstream each and waits until all of them
// know each other.
func newSystem(t *testing.T, size int, work http.HandlerFunc) *system {
	return newSystemOf(t, size, size, work)
}

func newSystemOf(t *testing.T, domains, size int, work http.HandlerFunc) *system {
	s := &system{t: t, store: fake.NewStore(), domains: domains}
	s.store.Put("op", "config", configuration(1, ""))
	for i := range size {
		s.add(i, "v1", work)
	}
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.stop()
		}
		for _, n := range s.nodes {
			<-n.ended
			n.upstream.Close()
		}
		s.store.Close()
	})
	for _, n := range s.nodes {
		s.await("upstreams are known", func() bool { return s.reaches(n) == size })
	}
	return s
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

func (s *system) add(i int, version string, work http.HandlerFunc) *node {
	u := fake.NewUpstream(fmt.Sprintf("i-%d", i), work)
	n := &node{upstream: u, service: "counter", version: version, settings: &spec.Side{
		Node: ident.Node(fmt.Sprintf("n%d", i)), Service: "counter",
		Domain: ident.Domain(fmt.Sprintf("d%d", i%s.domains)), Region: "r", Upstream: u.Address(),
		Listen:    spec.SideListen{Callers: free(s.t), Beats: free(s.t), Ready: free(s.t), Peers: free(s.t)},
		Store:     spec.SideStore{Address: s.store.Address()},
		Heartbeat: time.Second, Grace: 3 * time.Second,
		Budget:   spec.SideBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Exposure: spec.SideExposure{Share: 0.1, Slack: 50}, Cold: spec.SideCold{Overage: 1.5, Slack: 5},
		Probes: 60, Log: spec.Info,
	}}
	s.start(n)
	s.announce(n)
	s.nodes = append(s.nodes, n)
	return n
}

func (s *system) start(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.ended = make(chan error, 1)
	f, err := fleet.New(fleet.Options{Settings: n.settings, Reload: func() (*spec.Side, error) { return n.settings, nil }})
	assert.NilError(s.t, err)
	ended := n.ended
	go func() { ended <- f.Run(ctx, nil) }()
}

// announce sends two heartbeats: the first after a start doesn't count alone.
func (s *system) announce(n *node) {
	s.beat(n, "ready")
	s.beat(n, "ready")
}

// beat sends a heartbeat and returns the status of its answer.
func (s *system) beat(n *node, state string) int {
	n.sequence++
	return s.put(n, n.upstream.Instance, fmt.Sprintf(
		`{"address":%q,"born":1000,"info":{"service":%q,"version":%q,"zone":"d","slots":4},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`,
		n.upstream.Address(), n.service, n.version, state, n.sequence))
}

func (s *system) put(n *node, instance, body string) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+n.settings.Listen.Beats+"/api/instances/"+instance, strings.NewReader(body))
	assert.NilError(s.t, err)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(s.t, err)
	defer func() { _ = a.Body.Close() }()
	return a.StatusCode
}

func (s *system) await(what string, state func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if state() {
			return
		}
		assert.Assert(s.t, time.Now().Before(end), "waited in vain: %s", what)
	}
}

type result struct {
	id     string
	status int
	body   string
	retry  string
}

// send sends one request to a node.
func (s *system) send(n *node, method, path string) result {
	id := fmt.Sprintf("q%d", s.next.Add(1))
	r, err := http.NewRequest(method, "http://"+n.settings.Listen.Callers+path, nil)
	assert.NilError(s.t, err)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "2500")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{id: id}
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return result{id: id}
	}
	return result{id: id, status: a.StatusCode, body: string(b), retry: a.Header.Get("Retry-After")}
}

// reaches returns the number of upstreams that requests at once through a node
// have run on. Each upstream has 4 slots, and those of the node's own domain
// are used first.
func (s *system) reaches(n *node) int {
	var w sync.WaitGroup
	before := map[*node]int{}
	for _, m := range s.nodes {
		before[m] = m.upstream.Total()
	}
	for range max(12, 4*len(s.nodes)) {
		w.Go(func() { s.send(n, http.MethodGet, "/read/x") })
	}
	w.Wait()
	found := 0
	for m, c := range before {
		if m.upstream.Total() > c {
			found++
		}
	}
	return found
}

func slowly(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(30 * time.Millisecond)
	_, _ = io.WriteString(w, "whole answer")
}

// Guards against a path between caller and upstream that alters or loses an
// answer, and against a 404 while no configuration says so.
func TestWholePath(t *testing.T) {
	s := newSystem(t, 2, slowly)
	a := s.send(s.nodes[0], http.MethodPost, "/book/1?x=%20y")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, "whole answer")
	assert.Equal(t, s.nodes[0].upstream.Runs(a.id)+s.nodes[1].upstream.Runs(a.id), 1)
	assert.Equal(t, s.send(s.nodes[0], http.MethodGet, "/none/").status, http.StatusNotFound)
}

// Guards against new work on an upstream after its leaving was acknowledged:
// the exit has to refuse before the answer to the heartbeat goes out, also to
// entries that have not heard.
func TestDrainBindsAtOnce(t *testing.T) {
	s := newSystem(t, 2, slowly)
	leaving := s.nodes[0]
	assert.Equal(t, s.beat(leaving, "draining"), http.StatusOK)
	before := leaving.upstream.Total()
	for range 20 {
		a := s.send(s.nodes[1], http.MethodGet, "/read/x")
		assert.Equal(t, a.status, http.StatusOK)
	}
	assert.Equal(t, leaving.upstream.Total(), before)
}

// Guards against heartbeats that aren't the upstream's: late ones of one that
// has left, those of another address, and those that can't be read.
func TestForeignBeatsChangeNothing(t *testing.T) {
	s := newSystem(t, 1, slowly)
	n := s.nodes[0]
	good := `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","slots":4},"status":{"state":%q,"sequence":%d,"cold_left_ms":0}}`
	for _, b := range []string{
		`{"address":7}`,
		`not json`,
		fmt.Sprintf(good, "127.0.0.1:1", 2000, "counter", "draining", 900),
		fmt.Sprintf(good, n.upstream.Address(), 500, "counter", "draining", 900),
		fmt.Sprintf(good, n.upstream.Address(), 1000, "counter", "asleep", 900),
	} {
		assert.Equal(t, s.put(n, "i-other", b), http.StatusBadRequest, b)
	}
	assert.Equal(t, s.send(n, http.MethodGet, "/read/x").status, http.StatusOK)
	assert.Equal(t, s.beat(n, "draining"), http.StatusOK)
	late := fmt.Sprintf(good, n.upstream.Address(), 1000, "counter", "ready", 1)
	assert.Equal(t, s.put(n, n.upstream.Instance, late), http.StatusOK)
	assert.Equal(t, s.send(n, http.MethodGet, "/read/x").status, http.StatusServiceUnavailable)
}

// Guards against a late heartbeat that brings an upstream back whose leaving
// was acknowledged: by this start of the node, in any order, or by the one before.
func TestLateBeatsAfterRestart(t *testing.T) {
	s := newSystem(t, 2, slowly)
	n := s.nodes[0]
	late := func(sequence int) string {
		return fmt.Sprintf(`{"address":%q,"born":1000,"info":{"service":"counter","version":"v1","slots":4},"status":{"state":"ready","sequence":%d,"cold_left_ms":0}}`,
			n.upstream.Address(), sequence)
	}
	n.stop()
	assert.NilError(t, <-n.ended)
	n.upstream.SetIll(true)
	s.start(n)
	s.await("the node serves callers", func() bool { return s.send(n, http.MethodGet, "/read/x").status == http.StatusOK })
	r, err := http.NewRequest(http.MethodDelete, "http://"+n.settings.Listen.Beats+"/api/instances/"+n.upstream.Instance, nil)
	assert.NilError(t, err)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	assert.Equal(t, a.StatusCode, http.StatusOK)
	before := n.upstream.Total()
	s.put(n, n.upstream.Instance, late(900))
	s.put(n, n.upstream.Instance, late(901))
	for range 3 {
		s.reaches(n)
	}
	assert.Equal(t, n.upstream.Total(), before)
}

// Guards against a configuration that goes back, and against one that can't be
// used replacing one that can.
func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSystem(t, 2, slowly)
	extra := `,{"name":"more","kind":"safe","match":{"prefix":"/more/"},"action":{"service":"counter","max_attempts":2}}`
	s.store.Put("op", "config", configuration(7, extra))
	for _, n := range s.nodes {
		s.await("the new route is in force", func() bool { return s.send(n, http.MethodGet, "/more/").status == http.StatusOK })
	}
	s.store.Put("op", "config", configuration(5, ""))
	s.store.Put("op", "config", `{"version":"r9","listeners":[{"rules":`)
	s.store.Compact()
	s.store.Put("op", "evacuate/none", `{}`)
	for range 10 {
		for _, n := range s.nodes {
			assert.Equal(t, s.send(n, http.MethodGet, "/more/").status, http.StatusOK)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a node that can't reach the store missing what the operator
// has ordered: it learns it from the others.
func TestOrdersReachACutNode(t *testing.T) {
	s := newSystem(t, 3, slowly)
	cut := fake.NewStore()
	defer cut.Close()
	cut.SetFault(func(string) fake.Fault { return fake.Busy })
	n := s.nodes[2]
	n.stop()
	assert.NilError(t, <-n.ended)
	settings := *n.settings
	settings.Store.Address = cut.Address()
	n.settings = &settings
	s.start(n)
	s.announce(n)
	s.await("the restarted node serves", func() bool { return s.send(n, http.MethodGet, "/read/x").status == http.StatusOK })
	s.store.Put("op", "evacuate/d0", `{}`)
	s.await("the domain gets nothing", func() bool {
		before := s.nodes[0].upstream.Total()
		s.reaches(n)
		return s.nodes[0].upstream.Total() == before
	})
	s.store.Drop("op", "evacuate/d0")
	s.await("the domain serves again", func() bool { return s.reaches(s.nodes[1]) == 3 })
}

// Guards against calls to the store that grow with the number of nodes, and
// against nodes that miss a change because others follow the store for them,
// also after one of those has stopped.
func TestFewFollowTheStore(t *testing.T) {
	const domains = 2
	s := newSystemOf(t, domains, 6, slowly)
	s.await("one node of each domain follows", func() bool { return s.store.Following() == domains })
	extra := `,{"name":"more","kind":"safe","match":{"prefix":"/more%d/"},"action":{"service":"counter","max_attempts":2}}`
	for i, n := range s.nodes[:3] {
		before := s.store.Calls()
		s.store.Put("op", "config", configuration(7+i, fmt.Sprintf(extra, i)))
		for _, m := range s.nodes[i:] {
			s.await("the new route is in force", func() bool {
				return s.send(m, http.MethodGet, fmt.Sprintf("/more%d/", i)).status == http.StatusOK
			})
		}
		t.Logf("%d calls for a change", s.store.Calls()-before)
		n.stop()
		assert.NilError(t, <-n.ended)
		n.ended <- nil
		s.await("others follow instead", func() bool { return s.store.Following() == domains })
	}
}

// Guards against a planned stop that cuts requests: those in progress and those
// that still come are served.
func TestStopCutsNothing(t *testing.T) {
	s := newSystem(t, 2, slowly)
	n := s.nodes[0]
	var cut, served atomic.Int64
	var w sync.WaitGroup
	ended := make(chan struct{})
	for range 8 {
		w.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				a := s.send(n, http.MethodPost, "/book/x")
				switch {
				case a.status == http.StatusOK:
					served.Add(1)
				case s.nodes[0].upstream.Runs(a.id)+s.nodes[1].upstream.Runs(a.id) > 0:
					cut.Add(1)
				}
			}
		})
	}
	s.await("requests are served", func() bool { return served.Load() > 20 })
	n.stop()
	assert.NilError(t, <-n.ended)
	close(ended)
	w.Wait()
	assert.Equal(t, cut.Load(), int64(0))
	n.ended <- nil
}

// Guards against a request that may run only once running twice or being
// refused although it has run, while upstreams break connections and shed.
func TestOnceUnderBrokenConnections(t *testing.T) {
	var count atomic.Int64
	s := newSystem(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/book/") && count.Add(1)%3 == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	})
	for i := range 60 {
		a := s.send(s.nodes[i%2], http.MethodPost, "/book/x")
		runs := s.nodes[0].upstream.Runs(a.id) + s.nodes[1].upstream.Runs(a.id)
		assert.Assert(t, runs <= 1, "request ran %d times", runs)
		assert.Assert(t, runs == 0 || a.status != http.StatusServiceUnavailable, "refused and run")
	}
}

// Guards against requests on an upstream of a version that is known to be bad,
// and against a move that ends without a status.
func TestBadVersionIsRolledBack(t *testing.T) {
	s := newSystem(t, 2, slowly)
	bad := s.add(2, "v2", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	s.store.Put("op", "rollout/counter", `{"service":"counter","target":"v2","duration_s":12}`)
	state := func() string { return s.store.Value("status", "rollout/counter") }
	s.await("the move is rolled back", func() bool {
		s.reaches(s.nodes[0])
		return strings.Contains(state(), "rolled_back")
	})
	before := bad.upstream.Total()
	assert.Assert(t, before <= 50, "the bad version got %d requests", before)
	for range 3 {
		s.reaches(s.nodes[1])
	}
	assert.Equal(t, bad.upstream.Total(), before)
}

// Guards against a good version that isn't done in time.
func TestGoodVersionIsDone(t *testing.T) {
	s := newSystem(t, 2, slowly)
	fresh := s.add(2, "v2", slowly)
	s.store.Put("op", "rollout/counter", `{"service":"counter","target":"v2","duration_s":4}`)
	s.await("the move is done", func() bool {
		s.reaches(s.nodes[0])
		state := s.store.Value("status", "rollout/counter")
		assert.Assert(t, !strings.Contains(state, "rolled_back"), "a good version was rolled back")
		return strings.Contains(state, "completed")
	})
	before := s.nodes[0].upstream.Total() + s.nodes[1].upstream.Total()
	got := fresh.upstream.Total()
	s.send(s.nodes[1], http.MethodGet, "/read/x")
	assert.Equal(t, fresh.upstream.Total(), got+1)
	assert.Equal(t, s.nodes[0].upstream.Total()+s.nodes[1].upstream.Total(), before)
}
