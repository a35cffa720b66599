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

// bench is an exit with one upstream.
type bench struct {
	exit *exit.Exit
	ends chan exit.Run
	up   exit.Upstream
	runs atomic.Int32
	next uint64
}

func newBench(t *testing.T, slots ident.Slots, h http.HandlerFunc) *bench {
	b := &bench{ends: make(chan exit.Run, 1<<16)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		h(w, r)
	}))
	b.exit = exit.New(exit.Options{
		Start: 7, Node: "home", Body: 1 << 10, Queue: 4, Connections: 4,
		Admits:  func(time.Time) bool { return true },
		Serves:  func(ident.Service, ident.Version, time.Time) bool { return true },
		Emit:    func(event.Code, ...event.Field) {},
		Count:   func(r exit.Run) { b.ends <- r },
		Changed: func() {},
	})
	b.up = exit.Upstream{Service: "s", Version: "v1", Slots: slots, Start: 1, Address: strings.TrimPrefix(s.URL, "http://")}
	b.exit.Announce(b.up)
	t.Cleanup(func() {
		b.exit.Close()
		s.Close()
	})
	return b
}

// request returns a new request for the bench's upstream.
func (b *bench) request(key string) *wirepb.CallRequest {
	b.next++
	id := ident.NewRequest(1, b.next)
	return &wirepb.CallRequest{
		Id: id[:], Start: 7, Service: "s", Version: "v1", Method: http.MethodPost, Path: "/x", Key: key,
		DeadlineNanos: time.Now().Add(time.Minute).UnixNano(),
	}
}

func (b *bench) call(t *testing.T, q *wirepb.CallRequest) (wirepb.Outcome, wirepb.Reason) {
	a := b.exit.Call(t.Context(), q)
	return a.GetOutcome(), a.GetReason()
}

const (
	ran     = wirepb.Outcome_OUTCOME_RAN
	refused = wirepb.Outcome_OUTCOME_REFUSED
	unknown = wirepb.Outcome_OUTCOME_UNKNOWN
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against a copy of a request, such as a message that was sent twice,
// running a second time.
func TestCopyGetsTheFirstAnswer(t *testing.T) {
	b := newBench(t, 4, ok)
	q := b.request("")
	for range 3 {
		o, _ := b.call(t, q)
		assert.Equal(t, o, ran)
	}
	assert.Equal(t, b.runs.Load(), int32(1))
}

// Guards against guessing that a key is new right after a start, when an
// earlier start may have run a request with it.
func TestKeyIsUnknownAfterStart(t *testing.T) {
	b := newBench(t, 4, ok)
	b.exit.SetMembers([]ident.Node{"home"})
	o, r := b.call(t, b.request("k"))
	assert.Equal(t, o, unknown)
	assert.Equal(t, r, wirepb.Reason_REASON_KEY)
	assert.Equal(t, b.runs.Load(), int32(0))
}

// Guards against running a keyed request at a node that isn't the key's home.
func TestKeyElsewhereIsRefused(t *testing.T) {
	b := newBench(t, 4, ok)
	b.exit.SetMembers([]ident.Node{"another"})
	o, r := b.call(t, b.request("k"))
	assert.Equal(t, o, refused)
	assert.Equal(t, r, wirepb.Reason_REASON_KEY)
	assert.Equal(t, b.runs.Load(), int32(0))
}

// Guards against work for an upstream that has drained or withdrawn, and
// against an upstream that stays drained after its restart.
func TestDrainedUpstreamGetsNoWorkUntilItsNextStart(t *testing.T) {
	b := newBench(t, 4, ok)
	b.exit.DrainUpstream()
	b.exit.Announce(b.up)
	o, r := b.call(t, b.request(""))
	assert.Equal(t, o, refused)
	assert.Equal(t, r, wirepb.Reason_REASON_LEAVING)
	b.exit.WithdrawUpstream()
	o, r = b.call(t, b.request(""))
	assert.Equal(t, o, refused)
	assert.Equal(t, r, wirepb.Reason_REASON_LEAVING)
	b.up.Start = 2
	b.exit.Announce(b.up)
	o, _ = b.call(t, b.request(""))
	assert.Equal(t, o, ran)
}

// Guards against requests beyond the announced slots: none may wait in the
// upstream itself, where this node can't take it back.
func TestUpstreamNeverGetsMoreThanItsSlots(t *testing.T) {
	var running, most atomic.Int32
	b := newBench(t, 2, func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		ok(w, nil)
	})
	done := make(chan wirepb.Outcome)
	for range 40 {
		q := b.request("")
		q.Last = true
		go func() { done <- b.exit.Call(t.Context(), q).GetOutcome() }()
	}
	count := map[wirepb.Outcome]int{}
	for range 40 {
		count[<-done]++
	}
	assert.Assert(t, most.Load() <= 2, "upstream had %d requests at once", most.Load())
	assert.Equal(t, count[ran], int(b.runs.Load()))
	assert.Equal(t, count[ran]+count[refused], 40)
}

