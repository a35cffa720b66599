package canary

import (
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
)

const (
	// FleetNodes is the number of nodes at full size.
	FleetNodes = 1100
	// fleetStep is the resolution of virtual time, and the interval of ticks.
	fleetStep = 100 * time.Millisecond
)

// Fleet is FleetNodes followers around one store. Each gossips five times a
// second and every message takes effect at once.
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

// NewFleet returns a fleet without a head in the store.
func NewFleet(seed uint64) *Fleet {
	f := &Fleet{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_800_000_000, 0)}
	for i := range FleetNodes {
		f.nodes = append(f.nodes, config.NewFollower(config.FollowerOptions{
			FetchStore: func(x config.Fetch) { f.fetch(f.nodes[i], x) },
			FetchPeer: func(x config.Fetch) {
				if b, ok := f.nodes[f.rand.IntN(FleetNodes)].Held(x.Digest); ok {
					f.nodes[i].Body(x.Digest, b, f.now)
				}
			},
			Adopt: func(config.Head, []byte) {}, Rand: f.rand.Float64,
		}))
	}
	return f
}

func (f *Fleet) fetch(n *config.Follower, x config.Fetch) {
	f.reads++
	switch {
	case f.Down:
	case x.Digest == "":
		n.Offer(f.head, f.now)
	case x.Digest == f.head.Digest:
		n.Body(x.Digest, f.body, f.now)
	}
}

// Publish moves the store to a new head with the body text.
func (f *Fleet) Publish(text string) {
	f.body = []byte(text)
	f.head = config.Head{Revision: f.head.Revision + 1, Digest: config.Digest(f.body), Change: ident.Change(text)}
}

// Run advances by d and returns the most store reads in any one-second window
// and the time until all nodes followed the head.
func (f *Fleet) Run(d time.Duration) (most int, all time.Duration) {
	var window []int
	begin := f.now
	for ; f.now.Before(begin.Add(d)); f.now = f.now.Add(fleetStep) {
		f.reads = 0
		followed := 0
		for i, n := range f.nodes {
			n.Tick(f.now)
			if f.rand.IntN(2) == 0 {
				f.nodes[f.rand.IntN(FleetNodes)].Offer(f.nodes[i].Known(), f.now)
			}
			if n.Head() == f.head {
				followed++
			}
		}
		if followed == FleetNodes && all == 0 {
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
