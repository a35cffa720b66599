package exit_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

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

// Guards against an upstream that sends a head without end and takes the node
// over its memory.
func TestEndlessHeadsStayWithinMemory(t *testing.T) {
	const requests = 2
	response := stand.RawResponse{Text: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, Endless: "X: y\r\n"}
	var endless atomic.Bool
	h := newHarness(t, requests, func(w http.ResponseWriter, r *http.Request) {
		if !endless.Load() {
			ok(w, r)
			return
		}
		response.ServeHTTP(w, r)
	})
	for i := 0; h.exit.Load().GetLimit() < requests; i++ {
		assert.Assert(t, i < 50_000, "the limit does not grow")
		h.call(t, h.newRequest(""))
	}
	endless.Store(true)
	peak := stand.PeakHeap(func() {
		var wg sync.WaitGroup
		for range requests {
			req := h.newRequest("")
			wg.Go(func() {
				outcome, reason := h.call(t, req)
				assert.Check(t, outcome == unknown && reason == wirepb.Reason_REASON_BROKEN, "%v, %v", outcome, reason)
			})
		}
		wg.Wait()
	})
	t.Logf("heap %d MB", peak/1_000_000)
	assert.Assert(t, peak < memoryLimit, "the heap grew to %d bytes", peak)
}

// memoryLimit is the memory of a node in bytes that the capacity page plans
// with.
const memoryLimit = 128_000_000
