package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// ColdRate is the request rate that an upstream sustains while it is cold.
type ColdRate struct {
	// Rate is in requests per second; Burst is the number of requests allowed
	// in excess of it.
	Rate  float64
	Burst float64
}

func (e *Exit) newSlotLimiter() *admit.SlotLimiter {
	limiter := admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots:     e.upstream.Slots,
		MaxQueued: e.opts.MaxQueued,
		Start:     func(t admit.Request, _ time.Time) { e.dispatchJob(e.jobs[t.ID]) },
		Expire:    e.expireJob,
	})
	limiter.SetColdRate(e.coldRate.Rate, e.coldRate.Burst)
	return limiter
}

// SetColdRate sets the request rate of a cold upstream. It has no effect unless
// Options.ReportsLoad is set.
func (e *Exit) SetColdRate(p ColdRate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldRate = p
	if limiter, ok := e.limiter.(*admit.SlotLimiter); ok {
		limiter.SetColdRate(p.Rate, p.Burst)
	}
}

// ReportLoad records a load report of the upstream. A report from an instance
// other than the current one is dropped.
func (e *Exit) ReportLoad(instance string, r admit.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	limiter, ok := e.limiter.(*admit.SlotLimiter)
	if !ok || !e.upstream.Ready || instance != e.upstream.Instance {
		return
	}
	limiter.SetReport(r, mono.Now())
}
