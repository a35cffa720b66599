package admit_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

// requestKind is a class of requests of a modelled load.
type requestKind struct {
	name      string
	route     ident.Route
	workspace ident.Workspace
	priority  int
	// rate is in requests per second.
	rate                      float64
	work, objective, deadline time.Duration
}

// arrival is a request of a modelled load.
type arrival struct {
	kind int
	at   time.Duration
}

// poissonArrivals returns the arrivals of all kinds, whose work fills the slots
// load times.
func poissonArrivals(kinds []requestKind, slots int, load float64, duration time.Duration, seed uint64) []arrival {
	work := 0.0
	for _, k := range kinds {
		work += k.rate * k.work.Seconds()
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for i, k := range kinds {
		rate := k.rate * load * float64(slots) / work
		for at := 0.0; ; {
			at += random.ExpFloat64() / rate
			if at >= duration.Seconds() {
				break
			}
			all = append(all, arrival{kind: i, at: time.Duration(at * float64(time.Second))})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// slotPolicy is what the model needs of a SlotLimiter.
type slotPolicy interface {
	Offer(t admit.Request, now time.Time) admit.Decision
	Finish(id ident.Request, r admit.Result, now time.Time)
	Tick(now time.Time)
}

// newPolicy returns a policy that calls start and expire.
type newPolicy func(slots int, kinds []requestKind, start func(admit.Request, time.Time), expire func(admit.Request, admit.Reason, time.Time)) slotPolicy

// newLeastCost returns a SlotLimiter that has learned the service times.
func newLeastCost(slots int, kinds []requestKind, start func(admit.Request, time.Time), expire func(admit.Request, admit.Reason, time.Time)) slotPolicy {
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{Slots: ident.Slots(slots), Start: start, Expire: expire})
	// The mean service time depends on the latest answers, so kinds are mixed by
	// their rates.
	total := 0.0
	for _, k := range kinds {
		total += k.rate
	}
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 64 + len(kinds) {
		i := n
		if n >= len(kinds) {
			i = 0
			for x := random.Float64() * total; i < len(kinds)-1 && x >= kinds[i].rate; i++ {
				x -= kinds[i].rate
			}
		}
		at := startTime.Add(-time.Hour + time.Duration(n)*time.Second)
		g.Offer(admit.Request{ID: id(1_000_000 + n), Route: kinds[i].route, Deadline: at.Add(time.Hour)}, at)
		g.Finish(id(1_000_000+n), admit.Done, at.Add(kinds[i].work))
	}
	return g
}

// end is the end of a run in the model.
type end struct {
	at time.Time
	id int
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// outcome is what happened to a request of the model.
type outcome struct {
	// starts counts Start and Run, expiries Expire; refused is set by Offer.
	starts, expiries int
	refused          bool
	startedAt        time.Duration
	value            float64
}

// modelledUpstream is one upstream in virtual time. Its runs take exactly the
// work of their kind.
type modelledUpstream struct {
	kinds    []requestKind
	arrivals []arrival
	outcomes []outcome
	policy   slotPolicy
	ends     endHeap
	// resend sends each refused request again at once.
	resend  bool
	pending []int
}

// lateShare is the share of its value that a response has after its objective.
const lateShare = 0.1

func weight(priority int) float64 { return float64(int(4) >> priority) }

// runModel runs arrivals through a policy and returns an outcome for each.
func runModel(create newPolicy, kinds []requestKind, slots int, arrivals []arrival, resend bool) []outcome {
	m := &modelledUpstream{kinds: kinds, arrivals: arrivals, outcomes: make([]outcome, len(arrivals)), resend: resend}
	m.policy = create(slots, kinds, m.start, func(k admit.Request, _ admit.Reason, _ time.Time) {
		n := int(k.ID.Low64())
		m.outcomes[n].expiries++
		m.pending = append(m.pending, n)
	})
	for n, a := range arrivals {
		now := startTime.Add(a.at)
		m.runUntil(now)
		m.policy.Tick(now)
		m.offer(n, now)
	}
	m.runUntil(startTime.Add(time.Hour))
	return m.outcomes
}

func (m *modelledUpstream) runUntil(now time.Time) {
	for len(m.ends) > 0 && !m.ends[0].at.After(now) {
		e := heap.Pop(&m.ends).(end)
		m.policy.Tick(e.at)
		m.policy.Finish(id(e.id), admit.Done, e.at)
		m.resendPending(e.at)
	}
}

func (m *modelledUpstream) request(n int) admit.Request {
	a := m.arrivals[n]
	k := m.kinds[a.kind]
	at := startTime.Add(a.at)
	return admit.Request{
		ID: id(n), Route: k.route, Workspace: k.workspace, Priority: k.priority,
		Objective: at.Add(k.objective), Deadline: at.Add(k.deadline), MayQueue: true,
	}
}

func (m *modelledUpstream) offer(n int, now time.Time) {
	k := m.request(n)
	d := m.policy.Offer(k, now)
	switch d.Verdict {
	case admit.Run:
		m.start(k, now)
	case admit.Refuse:
		m.outcomes[n].refused = true
		m.pending = append(m.pending, n)
	}
	m.resendPending(now)
}

// resendPending sends each request that was refused or displaced again, once.
func (m *modelledUpstream) resendPending(now time.Time) {
	pending := m.pending
	m.pending = nil
	if !m.resend {
		return
	}
	m.resend = false
	for _, n := range pending {
		if m.outcomes[n].starts == 0 {
			m.offer(n, now)
		}
	}
	m.pending, m.resend = nil, true
}

func (m *modelledUpstream) start(k admit.Request, now time.Time) {
	n := int(k.ID.Low64())
	kind := m.kinds[m.arrivals[n].kind]
	o := &m.outcomes[n]
	o.starts++
	o.startedAt = now.Sub(startTime)
	finish := now.Add(kind.work)
	switch {
	case !finish.After(k.Objective):
		o.value = weight(kind.priority)
	case !finish.After(k.Deadline):
		o.value = lateShare * weight(kind.priority)
	}
	heap.Push(&m.ends, end{at: finish, id: n})
}
