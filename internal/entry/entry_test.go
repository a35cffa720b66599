package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// member is one exit with an upstream whose behaviour a test decides.
type member struct {
	node ident.Node
	exit *exit.Exit
	runs atomic.Int32
}

// network is an entry and its members, connected by functions instead of
// sockets, so that a test can lose, delay or cross every message.
type network struct {
	t       *testing.T
	entry   *entry.Entry
	members map[string]*member
	targets []entry.Target
	server  *httptest.Server

	mu    sync.Mutex
	call  func(ctx context.Context, m *member, q *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error)
	solve func(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error)
}

func deliver(ctx context.Context, m *member, q *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
	progress()
	return m.exit.Call(ctx, q), nil
}

func resolve(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return m.exit.Resolve(ctx, r), nil
}

func emit(event.Code, ...event.Field) {}

// newNetwork starts one exit for each upstream handler.
func newNetwork(t *testing.T, upstreams ...http.HandlerFunc) *network {
	n := &network{t: t, members: map[string]*member{}, call: deliver, solve: resolve}
	n.entry = entry.New(entry.Options{
		Node: "entry", Domain: "a", Region: "r", Body: 1 << 16, Inflight: 100,
		Rand:   counter(),
		Weight: func(ident.Domain, time.Time) float64 { return 1 },
		Cohort: func(ident.Service, uint64, time.Time) ident.Version { return "" },
		Peers: entry.Peers{
			Call: func(ctx context.Context, a string, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
				n.mu.Lock()
				f := n.call
				n.mu.Unlock()
				return f(ctx, n.members[a], q, p)
			},
			Resolve: func(ctx context.Context, a string, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
				n.mu.Lock()
				f := n.solve
				n.mu.Unlock()
				return f(ctx, n.members[a], r)
			},
			Distrust: func(string) {},
		},
		Emit: emit,
	})
	for i, u := range upstreams {
		n.targets = append(n.targets, n.add(string(rune('a'+i)), u))
	}
	n.entry.Update(n.targets)
	n.entry.SetCatalog(entry.NewCatalog(&spec.Manifest{Services: []spec.Service{{Name: "s", Version: "v1", Timeout: 5 * time.Second}}}))
	n.server = httptest.NewServer(n.entry)
	t.Cleanup(func() {
		n.server.Close()
		n.entry.Close()
		for _, m := range n.members {
			m.exit.Close()
		}
	})
	return n
}

func counter() func() uint64 {
	var c atomic.Uint64
	return func() uint64 { return c.Add(0x9e3779b97f4a7c15) }
}

func (n *network) add(name string, u http.HandlerFunc) entry.Target {
	m := &member{node: ident.Node(name)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.runs.Add(1)
		u(w, r)
	}))
	n.t.Cleanup(server.Close)
	m.exit = exit.New(exit.Options{
		Start: 7, Node: m.node, Body: 1 << 16, Queue: 8, Connections: 8,
		Admits:  func(time.Time) bool { return true },
		Serves:  func(ident.Service, ident.Version, time.Time) bool { return true },
		Emit:    emit,
		Count:   func(exit.Run) {},
		Changed: func() {},
	})
	m.exit.Announce(exit.Upstream{
		Service: "s", Version: "v1", Slots: 4, Start: 1,
		Address: strings.TrimPrefix(server.URL, "http://"),
	})
	n.members[name] = m
	return entry.Target{
		Member:  choose.Member{Node: m.node, Service: "s", Version: "v1", Domain: "a", Region: "r", Slots: 4},
		Address: name,
		Start:   7,
	}
}

// setCall replaces the way of requests to exits.
func (n *network) setCall(f func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.call = f
}

