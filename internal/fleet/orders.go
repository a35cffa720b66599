package fleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/route"
	"github.com/cicadahall/cicadahall/store"
	"github.com/cicadahall/cicadahall/watch"
)

const (
	// readLimit bounds one read; the store answers in 4 ms, and 100 times that
	// while it is slow.
	readLimit = 1500 * time.Millisecond
	// askTick is how often a node that listens looks whether it has to ask.
	askTick = 100 * time.Millisecond
	// peerLimit bounds one question to another node, and peerPause separates
	// two questions that brought nothing.
	peerLimit = 500 * time.Millisecond
	peerPause = 150 * time.Millisecond
	// headDigest marks the heads of orders in gossip, which leaves out heads
	// without a digest.
	headDigest = "orders"
)

// orders knows what the operator has written to the store.
type orders struct {
	n    *Node
	feed store.Feed
	wait sync.WaitGroup

	mu   sync.Mutex
	ctx  context.Context
	rows *rows
	// domains are the evacuated failure domains.
	domains map[ident.Domain]bool
	// wanted is the newest version that another node has told of, teller that
	// node, and fetching is set while nodes are asked for it.
	wanted   uint64
	teller   ident.Node
	fetching bool

	current atomic.Pointer[route.Table]
}

func newOrders(n *Node) *orders {
	return &orders{
		n:       n,
		feed:    n.store.Feed(platform.OrderTable),
		ctx:     context.Background(),
		rows:    newRows(),
		domains: map[ident.Domain]bool{},
	}
}

// table returns the configuration in force; nil before the first.
func (o *orders) table() *route.Table { return o.current.Load() }

func (o *orders) evacuated(d ident.Domain) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.domains[d]
}

// Run follows the operator's rows until ctx ends.
func (o *orders) Run(ctx context.Context, ready func()) error {
	o.mu.Lock()
	o.ctx = ctx
	o.mu.Unlock()
	defer o.wait.Wait()
	ready()
	f := &follower{o: o}
	for ctx.Err() == nil {
		if o.n.watch.asks() {
			f.step(ctx)
		} else {
			mono.Sleep(ctx, askTick)
		}
	}
	return ctx.Err()
}

// follower is the position in the feed.
type follower struct {
	o     *orders
	after uint64
	whole bool
	down  time.Time
}

// step reads the whole table or what has changed.
func (f *follower) step(ctx context.Context) {
	var c store.Changes
	var r store.Result
	if !f.whole {
		limited, cancel := context.WithTimeout(ctx, readLimit)
		c, r = f.o.feed.All(limited)
		cancel()
	} else {
		c, r = f.o.feed.Next(ctx, f.after, watch.Wait)
	}
	if ctx.Err() != nil {
		return
	}
	if r.OK() {
		f.succeeded(c)
		return
	}
	f.failed(r)
}

func (f *follower) succeeded(c store.Changes) {
	if !f.down.IsZero() {
		f.o.n.log.Emit(event.StoreUp, event.F(event.Store, platform.OrderTable), event.F(event.Elapsed, time.Since(f.down)))
		f.down = time.Time{}
	}
	f.o.n.watch.answered()
	f.whole = true
	// A stale read must not move the position back: what it lacks would be
	// delivered again, which is harmless, but a position ahead would lose changes.
	f.after = c.Version
	f.o.apply(c)
}

func (f *follower) failed(r store.Result) {
	f.whole = false
	if r.Compacted {
		return
	}
	if f.down.IsZero() {
		f.down = time.Now()
		f.o.n.log.Emit(event.StoreDown, event.F(event.Store, platform.OrderTable), event.F(event.Error, r.Err))
	}
	f.o.n.watch.failed()
}

// apply puts news in force.
func (o *orders) apply(c store.Changes) {
	o.mu.Lock()
	news := o.rows.apply(c)
	if len(news) > 0 {
		domains := map[ident.Domain]bool{}
		for k, row := range o.rows.byKey {
			if kind, name := platform.KindOf(k); kind == platform.Evacuation && !row.Gone {
				domains[ident.Domain(name)] = true
			}
		}
		o.domains = domains
	}
	o.mu.Unlock()
	for _, one := range news {
		o.put(one)
	}
	if len(news) > 0 {
		o.n.roster.refresh()
	}
}