// Guards against holding an answer above the limit in memory, and against
// cutting it and passing it on.
func TestLargeAnswerIsUnknown(t *testing.T) {
	b := newBench(t, 4, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2<<10))
	})
	o, r := b.call(t, b.request(""))
	assert.Equal(t, o, unknown)
	assert.Equal(t, r, wirepb.Reason_REASON_SIZE)
}

// Guards against work that goes on after its caller has gone.
func TestAbortReachesTheUpstream(t *testing.T) {
	cancelled := make(chan struct{})
	started := make(chan struct{})
	b := newBench(t, 4, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	q := b.request("")
	go b.exit.Call(t.Context(), q)
	<-started
	b.exit.Resolve(t.Context(), &wirepb.ResolveRequest{
		Id: q.GetId(), Start: 7, DeadlineNanos: q.GetDeadlineNanos(), Abort: true,
	})
	<-cancelled
	assert.Equal(t, (<-b.ends).Reason, wirepb.Reason_REASON_ABORTED)
}

// Guards against a slow request, which ends at its own deadline, being taken
// for a broken connection: that took upstreams out of use.
func TestDeadlineIsNoBrokenConnection(t *testing.T) {
	b := newBench(t, 4, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	q := b.request("")
	q.DeadlineNanos = time.Now().Add(100 * time.Millisecond).UnixNano()
	o, r := b.call(t, q)
	assert.Equal(t, o, unknown)
	assert.Equal(t, r, wirepb.Reason_REASON_LATE)
	assert.Equal(t, (<-b.ends).Reason, wirepb.Reason_REASON_LATE)
}

// Guards against announcements that would make the node send work nowhere.
func TestLocalRejectsMalformedAnnouncements(t *testing.T) {
	b := newBench(t, 4, ok)
	s := httptest.NewServer(b.exit.Local())
	defer s.Close()
	good := `{"service":"s","version":"v1","slots":3,"address":"127.0.0.1:1","start":"5"%s}`
	for body, status := range map[string]int{
		fmt.Sprintf(good, ""):                              http.StatusNoContent,
		fmt.Sprintf(good, `,"slot":4`):                     http.StatusBadRequest,
		strings.Replace(good, `"slots":3`, `"slots":0`, 1): http.StatusBadRequest,
		strings.Replace(good, `"5"`, `"0"`, 1):             http.StatusBadRequest,
		strings.Replace(good, `127.0.0.1:1`, `nowhere`, 1): http.StatusBadRequest,
		"[]": http.StatusBadRequest,
	} {
		body = strings.ReplaceAll(body, "%s", "")
		r, err := http.Post(s.URL+"/announce", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		r.Body.Close()
		assert.Equal(t, r.StatusCode, status, body)
	}
}

// Guards against a probe that the upstream gets on top of its slots, and
// against taking a health endpoint's word for the upstream's state.
func TestProbeTakesASlotAndAnyAnswerCounts(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	b := newBench(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			close(started)
			<-release
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	assert.Equal(t, b.exit.Probe(t.Context(), "/health"), exit.ProbeResult{Answered: true, Status: http.StatusInternalServerError})
	ended := make(chan struct{})
	go func() {
		b.exit.Call(t.Context(), b.request(""))
		close(ended)
	}()
	<-started
	before := b.runs.Load()
	assert.Equal(t, b.exit.Probe(t.Context(), "/health"), exit.ProbeResult{Answered: true})
	assert.Equal(t, b.runs.Load(), before)
	close(release)
	<-ended
	b.up.Start, b.up.Address = 2, "127.0.0.1:1"
	b.exit.Announce(b.up)
	assert.Equal(t, b.exit.Probe(t.Context(), "/health"), exit.ProbeResult{})
}

// Guards against an upstream that died and came back cold being given its full
// load: broken connections have to reach the limiter.
func TestBrokenConnectionsLowerTheLimit(t *testing.T) {
	var broken atomic.Bool
	b := newBench(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
		ok(w, r)
	})
	// The limit grows with completed work; how fast depends on the machine.
	for i := 0; b.exit.Load().GetLimit() == 1; i++ {
		assert.Assert(t, i < 50_000, "the limit does not grow")
		b.call(t, b.request(""))
	}
	broken.Store(true)
	for range 3 {
		o, _ := b.call(t, b.request(""))
		assert.Equal(t, o, unknown)
	}
	assert.Equal(t, b.exit.Load().GetLimit(), int32(1))
}

// Guards against a load report that hides capacity which traffic shows, and
// against one that changes what the exit admits.
func TestLoadReportIsOnlyAHint(t *testing.T) {
	b := newBench(t, 4, ok)
	s := httptest.NewServer(b.exit.Local())
	defer s.Close()
	r, err := http.Post(s.URL+"/load", "application/json", strings.NewReader(`{"inflight":3,"health":false}`))
	assert.NilError(t, err)
	r.Body.Close()
	l := b.exit.Load()
	assert.Equal(t, l.GetInflight(), l.GetLimit())
	o, _ := b.call(t, b.request(""))
	assert.Equal(t, o, ran)
}
