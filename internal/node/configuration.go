package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// configTickInterval is the time between two ticks of the follower.
	configTickInterval = 100 * time.Millisecond
	// storeTimeout bounds one call to the platform.
	storeTimeout = 3 * time.Second
	// peerTimeout bounds one call to a peer for a manifest body or its status.
	peerTimeout = 2 * time.Second
)

// configuration runs the configuration follower and applies manifests.
type configuration struct {
	n *Node
	// ctx cancels reads in progress; it is set by Run.
	ctx  context.Context
	wait sync.WaitGroup

	mu       sync.Mutex
	follower *config.Follower
	// active is the head whose manifest is in effect. It is older than the
	// follower's if this release can't read a newer manifest.
	active config.Head
}

func newConfiguration(n *Node) *configuration {
	c := &configuration{n: n, ctx: context.Background()}
	c.follower = config.NewFollower(config.FollowerOptions{
		FetchStore: c.fetchStore,
		FetchPeer:  c.fetchPeer,
		Adopt:      c.adopt,
		Report: func(err error) {
			n.log.Emit(event.ManifestRejected, event.NewField(event.Error, err))
		},
		Rand: rand.Float64,
	})
	return c
}

// Run follows the configuration until ctx ends, and returns once no read is in
// progress.
func (c *configuration) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(configTickInterval)
	defer t.Stop()
	defer c.wait.Wait()
	ready()
	for {
		select {
		case now := <-t.C:
			c.mu.Lock()
			c.ctx = ctx
			c.follower.Tick(now)
			c.mu.Unlock()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleHead passes a head from gossip or from the store to the follower.
func (c *configuration) handleHead(h config.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.HandleHead(h, time.Now())
}

// handlePublishedHead handles a head that a command has just published through
// this node. It reads the body from the store immediately: no peer can have it
// yet, and one read for each change is a negligible load on the store.
func (c *configuration) handlePublishedHead(h config.Head) {
	c.handleHead(h)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchBody(h)
}

// fetchBody reads the body of h from the store without asking peers first, if h
// is the newest head and isn't in effect yet. The caller must hold mu.
func (c *configuration) fetchBody(h config.Head) {
	if c.follower.Newest() == h && c.follower.Head() != h {
		c.fetchStore(config.Fetch{Digest: h.Digest})
	}
}

// fetchFirstHead reads the head from the store after the start of the node,
// unless gossip has already delivered one.
func (c *configuration) fetchFirstHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Newest() == (config.Head{}) {
		c.fetchStore(config.Fetch{})
	}
}

func (c *configuration) handleBody(d ident.Digest, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.HandleBody(d, body, time.Now())
}

// newestHead returns the newest head known, which gossip spreads.
func (c *configuration) newestHead() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Newest()
}

// activeHead returns the head in effect.
func (c *configuration) activeHead() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *configuration) activeBody(d ident.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.BodyOf(d)
}

// fetchStore reads the head, or the body of f.Digest if it isn't empty, from the
// store in the background. The caller must hold mu.
func (c *configuration) fetchStore(f config.Fetch) {
	parent := c.ctx
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeTimeout)
		defer cancel()
		if f.Digest == "" {
			c.readHead(ctx)
			return
		}
		if body, r := c.n.objects.Get(ctx, config.BodyKey(f.Digest)); r.OK() {
			c.handleBody(f.Digest, body)
		}
	}()
}

func (c *configuration) readHead(ctx context.Context) {
	row, r := c.n.table.Get(ctx, config.HeadKey)
	if !r.OK() {
		return
	}
	h, err := config.ParseHead(row.Value)
	if err != nil {
		c.n.log.Emit(event.ManifestRejected, event.NewField(event.Error, err))
		return
	}
	c.handleHead(h)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == (config.Head{}) {
		// A node without a manifest refuses all requests, and after a restart
		// of all nodes no peer has the body. The reads of the head are spread
		// over time, so the reads of the body are, too.
		c.fetchBody(h)
	}
}

// fetchPeer requests a body from one random member in the background. The
// caller must hold mu.
func (c *configuration) fetchPeer(f config.Fetch) {
	address, ok := c.n.roster.randomPeer("")
	if !ok {
		return
	}
	parent := c.ctx
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ctx, cancel := context.WithTimeout(parent, peerTimeout)
		defer cancel()
		a, err := c.n.pool.ControlClient(address).Body(ctx, &wirepb.BodyRequest{Digest: string(f.Digest)})
		if err == nil {
			c.handleBody(f.Digest, a.GetBody())
		}
	}()
}

// adopt applies a manifest. If this release can't read it, it was written by a
// newer release, and the previous manifest stays in effect. The caller must hold
// mu.
func (c *configuration) adopt(h config.Head, body []byte) {
	m, err := spec.ParseManifest("manifest", body)
	if err != nil {
		c.n.log.Emit(event.ManifestRejected,
			event.NewField(event.Revision, h.Revision),
			event.NewField(event.Digest, h.Digest),
			event.NewField(event.Error, err))
		return
	}
	c.active = h
	c.n.gate.setDomains(m.Domains, h.Revision, time.Now())
	c.n.moves.setManifest(m)
	c.n.probes.setBudget(m.Measure)
	c.n.entry.SetCatalog(entry.NewCatalog(m))
	c.n.log.Emit(event.ManifestAdopted, event.NewField(event.Revision, h.Revision), event.NewField(event.Digest, h.Digest))
	c.n.roster.requestUpdate()
}
