package canary

import (
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
)

const (
	// FleetNodes is the number of nodes of the largest supported system.
	FleetNodes = 1100
	// fleetStep is the resolution of virtual time, and the interval of ticks.
	fleetStep = 100 * time.Millisecond
)

// Fleet simulates FleetNodes followers of the configuration with one store. Each
// gossips five times per second on average, and messages arrive without delay.
type Fleet struct {
	rand  *rand.Rand
	nodes []*config.Follower
	head  config.Head
	body  []byte
	// Down makes every read of the store fail.
	Down  bool
	reads int
	now   time.Time
}

// NewFleet returns a fleet whose store has no head.
func NewFleet(seed uint64) *Fleet {
	f := &Fleet{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0)}
	for i := range FleetNodes {
		f.nodes = append(f.nodes, config.NewFollower(config.FollowerOptions{
			FetchStore: func(x config.Fetch) { f.fetch(f.nodes[i], x) },
			FetchPeer: func(x config.Fetch) {
				if b, ok := f.nodes[f.rand.IntN(FleetNodes)].BodyOf(x.Digest); ok {
					f.nodes[i].HandleBody(x.Digest, b, f.now)
				}
			},
			Adopt: func(config.Head, []byte) {}, Rand: f.rand.Float64,
		}))
	}
	return f
}

// fetch counts a read of the store by a follower and returns the result to it.
func (f *Fleet) fetch(n *config.Follower, x config.Fetch) {
	f.reads++
	switch {
	case f.Down:
	case x.Digest == "":
		n.HandleHead(f.head, f.now)
	case x.Digest == f.head.Digest:
		n.HandleBody(x.Digest, f.body, f.now)
	}
}

// Publish writes a new head with the given body to the store.
func (f *Fleet) Publish(text string) {
	f.body = []byte(text)
	f.head = config.Head{Revision: f.head.Revision + 1, Digest: config.Digest(f.body), Change: ident.Change(text)}
}

// Run advances virtual time by d. It returns the largest number of store reads in
// any window of one second and the time until all nodes had adopted the head, or
// 0 if they hadn't.
func (f *Fleet) Run(d time.Duration) (maxReads int, adopted time.Duration) {
	var window []int
	begin := f.now
	for ; f.now.Before(begin.Add(d)); f.now = f.now.Add(fleetStep) {
		f.reads = 0
		count := 0
		for i, n := range f.nodes {
			n.Tick(f.now)
			if f.rand.IntN(2) == 0 {
				f.nodes[f.rand.IntN(FleetNodes)].HandleHead(f.nodes[i].Newest(), f.now)
			}
			if n.Head() == f.head {
				count++
			}
		}
		if count == FleetNodes && adopted == 0 {
			adopted = f.now.Sub(begin)
		}
		window = append(window, f.reads)
		sum := 0
		for _, r := range window[max(0, len(window)-int(time.Second/fleetStep)):] {
			sum += r
		}
		maxReads = max(maxReads, sum)
	}
	return maxReads, adopted
}
