package node

import (
	"context"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/probe"
)

// probeTickInterval is the time between two checks whether a probe is due.
const probeTickInterval = 100 * time.Millisecond

// probes sends health probes to the upstream of this node while there is no
// traffic that shows its state. Only a missing response counts as a failure: the
// status of a health endpoint may be outdated or wrong.
type probes struct {
	n *Node

	mu     sync.Mutex
	budget *probe.Budget
	prober *probe.Prober
	path   string
	// failing is the state announced to the members; it follows the prober's
	// state.
	failing bool
}

func newProbes(n *Node) *probes {
	b := probe.NewBudget(0, 0)
	return &probes{n: n, budget: b, prober: probe.New(probe.Options{Budget: b})}
}

// setBudget applies the probe budget and path of a manifest.
func (p *probes) setBudget(m spec.Measure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.SetRate(m.Rate, m.Burst, time.Now())
	p.path = m.Path
}

// observeTraffic records the result of a request. It is called with the exit
// locked. Requests that were aborted or exceeded their deadline are ignored:
// counting them as failures removed a slow upstream from use, and with it the
// last one.
func (p *probes) observeTraffic(x exit.RequestResult) {
	ran := x.Outcome == wirepb.Outcome_OUTCOME_RAN
	if !ran && x.Reason != wirepb.Reason_REASON_BROKEN {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prober.RecordTraffic(ran, time.Now())
}

// upstreamFailing reports whether the upstream is known not to respond.
func (p *probes) upstreamFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
}

// Run sends probes until ctx ends.
func (p *probes) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(probeTickInterval)
	defer t.Stop()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			p.checkUpstream(ctx, now)
		}
	}
}

func (p *probes) checkUpstream(ctx context.Context, now time.Time) {
	if p.n.exit.Upstream().Ready {
		p.mu.Lock()
		due := p.path != "" && p.prober.StartProbe(now)
		path := p.path
		p.mu.Unlock()
		if due {
			p.sendProbe(ctx, path)
		}
	}
	p.mu.Lock()
	state := p.prober.State(time.Now())
	changed := state != probe.Unknown && p.failing != (state == probe.Failing)
	if changed {
		p.failing = !p.failing
	}
	p.mu.Unlock()
	if changed {
		p.n.roster.requestUpdate()
	}
}

func (p *probes) sendProbe(ctx context.Context, path string) {
	began := time.Now()
	r := p.n.exit.Probe(ctx, path)
	p.mu.Lock()
	p.prober.RecordResult(probe.Result{Working: r.Responded}, time.Now())
	p.mu.Unlock()
	fields := []event.Field{
		event.NewField(event.Address, p.n.exit.Upstream().Address),
		event.NewField(event.Path, path),
		event.NewField(event.Status, r.Status),
	}
	if !r.Responded {
		p.n.log.Emit(event.ProbeFailed, fields...)
		return
	}
	p.n.log.Emit(event.ProbeSent, append(fields, event.NewField(event.Elapsed, time.Since(began)))...)
}
