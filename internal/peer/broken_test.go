package peer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// earlierRelease returns the handler of a node that doesn't know frames and
// serves all other requests by h.
func earlierRelease(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/frame/") {
			_, _ = io.Copy(io.Discard, r.Body)
			http.NotFound(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Guards against a response of a node of an earlier release, without a length,
// whose connection is reset while the request is being written: cut between two
// fields, it is a valid message without a body.
func TestResetDuringUploadIsAnError(t *testing.T) {
	part, err := proto.Marshal(&wirepb.CallResponse{Id: []byte("id"), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusOK})
	assert.NilError(t, err)
	response := stand.RawResponse{
		Text: func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n" + string(part)
		},
		Ending: stand.Reset,
	}
	address := listen(t, earlierRelease(response))
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	const uploads = 50
	complete := 0
	for range uploads {
		req := &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute(), Body: make([]byte, 16<<20)}
		if _, err := p.Call(t.Context(), address, req, func() {}); err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d truncated responses", uploads)
}

// nodeOf returns the address of a node that responds to every call and query
// with a message.
func nodeOf(t *testing.T, m *wirepb.CallResponse) string {
	return listen(t, peer.NewServer(&fixedExit{response: m}, peer.Options{MaxBodyBytes: 1 << 10}).Handler)
}

// fixedExit returns the same response to everything.
type fixedExit struct {
	wirepb.UnimplementedPeerHandler
	response *wirepb.CallResponse
}

func (e *fixedExit) Call(context.Context, *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return e.response, nil
}

func (e *fixedExit) Resolve(context.Context, *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return e.response, nil
}

// callAndResolve returns a node's responses to a call and to a query.
func callAndResolve(t *testing.T, address string) []*wirepb.CallResponse {
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	called, err := p.Call(t.Context(), address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute()}, func() {})
	assert.NilError(t, err)
	resolved, err := p.Resolve(t.Context(), address, &wirepb.ResolveRequest{Id: []byte("id"), DeadlineNanos: inOneMinute()})
	assert.NilError(t, err)
	return []*wirepb.CallResponse{called, resolved}
}

// Guards against passing on an upstream's response with an invalid status, from
// a node that doesn't check it.
func TestMalformedStatusIsUnknown(t *testing.T) {
	for _, status := range []int32{-1, 0, 99, 100, 101, 600, 1000} {
		address := nodeOf(t, &wirepb.CallResponse{Id: []byte("id"), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: status, Body: []byte("odd")})
		for _, resp := range callAndResolve(t, address) {
			assert.Equal(t, resp.GetOutcome(), wirepb.Outcome_OUTCOME_UNKNOWN, "status %d", status)
			assert.Equal(t, resp.GetReason(), wirepb.Reason_REASON_BROKEN)
			assert.Equal(t, string(resp.GetId()), "id")
		}
	}
	address := nodeOf(t, &wirepb.CallResponse{Id: []byte("id"), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusTeapot})
	for _, resp := range callAndResolve(t, address) {
		assert.Equal(t, resp.GetStatus(), int32(http.StatusTeapot))
	}
}

// Guards against passing on an invalid field name of an upstream's response, from a
// node that doesn't check it, and against a head of the node itself with one.
func TestMalformedFieldNameIsUnknown(t *testing.T) {
	for _, field := range []*wirepb.Header{
		{Name: "X Odd", Values: []string{"1"}},
		{Name: "Content-Length ", Values: []string{"5"}},
		{Name: "X\x01Odd", Values: []string{"1"}},
		{Name: "", Values: []string{"1"}},
	} {
		address := nodeOf(t, &wirepb.CallResponse{Id: []byte("id"), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusOK, Headers: []*wirepb.Header{field}})
		for _, resp := range callAndResolve(t, address) {
			assert.Equal(t, resp.GetOutcome(), wirepb.Outcome_OUTCOME_UNKNOWN, "%v", field)
			assert.Equal(t, resp.GetReason(), wirepb.Reason_REASON_BROKEN)
		}
	}
	frame := "\x00\x00\x00\x02\x10\x01" // the outcome "ran"
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/x-cicadahall-frame\r\nX Odd: 1\r\nContent-Length: %d\r\n\r\n%s", len(frame), frame)
	address := listen(t, stand.RawResponse{Text: func(*http.Request) string { return text }})
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	resp, err := p.Call(t.Context(), address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute()}, func() {})
	assert.ErrorIs(t, err, reply.ErrMalformed, "%v", resp)
}

// Guards against a node that sends a message without end and takes the caller
// over its memory: in a control message and in the response of an earlier release.
func TestEndlessMessagesStayWithinMemory(t *testing.T) {
	address := listen(t, earlierRelease(stand.RawResponse{
		Text:    func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n" },
		Endless: "no answer ",
	}))
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	q := quota.New(quota.Options{Limit: 64 << 20, Collect: runtime.GC, OnRefusal: func(quota.Kind, error) {}})
	defer q.Close()
	for name, call := range map[string]func(context.Context) error{
		"control": func(ctx context.Context) error {
			_, err := p.ControlClient(address).Sync(ctx, &wirepb.SyncRequest{})
			return err
		},
		"call": func(ctx context.Context) error {
			lease, err := q.NewLease()
			assert.NilError(t, err)
			defer lease.Release()
			_, err = p.Call(quota.NewContext(ctx, lease), address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute()}, func() {})
			return err
		},
	} {
		peak := stand.PeakHeap(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.Check(t, call(ctx) != nil)
		})
		t.Logf("%s: heap %d MB", name, peak/1_000_000)
		assert.Check(t, peak < stand.NodeMemory, "%s: the heap grew to %d bytes", name, peak)
	}
}

// Guards against a node that sends interim responses without end, each of which
// confirms the request, until the caller's deadline.
func TestEndlessInterimResponses(t *testing.T) {
	interim := "HTTP/1.1 102 Processing\r\n\r\n"
	address := listen(t, stand.RawResponse{Text: func(*http.Request) string { return interim }, Endless: interim})
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	confirmed := 0
	_, err := p.Call(ctx, address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute()}, func() { confirmed++ })
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err(), "the call lasted until its deadline; it was confirmed %d times", confirmed)
}
