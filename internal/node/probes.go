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

// probeTick is how often the prober is asked whether a probe is due.
const probeTick = 100 * time.Millisecond

// probes measures the upstream beside this node while no traffic shows its
// state. Only a missing answer counts as failing: what a health endpoint says
// may lag or mislead.
type probes struct {
	n *Node

	mu     sync.Mutex
	budget *probe.Budget
	prober *probe.Prober
	path   string
	// failing is what members are told; it changes with the prober's state.
	failing bool
}

func newProbes(n *Node) *probes {
	b := probe.NewBudget(0, 0)
	return &probes{n: n, budget: b, prober: probe.New(probe.Options{Budget: b})}
}

// set takes the measuring budget of a manifest.
func (p *probes) set(m spec.Measure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Set(m.Rate, m.Burst, time.Now())
	p.path = m.Path
}

// traffic takes a request that has ended; it is called with the exit locked.
// An aborted request and one that ran into its deadline show nothing: taking
// them for failures took a slow upstream out of use, and with it the last one.
func (p *probes) traffic(x exit.Run) {
	ran := x.Outcome == wirepb.Outcome_OUTCOME_RAN
	if !ran && x.Reason != wirepb.Reason_REASON_BROKEN {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prober.Traffic(ran, time.Now())
}

// down reports whether the upstream is known not to answer.
func (p *probes) down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing
}

// Run probes until ctx ends.
func (p *probes) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(probeTick)
	defer t.Stop()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			p.step(ctx, now)
		}
	}
}

func (p *probes) step(ctx context.Context, now time.Time) {
	if p.n.exit.Upstream().Ready {
		p.mu.Lock()
		due := p.path != "" && p.prober.Due(now)
		path := p.path
		p.mu.Unlock()
		if due {
			p.send(ctx, path)
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
		p.n.roster.refresh()
	}
}

func (p *probes) send(ctx context.Context, path string) {
	began := time.Now()
	r := p.n.exit.Probe(ctx, path)
	p.mu.Lock()
	p.prober.Observe(probe.Result{Working: r.Answered}, time.Now())
	p.mu.Unlock()
	fields := []event.Field{
		event.F(event.Address, p.n.exit.Upstream().Address),
		event.F(event.Path, path),
		event.F(event.Status, r.Status),
	}
	if !r.Answered {
		p.n.log.Emit(event.ProbeFailed, fields...)
		return
	}
	p.n.log.Emit(event.ProbeSent, append(fields, event.F(event.Elapsed, time.Since(began)))...)
}
