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

// member is one exit with an upstream whose behavior is defined by the test.
type member struct {
	node ident.Node
	exit *exit.Exit
	runs atomic.Int32
}

// network is an entry and its members, connected by function calls instead of
// sockets, so that a test can drop, delay or swap any message.
type network struct {
	t       *testing.T
	entry   *entry.Entry
	members map[string]*member
	targets []entry.Target
	server  *httptest.Server

	mu          sync.Mutex
	callFunc    func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error)
	resolveFunc func(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error)
}

func deliver(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
	progress()
	return m.exit.Call(ctx, req), nil
}

func resolve(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return m.exit.Resolve(ctx, r), nil
}

func emit(event.Code, ...event.Field) {}

// newNetwork starts one exit for each upstream handler.
func newNetwork(t *testing.T, upstreams ...http.HandlerFunc) *network {
	n := &network{t: t, members: map[string]*member{}, callFunc: deliver, resolveFunc: resolve}
	n.entry = entry.New(entry.Options{
		Node: "entry", Domain: "a", Region: "r", MaxBodyBytes: 1 << 16, MaxInflight: 100,
		Rand:          newRand(),
		DomainWeight:  func(ident.Domain, time.Time) float64 { return 1 },
		SelectVersion: func(ident.Service, uint64, time.Time) ident.Version { return "" },
		Peers: entry.Peers{
			Call: func(ctx context.Context, address string, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
				n.mu.Lock()
				f := n.callFunc
				n.mu.Unlock()
				return f(ctx, n.members[address], req, progress)
			},
			Resolve: func(ctx context.Context, address string, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
				n.mu.Lock()
				f := n.resolveFunc
				n.mu.Unlock()
				return f(ctx, n.members[address], r)
			},
			CloseIdle: func(string) {},
		},
		Emit: emit,
	})
	for i, u := range upstreams {
		n.targets = append(n.targets, n.addMember(string(rune('a'+i)), u))
	}
	n.entry.SetMembers(n.targets)
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

func newRand() func() uint64 {
	var state atomic.Uint64
	return func() uint64 { return state.Add(0x9e3779b97f4a7c15) }
}

func (n *network) addMember(name string, upstream http.HandlerFunc) entry.Target {
	m := &member{node: ident.Node(name)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.runs.Add(1)
		upstream(w, r)
	}))
	n.t.Cleanup(server.Close)
	m.exit = exit.New(exit.Options{
		Start: 7, Node: m.node, MaxBodyBytes: 1 << 16, MaxQueued: 8, MaxIdleConns: 8,
		DomainAdmits:     func(time.Time) bool { return true },
		VersionServes:    func(ident.Service, ident.Version, time.Time) bool { return true },
		Emit:             emit,
		OnRequestEnd:     func(exit.RequestResult) {},
		OnUpstreamChange: func() {},
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

// setCall replaces the function that delivers calls to exits.
func (n *network) setCall(f func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callFunc = f
}

func (n *network) setResolve(f func(context.Context, *member, *wirepb.ResolveRequest) (*wirepb.CallResponse, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resolveFunc = f
}

func (n *network) runs() int {
	total := 0
	for _, m := range n.members {
		total += int(m.runs.Load())
	}
	return total
}

// response is the response to a caller.
type response struct {
	status  int
	outcome call.Outcome
	reason  string
	body    string
}

func (n *network) send(method string, headers ...string) response {
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
	return response{
		status:  resp.StatusCode,
		outcome: call.Outcome(resp.Header.Get(call.HeaderOutcome)),
		reason:  resp.Header.Get(call.HeaderReason),
		body:    string(body),
	}
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "answer to "+r.Method)
}

// onFirstCall handles the first call with fault and all later ones with next.
func onFirstCall(fault, next func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error)) func(context.Context, *member, *wirepb.CallRequest, func()) (*wirepb.CallResponse, error) {
	var called atomic.Bool
	return func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		if called.CompareAndSwap(false, true) {
			return fault(ctx, m, req, progress)
		}
		return next(ctx, m, req, progress)
	}
}

