package exit_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// harness is an Exit with one upstream.
type harness struct {
	exit        *exit.Exit
	completions chan exit.RequestResult
	upstream    exit.Upstream
	runs        atomic.Int32
	lastID      uint64
}

func newHarness(t *testing.T, slots ident.Slots, handler http.HandlerFunc) *harness {
	return newHarnessOf(t, func(*exit.Options) {}, slots, handler)
}

// newHarnessOf returns a harness whose exit has changed options.
func newHarnessOf(t *testing.T, change func(*exit.Options), slots ident.Slots, handler http.HandlerFunc) *harness {
	h := &harness{completions: make(chan exit.RequestResult, 1<<16)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.runs.Add(1)
		handler(w, r)
	}))
	o := exit.Options{
		Start: 7, Node: "home", MaxBodyBytes: 1 << 10, MaxQueued: 4, MaxIdleConns: 4,
		DomainAdmits:     func(time.Time) bool { return true },
		VersionServes:    func(ident.Service, ident.Version, time.Time) bool { return true },
		Emit:             func(event.Code, ...event.Field) {},
		OnRequestEnd:     func(r exit.RequestResult) { h.completions <- r },
		OnUpstreamChange: func() {},
	}
	change(&o)
	h.exit = exit.New(o)
	h.upstream = exit.Upstream{Service: "s", Version: "v1", Slots: slots, Start: 1, Address: strings.TrimPrefix(s.URL, "http://")}
	h.exit.Announce(h.upstream)
	t.Cleanup(func() {
		h.exit.Close()
		s.Close()
	})
	return h
}

// newRequest returns a new request for the harness's upstream.
func (h *harness) newRequest(key string) *wirepb.CallRequest {
	h.lastID++
	id := ident.NewRequest(1, h.lastID)
	return &wirepb.CallRequest{
		Id: id[:], Start: 7, Service: "s", Version: "v1", Method: http.MethodPost, Path: "/x", Key: key,
		DeadlineNanos: time.Now().Add(time.Minute).UnixNano(),
	}
}

func (h *harness) call(t *testing.T, req *wirepb.CallRequest) (wirepb.Outcome, wirepb.Reason) {
	resp := h.exit.Call(t.Context(), req)
	return resp.GetOutcome(), resp.GetReason()
}

const (
	ran     = wirepb.Outcome_OUTCOME_RAN
	refused = wirepb.Outcome_OUTCOME_REFUSED
	unknown = wirepb.Outcome_OUTCOME_UNKNOWN
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against running a request a second time when it arrives twice, as
// after a duplicated message.
func TestDuplicateReturnsFirstResponse(t *testing.T) {
	h := newHarness(t, 4, ok)
	req := h.newRequest("")
	for range 3 {
		outcome, _ := h.call(t, req)
		assert.Equal(t, outcome, ran)
	}
	assert.Equal(t, h.runs.Load(), int32(1))
}

// Guards against treating a key as new right after the node starts: a previous
// start may have run a request with that key.
func TestKeyIsUnknownAfterStart(t *testing.T) {
	h := newHarness(t, 4, ok)
	h.exit.SetMembers([]ident.Node{"home"})
	outcome, reason := h.call(t, h.newRequest("k"))
	assert.Equal(t, outcome, unknown)
	assert.Equal(t, reason, wirepb.Reason_REASON_KEY)
	assert.Equal(t, h.runs.Load(), int32(0))
}

// Guards against running a keyed request on a node that is not the key's home
// node.
func TestKeyIsRefusedOutsideHomeNode(t *testing.T) {
	h := newHarness(t, 4, ok)
	h.exit.SetMembers([]ident.Node{"another"})
	outcome, reason := h.call(t, h.newRequest("k"))
	assert.Equal(t, outcome, refused)
	assert.Equal(t, reason, wirepb.Reason_REASON_KEY)
	assert.Equal(t, h.runs.Load(), int32(0))
}

// Guards against sending requests to an upstream that has drained or withdrawn,
// and against an upstream that remains drained after its restart.
func TestDrainedUpstreamIsUnusedUntilRestart(t *testing.T) {
	h := newHarness(t, 4, ok)
	h.exit.DrainUpstream()
	h.exit.Announce(h.upstream)
	outcome, reason := h.call(t, h.newRequest(""))
	assert.Equal(t, outcome, refused)
	assert.Equal(t, reason, wirepb.Reason_REASON_LEAVING)
	h.exit.WithdrawUpstream()
	outcome, reason = h.call(t, h.newRequest(""))
	assert.Equal(t, outcome, refused)
	assert.Equal(t, reason, wirepb.Reason_REASON_LEAVING)
	h.upstream.Start = 2
	h.exit.Announce(h.upstream)
	outcome, _ = h.call(t, h.newRequest(""))
	assert.Equal(t, outcome, ran)
}

// Guards against sending more requests than the announced slots. Excess
// requests would queue inside the upstream, where the node cannot cancel them.
func TestConcurrencyStaysWithinSlots(t *testing.T) {
	var running, maxRunning atomic.Int32
	h := newHarness(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		ok(w, nil)
	})
	done := make(chan wirepb.Outcome)
	for range 40 {
		req := h.newRequest("")
		req.Last = true
		go func() { done <- h.exit.Call(t.Context(), req).GetOutcome() }()
	}
	outcomes := map[wirepb.Outcome]int{}
	for range 40 {
		outcomes[<-done]++
	}
	assert.Assert(t, maxRunning.Load() <= 2, "upstream had %d requests at once", maxRunning.Load())
	assert.Equal(t, outcomes[ran], int(h.runs.Load()))
	assert.Equal(t, outcomes[ran]+outcomes[refused], 40)
}

