package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// blockingExit responds to calls when the test releases them.
type blockingExit struct {
	wirepb.UnimplementedPeerHandler
	release chan struct{}
}

func (e *blockingExit) Call(_ context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	<-e.release
	return &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_RAN, Status: http.StatusOK, Body: []byte("whole")}, nil
}

func serve(t *testing.T, e *blockingExit) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := peer.NewServer(e, peer.Options{MaxBodyBytes: 1 << 10})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against treating the connection of a slow request as unresponsive: the
// exit must confirm the request while it runs and then send the complete
// response.
func TestSlowCallIsConfirmedAndAnswered(t *testing.T) {
	e := &blockingExit{release: make(chan struct{})}
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	confirmed := make(chan struct{})
	go func() {
		<-confirmed
		close(e.release)
	}()
	resp, err := p.Call(t.Context(), serve(t, e), &wirepb.CallRequest{Id: []byte("id")}, func() { close(confirmed) })
	assert.NilError(t, err)
	assert.Equal(t, string(resp.GetBody()), "whole")
}

// Guards against an interim response that is written concurrently with the
// final response or after it, which would corrupt the connection for the next
// request.
func TestConnectionSurvivesInterimResponses(t *testing.T) {
	e := &blockingExit{release: make(chan struct{}, 1)}
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	address := serve(t, e)
	var confirmed atomic.Int32
	for i := range 60 {
		// The delays surround that of the interim response.
		time.AfterFunc(time.Duration(18+i%5)*time.Millisecond, func() { e.release <- struct{}{} })
		resp, err := p.Call(t.Context(), address, &wirepb.CallRequest{Id: []byte("id")}, func() { confirmed.Add(1) })
		assert.NilError(t, err)
		assert.Equal(t, resp.GetOutcome(), wirepb.Outcome_OUTCOME_RAN)
	}
	t.Logf("%d of 60 calls were confirmed", confirmed.Load())
}

// Guards against buffering a body that exceeds the size limit.
func TestBodyLimitHoldsBetweenNodes(t *testing.T) {
	e := &blockingExit{release: make(chan struct{})}
	close(e.release)
	p := peer.NewPool(peer.Options{MaxBodyBytes: 1 << 10})
	defer p.Close()
	_, err := p.Call(t.Context(), serve(t, e), &wirepb.CallRequest{Body: make([]byte, 1<<20)}, func() {})
	assert.ErrorContains(t, err, "larger than configured max")
}
