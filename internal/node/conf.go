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
	// confTick is how often the follower looks at what is due.
	confTick = 100 * time.Millisecond
	// storeLimit bounds one call to the platform.
	storeLimit = 3 * time.Second
	// peerLimit bounds one call for a body to a peer.
	peerLimit = 2 * time.Second
)

// conf drives the configuration follower and puts manifests in force.
type conf struct {
	n *Node
	// ctx ends the reads under way; it is set by Run.
	ctx  context.Context
	wait sync.WaitGroup

	mu       sync.Mutex
	follower *config.Follower
	// active is the head whose manifest is in force. It lags behind the
	// follower's if this release can't read a newer manifest.
	active config.Head
}

func newConf(n *Node) *conf {
	c := &conf{n: n, ctx: context.Background()}
	c.follower = config.NewFollower(config.FollowerOptions{
		FetchStore: c.fetchStore,
		FetchPeer:  c.fetchPeer,
		Adopt:      c.adopt,
		Report: func(err error) {
			n.log.Emit(event.ManifestRejected, event.F(event.Error, err))
		},
		Rand: rand.Float64,
	})
	return c
}

// Run follows the configuration until ctx ends and no read is under way.
func (c *conf) Run(ctx context.Context, ready func()) error {
	t := time.NewTicker(confTick)
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

// offer passes on a head from gossip or from the store.
func (c *conf) offer(h config.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.Offer(h, time.Now())
}

// told takes a head that a command has just published through this node. The
// body is read from the store at once: no peer can have it yet, and one read
// for each change costs the store nothing.
func (c *conf) told(h config.Head) {
	c.offer(h)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchBody(h)
}

// fetchBody is called with the lock held and reads a body from the store
// without asking peers first, unless it is in force.
func (c *conf) fetchBody(h config.Head) {
	if c.follower.Known() == h && c.follower.Head() != h {
		c.fetchStore(config.Fetch{Digest: h.Digest})
	}
}

// first reads the head of a node that has just started, unless gossip has
// brought one before.
func (c *conf) first() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.follower.Known() == (config.Head{}) {
		c.fetchStore(config.Fetch{})
	}
}

func (c *conf) body(d ident.Digest, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.Body(d, body, time.Now())
}

// known returns the newest head known, which gossip passes on.
func (c *conf) known() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Known()
}

// force returns the head in force.
func (c *conf) force() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

func (c *conf) held(d ident.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Held(d)
}

// fetchStore is called with the lock held and reads in the background.
func (c *conf) fetchStore(f config.Fetch) {
	parent := c.ctx
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ctx, cancel := context.WithTimeout(parent, storeLimit)
		defer cancel()
		if f.Digest == "" {
			c.readHead(ctx)
			return
		}
		if body, r := c.n.objects.Get(ctx, config.BodyKey(f.Digest)); r.OK() {
			c.body(f.Digest, body)
		}
	}()
}

func (c *conf) readHead(ctx context.Context) {
	row, r := c.n.table.Get(ctx, config.HeadKey)
	if !r.OK() {
		return
	}
	h, err := config.ParseHead(row.Value)
	if err != nil {
		c.n.log.Emit(event.ManifestRejected, event.F(event.Error, err))
		return
	}
	c.offer(h)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == (config.Head{}) {
		// A node without a manifest refuses all requests, and after a restart
		// of all nodes no peer has the body. The reads of the head are spread.
		c.fetchBody(h)
	}
}

// fetchPeer is called with the lock held and asks one random member.
func (c *conf) fetchPeer(f config.Fetch) {
	address, ok := c.n.roster.random("")
	if !ok {
		return
	}
	parent := c.ctx
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ctx, cancel := context.WithTimeout(parent, peerLimit)
		defer cancel()
		a, err := c.n.pool.Client(address).Body(ctx, &wirepb.BodyRequest{Digest: string(f.Digest)})
		if err == nil {
			c.body(f.Digest, a.GetBody())
		}
	}()
}

// adopt is called with the lock held. A manifest that this release can't read
// was written by a newer one: the manifest before stays in force.
func (c *conf) adopt(h config.Head, body []byte) {
	m, err := spec.ParseManifest("manifest", body)
	if err != nil {
		c.n.log.Emit(event.ManifestRejected,
			event.F(event.Revision, h.Revision),
			event.F(event.Digest, h.Digest),
			event.F(event.Error, err))
		return
	}
	c.active = h
	c.n.gate.set(m.Domains, h.Revision, time.Now())
	c.n.moves.set(m)
	c.n.probes.set(m.Measure)
	c.n.entry.SetCatalog(entry.NewCatalog(m))
	c.n.log.Emit(event.ManifestAdopted, event.F(event.Revision, h.Revision), event.F(event.Digest, h.Digest))
	c.n.roster.refresh()
}