// put acts on one changed row.
func (o *orders) put(c store.Change) {
	kind, name := platform.KindOf(c.Key)
	switch kind {
	case platform.Configuration:
		o.configure(c)
	case platform.Rollout:
		o.n.moves.ordered(ident.Service(name), c)
	case platform.Evacuation:
		code := event.DomainOut
		if c.Gone {
			code = event.DomainIn
		}
		o.n.log.Emit(code, event.F(event.Domain, name), event.F(event.Revision, c.Version))
	case platform.Other:
	}
}

// configure puts a configuration in force unless it is older than the present one.
func (o *orders) configure(c store.Change) {
	if c.Gone {
		return
	}
	t, err := platform.DecodeTable(c.Value)
	if err != nil {
		o.n.log.Emit(event.ManifestRejected, event.F(event.Revision, c.Version), event.F(event.Error, err))
		return
	}
	for {
		old := o.current.Load()
		if old != nil && t.Revision <= old.Revision {
			return
		}
		if o.current.CompareAndSwap(old, t) {
			break
		}
	}
	o.pace()
	o.n.log.Emit(event.ManifestAdopted, event.F(event.Revision, t.Revision), event.F(event.Count, t.Len()))
}

// pace tells the exit what its upstream bears while it is cold.
func (o *orders) pace() {
	t := o.table()
	if t == nil {
		return
	}
	s, ok := t.Services[o.n.exit.Upstream().Service]
	if !ok {
		return
	}
	c := o.n.settings.Cold
	o.n.exit.SetPace(exit.ColdPace{
		Rate:  s.ColdRate * (1 + coldShare*(c.Overage-1)),
		Burst: max(1, coldShare*c.Slack),
	})
}

// coldShare of the overage and of the slack is used: a request that is on its
// way from the node to the upstream may be counted in the next second.
const coldShare = 0.5

// head returns the newest version that this node knows.
func (o *orders) head() member.Head {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rows.newest == 0 {
		return member.Head{}
	}
	return member.Head{Revision: ident.Revision(o.rows.newest), Digest: headDigest}
}

// heard takes the head that another node has told; newer orders are fetched
// from other nodes, which works also where this node can't reach the store.
func (o *orders) heard(h member.Head, from ident.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v := uint64(h.Revision); v > o.wanted {
		o.wanted, o.teller = v, from
	}
	if o.fetching || o.rows.newest >= o.wanted {
		return
	}
	o.fetching = true
	ctx := o.ctx
	o.wait.Add(1)
	go func() {
		defer o.wait.Done()
		for o.behind(ctx) {
			o.fetch(ctx)
		}
	}()
}

// behind reports whether gossip has told of newer orders than this node has.
// When it returns false, the fetching has ended.
func (o *orders) behind(ctx context.Context) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fetching = ctx.Err() == nil && o.rows.newest < o.wanted
	return o.fetching
}

// fetch asks the node that told of newer orders, or after that any other one,
// and pauses if there is none to ask or if it doesn't have them either.
func (o *orders) fetch(ctx context.Context) {
	o.mu.Lock()
	revision, teller := o.wanted, o.teller
	o.teller = ""
	o.mu.Unlock()
	address, ok := o.n.roster.address(teller)
	if !ok {
		address, ok = o.n.roster.random()
	}
	if !ok {
		mono.Sleep(ctx, peerPause)
		return
	}
	limited, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	a, err := o.n.pool.Client(address).Body(limited, &wirepb.BodyRequest{Digest: strconv.FormatUint(revision, 10)})
	if err != nil {
		mono.Sleep(ctx, jitter(peerPause))
		return
	}
	c, err := decodeRows(a.GetBody())
	if err != nil {
		o.n.log.Emit(event.ManifestRejected, event.F(event.Peer, address), event.F(event.Error, err))
		mono.Sleep(ctx, peerLimit)
		return
	}
	o.apply(c)
}

// held returns all rows if they reach a revision.
func (o *orders) held(revision string) ([]byte, bool) {
	want, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rows.newest < want || o.rows.newest == 0 {
		return nil, false
	}
	body, err := o.rows.encode()
	return body, err == nil
}
