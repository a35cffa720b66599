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

// sim is the state of a state-machine test: a store whose commits may be
// delayed, concurrent operators, and followers with reordered messages.
type sim struct {
	fake  *fakes.Store
	table store.Table
	fault fakes.Fault
	slow  bool
	// concurrentCall is another operator's call that runs between a read and a
	// commit.
	concurrentCall func()
	delayedWrites  [][]store.Write
	accepted       []config.Head
	now            time.Time
	messages       []func()
	nodes          []*node
	rand           *rand.Rand
	changes        map[ident.Change]*change
}

type node struct {
	follower *config.Follower
	adopted  []config.Head
}

type change struct {
	id      ident.Change
	base    ident.Revision
	body    []byte
	outcome config.Outcome
	tried   bool
	// running excludes an id from a concurrent call, because only one process
	// uses a change id at a time.
	running bool
}

func newSim(t *rapid.T) *sim {
	s := &sim{fake: fakes.NewStore(), now: time.Unix(0, 0), changes: map[ident.Change]*change{}}
	s.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s.fake.SetFault(func() fakes.Fault { return s.fault })
	s.table = s.fake.Table()
	s.table.Commit = s.commit
	for range 3 {
		s.nodes = append(s.nodes, s.newNode())
	}
	return s
}

// commit delays the writes of a slow store and records each new head.
func (s *sim) commit(ctx context.Context, ws []store.Write) store.Result {
	if s.slow {
		s.delayedWrites = append(s.delayedWrites, ws)
		return store.Result{Outcome: store.Unknown, Err: context.DeadlineExceeded}
	}
	if concurrentCall := s.concurrentCall; concurrentCall != nil {
		s.concurrentCall = nil
		concurrentCall()
	}
	before := s.storedHead(ctx)
	r := s.fake.Table().Commit(ctx, ws)
	if after := s.storedHead(ctx); after != before {
		s.accepted = append(s.accepted, after)
	}
	return r
}

// storedHead reads the head row without faults of the store.
func (s *sim) storedHead(ctx context.Context) config.Head {
	f := s.fault
	s.fault = fakes.NoFault
	r, _ := s.fake.Table().Get(ctx, config.HeadKey)
	s.fault = f
	h, err := config.ParseHead(r.Value)
	if err != nil {
		panic(err)
	}
	return h
}

func (s *sim) newNode() *node {
	n := &node{}
	n.follower = config.NewFollower(config.FollowerOptions{
		FetchStore: func(x config.Fetch) { s.fetchFromStore(n, x) },
		FetchPeer:  func(x config.Fetch) { s.fetchFromPeer(n, x) },
		Adopt: func(h config.Head, b []byte) {
			if config.Digest(b) != h.Digest {
				panic("adopted a body of another digest")
			}
			n.adopted = append(n.adopted, h)
		},
		Rand: s.rand.Float64,
	})
	return n
}

func (s *sim) fetchFromStore(n *node, x config.Fetch) {
	if x.Digest != "" {
		if b, r := s.fake.Objects().Get(context.Background(), config.BodyKey(x.Digest)); r.OK() {
			s.messages = append(s.messages, func() { n.follower.HandleBody(x.Digest, b, s.now) })
		}
		return
	}
	if r, res := s.table.Get(context.Background(), config.HeadKey); res.OK() {
		h, _ := config.ParseHead(r.Value)
		s.messages = append(s.messages, func() { n.follower.HandleHead(h, s.now) })
	}
}

// fetchFromPeer answers from a random node, in one of four cases with a damaged
// body.
func (s *sim) fetchFromPeer(n *node, x config.Fetch) {
	b, ok := s.nodes[s.rand.IntN(len(s.nodes))].follower.BodyOf(x.Digest)
	if !ok {
		return
	}
	if s.rand.IntN(4) == 0 {
		b = append(slices.Clone(b), 'x')
	}
	s.messages = append(s.messages, func() { n.follower.HandleBody(x.Digest, b, s.now) })
}

// apply runs one operator's call: a new change or a retry of an unresolved one.
func (s *sim) apply(t *rapid.T, publisher *config.Publisher) {
	ids := []ident.Change{ident.Change(fmt.Sprintf("c%d", len(s.changes)))}
	for id, c := range s.changes {
		if c.running {
			continue
		}
		if c.outcome == config.Unknown || c.outcome == config.NotAccepted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "change")
	c := s.changes[id]
	if c == nil {
		behind := ident.Revision(rapid.IntRange(0, 1).Draw(t, "stale"))
		base := s.storedHead(context.Background()).Revision
		c = &change{id: id, base: base - min(base, behind), body: []byte("body of " + id)}
		s.changes[id] = c
	}
	if c.tried && c.outcome == config.Unknown {
		publisher.MarkUnresolved(c.id)
	}
	c.running = true
	_, outcome, err := publisher.Apply(context.Background(), c.id, c.base, c.body)
	c.running = false
	if (outcome == config.Accepted) != (err == nil) {
		t.Fatalf("outcome %v with error %v", outcome, err)
	}
	c.outcome, c.tried = outcome, true
}

