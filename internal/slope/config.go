package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/store"
)

const (
	configSteady = "head reads of all nodes, steady"
	configStart  = "store reads of all nodes in the worst second after a common start"
	configHead   = "store reads of all nodes in the worst second after a change"
	configBodies = "body reads from the store for one change, all nodes"
	configAsks   = "bodies asked of peers for one change, each node"
	configForce  = "time until a change is in force everywhere"
	configRow    = "answer to one read of the head row"
	configBody   = "bytes of one body from a peer, both ways"
	configParse  = "processor time to adopt one body"
	configHeap   = "heap of body, manifest and catalogue"
)

var configRows = []string{
	configSteady, configStart, configHead, configBodies, configAsks, configForce,
	configRow, configBody, configParse, configHeap,
}

// pastHeads is the number of earlier heads in a head row that is full.
const pastHeads = 32

func measureConfig(ctx context.Context, _ Options) ([]Series, error) {
	var b board
	for _, s := range []Series{
		{Name: configSteady, Unit: "/s", Carrier: "jittered poll, 10 s"},
		{Name: configStart, Unit: "/s", Carrier: "first read spread over 4 s"},
		{Name: configHead, Unit: "/s", Carrier: "gossip of the head, bodies from peers, grace before the store"},
		{Name: configBodies, Unit: "reads", Carrier: "grace of 1 to 3 s before the store"},
		{Name: configAsks, Unit: "asks", Carrier: "one peer at a time, every 500 ms"},
		{Name: configForce, Unit: "s", Carrier: "gossip of the head"},
	} {
		s.By, s.Size = "nodes", members
		b.define(s)
	}
	for _, n := range sizes {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		newFleet(n).measure(&b, n)
	}
	b.define(Series{Name: configRow, Unit: "B", By: "earlier heads", Size: pastHeads, Carrier: "at most 32 earlier heads"})
	for _, n := range []int{4, 16, pastHeads} {
		size, err := headRow(ctx, n)
		if err != nil {
			return nil, err
		}
		b.add(configRow, n, size)
	}
	err := measureBody(ctx, &b)
	return b.series, err
}

func measureBody(ctx context.Context, b *board) error {
	b.define(Series{Name: configBody, Unit: "B", By: "services", Size: services, Carrier: "digest: a body is fetched once; answers between nodes are gzipped"})
	b.define(Series{Name: configParse, Unit: "µs", By: "services", Size: services, Carrier: "one adoption a change"})
	b.define(Series{Name: configHeap, Unit: "B", By: "services", Size: services, Carrier: "only the manifest in force is kept"})
	for _, n := range []int{10, 50, services} {
		body, err := manifestOf(n)
		if err != nil {
			return err
		}
		if _, err := spec.ParseManifest("manifest", body); err != nil {
			return err
		}
		size, err := peerBytes(&fixedPeer{body: &wirepb.BodyResponse{Body: body}}, func(c wirepb.PeerClient) error {
			_, err := c.Body(ctx, &wirepb.BodyRequest{Digest: string(config.Digest(body))})
			return err
		})
		if err != nil {
			return err
		}
		b.add(configBody, n, size)
		b.add(configParse, n, microseconds(func() {
			m, _ := spec.ParseManifest("manifest", body)
			entry.NewCatalog(m)
		}))
		b.add(configHeap, n, heapOf(func() any {
			m, _ := spec.ParseManifest("manifest", body)
			return []any{m, entry.NewCatalog(m), append([]byte(nil), body...)}
		}))
	}
	return nil
}

// nameOf makes up a name that compresses no better than a real one.
func nameOf(i int) string {
	return fmt.Sprintf("r%08x", uint32(xxhash.Sum64String(fmt.Sprint(i))))
}

// manifestOf writes a manifest with n services of three routes, indented as a
// build pipeline writes it.
func manifestOf(n int) ([]byte, error) {
	type object map[string]any
	m := object{"name": "montevideo", "measure": object{"rate": 2, "burst": 2, "path": "/health"}}
	var places, all []object
	for i := range domains {
		places = append(places, object{"name": fmt.Sprintf("mvd-%c", 'a'+i), "region": "mvd", "state": "in"})
	}
	for i := range n {
		var rs []object
		for j := range routes {
			name := nameOf(i*routes + j)
			rs = append(rs, object{"name": name, "prefix": "/" + name, "idempotent": false})
		}
		all = append(all, object{"name": "service-" + nameOf(-1-i), "version": "v1", "timeout": "2s", "routes": rs})
	}
	m["domains"], m["services"] = places, all
	return json.MarshalIndent(m, "", "  ")
}

