package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
	"github.com/cicadahall/cicadahall/watch"
)

const (
	// probePeriod is the time between two probes; a member that has died is
	// suspected within about two of them.
	probePeriod = 500 * time.Millisecond
	// probeTimeout is above the round trip within a region, also while a node
	// of a third of a core is busy.
	probeTimeout = 200 * time.Millisecond
	// slowPeriod is the time between two probes of lost members. Members that
	// restart while the store is down are found by it within seconds.
	slowPeriod = 300 * time.Millisecond
	// syncPeriod is the mean time between two anti-entropy exchanges.
	syncPeriod = 3 * time.Second
	// updateRate bounds the membership updates of a node in bytes a second. They
	// are sent only while something changes; at the default of 1,200 some nodes
	// learned of others 3 s after a restart of all.
	updateRate = 10_000
	// publishInterval bounds how often a changed member list is handed on.
	publishInterval = 20 * time.Millisecond
	// joinPause is the mean pause between two attempts to write the own row.
	joinPause = time.Second
	// joinAlone is the mean time after which the rows are read again if no other
	// member is known by then, joinRefresh that if there is one.
	joinAlone   = 2 * time.Second
	joinRefresh = 10 * time.Minute
	// joinPrefix precedes the node's name in the key of its row.
	joinPrefix = "member/"
)

// roster knows the members of the system.
type roster struct {
	n     *Node
	table store.Table
	shell atomic.Pointer[gossip.Shell]
	stale chan struct{}

	book *gossip.Book

	mu sync.Mutex
	// counts are the members by service and version; nil after a change.
	counts map[ident.Service]map[ident.Version]int
}

func newRoster(n *Node) *roster {
	return &roster{
		n:     n,
		table: n.store.Table(platform.OwnTable),
		stale: make(chan struct{}, 1),
		book:  gossip.NewBook(n.settings.Node),
	}
}

// Run takes part in the membership protocol until ctx ends.
func (r *roster) Run(ctx context.Context, ready func()) error {
	shell, err := gossip.New(gossip.Options{
		Listen:  r.n.settings.Listen.Peers,
		Metrics: r.n.metrics,
		Call: func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
			return r.n.pool.Client(to.RPC).Sync(ctx, q)
		},
		Member: member.Options{
			Self:    r.own(),
			Began:   time.Now(),
			Period:  probePeriod,
			Timeout: probeTimeout,
			Slow:    slowPeriod,
			Sync:    syncPeriod,
			Rate:    updateRate,
			Rand:    rand.IntN,
			Notify:  r.notify,
			Heard:   r.n.orders.heard,
			Beat:    func(ident.Node) { r.n.watch.heard() },
		},
	})
	if err != nil {
		return err
	}
	r.shell.Store(shell)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		r.join(ctx)
	}()
	r.refresh()
	ready()
	r.run(ctx)
	<-joined
	return errors.Join(ctx.Err(), shell.Close())
}

func (r *roster) with(f func(m *member.Machine, now time.Time)) {
	if s := r.shell.Load(); s != nil {
		s.With(f)
	}
}

// own returns the record of this node and its upstream.
func (r *roster) own() member.Record {
	u := r.n.exit.Upstream()
	s := r.n.settings
	return member.Record{
		Node:    s.Node,
		Start:   r.n.start,
		Domain:  s.Domain,
		Region:  s.Region,
		Service: u.Service,
		Version: u.Version,
		Slots:   u.Slots,
		RPC:     s.Listen.Reached(),
		UDP:     s.Listen.Reached(),
		Ready:   u.Ready && !u.Draining,
	}
}

// refresh asks for an update soon. It never blocks.
func (r *roster) refresh() {
	select {
	case r.stale <- struct{}{}:
	default:
	}
}

func (r *roster) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.stale:
		}
		r.update()
		r.n.watch.update(r.watchable())
		r.n.entry.Update(r.targets())
		addresses := r.book.Addresses()
		r.n.pool.Forget(addresses)
		r.n.share(len(addresses))
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
}

func (r *roster) update() {
	own := r.own()
	head := r.n.orders.head()
	r.with(func(m *member.Machine, now time.Time) {
		m.Update(own, now)
		if head.Revision > m.Head().Revision {
			m.SetHead(head)
			m.SendBeat(r.n.watch.listeners())
		}
		r.notify(m.Self())
	})
}

// notify is called by the machine, under the shell's lock.
func (r *roster) notify(c member.Record) {
	old, seen := r.book.Put(c)
	r.mu.Lock()
	r.counts = nil
	r.mu.Unlock()
	if c.Node != r.n.settings.Node {
		r.report(old, c, seen)
	}
	old.Revision = c.Revision
	if old != c {
		r.refresh()
	}
}

func (r *roster) report(old, c member.Record, seen bool) {
	codes := map[member.State]event.Code{
		member.Alive:       event.MemberAlive,
		member.Suspect:     event.MemberSuspect,
		member.Leaving:     event.MemberLeaving,
		member.Unreachable: event.MemberUnreachable,
		member.Left:        event.MemberLeft,
	}
	code, known := codes[c.State]
	if !seen || old.Start != c.Start || old.Service != c.Service || old.Ready != c.Ready {
		code, known = event.MemberJoined, true
	} else if old.State == c.State {
		return
	}
	if known {
		r.n.log.Emit(code,
			event.F(event.Peer, c.Node),
			event.F(event.Domain, c.Domain),
			event.F(event.Service, c.Service),
			event.F(event.Version, c.Version),
			event.F(event.Ready, c.Ready))
	}
}

