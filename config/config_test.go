package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/store"
)

// world is the system under a state-machine test: a store whose commits may
// land late, racing operators and followers with reordered messages.
type world struct {
	fake  *fakes.Store
	table store.Table
	fault fakes.Fault
	slow  bool
	// rival is another operator's call that comes between a read and a commit.
	rival    func()
	late     [][]store.Write
	accepted []config.Head
	now      time.Time
	inbox    []func()
	nodes    []*node
	rand     *rand.Rand
	changes  map[ident.Change]*change
}

type node struct {
	f       *config.Follower
	adopted []config.Head
}

type change struct {
	id      ident.Change
	seen    ident.Revision
	body    []byte
	outcome config.Outcome
	tried   bool
	// running excludes an id from a rival's call: one change id belongs to
	// one process at a time.
	running bool
}

func newWorld(t *rapid.T) *world {
	w := &world{fake: fakes.NewStore(), now: time.Unix(0, 0), changes: map[ident.Change]*change{}}
	w.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	w.fake.SetFault(func() fakes.Fault { return w.fault })
	w.table = w.fake.Table()
	w.table.Commit = w.commit
	for range 3 {
		w.nodes = append(w.nodes, w.newNode())
	}
	return w
}

// commit delays writes of a slow store, and records what took effect.
func (w *world) commit(ctx context.Context, ws []store.Write) store.Result {
	if w.slow {
		w.late = append(w.late, ws)
		return store.Result{Outcome: store.Unknown, Err: context.DeadlineExceeded}
	}
	if rival := w.rival; rival != nil {
		w.rival = nil
		rival()
	}
	before := w.head(ctx)
	r := w.fake.Table().Commit(ctx, ws)
	if after := w.head(ctx); after != before {
		w.accepted = append(w.accepted, after)
	}
	return r
}

// head reads the row past all faults.
func (w *world) head(ctx context.Context) config.Head {
	f := w.fault
	w.fault = fakes.None
	r, _ := w.fake.Table().Get(ctx, config.HeadKey)
	w.fault = f
	h, err := config.ParseHead(r.Value)
	if err != nil {
		panic(err)
	}
	return h
}

func (w *world) newNode() *node {
	n := &node{}
	n.f = config.NewFollower(config.FollowerOptions{
		FetchStore: func(x config.Fetch) { w.fetch(n, x) },
		FetchPeer:  func(x config.Fetch) { w.peer(n, x) },
		Adopt: func(h config.Head, b []byte) {
			if config.Digest(b) != h.Digest {
				panic("adopted a body of another digest")
			}
			n.adopted = append(n.adopted, h)
		},
		Rand: w.rand.Float64,
	})
	return n
}

func (w *world) fetch(n *node, x config.Fetch) {
	if x.Digest != "" {
		if b, r := w.fake.Objects().Get(context.Background(), config.BodyKey(x.Digest)); r.OK() {
			w.inbox = append(w.inbox, func() { n.f.Body(x.Digest, b, w.now) })
		}
		return
	}
	if r, res := w.table.Get(context.Background(), config.HeadKey); res.OK() {
		h, _ := config.ParseHead(r.Value)
		w.inbox = append(w.inbox, func() { n.f.Offer(h, w.now) })
	}
}

// peer answers from a random node, at times with a damaged body.
func (w *world) peer(n *node, x config.Fetch) {
	b, ok := w.nodes[w.rand.IntN(len(w.nodes))].f.Held(x.Digest)
	if !ok {
		return
	}
	if w.rand.IntN(4) == 0 {
		b = append(slices.Clone(b), 'x')
	}
	w.inbox = append(w.inbox, func() { n.f.Body(x.Digest, b, w.now) })
}

