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

// probeLimit bounds one probe. A probe costs about 5 ms; an upstream that
// needs a hundred times as long doesn't work.
const probeLimit = 500 * time.Millisecond

// ProbeResult is the end of one probe.
type ProbeResult struct {
	// Answered is set if the upstream gave any whole HTTP answer, or if all its
	// slots are in use, which shows that it works.
	Answered bool
	// Status is the answer's status; 0 without one.
	Status int
}

// Probe sends one request to the upstream's health path. It takes a slot like
// any other request.
func (e *Exit) Probe(ctx context.Context, path string) ProbeResult {
	id := ident.NewRequest(rand.Uint64(), rand.Uint64())
	deadline := mono.Now().Add(probeLimit)
	address, ok := e.beginProbe(id, deadline)
	if !ok {
		return ProbeResult{Answered: true}
	}
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	a := e.dispatch.send(limited, address, &wirepb.CallRequest{
		Id:            id[:],
		Method:        http.MethodGet,
		Path:          path,
		DeadlineNanos: deadline.UnixNano(),
		Caller:        "cicadahall",
		Idempotent:    true,
	})
	answered := a.GetOutcome() == wirepb.Outcome_OUTCOME_RAN || a.GetReason() == wirepb.Reason_REASON_SHED
	e.endProbe(id, answered)
	return ProbeResult{Answered: answered, Status: int(a.GetStatus())}
}

func (e *Exit) beginProbe(id ident.Request, deadline time.Time) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.limiter.Offer(admit.Ticket{ID: id, Deadline: deadline}, mono.Now())
	return e.upstream.Address, d.Verdict == admit.Run
}

func (e *Exit) endProbe(id ident.Request, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := admit.Done
	if !answered {
		r = admit.Broken
	}
	e.limiter.Finish(id, r, mono.Now())
}