func stateOf(c member.Record) choose.State {
	switch {
	case c.State == member.Leaving || !c.Ready:
		return choose.Leaving
	case c.State == member.Suspect:
		return choose.Suspect
	default:
		return choose.Alive
	}
}

// targets lists the members that have an upstream and may be reached.
func (r *roster) targets() []entry.Target {
	var out []entry.Target
	for _, c := range r.book.Expected() {
		if c.Service == "" {
			continue
		}
		out = append(out, entry.Target{
			Member: choose.Member{
				Node:    c.Node,
				Service: c.Service,
				Version: c.Version,
				Domain:  c.Domain,
				Region:  c.Region,
				Slots:   c.Slots,
				State:   stateOf(c),
			},
			Address: c.RPC,
			Start:   c.Start,
		})
	}
	return out
}

// watchable lists the members that may watch the store.
func (r *roster) watchable() []watch.Member {
	var out []watch.Member
	for _, c := range r.book.Expected() {
		if c.State == member.Alive {
			out = append(out, watch.Member{Node: c.Node, Domain: c.Domain})
		}
	}
	return out
}

// versions counts the members of a service by version, with an upstream that
// takes requests. The result must not be changed. It is asked for with each
// request of a service that has moved, so that it is counted once per change.
func (r *roster) versions(s ident.Service) map[ident.Version]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = r.count()
	}
	return r.counts[s]
}

func (r *roster) count() map[ident.Service]map[ident.Version]int {
	out := map[ident.Service]map[ident.Version]int{}
	for _, c := range r.book.Expected() {
		if !c.Ready || c.State == member.Leaving {
			continue
		}
		if out[c.Service] == nil {
			out[c.Service] = map[ident.Version]int{}
		}
		out[c.Service][c.Version]++
	}
	return out
}

// address returns where a member is reached.
func (r *roster) address(n ident.Node) (string, bool) {
	c, ok := r.book.Get(n)
	return c.RPC, ok
}

// exits lists the addresses of the other members with a version of a service.
func (r *roster) exits(s ident.Service, v ident.Version) []string {
	var out []string
	for _, c := range r.book.Expected() {
		if c.Node != r.n.settings.Node && c.Service == s && c.Version == v {
			out = append(out, c.RPC)
		}
	}
	return out
}

// alive lists the members that are expected to answer, this node included.
func (r *roster) alive() []ident.Node {
	var out []ident.Node
	for _, c := range r.book.Expected() {
		if c.State != member.Leaving {
			out = append(out, c.Node)
		}
	}
	return out
}

// random returns the address of another member.
func (r *roster) random() (string, bool) {
	c, ok := r.book.Random("", rand.IntN)
	return c.RPC, ok
}

// beat sends the beats of a watcher.
func (r *roster) beat(to []ident.Node) {
	r.with(func(m *member.Machine, _ time.Time) { m.SendBeat(to) })
}

// leave announces that this node takes no new work.
func (r *roster) leave() {
	r.with(func(m *member.Machine, now time.Time) {
		m.Leave(now)
		r.notify(m.Self())
	})
}

// joinRow is how nodes find each other through the store.
type joinRow struct {
	UDP string `json:"udp"`
}

// join finds members through the rows of the store. Writing comes first: of
// two nodes that join at the same time, the later reader finds the other one.
func (r *roster) join(ctx context.Context) {
	mono.Sleep(ctx, time.Duration(rand.Int64N(int64(joinSpread))))
	for ctx.Err() == nil && !r.writeRow(ctx) {
		r.scan(ctx)
		mono.Sleep(ctx, jitter(joinPause))
	}
	for ctx.Err() == nil {
		if !r.scan(ctx) {
			mono.Sleep(ctx, jitter(joinPause))
			continue
		}
		mono.Sleep(ctx, jitter(joinAlone))
		if len(r.alive()) > 1 {
			mono.Sleep(ctx, jitter(joinRefresh))
		}
	}
}

// joinSpread is the time over which nodes that start together spread their rows.
const joinSpread = 200 * time.Millisecond

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (r *roster) scan(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	found, res := r.table.Scan(limited, joinPrefix)
	if !res.OK() {
		return false
	}
	var seeds []string
	for _, row := range found {
		var j joinRow
		if err := json.Unmarshal(row.Value, &j); err != nil {
			r.n.log.Emit(event.RowRejected, event.F(event.Key, row.Key), event.F(event.Error, err))
			continue
		}
		if j.UDP != r.n.settings.Listen.Reached() {
			seeds = append(seeds, j.UDP)
		}
	}
	r.with(func(m *member.Machine, _ time.Time) { m.SetSeeds(seeds) })
	return true
}

// writeRow writes the own row. At most starts it exists already and tells the
// same, which the refused first write shows.
func (r *roster) writeRow(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	key := joinPrefix + string(r.n.settings.Node)
	value, err := json.Marshal(joinRow{UDP: r.n.settings.Listen.Reached()})
	if err != nil {
		return false
	}
	res := r.table.Commit(limited, []store.Write{{Key: key, Value: value}})
	if !res.Conflict {
		return res.OK()
	}
	old, res := r.table.Get(limited, key)
	if !res.OK() || string(old.Value) == string(value) {
		return res.OK()
	}
	return r.table.Commit(limited, []store.Write{{Key: key, Value: value, Expect: old.Version}}).OK()
}
