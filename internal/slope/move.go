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
	moveDeltaBytes   = "bytes of one exchange, both ways"
	moveFullBytes    = "bytes of one full exchange, both ways"
	moveOwnBytes     = "bytes of one exchange of own counters only, both ways"
	moveExchangeTime = "processor time of one exchange, both sides"
	moveTickTime     = "processor time of one look at the move"
	moveHeap         = "heap of one move"
)

var moveRows = []string{moveDeltaBytes, moveFullBytes, moveOwnBytes, moveExchangeTime, moveTickTime, moveHeap}

const (
	// exchangesPerSecond is the rate of evidence exchanges that a node starts for
	// each version move that it follows.
	exchangesPerSecond = 4
	// warmupSteps is the number of steps before the costs are measured: 20 s.
	warmupSteps = 80
)

func measureMove(ctx context.Context, _ Options) ([]Series, error) {
	var b seriesBuilder
	for _, s := range []Series{
		{Name: moveDeltaBytes, Unit: "B", Mechanism: "delta: own windows of the last 2 s, answered by those of all members"},
		{Name: moveFullBytes, Unit: "B", Mechanism: "all windows, each 20th exchange"},
		{Name: moveOwnBytes, Unit: "B", Mechanism: "proposed: own windows of the last 2 s only"},
		{Name: moveExchangeTime, Unit: "µs", Mechanism: "merge by maximum"},
		{Name: moveTickTime, Unit: "µs", Mechanism: "windows with new counters only"},
		{Name: moveHeap, Unit: "B", Mechanism: "64 fine and 64 wide windows a route and version"},
	} {
		s.SizeUnit, s.FullSize = "service members", membersPerService
		b.define(s)
	}
	for _, n := range []int{3, membersPerService, 14, 28} {
		if err := measureMoveAt(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

func measureMoveAt(ctx context.Context, b *seriesBuilder, n int) error {
	g, err := newGroup(n)
	if err != nil {
		return err
	}
	for range warmupSteps {
		g.step()
	}
	a := g.movers[0]
	c := g.movers[1]
	// A request contains only the sender's own counters, except in a full
	// exchange.
	delta := exchange{request: ownEvidence(a, g.now, g.nodeName(a)), response: c.Recent(g.now)}
	full := exchange{request: a.Evidence(), response: c.Evidence()}
	own := exchange{request: delta.request, response: ownEvidence(c, g.now, g.nodeName(c))}
	for name, x := range map[string]exchange{moveDeltaBytes: delta, moveFullBytes: full, moveOwnBytes: own} {
		size, err := x.measureBytes(ctx)
		if err != nil {
			return err
		}
		b.add(name, n, size)
	}
	b.add(moveExchangeTime, n, microsecondsPerCall(func() {
		// Each side of an exchange reads its own evidence and merges the other's.
		_ = a.Merge(c.Recent(g.now))
		_ = c.Merge(a.Recent(g.now))
	}))
	b.add(moveTickTime, n, microsecondsPerCall(func() {
		g.observe(a)
		a.Tick(g.now)
	})/float64(g.samplesPerStep()))
	b.add(moveHeap, n, retainedHeap(func() any {
		other, _ := newGroup(n)
		for range warmupSteps {
			other.step()
		}
		return other
	})/float64(n))
	return nil
}

// group simulates in virtual time the members of one service during a version
// move.
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
	for i := range routesPerService {
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

func (g *group) nodeName(m *move.Mover) ident.Node { return g.names[m] }

// samplesPerStep returns the number of calls that one member handles in a step.
func (g *group) samplesPerStep() int { return callsPerSecond / memberCount / exchangesPerSecond }

// observe records the calls of one step in m, a tenth of them with the new
// version.
func (g *group) observe(m *move.Mover) {
	for range g.samplesPerStep() {
		version := ident.Version("v1")
		if g.rand.IntN(10) == 0 {
			version = "v2"
		}
		m.Observe(move.Sample{
			Route: ident.Route(fmt.Sprintf("route-%d", g.rand.IntN(routesPerService))), Version: version,
			Failed:  g.rand.IntN(1000) == 0,
			Latency: time.Duration(g.rand.ExpFloat64() * float64(10*time.Millisecond)),
		}, g.now)
	}
}

// step advances the virtual time by the interval between two exchanges. Each
// member exchanges evidence with a random one.
func (g *group) step() {
	g.now = g.now.Add(time.Second / exchangesPerSecond)
	for _, m := range g.movers {
		g.observe(m)
		m.Tick(g.now)
	}
	for _, m := range g.movers {
		peer := g.movers[g.rand.IntN(len(g.movers))]
		_ = peer.Merge(m.Recent(g.now))
		_ = m.Merge(peer.Recent(g.now))
	}
}

// ownEvidence returns the recent evidence of m, reduced to the rows of the node
// name.
func ownEvidence(m *move.Mover, now time.Time, name ident.Node) move.Evidence {
	e := m.Recent(now)
	var own []move.EvidenceRow
	for _, r := range e.Rows {
		if r.Node == name {
			own = append(own, r)
		}
	}
	e.Rows = own
	return e
}

// exchange is the evidence in a request and in its response.
type exchange struct {
	request  move.Evidence
	response move.Evidence
}

// measureBytes sends the exchange over loopback and returns its bytes, both
// ways.
func (x exchange) measureBytes(ctx context.Context) (float64, error) {
	peer := &fixedPeer{share: &wirepb.ShareResponse{Rows: evidenceRows(x.response), Moves: moveStates(x.response)}}
	shareRequest := &wirepb.ShareRequest{Source: "service-17-0", Rows: evidenceRows(x.request), Moves: moveStates(x.request)}
	return peerBytes(peer, func(c wirepb.PeerClient) error {
		_, err := c.Share(ctx, shareRequest)
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
