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

// publishInterval is the minimum time between two publications of the member
// list. The recovery of a region changes hundreds of records within a second.
const publishInterval = 20 * time.Millisecond

// roster maintains the list of members. It runs the membership protocol with
// this node's record and publishes the members to entry and exit.
type roster struct {
	n         *Node
	transport atomic.Pointer[gossip.Transport]
	// updates requests that the loop brings machine, entry and exit up to date.
	updates chan struct{}

	records *gossip.MemberTable

	mu sync.Mutex
	// coldSince is when the current start of a member was first seen or last
	// became ready.
	coldSince map[ident.Node]time.Time
}

func newRoster(n *Node) *roster {
	return &roster{n: n, updates: make(chan struct{}, 1), records: gossip.NewMemberTable(n.settings.Node), coldSince: map[ident.Node]time.Time{}}
}

// Run runs the membership protocol until ctx ends.
func (r *roster) Run(ctx context.Context, ready func()) error {
	shell, err := gossip.New(gossip.Options{
		Listen:  r.n.settings.Listen.Gossip,
		Metrics: r.n.metrics,
		Call:    r.callSync,
		Member: member.Options{
			Self:      r.selfRecord(),
			StartTime: time.Now(),
			Rand:      rand.IntN,
			OnChange:  r.handleChange,
			OnHead:    func(h member.Head, _ ident.Node) { r.n.configuration.handleHead(config.Head(h)) },
			OnFault:   r.n.moves.handleFault,
		},
	})
	if err != nil {
		return err
	}
	r.transport.Store(shell)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		r.join(ctx, shell)
	}()
	r.requestUpdate()
	ready()
	r.runUpdates(ctx)
	<-joined
	return errors.Join(ctx.Err(), shell.Close())
}

// withMachine calls f with the machine, if the protocol is running.
func (r *roster) withMachine(f func(m *member.Machine, now time.Time)) {
	if s := r.transport.Load(); s != nil {
		s.WithMachine(f)
	}
}

// selfRecord returns the record of this node and its upstream. After the first
// call, the machine sets node, start and state itself.
func (r *roster) selfRecord() member.Record {
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
		Revision: r.n.configuration.activeHead().Revision,
		Ready:    u.Ready && !u.Draining && !r.n.probes.upstreamFailing(),
	}
}

// requestUpdate schedules an update. It never blocks, so that it can be called
// with any lock held.
func (r *roster) requestUpdate() {
	select {
	case r.updates <- struct{}{}:
	default:
	}
}

func (r *roster) runUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.updates:
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

// update passes the current record, configuration head and faults of this node
// to the machine.
func (r *roster) update() {
	own := r.selfRecord()
	newest := r.n.configuration.newestHead()
	faults := r.n.moves.openFaults()
	r.withMachine(func(m *member.Machine, now time.Time) {
		own.UDP = m.Self().UDP
		m.Update(own, now)
		m.SetHead(member.Head(newest))
		for _, f := range faults {
			m.SetFault(f)
		}
		m.ClearFaults(r.n.moves.faultObsolete)
		r.handleChange(m.Self())
	})
}

// handleChange stores a new or changed record. The machine calls it under the
// transport's lock.
func (r *roster) handleChange(c member.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, found := r.records.Put(c)
	if !found || old.Start != c.Start || (c.Ready && !old.Ready) {
		r.coldSince[c.Node] = time.Now()
	}
	if c.Node != r.n.settings.Node {
		r.emitChange(old, c, found)
	}
	if found && (c.State.Lost() || old.Start != c.Start) {
		r.n.workReporter.markEnded(old)
	}
	// The revision of a member changes with every manifest and doesn't affect
	// routing. Rebuilding the member list for it used 28 ms of CPU time per
	// second at 1,100 members.
	old.Revision = c.Revision
	if old != c {
		r.requestUpdate()
	}
}

func (r *roster) emitChange(old, c member.Record, found bool) {
	peer := event.NewField(event.Peer, c.Node)
	switch {
	case !found || old.Start != c.Start:
		r.n.log.Emit(event.MemberJoined, peer,
			event.NewField(event.Domain, c.Domain),
			event.NewField(event.Service, c.Service),
			event.NewField(event.Version, c.Version),
			event.NewField(event.Address, c.RPC))
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

// publish passes the members to the entry and to the exit's key fences.
func (r *roster) publish() {
	targets := r.targets()
	homes := r.n.entry.SetMembers(targets)
	r.n.pool.Retain(r.records.Addresses())
	r.n.exit.SetMembers(homes[r.n.exit.Upstream().Service])
}

// targets returns the members that have an upstream and aren't considered lost.
func (r *roster) targets() []entry.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var out []entry.Target
	for _, c := range r.records.Reachable() {
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
				State:   choiceState(c, now.Sub(r.coldSince[c.Node])),
			},
			Address: c.RPC,
			Start:   c.Start,
		})
	}
	return out
}

// coldPeriod is how long a new member counts as cold. Its responses show its
// load long before the period ends, but a member without any response must not
// be considered idle.
const coldPeriod = 30 * time.Second

func choiceState(c member.Record, age time.Duration) choose.State {
	switch {
	case c.State == member.Leaving || !c.Ready:
		return choose.Leaving
	case c.State == member.Suspect:
		return choose.Suspect
	case age < coldPeriod:
		return choose.Cold
	default:
		return choose.Alive
	}
}

// leave announces that this node accepts no new requests.
func (r *roster) leave() {
	r.withMachine(func(m *member.Machine, now time.Time) {
		m.Leave(now)
		r.handleChange(m.Self())
	})
}

// countExpected returns the number of members that are expected to respond,
// this node included.
func (r *roster) countExpected() int {
	return len(r.records.Reachable())
}

// randomPeer returns the RPC address of another member that is expected to
// respond. If s isn't empty, the member is one of service s. The result is false
// if there is no such member.
func (r *roster) randomPeer(s ident.Service) (string, bool) {
	c, ok := r.records.RandomPeer(s, rand.IntN)
	return c.RPC, ok
}

// callSync sends one anti-entropy request.
func (r *roster) callSync(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	return r.n.pool.ControlClient(to.RPC).Sync(ctx, q)
}

// wireRecords returns all records in their wire form, this node's included.
func (r *roster) wireRecords() []*wirepb.Record {
	var members []member.Record
	r.withMachine(func(m *member.Machine, _ time.Time) { members = m.Members() })
	return gossip.RecordsToWire(members)
}
