package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// echoExit returns the message that it gets, without its body, as a header, and
// the body as the response's.
type echoExit struct {
	wirepb.UnimplementedPeerHandler
	calls atomic.Int64
}

func (e *echoExit) Call(_ context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	e.calls.Add(1)
	body := req.Body
	req.Body, req.DeadlineNanos, req.LeftNanos = nil, 0, 0
	encoded, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	return &wirepb.CallResponse{
		Id:      req.GetId(),
		Outcome: wirepb.Outcome_OUTCOME_RAN,
		Status:  http.StatusOK,
		Headers: []*wirepb.Header{{Name: "Message", Values: []string{strings.ToValidUTF8(string(encoded), "?")}}},
		Body:    body,
	}, nil
}

func (e *echoExit) Resolve(_ context.Context, req *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusOK, Body: []byte("stored")}, nil
}

func listen(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func inOneMinute() int64 { return time.Now().Add(time.Minute).UnixNano() }

// Guards against a field, a body or a response that is lost or altered between
// nodes, also with a peer of an earlier release.
func TestMessagesArriveWhole(t *testing.T) {
	options := peer.Options{MaxBodyBytes: 4 << 20}
	frames := peer.NewServer(&echoExit{}, options).Handler
	for name, handler := range map[string]http.Handler{"frames": frames, "earlier release": earlierRelease(frames)} {
		t.Run(name, func(t *testing.T) {
			p := peer.NewPool(options)
			defer p.Close()
			address := listen(t, handler)
			for _, size := range []int{0, 1, 1000, 3 << 20} {
				body := bytes.Repeat([]byte("x"), size)
				req := &wirepb.CallRequest{
					Id: []byte("0123456789abcdef"), Service: "counter", Path: "/a", Method: "POST", Body: body,
					Headers: []*wirepb.Header{{Name: "A", Values: []string{"1", "2"}}}, Idempotent: true, ObjectiveNanos: -1,
				}
				want := proto.CloneOf(req)
				want.Body = nil
				encoded, err := proto.Marshal(want)
				assert.NilError(t, err)
				req.DeadlineNanos = inOneMinute()
				resp, err := p.Call(t.Context(), address, req, func() {})
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(resp.GetBody(), body), "%d bytes of %d", len(resp.GetBody()), size)
				assert.Equal(t, resp.GetHeaders()[0].GetValues()[0], strings.ToValidUTF8(string(encoded), "?"))
			}
			resp, err := p.Resolve(t.Context(), address, &wirepb.ResolveRequest{Id: []byte("id")})
			assert.NilError(t, err)
			assert.Equal(t, string(resp.GetBody()), "stored")
		})
	}
}

// Guards against a body that a node stores although it has no memory for it. The
// request must be refused as not run, and must not reach the exit.
func TestCallWithoutMemoryIsRefused(t *testing.T) {
	q := quota.New(quota.Options{Limit: 8 << 20, Collect: func() {}, OnRefusal: func(quota.Kind, error) {}})
	defer q.Close()
	e := &echoExit{}
	address := listen(t, peer.NewServer(e, peer.Options{MaxBodyBytes: 64 << 20, Quota: q}).Handler)
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	call := func(size int) *wirepb.CallResponse {
		resp, err := p.Call(t.Context(), address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute(), Body: make([]byte, size)}, func() {})
		assert.NilError(t, err)
		return resp
	}
	refused := call(16 << 20)
	assert.Equal(t, refused.GetOutcome(), wirepb.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, refused.GetReason(), wirepb.Reason_REASON_MEMORY)
	assert.Equal(t, string(refused.GetId()), "id")
	assert.Equal(t, e.calls.Load(), int64(0))
	assert.Equal(t, call(1<<20).GetOutcome(), wirepb.Outcome_OUTCOME_RAN)
}

// Guards against a node that reads a response for which it has no memory.
func TestResponseWithoutMemoryIsAnError(t *testing.T) {
	q := quota.New(quota.Options{Limit: 8 << 20, Collect: func() {}, OnRefusal: func(quota.Kind, error) {}})
	defer q.Close()
	lease, err := q.NewLease()
	assert.NilError(t, err)
	defer lease.Release()
	address := listen(t, peer.NewServer(&echoExit{}, peer.Options{MaxBodyBytes: 64 << 20}).Handler)
	p := peer.NewPool(peer.Options{MaxBodyBytes: 64 << 20})
	defer p.Close()
	ctx := quota.NewContext(t.Context(), lease)
	_, err = p.Call(ctx, address, &wirepb.CallRequest{Id: []byte("id"), DeadlineNanos: inOneMinute(), Body: make([]byte, 16<<20)}, func() {})
	assert.ErrorIs(t, err, quota.ErrTooLarge)
	assert.Equal(t, q.Used(quota.Response) < 1<<20, true)
}

// Guards against a malformed frame that ends the process, or whose head, longer
// than the frame, is taken for a request.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 4, 10, 2, 'i', 'd', 'b', 'o', 'd', 'y'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, frame []byte) {
		e := &echoExit{}
		server := peer.NewServer(e, peer.Options{MaxBodyBytes: 1 << 10})
		for _, path := range []string{"/frame/call", "/frame/resolve"} {
			w := httptest.NewRecorder()
			server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(frame)))
			assert.Assert(t, w.Code != http.StatusInternalServerError, w.Body.String())
		}
		if e.calls.Load() > 0 {
			assert.Assert(t, len(frame) >= 4)
			assert.Assert(t, int(binary.BigEndian.Uint32(frame)) <= len(frame)-4)
		}
	})
}
