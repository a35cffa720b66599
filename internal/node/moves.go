package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// moveTick is how often the moves are looked at and evidence is exchanged.
	// A fault has to stop traffic within 2 s, which leaves time for several
	// exchanges.
	moveTick = 250 * time.Millisecond
	// fullEvery is the number of exchanges after which all evidence is sent
	// instead of the latest, to close gaps.
	fullEvery = 20
	// interest is how long a node follows a move after its last request to the
	// service. Nodes without interest cost the store and the network nothing.
	interest = time.Minute
)

// run is one move of the manifest at this node.
type run struct {
	plan    spec.Move
	mover   *move.Mover
	used    time.Time
	share   float64
	started bool
	fault   bool
	outcome move.Outcome
}

// moves drives the version moves of the manifest in force.
type moves struct {
	n    *Node
	wait sync.WaitGroup

	mu sync.Mutex
	// ctx ends the calls under way; it is set by Run.
	ctx      context.Context
	runs     map[ident.Move]*run
	services map[ident.Service]*service
	rounds   int
}

// service is what routing needs to know of one service.
type service struct {
	version ident.Version
	// runs are the moves of the service by their start.
	runs []*run
}

func newMoves(n *Node) *moves {
	return &moves{n: n, ctx: context.Background(), runs: map[ident.Move]*run{}, services: map[ident.Service]*service{}}
}

// Run drives the moves until ctx ends.
func (v *moves) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(moveTick)
	defer t.Stop()
	defer v.wait.Wait()
	v.mu.Lock()
	v.ctx = ctx
	v.mu.Unlock()
	ready()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			v.tick(now)
			v.exchange(ctx)
		}
	}
}

// set puts the moves of a manifest in force. A move that stays keeps its
// evidence; its plan can't change, since its name is never used again.
func (v *moves) set(m *spec.Manifest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	runs := map[ident.Move]*run{}
	services := map[ident.Service]*service{}
	for _, s := range m.Services {
		services[s.Name] = &service{version: s.Version}
	}
	for _, p := range m.Moves {
		r := v.runs[p.Name]
		if r == nil {
			r = v.begin(p, m)
		}
		if r == nil {
			continue
		}
		runs[p.Name] = r
		s := services[p.Service]
		s.runs = append(s.runs, r)
	}
	for _, s := range services {
		slices.SortFunc(s.runs, func(a, b *run) int { return a.plan.Start.Compare(b.plan.Start) })
	}
	v.runs = runs
	v.services = services
}

func (v *moves) begin(p spec.Move, m *spec.Manifest) *run {
	plan := move.Plan{Move: p.Name, From: p.From, To: p.To, Begin: p.Start, Deadline: p.Deadline}
	for _, s := range p.Stages {
		plan.Stages = append(plan.Stages, move.Stage{After: s.After, Share: s.Share})
	}
	for _, s := range m.Services {
		if s.Name != p.Service {
			continue
		}
		for _, r := range s.Routes {
			plan.Routes = append(plan.Routes, r.Name)
		}
	}
	r := &run{plan: p}
	mover, err := move.New(move.Options{
		Plan:   plan,
		Node:   v.n.settings.Node,
		Start:  v.n.start,
		Commit: func(q move.Proposal) { v.commit(r, q) },
		Read:   func() { v.read(r) },
		Rand:   rand.Float64,
	})
	if err != nil {
		v.n.log.Emit(event.ManifestRejected, event.F(event.Error, err))
		return nil
	}
	r.mover = mover
	return r
}

// commit is called with the lock held and sends a final row.
func (v *moves) commit(r *run, q move.Proposal) {
	parent := v.ctx
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeLimit)
		defer cancel()
		res := store.Result{Outcome: store.Refused, Err: context.DeadlineExceeded}
		if q.Before.IsZero() || time.Now().Before(q.Before) {
			res = v.n.table.Commit(ctx, []store.Write{q.Write})
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		r.mover.Committed(q, res, time.Now())
	}()
}

// read is called with the lock held and gets a final row.
func (v *moves) read(r *run) {
	key := r.mover.Key()
	parent := v.ctx
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeLimit)
		defer cancel()
		row, res := v.n.table.Get(ctx, key)
		v.mu.Lock()
		defer v.mu.Unlock()
		r.mover.Row(row, res, time.Now())
	}()
}