// Guards against buffering a response above the size limit, and against
// forwarding a truncated one.
func TestOversizedResponseIsUnknown(t *testing.T) {
	h := newHarness(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2<<10))
	})
	outcome, reason := h.call(t, h.newRequest(""))
	assert.Equal(t, outcome, unknown)
	assert.Equal(t, reason, wirepb.Reason_REASON_SIZE)
}

// Guards against a request that keeps running after its caller has gone.
func TestAbortCancelsUpstreamRequest(t *testing.T) {
	cancelled := make(chan struct{})
	started := make(chan struct{})
	h := newHarness(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	req := h.newRequest("")
	go h.exit.Call(t.Context(), req)
	<-started
	h.exit.Resolve(t.Context(), &wirepb.ResolveRequest{
		Id: req.GetId(), Start: 7, DeadlineNanos: req.GetDeadlineNanos(), Abort: true,
	})
	<-cancelled
	assert.Equal(t, (<-h.completions).Reason, wirepb.Reason_REASON_ABORTED)
}

// Guards against counting a request that reached its own deadline as a broken
// connection, which took healthy upstreams out of use.
func TestDeadlineIsNotBrokenConnection(t *testing.T) {
	h := newHarness(t, 4, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	req := h.newRequest("")
	req.DeadlineNanos = time.Now().Add(100 * time.Millisecond).UnixNano()
	outcome, reason := h.call(t, req)
	assert.Equal(t, outcome, unknown)
	assert.Equal(t, reason, wirepb.Reason_REASON_LATE)
	assert.Equal(t, (<-h.completions).Reason, wirepb.Reason_REASON_LATE)
}

// Guards against accepting an announcement that would make the node send
// requests to an unusable address.
func TestLocalRejectsMalformedAnnouncements(t *testing.T) {
	h := newHarness(t, 4, ok)
	s := httptest.NewServer(h.exit.LocalHandler())
	defer s.Close()
	valid := `{"service":"s","version":"v1","slots":3,"address":"127.0.0.1:1","start":"5"%s}`
	for body, status := range map[string]int{
		fmt.Sprintf(valid, ""):                              http.StatusNoContent,
		fmt.Sprintf(valid, `,"slot":4`):                     http.StatusBadRequest,
		strings.Replace(valid, `"slots":3`, `"slots":0`, 1): http.StatusBadRequest,
		strings.Replace(valid, `"5"`, `"0"`, 1):             http.StatusBadRequest,
		strings.Replace(valid, `127.0.0.1:1`, `nowhere`, 1): http.StatusBadRequest,
		"[]": http.StatusBadRequest,
	} {
		body = strings.ReplaceAll(body, "%s", "")
		r, err := http.Post(s.URL+"/announce", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		r.Body.Close()
		assert.Equal(t, r.StatusCode, status, body)
	}
}

// Guards against a probe that exceeds the upstream's slots, and against
// deriving the upstream's state from the status of its health endpoint.
func TestProbeUsesSlotAndAcceptsAnyResponse(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	h := newHarness(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(started)
			<-release
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	assert.Equal(t, h.exit.Probe(t.Context(), "/health"), exit.ProbeResult{Responded: true, Status: http.StatusInternalServerError})
	ended := make(chan struct{})
	go func() {
		h.exit.Call(t.Context(), h.newRequest(""))
		close(ended)
	}()
	<-started
	runsBefore := h.runs.Load()
	assert.Equal(t, h.exit.Probe(t.Context(), "/health"), exit.ProbeResult{Responded: true})
	assert.Equal(t, h.runs.Load(), runsBefore)
	close(release)
	<-ended
	h.upstream.Start, h.upstream.Address = 2, "127.0.0.1:1"
	h.exit.Announce(h.upstream)
	assert.Equal(t, h.exit.Probe(t.Context(), "/health"), exit.ProbeResult{})
}

// Guards against sending the full load to an upstream that crashed and
// restarted cold: broken connections must lower the limit.
func TestBrokenConnectionsLowerTheLimit(t *testing.T) {
	var broken atomic.Bool
	h := newHarness(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	// The limit grows with completed requests; the growth rate depends on the
	// machine.
	for i := 0; h.exit.Load().GetLimit() == 1; i++ {
		assert.Assert(t, i < 50_000, "the limit does not grow")
		h.call(t, h.newRequest(""))
	}
	broken.Store(true)
	for range 3 {
		outcome, _ := h.call(t, h.newRequest(""))
		assert.Equal(t, outcome, unknown)
	}
	assert.Equal(t, h.exit.Load().GetLimit(), int32(1))
}

// Guards against a load report of the upstream that is ignored while no request
// runs through the node, and against one that affects admission. An upstream
// that reports itself unhealthy must appear full to entries, with as many
// requests in flight as its limit, but the next request must still run.
func TestLoadReportIsOnlyAHint(t *testing.T) {
	h := newHarness(t, 4, ok)
	s := httptest.NewServer(h.exit.LocalHandler())
	defer s.Close()
	r, err := http.Post(s.URL+"/load", "application/json", strings.NewReader(`{"inflight":3,"health":false}`))
	assert.NilError(t, err)
	r.Body.Close()
	load := h.exit.Load()
	assert.Equal(t, load.GetInflight(), load.GetLimit())
	outcome, _ := h.call(t, h.newRequest(""))
	assert.Equal(t, outcome, ran)
}