// apply runs one operator's call: a new change or a retry of an open one.
func (w *world) apply(t *rapid.T, p *config.Publisher) {
	ids := []ident.Change{ident.Change(fmt.Sprintf("c%d", len(w.changes)))}
	for id, c := range w.changes {
		if c.running {
			continue
		}
		if c.outcome == config.Unknown || c.outcome == config.Nothing {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "change")
	c := w.changes[id]
	if c == nil {
		back := ident.Revision(rapid.IntRange(0, 1).Draw(t, "stale"))
		seen := w.head(context.Background()).Revision
		c = &change{id: id, seen: seen - min(seen, back), body: []byte("body of " + id)}
		w.changes[id] = c
	}
	if c.tried && c.outcome == config.Unknown {
		p.Reopen(c.id)
	}
	c.running = true
	_, o, err := p.Apply(context.Background(), c.id, c.seen, c.body)
	c.running = false
	if (o == config.Accepted) != (err == nil) {
		t.Fatalf("outcome %v with error %v", o, err)
	}
	c.outcome, c.tried = o, true
}

// check is P10 and the exactness of each reported outcome.
func (w *world) check(t *rapid.T) {
	count := map[ident.Change]int{}
	for i, h := range w.accepted {
		count[h.Change]++
		assert.Equal(t, h.Revision, ident.Revision(i+1), "revisions are consecutive")
	}
	for id, c := range w.changes {
		n := count[id]
		switch {
		case n > 1, c.outcome == config.Accepted && n != 1:
			t.Fatalf("change %s reported %v is in the row %d times", id, c.outcome, n)
		case (c.outcome == config.Conflict || c.outcome == config.Nothing) && n != 0:
			t.Fatalf("change %s reported %v was accepted", id, c.outcome)
		}
	}
	for _, n := range w.nodes {
		for i, h := range n.adopted {
			assert.Equal(t, h, w.accepted[h.Revision-1], "adopted a head that was never accepted")
			assert.Assert(t, i == 0 || n.adopted[i-1].Revision < h.Revision, "went to a lower revision")
		}
	}
}

// Guards against lost or doubled changes when operators race and answers are
// lost, against false reports of an outcome, and against nodes that go back
// or take a foreign body (P10).
func TestConfigStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		var ps []*config.Publisher
		for range 2 {
			ps = append(ps, config.NewPublisher(config.PublisherOptions{
				Table: w.table, Objects: w.fake.Objects(), Attempts: 2,
				Pause: func(context.Context) { w.fault = w.turn() },
			}))
		}
		t.Repeat(map[string]func(*rapid.T){
			// A retry may come from the other publisher, as from a new process.
			"apply": func(t *rapid.T) { w.apply(t, ps[w.rand.IntN(len(ps))]) },
			"race": func(t *rapid.T) {
				i := w.rand.IntN(len(ps))
				w.rival = func() { w.apply(t, ps[1-i]) }
				w.apply(t, ps[i])
				w.rival = nil
			},
			"fault": func(t *rapid.T) { w.fault = w.turn(); w.slow = w.rand.IntN(3) == 0 },
			"heal":  func(t *rapid.T) { w.fault = fakes.None; w.slow = false },
			"land":  func(t *rapid.T) { w.land() },
			"deliver": func(t *rapid.T) {
				if len(w.inbox) == 0 {
					t.Skip("no message")
				}
				w.deliver(rapid.IntRange(0, len(w.inbox)-1).Draw(t, "message"))
			},
			"gossip": func(t *rapid.T) {
				if len(w.accepted) == 0 {
					t.Skip("no head")
				}
				// Any head ever accepted may still be on its way.
				h := w.accepted[w.rand.IntN(len(w.accepted))]
				n := w.nodes[w.rand.IntN(3)]
				w.inbox = append(w.inbox, func() { n.f.Offer(h, w.now) })
			},
			"round": func(t *rapid.T) {
				w.tick(2 * time.Second)
				for range len(w.inbox) / 2 {
					w.deliver(w.rand.IntN(len(w.inbox)))
				}
			},
			"restart": func(t *rapid.T) { w.nodes[w.rand.IntN(3)] = w.newNode() },
			"tick":    func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond) },
			"":        w.check,
		})
		w.settle(t)
	})
}

func (w *world) turn() fakes.Fault {
	return fakes.Fault(w.rand.IntN(4))
}

// land applies the writes that a slow store still holds.
func (w *world) land() {
	late, slow, fault := w.late, w.slow, w.fault
	w.late, w.slow, w.fault = nil, false, fakes.None
	for _, ws := range late {
		w.commit(context.Background(), ws)
	}
	w.slow, w.fault = slow, fault
}

func (w *world) deliver(i int) {
	m := w.inbox[i]
	w.inbox = slices.Delete(w.inbox, i, i+1)
	m()
}

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		n.f.Tick(w.now)
	}
}

// settle heals the store and requires that every node follows within 40 s.
func (w *world) settle(t *rapid.T) {
	w.land()
	w.slow, w.fault = false, fakes.None
	for range 400 {
		w.tick(100 * time.Millisecond)
		for len(w.inbox) > 0 {
			w.deliver(0)
		}
	}
	w.check(t)
	for _, n := range w.nodes {
		assert.Equal(t, n.f.Head(), w.head(context.Background()))
	}
}