func (n *network) setResolve(f func(context.Context, *member, *wirepb.ResolveRequest) (*wirepb.CallResponse, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.solve = f
}

func (n *network) runs() int {
	sum := 0
	for _, m := range n.members {
		sum += int(m.runs.Load())
	}
	return sum
}

// answer is what a caller sees.
type answer struct {
	status  int
	outcome call.Outcome
	reason  string
	body    string
}

func (n *network) send(method string, headers ...string) answer {
	req, err := http.NewRequest(method, n.server.URL+"/x", http.NoBody)
	assert.NilError(n.t, err)
	req.Header.Set(call.HeaderService, "s")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(n.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(n.t, err)
	return answer{
		status:  resp.StatusCode,
		outcome: call.Outcome(resp.Header.Get(call.HeaderOutcome)),
		reason:  resp.Header.Get(call.HeaderReason),
		body:    string(body),
	}
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "answer to "+r.Method)
}

// first applies a fault to the first call only.
func first(fault, after func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error)) func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error) {
	var seen atomic.Bool
	return func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		if seen.CompareAndSwap(false, true) {
			return fault(ctx, m, q, p)
		}
		return after(ctx, m, q, p)
	}
}

func silent(ctx context.Context, _ *member, _ *wirepb.CallRequest, _ func()) (*wirepb.CallResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a booking that is lost, or reported as unknown, because the
// connection that carried it went silent before it arrived.
func TestSilentBeforeArrivalRunsElsewhereOnce(t *testing.T) {
	n := newNetwork(t, ok, ok)
	n.setCall(first(silent, deliver))
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Ran)
	assert.Equal(t, a.body, "answer to POST")
	assert.Equal(t, n.runs(), 1)
}

// Guards against running a booking twice when only its answer was lost.
func TestSilentAfterArrivalDeliversStoredAnswer(t *testing.T) {
	n := newNetwork(t, ok, ok)
	n.setCall(first(func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		m.exit.Call(ctx, q)
		return silent(ctx, m, q, p)
	}, deliver))
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Ran)
	assert.Equal(t, n.runs(), 1)
}

// Guards against a request that arrives after its cancel and then runs a
// second time (suspension of the cancel).
func TestLateArrivalAfterCancelIsRefused(t *testing.T) {
	n := newNetwork(t, ok, ok)
	late := make(chan *wirepb.CallResponse, 1)
	n.setCall(first(func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		<-ctx.Done()
		late <- m.exit.Call(context.Background(), q)
		return nil, ctx.Err()
	}, deliver))
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Ran)
	l := <-late
	assert.Equal(t, l.GetOutcome(), wirepb.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, l.GetReason(), wirepb.Reason_REASON_CANCELLED)
	assert.Equal(t, n.runs(), 1)
}

// Guards against handing a caller the answer to another request.
func TestCrossedAnswerIsNotPassedOn(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		p()
		a := m.exit.Call(ctx, q)
		other := &wirepb.CallResponse{Id: make([]byte, 16), Outcome: a.GetOutcome(), Status: 200, Body: []byte("another's")}
		return other, nil
	})
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Ran)
	assert.Equal(t, a.body, "answer to POST")
	assert.Equal(t, n.runs(), 1)
}

// Guards against a false "not run" while the exit node is frozen.
func TestFrozenExitLeavesOutcomeUnknown(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(silent)
	n.setResolve(func(ctx context.Context, _ *member, _ *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a := n.send(http.MethodPost, call.HeaderTimeout, "700ms")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Equal(t, a.outcome, call.Unknown)
}

// Guards against a request that must not run twice being repeated after the
// exit node was restarted and has lost its fences.
func TestRestartedExitLeavesOutcomeUnknown(t *testing.T) {
	n := newNetwork(t, ok, ok)
	broken := func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		m.exit.Call(ctx, q)
		return nil, errors.New("connection reset")
	}
	n.setCall(first(broken, deliver))
	n.setResolve(func(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
		r.Start++
		return m.exit.Resolve(ctx, r), nil
	})
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Unknown)
	assert.Equal(t, n.runs(), 1)
}

