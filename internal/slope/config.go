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
	configSteadyReads  = "head reads of all nodes, steady"
	configStartReads   = "store reads of all nodes in the worst second after a common start"
	configChangeReads  = "store reads of all nodes in the worst second after a change"
	configBodyReads    = "body reads from the store for one change, all nodes"
	configPeerFetches  = "bodies asked of peers for one change, each node"
	configConvergence  = "time until a change is in force everywhere"
	configHeadRowBytes = "answer to one read of the head row"
	configBodyBytes    = "bytes of one body from a peer, both ways"
	configParseTime    = "processor time to adopt one body"
	configHeap         = "heap of body, manifest and catalogue"
)

var configRows = []string{
	configSteadyReads, configStartReads, configChangeReads, configBodyReads, configPeerFetches, configConvergence,
	configHeadRowBytes, configBodyBytes, configParseTime, configHeap,
}

// maxEarlierHeads is the number of earlier heads in a full head row.
const maxEarlierHeads = 32

func measureConfig(ctx context.Context, _ Options) ([]Series, error) {
	var b seriesBuilder
	for _, s := range []Series{
		{Name: configSteadyReads, Unit: "/s", Mechanism: "jittered poll, 10 s"},
		{Name: configStartReads, Unit: "/s", Mechanism: "first read spread over 4 s"},
		{Name: configChangeReads, Unit: "/s", Mechanism: "gossip of the head, bodies from peers, grace before the store"},
		{Name: configBodyReads, Unit: "reads", Mechanism: "grace of 1 to 3 s before the store"},
		{Name: configPeerFetches, Unit: "asks", Mechanism: "one peer at a time, every 500 ms"},
		{Name: configConvergence, Unit: "s", Mechanism: "gossip of the head"},
	} {
		s.SizeUnit, s.FullSize = "nodes", memberCount
		b.define(s)
	}
	for _, n := range memberCounts {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		newFleet(n).measure(&b, n)
	}
	b.define(Series{Name: configHeadRowBytes, Unit: "B", SizeUnit: "earlier heads", FullSize: maxEarlierHeads, Mechanism: "at most 32 earlier heads"})
	for _, n := range []int{4, 16, maxEarlierHeads} {
		size, err := headRowBytes(ctx, n)
		if err != nil {
			return nil, err
		}
		b.add(configHeadRowBytes, n, size)
	}
	err := measureBody(ctx, &b)
	return b.series, err
}

func measureBody(ctx context.Context, b *seriesBuilder) error {
	b.define(Series{Name: configBodyBytes, Unit: "B", SizeUnit: "services", FullSize: serviceCount, Mechanism: "digest: a body is fetched once; answers between nodes are gzipped"})
	b.define(Series{Name: configParseTime, Unit: "µs", SizeUnit: "services", FullSize: serviceCount, Mechanism: "one adoption a change"})
	b.define(Series{Name: configHeap, Unit: "B", SizeUnit: "services", FullSize: serviceCount, Mechanism: "only the manifest in force is kept"})
	for _, n := range []int{10, 50, serviceCount} {
		body, err := buildManifest(n)
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
		b.add(configBodyBytes, n, size)
		b.add(configParseTime, n, microsecondsPerCall(func() {
			m, _ := spec.ParseManifest("manifest", body)
			entry.NewCatalog(m)
		}))
		b.add(configHeap, n, retainedHeap(func() any {
			m, _ := spec.ParseManifest("manifest", body)
			return []any{m, entry.NewCatalog(m), append([]byte(nil), body...)}
		}))
	}
	return nil
}

// hashedName returns a name derived from a hash of i, which compresses no
// better than a real name.
func hashedName(i int) string {
	return fmt.Sprintf("r%08x", uint32(xxhash.Sum64String(fmt.Sprint(i))))
}

// buildManifest returns a manifest with n services of three routes each,
// indented like the output of a build pipeline.
func buildManifest(n int) ([]byte, error) {
	type object map[string]any
	manifest := object{"name": "montevideo", "measure": object{"rate": 2, "burst": 2, "path": "/health"}}
	var domainObjects, serviceObjects []object
	for i := range domainCount {
		domainObjects = append(domainObjects, object{"name": fmt.Sprintf("mvd-%c", 'a'+i), "region": "mvd", "state": "in"})
	}
	for i := range n {
		var routeObjects []object
		for j := range routesPerService {
			name := hashedName(i*routesPerService + j)
			routeObjects = append(routeObjects, object{"name": name, "prefix": "/" + name, "idempotent": false})
		}
		serviceObjects = append(serviceObjects, object{"name": "service-" + hashedName(-1-i), "version": "v1", "timeout": "2s", "routes": routeObjects})
	}
	manifest["domains"], manifest["services"] = domainObjects, serviceObjects
	return json.MarshalIndent(manifest, "", "  ")
}