func unresponsive(ctx context.Context, _ *member, _ *wirepb.CallRequest, _ func()) (*wirepb.CallResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against losing a request that must not run twice, or reporting its
// outcome as unknown, when its connection stops responding before the request
// arrives.
func TestLostRequestRunsOnceElsewhere(t *testing.T) {
	n := newNetwork(t, ok, ok)
	n.setCall(onFirstCall(unresponsive, deliver))
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Ran)
	assert.Equal(t, resp.body, "answer to POST")
	assert.Equal(t, n.runs(), 1)
}

// Guards against running a request twice when only its response was lost.
func TestLostResponseReturnsStoredResponse(t *testing.T) {
	n := newNetwork(t, ok, ok)
	n.setCall(onFirstCall(func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		m.exit.Call(ctx, req)
		return unresponsive(ctx, m, req, progress)
	}, deliver))
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Ran)
	assert.Equal(t, n.runs(), 1)
}

// Guards against running a request a second time when its original message is
// delayed and arrives after it was cancelled.
func TestLateArrivalAfterCancelIsRefused(t *testing.T) {
	n := newNetwork(t, ok, ok)
	late := make(chan *wirepb.CallResponse, 1)
	n.setCall(onFirstCall(func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		<-ctx.Done()
		late <- m.exit.Call(context.Background(), req)
		return nil, ctx.Err()
	}, deliver))
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Ran)
	lateResp := <-late
	assert.Equal(t, lateResp.GetOutcome(), wirepb.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, lateResp.GetReason(), wirepb.Reason_REASON_CANCELLED)
	assert.Equal(t, n.runs(), 1)
}

// Guards against returning the response of another request to a caller.
func TestCrossedResponseIsNotForwarded(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		progress()
		resp := m.exit.Call(ctx, req)
		crossed := &wirepb.CallResponse{Id: make([]byte, 16), Outcome: resp.GetOutcome(), Status: 200, Body: []byte("another's")}
		return crossed, nil
	})
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Ran)
	assert.Equal(t, resp.body, "answer to POST")
	assert.Equal(t, n.runs(), 1)
}

// Guards against reporting "not run" without proof while the exit node is
// frozen.
func TestFrozenExitLeavesOutcomeUnknown(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(unresponsive)
	n.setResolve(func(ctx context.Context, _ *member, _ *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	resp := n.send(http.MethodPost, call.HeaderTimeout, "700ms")
	assert.Equal(t, resp.status, http.StatusGatewayTimeout)
	assert.Equal(t, resp.outcome, call.Unknown)
}

// Guards against repeating a request that must not run twice after the exit
// node restarted and lost its fences.
func TestRestartedExitLeavesOutcomeUnknown(t *testing.T) {
	n := newNetwork(t, ok, ok)
	resetConnection := func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		m.exit.Call(ctx, req)
		return nil, errors.New("connection reset")
	}
	n.setCall(onFirstCall(resetConnection, deliver))
	n.setResolve(func(ctx context.Context, m *member, r *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
		r.Start++
		return m.exit.Resolve(ctx, r), nil
	})
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Unknown)
	assert.Equal(t, n.runs(), 1)
}

// Guards against failing a read because its upstream broke the connection while
// another upstream can serve it.
func TestBrokenUpstreamIsRetriedForReadsOnly(t *testing.T) {
	var calls atomic.Int32
	breakFirst := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	}
	n := newNetwork(t, breakFirst, breakFirst)
	resp := n.send(http.MethodGet)
	assert.Equal(t, resp.outcome, call.Ran)
	calls.Store(0)
	runsBefore := n.runs()
	resp = n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Unknown)
	assert.Equal(t, n.runs()-runsBefore, 1)
}

