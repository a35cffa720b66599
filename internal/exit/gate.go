package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// ColdPace is the request rate that an upstream sustains while it is cold.
type ColdPace struct {
	// Rate is in requests per second; Burst is the number of requests allowed
	// in excess of it.
	Rate  float64
	Burst float64
}

func (e *Exit) newGate() *admit.Gate {
	gate := admit.NewGate(admit.GateOptions{
		Slots:  e.upstream.Slots,
		Queue:  e.opts.Queue,
		Start:  func(t admit.Ticket, _ time.Time) { e.dispatchJob(e.jobs[t.ID]) },
		Expire: e.expireJob,
	})
	gate.SetCold(e.coldPace.Rate, e.coldPace.Burst)
	return gate
}

// SetPace sets the request rate of a cold upstream. It has no effect unless
// Options.Reports is set.
func (e *Exit) SetPace(p ColdPace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldPace = p
	if gate, ok := e.limiter.(*admit.Gate); ok {
		gate.SetCold(p.Rate, p.Burst)
	}
}

// Report records a load report of the upstream. A report from an instance other
// than the current one is dropped.
func (e *Exit) Report(instance string, r admit.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	gate, ok := e.limiter.(*admit.Gate)
	if !ok || !e.upstream.Ready || instance != e.upstream.Instance {
		return
	}
	gate.SetReport(r, mono.Now())
}
