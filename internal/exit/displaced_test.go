package exit_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// Guards against a displaced request that runs although its caller was told that
// it hasn't, that leaves its caller waiting, or that isn't told when to return.
func TestDisplacedRequestNeverRuns(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		ok(w, nil)
	}))
	h := &harness{exit: exit.New(exit.Options{
		Start: 7, Node: "home", MaxBodyBytes: 1 << 10, MaxQueued: 1, MaxIdleConns: 4, ReportsLoad: true,
		HeartbeatTimeout: time.Hour,
		DomainAdmits:     func(time.Time) bool { return true },
		VersionServes:    func(ident.Service, ident.Version, time.Time) bool { return true },
		Emit:             func(event.Code, ...event.Field) {},
		OnRequestEnd:     func(exit.RequestResult) {},
		OnUpstreamChange: func() {},
	})}
	finish := sync.OnceFunc(func() { close(release) })
	defer s.Close()
	defer h.exit.Close()
	defer finish()
	// The queue of one slot has three places.
	h.exit.Announce(exit.Upstream{Service: "s", Version: "v1", Slots: 1, Start: 1, Address: strings.TrimPrefix(s.URL, "http://")})
	responses := map[int32]chan *wirepb.CallResponse{}
	send := func(priority int32) {
		req := h.newRequest("")
		req.Last, req.Priority, req.ObjectiveNanos = true, priority, int64(30*time.Second)
		c := make(chan *wirepb.CallResponse, 1)
		responses[priority] = c
		go func() { c <- h.exit.Call(t.Context(), req) }()
	}
	for n, priority := range []int32{9, 3, 2, 1} {
		send(priority)
		for load := h.exit.Load(); load.GetInflight()+load.GetQueued() <= int32(n); load = h.exit.Load() {
			time.Sleep(time.Millisecond)
		}
	}
	send(0)
	resp := <-responses[3]
	assert.Equal(t, resp.GetOutcome(), refused)
	assert.Equal(t, resp.GetReason(), wirepb.Reason_REASON_FULL)
	assert.Assert(t, resp.GetRetryNanos() > 0)
	assert.Equal(t, h.exit.Displaced(), uint64(1))
	finish()
	for _, priority := range []int32{9, 2, 1, 0} {
		assert.Equal(t, (<-responses[priority]).GetOutcome(), ran)
	}
	assert.Equal(t, runs.Load(), int32(4))
}