// check requires that every change is accepted at most once, that revisions are
// consecutive, that each reported outcome is true, and that nodes only adopt
// accepted heads in rising order.
func (s *sim) check(t *rapid.T) {
	count := map[ident.Change]int{}
	for i, h := range s.accepted {
		count[h.Change]++
		assert.Equal(t, h.Revision, ident.Revision(i+1), "revisions are consecutive")
	}
	for id, c := range s.changes {
		n := count[id]
		switch {
		case n > 1, c.outcome == config.Accepted && n != 1:
			t.Fatalf("change %s reported %v is in the row %d times", id, c.outcome, n)
		case (c.outcome == config.Conflict || c.outcome == config.NotAccepted) && n != 0:
			t.Fatalf("change %s reported %v was accepted", id, c.outcome)
		}
	}
	for _, n := range s.nodes {
		for i, h := range n.adopted {
			assert.Equal(t, h, s.accepted[h.Revision-1], "adopted a head that was never accepted")
			assert.Assert(t, i == 0 || n.adopted[i-1].Revision < h.Revision, "went to a lower revision")
		}
	}
}

// Guards against lost or repeated changes when operators run concurrently and
// answers are lost, against false outcomes, and against nodes that adopt a lower
// revision or another head's body.
func TestConfigStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		var publishers []*config.Publisher
		for range 2 {
			publishers = append(publishers, config.NewPublisher(config.PublisherOptions{
				Table: s.table, Objects: s.fake.Objects(), Attempts: 2,
				Pause: func(context.Context) { s.fault = s.randomFault() },
			}))
		}
		t.Repeat(map[string]func(*rapid.T){
			// A retry may come from the other publisher, as from a new process.
			"apply": func(t *rapid.T) { s.apply(t, publishers[s.rand.IntN(len(publishers))]) },
			"race": func(t *rapid.T) {
				i := s.rand.IntN(len(publishers))
				s.concurrentCall = func() { s.apply(t, publishers[1-i]) }
				s.apply(t, publishers[i])
				s.concurrentCall = nil
			},
			"fault": func(t *rapid.T) { s.fault = s.randomFault(); s.slow = s.rand.IntN(3) == 0 },
			"heal":  func(t *rapid.T) { s.fault = fakes.NoFault; s.slow = false },
			"land":  func(t *rapid.T) { s.applyDelayed() },
			"deliver": func(t *rapid.T) {
				if len(s.messages) == 0 {
					t.Skip("no message")
				}
				s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(t, "message"))
			},
			"gossip": func(t *rapid.T) {
				if len(s.accepted) == 0 {
					t.Skip("no head")
				}
				// Any head ever accepted may still be in flight.
				h := s.accepted[s.rand.IntN(len(s.accepted))]
				n := s.nodes[s.rand.IntN(3)]
				s.messages = append(s.messages, func() { n.follower.HandleHead(h, s.now) })
			},
			"round": func(t *rapid.T) {
				s.tick(2 * time.Second)
				for range len(s.messages) / 2 {
					s.deliver(s.rand.IntN(len(s.messages)))
				}
			},
			"restart": func(t *rapid.T) { s.nodes[s.rand.IntN(3)] = s.newNode() },
			"tick":    func(t *rapid.T) { s.tick(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond) },
			"":        s.check,
		})
		s.settle(t)
	})
}

func (s *sim) randomFault() fakes.Fault {
	return fakes.Fault(s.rand.IntN(4))
}

// applyDelayed applies the writes that a slow store has delayed.
func (s *sim) applyDelayed() {
	delayed, slow, fault := s.delayedWrites, s.slow, s.fault
	s.delayedWrites, s.slow, s.fault = nil, false, fakes.NoFault
	for _, ws := range delayed {
		s.commit(context.Background(), ws)
	}
	s.slow, s.fault = slow, fault
}

func (s *sim) deliver(i int) {
	m := s.messages[i]
	s.messages = slices.Delete(s.messages, i, i+1)
	m()
}

func (s *sim) tick(d time.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		n.follower.Tick(s.now)
	}
}

// settle removes all faults and requires that every node follows within 40 s.
func (s *sim) settle(t *rapid.T) {
	s.applyDelayed()
	s.slow, s.fault = false, fakes.NoFault
	for range 400 {
		s.tick(100 * time.Millisecond)
		for len(s.messages) > 0 {
			s.deliver(0)
		}
	}
	s.check(t)
	for _, n := range s.nodes {
		assert.Equal(t, n.follower.Head(), s.storedHead(context.Background()))
	}
}

