package exit

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// probeTimeout bounds one probe. A probe takes about 5 ms; an upstream that
// needs a hundred times as long is considered broken.
const probeTimeout = 500 * time.Millisecond

// ProbeResult is the result of one probe.
type ProbeResult struct {
	// Responded is set if the upstream sent any complete HTTP response, or if
	// all its slots are in use, which shows that it is working.
	Responded bool
	// Status is the HTTP status code, or 0 without a response.
	Status int
}

// Probe sends one request to the upstream's health path. It occupies a slot
// like any other request.
func (e *Exit) Probe(ctx context.Context, path string) ProbeResult {
	id := ident.NewRequest(rand.Uint64(), rand.Uint64())
	deadline := mono.Now().Add(probeTimeout)
	address, ok := e.beginProbe(id, deadline)
	if !ok {
		return ProbeResult{Responded: true}
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp := e.dispatcher.send(probeCtx, address, &wirepb.CallRequest{
		Id:            id[:],
		Method:        http.MethodGet,
		Path:          path,
		DeadlineNanos: deadline.UnixNano(),
		Caller:        "cicadahall",
		Idempotent:    true,
	})
	answered := resp.GetOutcome() == wirepb.Outcome_OUTCOME_RAN || resp.GetReason() == wirepb.Reason_REASON_SHED
	e.endProbe(id, answered)
	return ProbeResult{Responded: answered, Status: int(resp.GetStatus())}
}

func (e *Exit) beginProbe(id ident.Request, deadline time.Time) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	decision := e.limiter.Offer(admit.Request{ID: id, Deadline: deadline}, mono.Now())
	return e.upstream.Address, decision.Verdict == admit.Run
}

func (e *Exit) endProbe(id ident.Request, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := admit.Done
	if !answered {
		result = admit.Broken
	}
	e.limiter.Finish(id, result, mono.Now())
}