// Guards against a late retry that is told "conflict" or "nothing" although
// its first call was accepted and others followed.
func TestRetryAfterLostAnswer(t *testing.T) {
	s := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: s.Table(), Objects: s.Objects(), Pause: func(context.Context) {}})
	ctx := context.Background()
	calls := 0
	s.SetFault(func() fakes.Fault {
		if calls++; calls <= 2 {
			return fakes.None
		}
		return fakes.Lose
	})
	_, o, _ := p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, o, config.Unknown)
	s.SetFault(fakes.Always(fakes.Down))
	_, o, _ = p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, o, config.Unknown, "a store that is down resolves nothing")
	s.SetFault(fakes.Always(fakes.None))
	for i := range 40 {
		_, o, err := p.Apply(ctx, ident.Change(fmt.Sprint("b", i)), ident.Revision(i+1), []byte("b"))
		assert.Equal(t, o, config.Accepted, err)
		h, o, err := p.Apply(ctx, "a", 0, []byte("a"))
		if i < 32 {
			assert.Equal(t, o, config.Accepted)
			assert.Equal(t, h.Revision, ident.Revision(1))
			continue
		}
		assert.ErrorIs(t, err, config.ErrOld)
		assert.Equal(t, o, config.Unknown)
	}
	_, o, err := p.Apply(ctx, "b39", 40, []byte("other"))
	assert.ErrorIs(t, err, config.ErrReused)
	assert.Equal(t, o, config.Nothing)
}

// Guards against "nothing accepted" when the head was moved by a concurrent
// call with the same change id and can't be read afterwards.
func TestConflictThatCannotBeRead(t *testing.T) {
	s := fakes.NewStore()
	ctx := context.Background()
	var p *config.Publisher
	tab := s.Table()
	rival := config.NewPublisher(config.PublisherOptions{Table: tab, Objects: s.Objects()})
	racing := tab
	racing.Commit = func(ctx context.Context, ws []store.Write) store.Result {
		_, o, err := rival.Apply(ctx, "a", 0, []byte("a"))
		assert.Equal(t, o, config.Accepted, err)
		return tab.Commit(ctx, ws)
	}
	p = config.NewPublisher(config.PublisherOptions{
		Table: racing, Objects: s.Objects(),
		Pause: func(context.Context) { s.SetFault(fakes.Always(fakes.Down)) },
	})
	_, o, _ := p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, o, config.Unknown)
}

// Guards against a store that restores an old state, or a peer that invents
// one, changing what is in force.
func TestFollowerReportsBadHeads(t *testing.T) {
	var reports []error
	f := config.NewFollower(config.FollowerOptions{
		FetchStore: func(config.Fetch) {}, FetchPeer: func(config.Fetch) {},
		Adopt:  func(config.Head, []byte) {},
		Report: func(err error) { reports = append(reports, err) }, Rand: func() float64 { return 0 },
	})
	now := time.Unix(0, 0)
	f.Offer(config.Head{Revision: 2, Digest: config.Digest([]byte("a"))}, now)
	f.Body(config.Digest([]byte("a")), []byte("b"), now)
	f.Body(config.Digest([]byte("a")), []byte("a"), now)
	f.Offer(config.Head{Revision: 2, Digest: config.Digest([]byte("b"))}, now)
	f.Offer(config.Head{Revision: 3, Digest: "short"}, now)
	f.Offer(config.Head{Revision: 1, Digest: config.Digest([]byte("c"))}, now)
	assert.Equal(t, f.Known().Revision, ident.Revision(2))
	assert.Equal(t, f.Head().Digest, config.Digest([]byte("a")))
	assert.Equal(t, len(reports), 3)
	assert.ErrorIs(t, reports[0], config.ErrDigest)
	assert.ErrorIs(t, reports[1], config.ErrSplit)
	assert.ErrorIs(t, reports[2], config.ErrHead)
	_, err := config.ParseHead([]byte(`{"format": 2}`))
	assert.ErrorIs(t, err, config.ErrFormat)
}

func BenchmarkFollowerTick(b *testing.B) {
	body := []byte("one")
	head := config.Head{Revision: 1, Digest: config.Digest(body), Change: "a"}
	now := time.Unix(0, 0)
	f := config.NewFollower(config.FollowerOptions{
		FetchStore: func(config.Fetch) {}, FetchPeer: func(config.Fetch) {},
		Adopt: func(config.Head, []byte) {}, Rand: func() float64 { return 0.5 },
	})
	f.Offer(head, now)
	f.Body(head.Digest, body, now)
	b.ReportAllocs()
	for b.Loop() {
		f.Tick(now)
		f.Offer(head, now)
	}
}
