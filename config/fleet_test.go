package config_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
)

const (
	fleetNodes = 1100
	fleetStep  = 100 * time.Millisecond
	// storeReads is the platform's read rate; the nodes may use half of it.
	storeReads = 2000
	inForce    = 15 * time.Second
)

// fleet is 1,100 followers around one store; each gossips five times a second.
type fleet struct {
	rand  *rand.Rand
	nodes []*config.Follower
	head  config.Head
	body  []byte
	down  bool
	reads int
	now   time.Time
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0)}
	for i := range fleetNodes {
		f.nodes = append(f.nodes, config.NewFollower(config.FollowerOptions{
			FetchStore: func(x config.Fetch) { f.fetch(f.nodes[i], x) },
			FetchPeer: func(x config.Fetch) {
				if b, ok := f.nodes[f.rand.IntN(fleetNodes)].Held(x.Digest); ok {
					f.nodes[i].Body(x.Digest, b, f.now)
				}
			},
			Adopt: func(config.Head, []byte) {}, Rand: f.rand.Float64,
		}))
	}
	return f
}

func (f *fleet) fetch(n *config.Follower, x config.Fetch) {
	f.reads++
	switch {
	case f.down:
	case x.Digest == "":
		n.Offer(f.head, f.now)
	case x.Digest == f.head.Digest:
		n.Body(x.Digest, f.body, f.now)
	}
}

func (f *fleet) publish(text string) {
	f.body = []byte(text)
	f.head = config.Head{Revision: f.head.Revision + 1, Digest: config.Digest(f.body), Change: ident.Change(text)}
}

// run advances by d and returns the most store reads in any one-second window
// and the time until all nodes followed the head.
func (f *fleet) run(d time.Duration) (most int, all time.Duration) {
	var window []int
	begin := f.now
	for ; f.now.Before(begin.Add(d)); f.now = f.now.Add(fleetStep) {
		f.reads = 0
		followed := 0
		for i, n := range f.nodes {
			n.Tick(f.now)
			if f.rand.IntN(2) == 0 {
				f.nodes[f.rand.IntN(fleetNodes)].Offer(f.nodes[i].Known(), f.now)
			}
			if n.Head() == f.head {
				followed++
			}
		}
		if followed == fleetNodes && all == 0 {
			all = f.now.Sub(begin)
		}
		window = append(window, f.reads)
		sum := 0
		for _, r := range window[max(0, len(window)-int(time.Second/fleetStep)):] {
			sum += r
		}
		most = max(most, sum)
	}
	return most, all
}

// Guards against read storms on the store at full size (all nodes start at
// once, a new head, the end of an outage) and against slow rollout (P10).
func TestFleetReadsAndInForce(t *testing.T) {
	f := newFleet(20261204)
	f.publish("one")
	check := func(step string, d time.Duration) {
		most, all := f.run(d)
		t.Logf("%s: at most %d store reads in 1 s, in force everywhere after %v", step, most, all)
		assert.Assert(t, most <= storeReads/2, "%s: %d reads", step, most)
		assert.Assert(t, all > 0 && all <= inForce, "%s: in force after %v", step, all)
	}
	check("start", 30*time.Second)
	f.publish("two")
	check("new head", 30*time.Second)
	f.down = true
	f.run(time.Minute)
	f.publish("three")
	f.down = false
	check("after an outage", 30*time.Second)
}

func BenchmarkFollowerTick(b *testing.B) {
	f := newFleet(1)
	f.publish("one")
	f.run(20 * time.Second)
	n := f.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		n.Tick(f.now)
		n.Offer(f.head, f.now)
	}
}
