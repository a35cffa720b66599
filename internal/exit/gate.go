package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// ColdPace is what a cold upstream bears.
type ColdPace struct {
	// Rate is in requests a second, Burst in requests beyond that.
	Rate  float64
	Burst float64
}

func (e *Exit) newGate() *admit.Gate {
	g := admit.NewGate(admit.GateOptions{
		Slots:  e.upstream.Slots,
		Queue:  e.o.Queue,
		Start:  func(t admit.Ticket, _ time.Time) { e.begin(e.jobs[t.ID]) },
		Expire: e.giveUp,
	})
	g.SetCold(e.pace.Rate, e.pace.Burst)
	return g
}

// SetPace tells what a cold upstream bears. It has no effect without
// Options.Reports.
func (e *Exit) SetPace(p ColdPace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = p
	if g, ok := e.limiter.(*admit.Gate); ok {
		g.SetCold(p.Rate, p.Burst)
	}
}

// Report takes what an upstream has just told about its load. A report of
// another instance than the present one is dropped.
func (e *Exit) Report(instance string, r admit.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.limiter.(*admit.Gate)
	if !ok || !e.upstream.Ready || instance != e.upstream.Instance {
		return
	}
	g.SetReport(r, mono.Now())
}