// headRow returns the bytes of a head row with n earlier heads, as the table
// service sends it.
func headRow(ctx context.Context, n int) (float64, error) {
	s := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: s.Table(), Objects: s.Objects()})
	for i := range n + 1 {
		change := ident.Change(fmt.Sprintf("change-%020d", i))
		if _, _, err := p.Apply(ctx, change, ident.Revision(i), []byte(change)); err != nil {
			return 0, err
		}
	}
	row, r := s.Table().Get(ctx, config.HeadKey)
	if !r.OK() {
		return 0, r.Err
	}
	answer, err := json.Marshal(plat.Rows{Rows: []store.Row{row}})
	return float64(len(answer)), err
}

const (
	fleetStep = 100 * time.Millisecond
	// fleetChance is the chance that a node sends a datagram in one step; the
	// membership protocol sends about two a second.
	fleetChance = 0.2
)

// fleet is a number of followers around one store, in virtual time.
type fleet struct {
	rand   *rand.Rand
	nodes  []*config.Follower
	head   config.Head
	body   []byte
	now    time.Time
	reads  int
	bodies int
	asks   int
}

func newFleet(n int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, uint64(n))), now: epoch}
	for i := range n {
		f.nodes = append(f.nodes, config.NewFollower(config.FollowerOptions{
			FetchStore: func(x config.Fetch) { f.read(f.nodes[i], x) },
			FetchPeer:  func(x config.Fetch) { f.ask(f.nodes[i], x) },
			Adopt:      func(config.Head, []byte) {}, Rand: f.rand.Float64,
		}))
	}
	return f
}

func (f *fleet) read(n *config.Follower, x config.Fetch) {
	f.reads++
	if x.Digest == "" {
		n.Offer(f.head, f.now)
		return
	}
	f.bodies++
	n.Body(x.Digest, f.body, f.now)
}

func (f *fleet) ask(n *config.Follower, x config.Fetch) {
	f.asks++
	if body, ok := f.nodes[f.rand.IntN(len(f.nodes))].Held(x.Digest); ok {
		n.Body(x.Digest, body, f.now)
	}
}

// publish puts a change in the store and tells one node, which reads the body.
func (f *fleet) publish(text string) {
	f.body = []byte(text)
	f.head = config.Head{Revision: f.head.Revision + 1, Digest: config.Digest(f.body), Change: ident.Change(text)}
	f.nodes[0].Offer(f.head, f.now)
	f.nodes[0].Body(f.head.Digest, f.body, f.now)
}

// run lets time pass and returns the most reads in one second and the time
// until all nodes have the head in force.
func (f *fleet) run(d time.Duration) (most int, all time.Duration) {
	var window []int
	for begin := f.now; f.now.Before(begin.Add(d)); {
		f.now = f.now.Add(fleetStep)
		before := f.reads
		followed := 0
		for _, n := range f.nodes {
			n.Tick(f.now)
			if f.rand.Float64() < fleetChance {
				f.nodes[f.rand.IntN(len(f.nodes))].Offer(n.Known(), f.now)
			}
			if n.Head() == f.head {
				followed++
			}
		}
		if followed == len(f.nodes) && all == 0 {
			all = f.now.Sub(begin)
		}
		window = append(window, f.reads-before)
		most = max(most, lastSecond(window))
	}
	return most, all
}

func lastSecond(window []int) int {
	sum := 0
	for _, n := range window[max(0, len(window)-int(time.Second/fleetStep)):] {
		sum += n
	}
	return sum
}

func (f *fleet) measure(b *board, n int) {
	f.publish("one")
	most, _ := f.run(30 * time.Second)
	b.add(configStart, n, float64(most))
	f.reads = 0
	f.run(time.Minute)
	b.add(configSteady, n, float64(f.reads)/60)
	f.bodies, f.asks = 0, 0
	f.publish("two")
	most, all := f.run(30 * time.Second)
	b.add(configHead, n, float64(most))
	b.add(configBodies, n, float64(f.bodies))
	b.add(configAsks, n, float64(f.asks)/float64(n))
	b.add(configForce, n, all.Seconds())
}