// Guards against net/http retrying a keyed POST by itself when a reused
// connection to the upstream breaks.
func TestKeyedRequestIsNotResentOnReusedConnection(t *testing.T) {
	var calls atomic.Int32
	n := newNetwork(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	assert.Equal(t, n.send(http.MethodGet).outcome, call.Ran)
	m := n.members["a"]
	req := &wirepb.CallRequest{
		Id: []byte("0123456789abcdef"), Start: 7, Service: "s", Method: http.MethodPost, Path: "/x",
		Headers:       []*wirepb.Header{{Name: call.HeaderKey, Values: []string{"k"}}},
		DeadlineNanos: time.Now().Add(5 * time.Second).UnixNano(),
	}
	resp := m.exit.Call(t.Context(), req)
	assert.Equal(t, resp.GetOutcome(), wirepb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, calls.Load(), int32(1))
}

// Guards against net/http retrying by itself a GET that must not run twice when
// a reused connection to the upstream breaks.
func TestNonIdempotentGetIsNotResentOnReusedConnection(t *testing.T) {
	var calls atomic.Int32
	n := newNetwork(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	assert.Equal(t, n.send(http.MethodGet).outcome, call.Ran)
	resp := n.send(http.MethodGet, call.HeaderIdempotent, "false")
	assert.Equal(t, resp.outcome, call.Unknown)
	assert.Equal(t, calls.Load(), int32(2))
}

// Guards against refusing a request that could wait for a slot, because the
// service has fewer members than there are tries before the last one.
func TestSingleMemberQueuesInsteadOfRefusing(t *testing.T) {
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
// stopped responding, although a new connection works.
func TestUnresponsiveConnectionToSingleMember(t *testing.T) {
	n := newNetwork(t, ok)
	n.setCall(onFirstCall(unresponsive, deliver))
	assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	assert.Equal(t, n.runs(), 1)
}

// Guards against sending the last try to a member that refuses every request
// and therefore appears idle, instead of waiting at a member that was full.
func TestLastTryAvoidsRefusingMember(t *testing.T) {
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

// Guards against reporting an unknown outcome for a request that the upstream
// shed before running it.
func TestShedRequestRunsElsewhere(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(call.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	n := newNetwork(t, shed, shed, ok)
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.outcome, call.Ran)
	assert.Equal(t, n.members["c"].runs.Load(), int32(1))
}

// Guards against forwarding a response that the upstream truncated.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	n := newNetwork(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "only a part")
	})
	resp := n.send(http.MethodPost)
	assert.Equal(t, resp.status, http.StatusGatewayTimeout)
	assert.Equal(t, resp.outcome, call.Unknown)
}

// Guards against a drain that interrupts a running request or refuses one that
// another member can take.
func TestDrainFinishesRunningRequests(t *testing.T) {
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
	member := n.members["a"]
	req := &wirepb.CallRequest{
		Id: []byte("0123456789abcdef"), Start: 7, Service: "s", Method: http.MethodPost, Path: "/x",
		Headers:       []*wirepb.Header{{Name: "X-Slow", Values: []string{"1"}}},
		DeadlineNanos: time.Now().Add(time.Minute).UnixNano(),
	}
	ended := make(chan *wirepb.CallResponse, 1)
	go func() { ended <- member.exit.Call(context.Background(), req) }()
	<-running
	var released atomic.Bool
	drained := make(chan bool, 1)
	go func() {
		unfinished := member.exit.Drain(context.Background())
		drained <- unfinished == 0 && released.Load()
	}()
	for range 20 {
		assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	}
	released.Store(true)
	close(release)
	assert.Assert(t, <-drained, "drain ended before the running request")
	assert.Equal(t, (<-ended).GetOutcome(), wirepb.Outcome_OUTCOME_RAN)
}

// Guards against malformed input that reaches an upstream or occupies memory.
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
		resp := n.send(http.MethodPost, c.headers...)
		assert.Equal(t, resp.status, c.status, c.headers[0])
		assert.Equal(t, resp.outcome, call.NotRun, c.headers[0])
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

// Guards against abandoned requests that remain counted as in flight, which
// would keep a member out of use.
func TestAbandonedRequestsAreNotInFlight(t *testing.T) {
	n := newNetwork(t, ok, ok)
	for i := range n.targets {
		// With one slot a member does not ramp up, so that only its load
		// decides.
		n.targets[i].Member.Slots = 1
	}
	// Each caller leaves once its request has been sent. All copies end before
	// the requests below, which must not find an abandoned one still counted.
	started := make(chan struct{})
	n.setCall(func(ctx context.Context, m *member, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
		started <- struct{}{}
		return unresponsive(ctx, m, req, progress)
	})
	n.entry.SetMembers(n.targets[:1])
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
	n.entry.SetMembers(n.targets)
	for range 60 {
		assert.Equal(t, n.send(http.MethodPost).outcome, call.Ran)
	}
	assert.Assert(t, n.members["a"].runs.Load() > 0, "member a is out of use")
}