// headRowBytes returns the size in bytes of the table service's response that
// holds a head row with n earlier heads.
func headRowBytes(ctx context.Context, n int) (float64, error) {
	fake := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: fake.Table(), Objects: fake.Objects()})
	for i := range n + 1 {
		change := ident.Change(fmt.Sprintf("change-%020d", i))
		if _, _, err := p.Apply(ctx, change, ident.Revision(i), []byte(change)); err != nil {
			return 0, err
		}
	}
	row, r := fake.Table().Get(ctx, config.HeadKey)
	if !r.OK() {
		return 0, r.Err
	}
	response, err := json.Marshal(plat.RowsResponse{Rows: []store.Row{row}})
	return float64(len(response)), err
}

const (
	fleetStep = 100 * time.Millisecond
	// sendProbability is the probability that a node sends a datagram in one
	// step; the membership protocol sends about two a second.
	sendProbability = 0.2
)

// fleet simulates in virtual time the configuration followers of all nodes,
// which share one store.
type fleet struct {
	rand        *rand.Rand
	nodes       []*config.Follower
	head        config.Head
	body        []byte
	now         time.Time
	reads       int
	bodyReads   int
	peerFetches int
}

func newFleet(n int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, uint64(n))), now: epoch}
	for i := range n {
		f.nodes = append(f.nodes, config.NewFollower(config.FollowerOptions{
			FetchStore: func(fetch config.Fetch) { f.fetchStore(f.nodes[i], fetch) },
			FetchPeer:  func(fetch config.Fetch) { f.fetchPeer(f.nodes[i], fetch) },
			Adopt:      func(config.Head, []byte) {}, Rand: f.rand.Float64,
		}))
	}
	return f
}

func (f *fleet) fetchStore(n *config.Follower, fetch config.Fetch) {
	f.reads++
	if fetch.Digest == "" {
		n.HandleHead(f.head, f.now)
		return
	}
	f.bodyReads++
	n.HandleBody(fetch.Digest, f.body, f.now)
}

func (f *fleet) fetchPeer(n *config.Follower, fetch config.Fetch) {
	f.peerFetches++
	if body, ok := f.nodes[f.rand.IntN(len(f.nodes))].BodyOf(fetch.Digest); ok {
		n.HandleBody(fetch.Digest, body, f.now)
	}
}

// publish makes a change the head of the store and passes head and body to the
// first node.
func (f *fleet) publish(text string) {
	f.body = []byte(text)
	f.head = config.Head{Revision: f.head.Revision + 1, Digest: config.Digest(f.body), Change: ident.Change(text)}
	f.nodes[0].HandleHead(f.head, f.now)
	f.nodes[0].HandleBody(f.head.Digest, f.body, f.now)
}

// run advances the virtual time by d. It returns the largest number of store
// reads within one second and the time until the head was in force on all
// nodes, which is 0 if it wasn't within d.
func (f *fleet) run(d time.Duration) (peakReads int, convergence time.Duration) {
	var readsPerStep []int
	for start := f.now; f.now.Before(start.Add(d)); {
		f.now = f.now.Add(fleetStep)
		before := f.reads
		upToDate := 0
		for _, n := range f.nodes {
			n.Tick(f.now)
			if f.rand.Float64() < sendProbability {
				f.nodes[f.rand.IntN(len(f.nodes))].HandleHead(n.Newest(), f.now)
			}
			if n.Head() == f.head {
				upToDate++
			}
		}
		if upToDate == len(f.nodes) && convergence == 0 {
			convergence = f.now.Sub(start)
		}
		readsPerStep = append(readsPerStep, f.reads-before)
		peakReads = max(peakReads, sumLastSecond(readsPerStep))
	}
	return peakReads, convergence
}

func sumLastSecond(readsPerStep []int) int {
	sum := 0
	for _, n := range readsPerStep[max(0, len(readsPerStep)-int(time.Second/fleetStep)):] {
		sum += n
	}
	return sum
}

func (f *fleet) measure(b *seriesBuilder, n int) {
	f.publish("one")
	peakReads, _ := f.run(30 * time.Second)
	b.add(configStartReads, n, float64(peakReads))
	f.reads = 0
	f.run(time.Minute)
	b.add(configSteadyReads, n, float64(f.reads)/60)
	f.bodyReads, f.peerFetches = 0, 0
	f.publish("two")
	peakReads, convergence := f.run(30 * time.Second)
	b.add(configChangeReads, n, float64(peakReads))
	b.add(configBodyReads, n, float64(f.bodyReads))
	b.add(configPeerFetches, n, float64(f.peerFetches)/float64(n))
	b.add(configConvergence, n, convergence.Seconds())
}