// Guards against giving up on a read whose upstream broke the connection,
// while another upstream can answer it.
func TestBrokenUpstreamIsRetriedForReadsOnly(t *testing.T) {
	var hits atomic.Int32
	flaky := func(w http.ResponseWriter, r *http.Request) {
		if hits.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	}
	n := newNetwork(t, flaky, flaky)
	a := n.send(http.MethodGet)
	assert.Equal(t, a.outcome, call.Ran)
	hits.Store(0)
	before := n.runs()
	a = n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Unknown)
	assert.Equal(t, n.runs()-before, 1)
}

// Guards against net/http resending a keyed POST on its own when a reused
// connection to the upstream breaks.
func TestKeyedRequestIsNotResentOnReusedConnection(t *testing.T) {
	var hits atomic.Int32
	n := newNetwork(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			hits.Add(1)
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	assert.Equal(t, n.send(http.MethodGet).outcome, call.Ran)
	m := n.members["a"]
	q := &wirepb.CallRequest{
		Id: []byte("0123456789abcdef"), Start: 7, Service: "s", Method: http.MethodPost, Path: "/x",
		Headers:       []*wirepb.Header{{Name: call.HeaderKey, Values: []string{"k"}}},
		DeadlineNanos: time.Now().Add(5 * time.Second).UnixNano(),
	}
	a := m.exit.Call(t.Context(), q)
	assert.Equal(t, a.GetOutcome(), wirepb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, hits.Load(), int32(1))
}

// Guards against net/http resending on its own a GET that must not run twice
// when a reused connection to the upstream breaks.
func TestGetThatRunsOnceIsNotResentOnReusedConnection(t *testing.T) {
	var hits atomic.Int32
	n := newNetwork(t, func(w http.ResponseWriter, r *http.Request) {
		if hits.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	assert.Equal(t, n.send(http.MethodGet).outcome, call.Ran)
	a := n.send(http.MethodGet, call.HeaderIdempotent, "false")
	assert.Equal(t, a.outcome, call.Unknown)
	assert.Equal(t, hits.Load(), int32(2))
}

// Guards against refusing a request that could wait for a slot, because the
// service has fewer members than there are tries before the last one.
func TestLoneMemberQueuesInsteadOfRefusing(t *testing.T) {
	n := newNetwork(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		ok(w, r)
	})
	var sent sync.WaitGroup
	for range 4 {
		sent.Go(func() { assert.Check(t, cmp.Equal(n.send(http.MethodPost).outcome, call.Ran)) })
	}
	sent.Wait()
	assert.Equal(t, n.runs(), 4)
}

// Guards against refusing a request because the connection to the only member
// was silent, while a new connection works.
func TestSilentConnectionToLoneMember(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(first(silent, deliver))
	assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	assert.Equal(t, n.runs(), 1)
}

// Guards against spending the last try on a member that refuses everything,
// which looks idle, instead of waiting at one that was full.
func TestLastTryWaitsWhereASlotWillBeFree(t *testing.T) {
	n := newNetwork(t, ok, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		ok(w, r)
	})
	n.members["a"].exit.WithdrawUpstream()
	var sent sync.WaitGroup
	for range 8 {
		sent.Go(func() { assert.Check(t, cmp.Equal(n.send(http.MethodPost).outcome, call.Ran)) })
	}
	sent.Wait()
	assert.Equal(t, n.runs(), 8)
}

// Guards against an unknown outcome for a request that the upstream itself
// refused before running it.
func TestShedRequestRunsElsewhere(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	n := newNetwork(t, shed, shed, ok)
	a := n.send(http.MethodPost)
	assert.Equal(t, a.outcome, call.Ran)
	assert.Equal(t, n.members["c"].runs.Load(), int32(1))
}

// Guards against passing on an answer that the upstream cut short.
func TestShortAnswerIsNotPassedOn(t *testing.T) {
	n := newNetwork(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "only a part")
	})
	a := n.send(http.MethodPost)
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
	assert.Equal(t, a.outcome, call.Unknown)
}

