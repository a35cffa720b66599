package exit_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// rawHarness returns a harness whose upstream writes text in place of a response.
func rawHarness(t *testing.T, text string, ending stand.Ending) *harness {
	return newHarness(t, 4, stand.RawResponse{Text: func(*http.Request) string { return text }, Ending: ending}.ServeHTTP)
}

// Guards against a response without a length whose connection is reset while
// the request's body is being written, and that is taken for a complete one.
func TestResetDuringUploadIsUnknown(t *testing.T) {
	h := rawHarness(t, "HTTP/1.1 200 OK\r\n\r\npart", stand.Reset)
	const uploads = 50
	complete := 0
	for range uploads {
		req := h.newRequest("")
		req.Body = make([]byte, 16<<20)
		if outcome, _ := h.call(t, req); outcome != unknown {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d truncated responses", uploads)
}

// Guards against refusing a whole response without a length because the upstream
// doesn't read the rest of the upload.
func TestResponseEndsBeforeUpload(t *testing.T) {
	h := rawHarness(t, "HTTP/1.1 200 OK\r\n\r\nwhole", stand.Finished)
	req := h.newRequest("")
	req.Body = make([]byte, 16<<20)
	resp := h.exit.Call(t.Context(), req)
	assert.Equal(t, resp.GetOutcome(), wirepb.Outcome_OUTCOME_RAN)
	assert.Equal(t, string(resp.GetBody()), "whole")
}

// Guards against passing on a response with an invalid status.
func TestMalformedStatusIsUnknown(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		h := rawHarness(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 5\r\n\r\nwhole", stand.Finished)
		outcome, reason := h.call(t, h.newRequest(""))
		assert.Equal(t, outcome, unknown, status)
		assert.Equal(t, reason, wirepb.Reason_REASON_BROKEN)
	}
}

// Guards against passing on a response with an invalid field name.
func TestMalformedFieldNameIsUnknown(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "X\x01Odd: 1", " X-Odd: 1", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		h := rawHarness(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\n\r\nwhole", stand.Finished)
		outcome, reason := h.call(t, h.newRequest(""))
		assert.Equal(t, outcome, unknown, "%q", line)
		assert.Equal(t, reason, wirepb.Reason_REASON_BROKEN)
	}
}

// rawSlotsHarness returns a harness whose exit uses all slots at once, of an
// upstream that writes raw responses.
func rawSlotsHarness(t *testing.T, slots ident.Slots, response stand.RawResponse) *harness {
	return newHarnessOf(t, func(o *exit.Options) {
		o.MaxBodyBytes = 4 << 20
		// Without a reported load, the limit starts at one request.
		o.ReportsLoad = true
		o.HeartbeatTimeout = time.Hour
	}, slots, response.ServeHTTP)
}

// callAll sends requests at the same time and returns the number of those that
// ran.
func (h *harness) callAll(t *testing.T, requests int) int {
	var wg sync.WaitGroup
	var count atomic.Int64
	for range requests {
		req := h.newRequest("")
		wg.Go(func() {
			if outcome, _ := h.call(t, req); outcome == ran {
				count.Add(1)
			}
		})
	}
	wg.Wait()
	return int(count.Load())
}

// Guards against an upstream that sends a head without end and takes the node
// over its memory.
func TestEndlessHeadsStayWithinMemory(t *testing.T) {
	const requests = 4
	h := rawSlotsHarness(t, requests, stand.RawResponse{Text: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, Endless: "X: y\r\n"})
	peak := stand.PeakHeap(func() { assert.Check(t, h.callAll(t, requests) == 0) })
	assert.Assert(t, peak < stand.NodeMemory, "the heap grew to %d bytes", peak)
}

// Guards against bodies without end in all slots that together exceed the memory
// of the node, although each is within its own limit for long.
func TestEndlessBodiesShareALimit(t *testing.T) {
	const requests = 32
	part := strings.Repeat("x", 3<<20)
	h := rawSlotsHarness(t, requests, stand.RawResponse{Text: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + part }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range requests {
		req := h.newRequest("")
		req.DeadlineNanos = time.Now().Add(10 * time.Second).UnixNano()
		go h.exit.Call(ctx, req)
	}
	// Five parts fit into the limit of 16 MiB.
	for range requests - 5 {
		assert.Equal(t, (<-h.completions).Reason, wirepb.Reason_REASON_MEMORY)
	}
}

// Guards against refusing whole responses of unknown length for lack of memory
// that they don't need.
func TestUnsizedResponsesFit(t *testing.T) {
	const requests = 16
	body := strings.Repeat("x", 512<<10)
	h := rawSlotsHarness(t, requests, stand.RawResponse{
		Text:   func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
		Ending: stand.Finished,
	})
	assert.Equal(t, h.callAll(t, requests), requests)
}
