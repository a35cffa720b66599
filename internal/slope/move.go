package slope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/move"
)

const (
	moveFresh = "bytes of one exchange, both ways"
	moveFull  = "bytes of one full exchange, both ways"
	moveOwn   = "bytes of one exchange of own counters only, both ways"
	moveTime  = "processor time of one exchange, both sides"
	moveTick  = "processor time of one look at the move"
	moveHeap  = "heap of one move"
)

var moveRows = []string{moveFresh, moveFull, moveOwn, moveTime, moveTick, moveHeap}

const (
	// exchangesPerSecond is what each node starts for each move that it follows.
	exchangesPerSecond = 4
	// moveSteps are the exchanges before the cost is measured, 20 s.
	moveSteps = 80
)

func measureMove(ctx context.Context, _ Options) ([]Series, error) {
	var b board
	for _, s := range []Series{
		{Name: moveFresh, Unit: "B", Carrier: "delta: own windows of the last 2 s, answered by those of all members"},
		{Name: moveFull, Unit: "B", Carrier: "all windows, each 20th exchange"},
		{Name: moveOwn, Unit: "B", Carrier: "proposed: own windows of the last 2 s only"},
		{Name: moveTime, Unit: "µs", Carrier: "merge by maximum"},
		{Name: moveTick, Unit: "µs", Carrier: "windows with new counters only"},
		{Name: moveHeap, Unit: "B", Carrier: "64 fine and 64 wide windows a route and version"},
	} {
		s.By, s.Size = "service members", perService
		b.define(s)
	}
	for _, n := range []int{3, perService, 14, 28} {
		if err := measureMoveAt(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

func measureMoveAt(ctx context.Context, b *board, n int) error {
	g, err := newGroup(n)
	if err != nil {
		return err
	}
	for range moveSteps {
		g.step()
	}
	a := g.movers[0]
	c := g.movers[1]
	// A request carries the own counters only, except in a full exchange.
	fresh := exchange{ask: ownRow(a, g.now, g.nameOf(a)), answer: c.Fresh(g.now)}
	full := exchange{ask: a.Evidence(), answer: c.Evidence()}
	own := exchange{ask: fresh.ask, answer: ownRow(c, g.now, g.nameOf(c))}
	for name, x := range map[string]exchange{moveFresh: fresh, moveFull: full, moveOwn: own} {
		size, err := x.bytes(ctx)
		if err != nil {
			return err
		}
		b.add(name, n, size)
	}
	b.add(moveTime, n, microseconds(func() {
		// Merging the evidence of another node is half of the work of each side.
		_ = a.Merge(c.Fresh(g.now))
		_ = c.Merge(a.Fresh(g.now))
	}))
	b.add(moveTick, n, microseconds(func() {
		g.observe(a)
		a.Tick(g.now)
	})/float64(g.samples()))
	b.add(moveHeap, n, heapOf(func() any {
		other, _ := newGroup(n)
		for range moveSteps {
			other.step()
		}
		return other
	})/float64(n))
	return nil
}

// group is the members of one service during a move, in virtual time.
type group struct {
	movers []*move.Mover
	names  map[*move.Mover]ident.Node
	rand   *rand.Rand
	now    time.Time
}

func newGroup(n int) (*group, error) {
	g := &group{rand: rand.New(rand.NewPCG(seed, uint64(n))), now: epoch, names: map[*move.Mover]ident.Node{}}
	plan := move.Plan{
		Move: "service-17-v2", From: "v1", To: "v2", Begin: epoch, Deadline: epoch.Add(time.Hour),
		Stages: []move.Stage{{Share: 0.1}, {After: 20 * time.Minute, Share: 1}},
	}
	for i := range routes {
		plan.Routes = append(plan.Routes, ident.Route(fmt.Sprintf("route-%d", i)))
	}
	for i := range n {
		name := ident.Node(fmt.Sprintf("service-17-%d", i))
		m, err := move.New(move.Options{
			Plan: plan, Node: name, Start: ident.Start(g.rand.Uint64() | 1),
			Commit: func(move.Proposal) {}, Read: func() {}, Rand: g.rand.Float64,
		})
		if err != nil {
			return nil, err
		}
		g.movers = append(g.movers, m)
		g.names[m] = name
	}
	return g, nil
}

func (g *group) nameOf(m *move.Mover) ident.Node { return g.names[m] }

// samples is the number of calls of one member in one step.
func (g *group) samples() int { return calls / members / exchangesPerSecond }

// observe counts the calls of one step, a tenth of them by the new version.
func (g *group) observe(m *move.Mover) {
	for range g.samples() {
		version := ident.Version("v1")
		if g.rand.IntN(10) == 0 {
			version = "v2"
		}
		m.Observe(move.Sample{
			Route: ident.Route(fmt.Sprintf("route-%d", g.rand.IntN(routes))), Version: version,
			Failed:  g.rand.IntN(1000) == 0,
			Latency: time.Duration(g.rand.ExpFloat64() * float64(10*time.Millisecond)),
		}, g.now)
	}
}

// step lets the time of one exchange pass.
func (g *group) step() {
	g.now = g.now.Add(time.Second / exchangesPerSecond)
	for _, m := range g.movers {
		g.observe(m)
		m.Tick(g.now)
	}
	for _, m := range g.movers {
		to := g.movers[g.rand.IntN(len(g.movers))]
		_ = to.Merge(m.Fresh(g.now))
		_ = m.Merge(to.Fresh(g.now))
	}
}

// ownRow keeps only the counters that a node owns.
func ownRow(m *move.Mover, now time.Time, name ident.Node) move.Evidence {
	e := m.Fresh(now)
	var own []move.Row
	for _, r := range e.Rows {
		if r.Node == name {
			own = append(own, r)
		}
	}
	e.Rows = own
	return e
}

// exchange is the evidence in one request and in its answer.
type exchange struct {
	ask    move.Evidence
	answer move.Evidence
}

// bytes sends the exchange over loopback.
func (x exchange) bytes(ctx context.Context) (float64, error) {
	p := &fixedPeer{share: &wirepb.ShareResponse{Rows: evidenceRows(x.answer), Moves: moveStates(x.answer)}}
	q := &wirepb.ShareRequest{Source: "service-17-0", Rows: evidenceRows(x.ask), Moves: moveStates(x.ask)}
	return peerBytes(p, func(c wirepb.PeerClient) error {
		_, err := c.Share(ctx, q)
		return err
	})
}

func evidenceRows(e move.Evidence) []*wirepb.EvidenceRow {
	var out []*wirepb.EvidenceRow
	for _, r := range e.Rows {
		out = append(out, &wirepb.EvidenceRow{
			Move: string(e.Move), Node: string(r.Node), Start: uint64(r.Start), Counters: r.Counters,
		})
	}
	return out
}

func moveStates(e move.Evidence) []*wirepb.MoveState {
	return []*wirepb.MoveState{{Move: string(e.Move), Outcome: e.Outcome.String()}}
}
