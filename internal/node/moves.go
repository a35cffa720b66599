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
	// moveTickInterval is the time between two evaluations of the moves and
	// exchanges of evidence. A fault must stop traffic within 2 s, which leaves
	// time for several exchanges.
	moveTickInterval = 250 * time.Millisecond
	// fullExchangePeriod is the number of exchanges after which one carries all
	// evidence instead of only recent changes, to recover lost rows.
	fullExchangePeriod = 20
	// followPeriod is how long a node follows a move after its last request to
	// the service. Nodes that don't follow a move don't load the store or the
	// network for it.
	followPeriod = time.Minute
)

// moveRun is the state of one move of the manifest at this node. The reported
// fields are the values of the last emitted events.
type moveRun struct {
	plan            spec.Move
	mover           *move.Mover
	lastUsed        time.Time
	reportedShare   float64
	reportedStart   bool
	reportedFault   bool
	reportedOutcome move.Outcome
}

// moves runs the version moves of the manifest in effect.
type moves struct {
	n    *Node
	wait sync.WaitGroup

	mu sync.Mutex
	// ctx cancels calls in progress; it is set by Run.
	ctx       context.Context
	runs      map[ident.Move]*moveRun
	services  map[ident.Service]*serviceMoves
	exchanges int
}

// serviceMoves is the routing state of one service.
type serviceMoves struct {
	version ident.Version
	// runs are the moves of the service, ordered by start time.
	runs []*moveRun
}

func newMoves(n *Node) *moves {
	return &moves{n: n, ctx: context.Background(), runs: map[ident.Move]*moveRun{}, services: map[ident.Service]*serviceMoves{}}
}

// Run advances the moves and exchanges evidence until ctx ends.
func (v *moves) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(moveTickInterval)
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
			v.exchangeEvidence(ctx)
		}
	}
}

// setManifest applies the moves of a manifest. A move that is in the manifest
// already in effect keeps its evidence; its plan can't change, because move names
// are never reused.
func (v *moves) setManifest(m *spec.Manifest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	runs := map[ident.Move]*moveRun{}
	services := map[ident.Service]*serviceMoves{}
	for _, s := range m.Services {
		services[s.Name] = &serviceMoves{version: s.Version}
	}
	for _, p := range m.Moves {
		r := v.runs[p.Name]
		if r == nil {
			r = v.newRun(p, m)
		}
		if r == nil {
			continue
		}
		runs[p.Name] = r
		s := services[p.Service]
		s.runs = append(s.runs, r)
	}
	for _, s := range services {
		slices.SortFunc(s.runs, func(a, b *moveRun) int { return a.plan.Start.Compare(b.plan.Start) })
	}
	v.runs = runs
	v.services = services
}

func (v *moves) newRun(p spec.Move, m *spec.Manifest) *moveRun {
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
	r := &moveRun{plan: p}
	mover, err := move.New(move.Options{
		Plan:   plan,
		Node:   v.n.settings.Node,
		Start:  v.n.start,
		Commit: func(q move.Proposal) { v.commit(r, q) },
		Read:   func() { v.read(r) },
		Rand:   rand.Float64,
	})
	if err != nil {
		v.n.log.Emit(event.ManifestRejected, event.NewField(event.Error, err))
		return nil
	}
	r.mover = mover
	return r
}

// commit writes a final row in the background. The caller must hold mu.
func (v *moves) commit(r *moveRun, q move.Proposal) {
	parent := v.ctx
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeTimeout)
		defer cancel()
		res := store.Result{Outcome: store.Refused, Err: context.DeadlineExceeded}
		if q.SendBefore.IsZero() || time.Now().Before(q.SendBefore) {
			res = v.n.table.Commit(ctx, []store.Write{q.Write})
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		r.mover.Committed(q, res, time.Now())
	}()
}

// read reads the final row of a move in the background. The caller must hold
// mu.
func (v *moves) read(r *moveRun) {
	key := r.mover.Key()
	parent := v.ctx
	v.wait.Add(1)
	go func() {
		defer v.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeTimeout)
		defer cancel()
		row, res := v.n.table.Get(ctx, key)
		v.mu.Lock()
		defer v.mu.Unlock()
		r.mover.Row(row, res, time.Now())
	}()
}