// cohort returns the version for a request of a service.
func (v *moves) cohort(s ident.Service, key uint64, now time.Time) ident.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.services[s]
	if !ok {
		return ""
	}
	version := c.version
	for _, r := range c.runs {
		if now.Before(r.plan.Start) {
			break
		}
		r.used = now
		if r.plan.To == c.version {
			// The operator has made the new version the service's own.
			version = c.version
			continue
		}
		version = r.version(key, now)
	}
	return version
}

// serves reports whether an exit may run new requests on a version. It stops a
// bad version at once, while the entries still hear of the fault.
func (v *moves) serves(s ident.Service, version ident.Version, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.services[s]
	if !ok || version == c.version {
		return true
	}
	serves := true
	for _, r := range c.runs {
		if version != r.plan.To || now.Before(r.plan.Start) {
			continue
		}
		o := r.mover.Outcome()
		serves = o == move.Done || o == move.Open && !r.mover.Fault().Set
	}
	return serves
}

// version applies one move that has begun.
func (r *run) version(key uint64, now time.Time) ident.Version {
	switch r.mover.Outcome() {
	case move.Done:
		return r.plan.To
	case move.Reverted:
		return r.plan.From
	default:
		return r.mover.Cohort(key, now)
	}
}

// observe counts a request that ran at this node's upstream. One that its
// caller has aborted, such as the slower copy of a hedged one, is no evidence.
func (v *moves) observe(x exit.Run) {
	if x.Outcome == wirepb.Outcome_OUTCOME_REFUSED || x.Reason == wirepb.Reason_REASON_ABORTED {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.services[x.Service]
	if !ok {
		return
	}
	now := time.Now()
	for _, r := range c.runs {
		r.used = now
		r.mover.Observe(move.Sample{
			Route:   x.Route,
			Version: x.Version,
			Failed:  x.Failed || x.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN,
			Latency: x.Busy,
		}, now)
	}
}

// tick advances the moves that this node has an interest in.
func (v *moves) tick(now time.Time) {
	own := v.n.exit.Upstream().Service
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runs {
		if !r.follows(own, now) {
			continue
		}
		r.mover.Tick(now)
		v.report(r, now)
	}
}

// follows reports whether the node serves or has lately called the service.
func (r *run) follows(own ident.Service, now time.Time) bool {
	return now.Sub(r.used) < interest || own == r.plan.Service
}

// report emits what has changed since the last look.
func (v *moves) report(r *run, now time.Time) {
	name := event.F(event.Move, r.plan.Name)
	emit := v.n.log.Emit
	if !r.started && !now.Before(r.plan.Start) {
		r.started = true
		emit(event.MoveStarted, name, event.F(event.Service, r.plan.Service),
			event.F(event.Version, r.plan.To), event.F(event.Deadline, r.plan.Deadline.Format(time.RFC3339)))
	}
	if s := r.mover.Share(now); s != r.share {
		r.share = s
		emit(event.MoveStage, name, event.F(event.Share, s))
	}
	if f := r.mover.Fault(); f.Set && !r.fault {
		r.fault = true
		emit(event.MoveFault, name, event.F(event.Reason, f.Reason))
		v.n.roster.refresh()
	}
	if o := r.mover.Outcome(); o != r.outcome {
		r.outcome = o
		v.reportOutcome(r, name)
	}
}

func (v *moves) reportOutcome(r *run, name event.Field) {
	service := event.F(event.Service, r.plan.Service)
	if r.outcome == move.Done {
		v.n.log.Emit(event.MoveDone, name, service, event.F(event.Version, r.plan.To))
		return
	}
	v.n.log.Emit(event.MoveReverted, name, service,
		event.F(event.Version, r.plan.From), event.F(event.Reason, r.mover.Fault().Reason))
}

// fault takes a latch from gossip. It reports whether the move is known.
func (v *moves) fault(m ident.Move) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[m]
	if !ok {
		return false
	}
	_ = r.mover.Merge(move.Evidence{Move: m, Fault: move.Fault{Set: true, Reason: "reported by another node"}})
	return true
}

// faults lists the moves whose latch is set and whose outcome is open.
func (v *moves) faults() []ident.Move {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []ident.Move
	for n, r := range v.runs {
		if r.mover.Fault().Set && r.mover.Outcome() == move.Open {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// over reports whether the latch of a move isn't needed any more.
func (v *moves) over(m ident.Move) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[m]
	return !ok || r.mover.Outcome() != move.Open
}