// Guards against a late retry that returns Conflict or NotAccepted although its
// first call was accepted and other changes followed.
func TestRetryAfterLostAnswer(t *testing.T) {
	s := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: s.Table(), Objects: s.Objects(), Pause: func(context.Context) {}})
	ctx := context.Background()
	calls := 0
	s.SetFault(func() fakes.Fault {
		if calls++; calls <= 2 {
			return fakes.NoFault
		}
		return fakes.ResponseLost
	})
	_, outcome, _ := p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, outcome, config.Unknown)
	s.SetFault(fakes.AlwaysFault(fakes.Unavailable))
	_, outcome, _ = p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, outcome, config.Unknown, "a call to an unreachable store resolved the outcome")
	s.SetFault(fakes.AlwaysFault(fakes.NoFault))
	for i := range 40 {
		_, outcome, err := p.Apply(ctx, ident.Change(fmt.Sprint("b", i)), ident.Revision(i+1), []byte("b"))
		assert.Equal(t, outcome, config.Accepted, err)
		h, outcome, err := p.Apply(ctx, "a", 0, []byte("a"))
		if i < 32 {
			assert.Equal(t, outcome, config.Accepted)
			assert.Equal(t, h.Revision, ident.Revision(1))
			continue
		}
		assert.ErrorIs(t, err, config.ErrRevisionUnlisted)
		assert.Equal(t, outcome, config.Unknown)
	}
	_, outcome, err := p.Apply(ctx, "b39", 40, []byte("other"))
	assert.ErrorIs(t, err, config.ErrChangeReused)
	assert.Equal(t, outcome, config.NotAccepted)
}

// Guards against NotAccepted when a concurrent call with the same change id has
// advanced the head and the head can't be read afterwards.
func TestConflictThatCannotBeRead(t *testing.T) {
	s := fakes.NewStore()
	ctx := context.Background()
	var p *config.Publisher
	table := s.Table()
	concurrent := config.NewPublisher(config.PublisherOptions{Table: table, Objects: s.Objects()})
	racing := table
	racing.Commit = func(ctx context.Context, ws []store.Write) store.Result {
		_, outcome, err := concurrent.Apply(ctx, "a", 0, []byte("a"))
		assert.Equal(t, outcome, config.Accepted, err)
		return table.Commit(ctx, ws)
	}
	p = config.NewPublisher(config.PublisherOptions{
		Table: racing, Objects: s.Objects(),
		Pause: func(context.Context) { s.SetFault(fakes.AlwaysFault(fakes.Unavailable)) },
	})
	_, outcome, _ := p.Apply(ctx, "a", 0, []byte("a"))
	assert.Equal(t, outcome, config.Unknown)
}

// Guards against a restored store or a faulty peer that changes the manifest in
// effect.
func TestFollowerReportsBadHeads(t *testing.T) {
	var reports []error
	f := config.NewFollower(config.FollowerOptions{
		FetchStore: func(config.Fetch) {}, FetchPeer: func(config.Fetch) {},
		Adopt:  func(config.Head, []byte) {},
		Report: func(err error) { reports = append(reports, err) }, Rand: func() float64 { return 0 },
	})
	now := time.Unix(0, 0)
	f.HandleHead(config.Head{Revision: 2, Digest: config.Digest([]byte("a"))}, now)
	f.HandleBody(config.Digest([]byte("a")), []byte("b"), now)
	f.HandleBody(config.Digest([]byte("a")), []byte("a"), now)
	f.HandleHead(config.Head{Revision: 2, Digest: config.Digest([]byte("b"))}, now)
	f.HandleHead(config.Head{Revision: 3, Digest: "short"}, now)
	f.HandleHead(config.Head{Revision: 1, Digest: config.Digest([]byte("c"))}, now)
	assert.Equal(t, f.Newest().Revision, ident.Revision(2))
	assert.Equal(t, f.Head().Digest, config.Digest([]byte("a")))
	assert.Equal(t, len(reports), 3)
	assert.ErrorIs(t, reports[0], config.ErrDigestMismatch)
	assert.ErrorIs(t, reports[1], config.ErrRevisionConflict)
	assert.ErrorIs(t, reports[2], config.ErrInvalidHead)
	_, err := config.ParseHead([]byte(`{"format": 2}`))
	assert.ErrorIs(t, err, config.ErrUnsupportedFormat)
}

func BenchmarkFollowerTick(b *testing.B) {
	body := []byte("one")
	head := config.Head{Revision: 1, Digest: config.Digest(body), Change: "a"}
	now := time.Unix(0, 0)
	f := config.NewFollower(config.FollowerOptions{
		FetchStore: func(config.Fetch) {}, FetchPeer: func(config.Fetch) {},
		Adopt: func(config.Head, []byte) {}, Rand: func() float64 { return 0.5 },
	})
	f.HandleHead(head, now)
	f.HandleBody(head.Digest, body, now)
	b.ReportAllocs()
	for b.Loop() {
		f.Tick(now)
		f.HandleHead(head, now)
	}
}