// Guards against a planned stop that cuts a running request or refuses one
// that another member can take.
func TestDrainFinishesRunningAndMovesNewWork(t *testing.T) {
	running := make(chan struct{}, 1)
	release := make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Slow") != "" {
			running <- struct{}{}
			<-release
		}
		ok(w, r)
	}
	n := newNetwork(t, slow, ok)
	a := n.members["a"]
	q := &wirepb.CallRequest{
		Id: []byte("0123456789abcdef"), Start: 7, Service: "s", Method: http.MethodPost, Path: "/x",
		Headers:       []*wirepb.Header{{Name: "X-Slow", Values: []string{"1"}}},
		DeadlineNanos: time.Now().Add(time.Minute).UnixNano(),
	}
	ended := make(chan *wirepb.CallResponse, 1)
	go func() { ended <- a.exit.Call(context.Background(), q) }()
	<-running
	var released atomic.Bool
	drained := make(chan bool, 1)
	go func() {
		cut := a.exit.Drain(context.Background())
		drained <- cut == 0 && released.Load()
	}()
	for range 20 {
		assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	}
	released.Store(true)
	close(release)
	assert.Assert(t, <-drained, "drain ended before the running request")
	assert.Equal(t, (<-ended).GetOutcome(), wirepb.Outcome_OUTCOME_RAN)
}

// Guards against malformed input that reaches an upstream or holds memory.
func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	n := newNetwork(t, ok)
	cases := []struct {
		status  int
		headers []string
	}{
		{http.StatusBadRequest, []string{call.HeaderService, ""}},
		{http.StatusBadRequest, []string{call.HeaderService, "a b"}},
		{http.StatusNotFound, []string{call.HeaderService, "nobody"}},
		{http.StatusBadRequest, []string{call.HeaderIdempotent, "maybe"}},
		{http.StatusBadRequest, []string{call.HeaderTimeout, "soon"}},
		{http.StatusBadRequest, []string{call.HeaderTimeout, "-1s"}},
		{http.StatusBadRequest, []string{call.HeaderDepth, "99"}},
		{http.StatusBadRequest, []string{call.HeaderKey, strings.Repeat("k", 300)}},
	}
	for _, c := range cases {
		a := n.send(http.MethodPost, c.headers...)
		assert.Equal(t, a.status, c.status, c.headers[0])
		assert.Equal(t, a.outcome, call.NotRun, c.headers[0])
	}
	req, err := http.NewRequest(http.MethodPost, n.server.URL+"/x", strings.NewReader(strings.Repeat("x", 1<<17)))
	assert.NilError(t, err)
	req.Header.Set(call.HeaderService, "s")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, n.runs(), 0)
}

// Guards against requests that their callers gave up counting as in flight for
// good, which would keep a member out of use.
func TestAbandonedRequestsLeaveTheCount(t *testing.T) {
	n := newNetwork(t, ok, ok)
	for i := range n.targets {
		// With one slot a member isn't ramping up, so that only load decides.
		n.targets[i].Member.Slots = 1
	}
	// Each caller leaves once its request is on its way, and the copies have
	// ended before the next request: it must not meet one that is still counted.
	started := make(chan struct{})
	n.setCall(func(ctx context.Context, m *member, q *wirepb.CallRequest, p func()) (*wirepb.CallResponse, error) {
		started <- struct{}{}
		return silent(ctx, m, q, p)
	})
	n.entry.Update(n.targets[:1])
	for range 40 {
		ctx, leave := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.server.URL+"/x", http.NoBody)
		assert.NilError(t, err)
		req.Header.Set(call.HeaderService, "s")
		go func() {
			<-started
			leave()
		}()
		_, err = http.DefaultClient.Do(req)
		assert.Assert(t, err != nil)
	}
	n.entry.Close()
	n.setCall(deliver)
	n.entry.Update(n.targets)
	for range 60 {
		assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	}
	assert.Assert(t, n.members["a"].runs.Load() > 0, "member a is out of use")
}
