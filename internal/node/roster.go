package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// publishInterval bounds how often a changed member list is handed on; a
// region that heals changes hundreds of records within a second.
const publishInterval = 20 * time.Millisecond

// roster knows the members of the system. It drives the membership shell with
// the own record and hands the members to entry and exit.
type roster struct {
	n     *Node
	shell atomic.Pointer[gossip.Shell]
	// stale asks the loop to bring machine, entry and exit up to date.
	stale chan struct{}

	book *gossip.Book

	mu sync.Mutex
	// born is when the present start of a member was first seen.
	born map[ident.Node]time.Time
}

func newRoster(n *Node) *roster {
	return &roster{n: n, stale: make(chan struct{}, 1), book: gossip.NewBook(n.settings.Node), born: map[ident.Node]time.Time{}}
}

// Run takes part in the membership protocol until ctx ends.
func (r *roster) Run(ctx context.Context, ready func()) error {
	shell, err := gossip.New(gossip.Options{
		Listen:  r.n.settings.Listen.Gossip,
		Metrics: r.n.metrics,
		Call:    r.call,
		Member: member.Options{
			Self:   r.own(),
			Began:  time.Now(),
			Rand:   rand.IntN,
			Notify: r.notify,
			Heard:  func(h member.Head, _ ident.Node) { r.n.conf.offer(config.Head(h)) },
			Fault:  r.n.moves.fault,
		},
	})
	if err != nil {
		return err
	}
	r.shell.Store(shell)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		r.join(ctx, shell)
	}()
	r.refresh()
	ready()
	r.run(ctx)
	<-joined
	return errors.Join(ctx.Err(), shell.Close())
}

// with runs a function on the machine, if the protocol runs.
func (r *roster) with(f func(m *member.Machine, now time.Time)) {
	if s := r.shell.Load(); s != nil {
		s.With(f)
	}
}

// own returns the record of this node and its upstream. Node, start and state
// are the machine's after the first call.
func (r *roster) own() member.Record {
	u := r.n.exit.Upstream()
	s := r.n.settings
	return member.Record{
		Node:     s.Node,
		Start:    r.n.start,
		Domain:   s.Domain,
		Region:   s.Region,
		Service:  u.Service,
		Version:  u.Version,
		Slots:    u.Slots,
		RPC:      s.Listen.Peers,
		Revision: r.n.conf.force().Revision,
		Ready:    u.Ready && !u.Draining && !r.n.probes.down(),
	}
}

// refresh asks for an update soon. It never blocks, so that it can be called
// with any lock held.
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
		r.publish()
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
}

// update tells the machine what this node and its configuration are now.
func (r *roster) update() {
	own := r.own()
	known := r.n.conf.known()
	faults := r.n.moves.faults()
	r.with(func(m *member.Machine, now time.Time) {
		own.UDP = m.Self().UDP
		m.Update(own, now)
		m.SetHead(member.Head(known))
		for _, f := range faults {
			m.SetFault(f)
		}
		m.ClearFaults(r.n.moves.over)
		r.notify(m.Self())
	})
}

// notify is called by the machine, under the shell's lock.
func (r *roster) notify(c member.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, seen := r.book.Put(c)
	if !seen || old.Start != c.Start || (c.Ready && !old.Ready) {
		r.born[c.Node] = time.Now()
	}
	if c.Node != r.n.settings.Node {
		r.report(old, c, seen)
	}
	if seen && (c.State.Lost() || old.Start != c.Start) {
		r.n.works.gone(old)
	}
	// The revision of a member changes with every manifest and doesn't concern
	// routing; rebuilding the member list for it took 28 ms/s at 1,100 members.
	old.Revision = c.Revision
	if old != c {
		r.refresh()
	}
}

func (r *roster) report(old, c member.Record, seen bool) {
	peer := event.F(event.Peer, c.Node)
	switch {
	case !seen || old.Start != c.Start:
		r.n.log.Emit(event.MemberJoined, peer,
			event.F(event.Domain, c.Domain),
			event.F(event.Service, c.Service),
			event.F(event.Version, c.Version),
			event.F(event.Address, c.RPC))
	case old.State == c.State:
	case c.State == member.Alive:
		r.n.log.Emit(event.MemberAlive, peer)
	case c.State == member.Suspect:
		r.n.log.Emit(event.MemberSuspect, peer)
	case c.State == member.Leaving:
		r.n.log.Emit(event.MemberLeaving, peer)
	case c.State == member.Unreachable:
		r.n.log.Emit(event.MemberUnreachable, peer)
	case c.State == member.Left:
		r.n.log.Emit(event.MemberLeft, peer)
	}
}

// publish hands the members to the entry and to the exit's key fences.
func (r *roster) publish() {
	targets := r.targets()
	homes := r.n.entry.Update(targets)
	r.n.pool.Forget(r.book.Addresses())
	r.n.exit.SetMembers(homes[r.n.exit.Upstream().Service])
}

// targets lists the members that have an upstream and may be reached.
func (r *roster) targets() []entry.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
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
				State:   stateOf(c, now.Sub(r.born[c.Node])),
			},
			Address: c.RPC,
			Start:   c.Start,
		})
	}
	return out
}

// coldTime is how long a new member counts as cold. Its answers tell more
// long before; without any it must not be taken for idle.
const coldTime = 30 * time.Second

func stateOf(c member.Record, age time.Duration) choose.State {
	switch {
	case c.State == member.Leaving || !c.Ready:
		return choose.Leaving
	case c.State == member.Suspect:
		return choose.Suspect
	case age < coldTime:
		return choose.Cold
	default:
		return choose.Alive
	}
}

// leave announces that this node takes no new work.
func (r *roster) leave() {
	r.with(func(m *member.Machine, now time.Time) {
		m.Leave(now)
		r.notify(m.Self())
	})
}

// size returns the number of members that are expected to answer.
func (r *roster) size() int {
	return len(r.book.Expected())
}

// random returns the address of another member that should answer, of a
// service or, if that is empty, of any.
func (r *roster) random(s ident.Service) (string, bool) {
	c, ok := r.book.Random(s, rand.IntN)
	return c.RPC, ok
}

// call carries one anti-entropy message.
func (r *roster) call(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return r.n.pool.Client(to.RPC).Sync(ctx, q)
}

// wire returns all records, the own one included.
func (r *roster) wire() []*wirepb.Record {
	var members []member.Record
	r.with(func(m *member.Machine, _ time.Time) { members = m.Members() })
	return gossip.ToWire(members)
}
