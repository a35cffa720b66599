package canary

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/move"
	"github.com/cicadahall/cicadahall/store"
)

// controller controls one move.
type controller struct {
	// route picks the version of a request at an entry.
	route func(key uint64, now time.Time) (v ident.Version, share float64)
	// observe records a finished request.
	observe func(move.Sample, time.Time)
	// tick is called at each step of virtual time.
	tick func(time.Time)
	// stopped reports whether the new version gets no new requests, finished
	// whether it gets all.
	stopped, finished func(time.Time) bool
}

// stages returns the stages of the example manifest: 0.5 %, 10 % and all.
func (w *world) stages() []move.Stage {
	return []move.Stage{{Share: 0.005}, {After: w.Length / 5, Share: 0.1}, {After: 2 * w.Length / 5, Share: 1}}
}

const (
	// nodeCount is the number of nodes; half of them are exits of each version.
	nodeCount = 4
	// maxSkew bounds the clock offset of a node in each direction, so that two
	// clocks differ by at most 500 ms, the bound that the system assumes.
	maxSkew = 250 * time.Millisecond
)

// cluster runs move.Mover on several nodes with gossip and one store.
type cluster struct {
	rand  *rand.Rand
	nodes []*move.Mover
	skew  []time.Duration
}

func newCluster(w *world) controller {
	c := &cluster{rand: rand.New(rand.NewPCG(w.Seed, 2))}
	s := fakes.NewStore()
	var now time.Time
	for i := range nodeCount {
		var m *move.Mover
		m, err := move.New(move.Options{
			Plan: move.Plan{
				Move: "trial", From: oldVersion, To: newVersion, Begin: w.begin,
				Deadline: w.begin.Add(w.Length), Stages: w.stages(), Routes: routes,
			},
			Node: ident.Node(rune('a' + i)), Start: 1, Rand: c.rand.Float64,
			Commit: func(p move.Proposal) {
				m.Committed(p, s.Table().Commit(context.Background(), []store.Write{p.Write}), now)
			},
			Read: func() {
				r, res := s.Table().Get(context.Background(), m.Key())
				m.Row(r, res, now)
			},
		})
		if err != nil {
			panic(err)
		}
		c.nodes = append(c.nodes, m)
		c.skew = append(c.skew, time.Duration((2*c.rand.Float64()-1)*float64(maxSkew)))
	}
	return controller{
		route: c.route, observe: c.observe,
		tick:     func(t time.Time) { now = t; c.tick(t) },
		stopped:  func(t time.Time) bool { return c.all(t, 0) },
		finished: func(t time.Time) bool { return c.all(t, 1) },
	}
}

func (c *cluster) route(key uint64, now time.Time) (ident.Version, float64) {
	i := c.rand.IntN(nodeCount)
	t := now.Add(c.skew[i])
	return c.nodes[i].VersionFor(key, t), c.nodes[i].Share(t)
}

// observe records a request at a random exit of its version.
func (c *cluster) observe(s move.Sample, now time.Time) {
	i := 2 * c.rand.IntN(nodeCount/2)
	if s.Version == newVersion {
		i++
	}
	c.nodes[i].Observe(s, now.Add(c.skew[i]))
}

// gossip sends e from one node to a random other one.
func (c *cluster) gossip(from int, e move.Evidence) {
	peer := (from + 1 + c.rand.IntN(nodeCount-1)) % nodeCount
	if err := c.nodes[peer].Merge(e); err != nil {
		panic(err)
	}
}

// tick ticks all nodes. Each sends recent evidence to a random other node, or all
// of it with a probability of 2 %, and its state once it has latched a fault.
func (c *cluster) tick(now time.Time) {
	for i, n := range c.nodes {
		n.Tick(now.Add(c.skew[i]))
		if n.Fault().Set {
			c.gossip(i, n.State())
		}
		e := n.Recent(now.Add(c.skew[i]))
		if c.rand.IntN(50) == 0 {
			e = n.Evidence()
		}
		c.gossip(i, e)
	}
}

// all reports whether every node has the given share and has an outcome or a
// latched fault.
func (c *cluster) all(now time.Time, share float64) bool {
	for i, n := range c.nodes {
		if n.Outcome() == move.Open && !n.Fault().Set || n.Share(now.Add(c.skew[i])) != share {
			return false
		}
	}
	return true
}

const (
	// The baseline reverts when more than 5 % of at least 20 requests of the
	// new version failed within 10 s. It sees all requests without delay.
	baselineWindow      = 10 * time.Second
	baselineErrorRate   = 0.05
	baselineMinRequests = 20
)

// threshold is the baseline: it follows the stages and reverts at a fixed error
// rate.
type threshold struct {
	world *world
	// times and failed hold the ends and results of the requests in the window.
	times    []time.Time
	failed   []bool
	reverted bool
}

func newThreshold(w *world) controller {
	b := &threshold{world: w}
	pick := rand.New(rand.NewPCG(w.Seed, 2))
	return controller{
		route: func(_ uint64, now time.Time) (ident.Version, float64) {
			if s := b.share(now); pick.Float64() < s {
				return newVersion, s
			}
			return oldVersion, b.share(now)
		},
		observe:  b.observe,
		tick:     func(time.Time) {},
		stopped:  func(time.Time) bool { return b.reverted },
		finished: func(now time.Time) bool { return !b.reverted && now.Sub(w.begin) >= w.Length/2 },
	}
}

func (b *threshold) share(now time.Time) float64 {
	share := 0.0
	for _, s := range b.world.stages() {
		if now.Sub(b.world.begin) >= s.After && !b.reverted {
			share = s.Share
		}
	}
	return share
}

func (b *threshold) observe(s move.Sample, now time.Time) {
	if s.Version != newVersion {
		return
	}
	b.times = append(b.times, now)
	b.failed = append(b.failed, s.Failed)
	for now.Sub(b.times[0]) > baselineWindow {
		b.times, b.failed = b.times[1:], b.failed[1:]
	}
	bad := 0
	for _, f := range b.failed {
		if f {
			bad++
		}
	}
	n := len(b.failed)
	b.reverted = b.reverted || n >= baselineMinRequests && float64(bad) > baselineErrorRate*float64(n)
}
