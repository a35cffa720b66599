package admit_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

// The loads of section 1 of docs/demand.md. A call's objective is what its parent
// has left of its own.
var (
	millsKinds = []requestKind{
		{name: "calls", route: "call", priority: 0, rate: 203, work: 40 * time.Millisecond, objective: 340 * time.Millisecond, deadline: 500 * time.Millisecond},
		{name: "views", route: "view", priority: 1, rate: 95, work: 400 * time.Millisecond, objective: time.Second, deadline: 8 * time.Second},
		{name: "ledgers", route: "ledger", priority: 2, rate: 56, work: 640 * time.Millisecond, objective: 3 * time.Second, deadline: 12 * time.Second},
	}
	conferenceKinds = []requestKind{
		{name: "calls of receipts", route: "call", priority: 0, rate: 37, work: 15 * time.Millisecond, objective: 164 * time.Millisecond, deadline: 200 * time.Millisecond},
		{name: "bookings", route: "booking", priority: 1, rate: 156, work: 66 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 1500 * time.Millisecond},
		{name: "calls of bookings", route: "call", priority: 1, rate: 55, work: 15 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 200 * time.Millisecond},
		{name: "calls of directory reads", route: "call", priority: 2, rate: 138, work: 15 * time.Millisecond, objective: 200 * time.Millisecond, deadline: 200 * time.Millisecond},
	}
)

var modelPolicies = []struct {
	name   string
	create newPolicy
}{
	{"first come", newReference(false)},
	{"priority only", newReference(true)},
	{"least cost", newLeastCost},
}

// Guards against an order that earns less than first come, first served or than
// priority alone on the loads of section 1 of docs/demand.md. With -v it prints
// the shares that the design note quotes.
func TestValueOnDemandingLoads(t *testing.T) {
	const slots, seeds, duration = 6, 5, 60 * time.Second
	for _, site := range []struct {
		name  string
		kinds []requestKind
	}{{"mills", millsKinds}, {"conference", conferenceKinds}} {
		for _, load := range []float64{0.9, 1.1, 1.4} {
			totals := map[string]float64{}
			for _, p := range modelPolicies {
				earned, served, offered := make([]float64, len(site.kinds)), make([]float64, len(site.kinds)), make([]float64, len(site.kinds))
				best := 0.0
				for seed := range uint64(seeds) {
					arrivals := poissonArrivals(site.kinds, slots, load, duration, seed)
					for n, o := range runModel(p.create, site.kinds, slots, arrivals, false) {
						kind := arrivals[n].kind
						offered[kind]++
						earned[kind] += o.value
						served[kind] += float64(o.starts)
						totals[p.name] += o.value
						best += weight(site.kinds[kind].priority)
					}
				}
				t.Logf("%s %.1f, %s: value %.3f", site.name, load, p.name, totals[p.name]/best)
				for i, k := range site.kinds {
					t.Logf("    %-26s value %.3f served %.3f", k.name, earned[i]/offered[i]/weight(k.priority), served[i]/offered[i])
				}
			}
			for _, p := range modelPolicies[:2] {
				if totals["least cost"] < totals[p.name]-weight(0) {
					t.Errorf("%s at %.1f: least cost earns %.0f, %s %.0f", site.name, load, totals["least cost"], p.name, totals[p.name])
				}
			}
		}
	}
}

// referencePolicy is a queue of fixed order that refuses whoever comes last.
type referencePolicy struct {
	slots, running int
	work           map[ident.Route]time.Duration
	queue          []admit.Request
	byPriority     bool
	start          func(admit.Request, time.Time)
	expire         func(admit.Request, admit.Reason, time.Time)
}

func newReference(byPriority bool) newPolicy {
	return func(slots int, kinds []requestKind, start func(admit.Request, time.Time), expire func(admit.Request, admit.Reason, time.Time)) slotPolicy {
		p := &referencePolicy{slots: slots, work: map[ident.Route]time.Duration{}, byPriority: byPriority, start: start, expire: expire}
		for _, k := range kinds {
			p.work[k.route] = k.work
		}
		return p
	}
}

func (p *referencePolicy) Offer(t admit.Request, now time.Time) admit.Decision {
	p.Tick(now)
	switch {
	case t.Deadline.Sub(now) < p.work[t.Route]:
		return admit.Decision{Reason: admit.Late}
	case p.running < p.slots:
		p.running++
		return admit.Decision{Verdict: admit.Run}
	case len(p.queue) >= 3*p.slots:
		return admit.Decision{Reason: admit.Full}
	}
	p.queue = append(p.queue, t)
	if p.byPriority {
		slices.SortStableFunc(p.queue, func(a, b admit.Request) int { return cmp.Compare(a.Priority, b.Priority) })
	}
	return admit.Decision{Verdict: admit.Queue}
}

func (p *referencePolicy) Finish(_ ident.Request, _ admit.Result, now time.Time) {
	p.running--
	p.Tick(now)
	if len(p.queue) > 0 {
		t := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		p.start(t, now)
	}
}

func (p *referencePolicy) Tick(now time.Time) {
	p.queue = slices.DeleteFunc(p.queue, func(t admit.Request) bool {
		late := t.Deadline.Sub(now) < p.work[t.Route]
		if late {
			p.expire(t, admit.Late, now)
		}
		return late
	})
}