// selectVersion returns the version for a request to service s with the given
// key, or "" if the manifest doesn't list the service.
func (v *moves) selectVersion(s ident.Service, key uint64, now time.Time) ident.Version {
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
		r.lastUsed = now
		if r.plan.To == c.version {
			// The manifest already lists the new version as the service's
			// version.
			version = c.version
			continue
		}
		version = r.version(key, now)
	}
	return version
}

// serves reports whether an exit may run new requests on a version. It stops a
// faulty version immediately, while the fault is still spreading to the entries.
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

// version returns the version that a started move selects for a key.
func (r *moveRun) version(key uint64, now time.Time) ident.Version {
	switch r.mover.Outcome() {
	case move.Done:
		return r.plan.To
	case move.Reverted:
		return r.plan.From
	default:
		return r.mover.VersionFor(key, now)
	}
}

// observe counts a request that ran at this node's upstream. A request aborted by
// its caller, such as the slower copy of a hedged request, isn't evidence.
func (v *moves) observe(x exit.RequestResult) {
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
		r.lastUsed = now
		r.mover.Observe(move.Sample{
			Route:   x.Route,
			Version: x.Version,
			Failed:  x.Failed || x.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN,
			Latency: x.SlotTime,
		}, now)
	}
}

// tick advances the moves that this node follows.
func (v *moves) tick(now time.Time) {
	own := v.n.exit.Upstream().Service
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runs {
		if !r.followed(own, now) {
			continue
		}
		r.mover.Tick(now)
		v.emitChanges(r, now)
	}
}

// followed reports whether the node serves the service of the move or has called
// it within followPeriod. The parameter own is the service of its upstream.
func (r *moveRun) followed(own ident.Service, now time.Time) bool {
	return now.Sub(r.lastUsed) < followPeriod || own == r.plan.Service
}

// emitChanges emits an event for each change since the last call.
func (v *moves) emitChanges(r *moveRun, now time.Time) {
	name := event.NewField(event.Move, r.plan.Name)
	emit := v.n.log.Emit
	if !r.reportedStart && !now.Before(r.plan.Start) {
		r.reportedStart = true
		emit(event.MoveStarted, name, event.NewField(event.Service, r.plan.Service),
			event.NewField(event.Version, r.plan.To), event.NewField(event.Deadline, r.plan.Deadline.Format(time.RFC3339)))
	}
	if s := r.mover.Share(now); s != r.reportedShare {
		r.reportedShare = s
		emit(event.MoveStage, name, event.NewField(event.Share, s))
	}
	if f := r.mover.Fault(); f.Set && !r.reportedFault {
		r.reportedFault = true
		emit(event.MoveFault, name, event.NewField(event.Reason, f.Reason))
		v.n.roster.requestUpdate()
	}
	if o := r.mover.Outcome(); o != r.reportedOutcome {
		r.reportedOutcome = o
		v.emitOutcome(r, name)
	}
}

func (v *moves) emitOutcome(r *moveRun, name event.Field) {
	service := event.NewField(event.Service, r.plan.Service)
	if r.reportedOutcome == move.Done {
		v.n.log.Emit(event.MoveDone, name, service, event.NewField(event.Version, r.plan.To))
		return
	}
	v.n.log.Emit(event.MoveReverted, name, service,
		event.NewField(event.Version, r.plan.From), event.NewField(event.Reason, r.mover.Fault().Reason))
}

// handleFault sets the fault of a move that gossip has reported. It reports
// whether the move is known.
func (v *moves) handleFault(m ident.Move) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[m]
	if !ok {
		return false
	}
	_ = r.mover.Merge(move.Evidence{Move: m, Fault: move.Fault{Set: true, Reason: "reported by another node"}})
	return true
}

// openFaults returns the moves that have a fault and no outcome yet, sorted.
func (v *moves) openFaults() []ident.Move {
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

// faultObsolete reports whether the fault of a move no longer needs to be spread.
func (v *moves) faultObsolete(m ident.Move) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[m]
	return !ok || r.mover.Outcome() != move.Open
}
