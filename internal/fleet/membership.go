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
	"github.com/cicadahall/cicadahall/internal/control/seeds"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wire/bound"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
	"github.com/cicadahall/cicadahall/watch"
)

const (
	// probePeriod is the time between two probes. A stopped member is suspected
	// within about two periods.
	probePeriod = 500 * time.Millisecond
	// probeTimeout exceeds the round trip within a region, also while a node
	// with a third of a core is busy.
	probeTimeout = 200 * time.Millisecond
	// lostProbePeriod is the time between two probes of lost members. It finds
	// members that restart while the store is down within seconds.
	lostProbePeriod = 300 * time.Millisecond
	// syncPeriod is the mean time between two anti-entropy exchanges.
	syncPeriod = 3 * time.Second
	// updateBytesPerSecond bounds the membership updates that a node sends,
	// which it does only while something changes. At the default of 1,200, some
	// nodes learned of others only 3 s after all nodes restarted.
	updateBytesPerSecond = 10_000
	// publishInterval is the shortest time between two publications of a
	// changed member list.
	publishInterval = 20 * time.Millisecond
	// joinCheckInterval is how often a node checks whether a call to the store
	// is due for finding others.
	joinCheckInterval = 50 * time.Millisecond
	// memberKeyPrefix precedes the node's name in the key of its row.
	memberKeyPrefix = "member/"
)

// membership joins the gossip protocol and publishes its view of the members to
// the rest of the node.
type membership struct {
	node      *Node
	table     store.Table
	transport atomic.Pointer[gossip.Transport]
	refreshes chan struct{}

	records *gossip.MemberTable

	mu sync.Mutex
	// versionCounts caches the ready members by service and version; it is nil
	// after a change.
	versionCounts map[ident.Service]map[ident.Version]int
}

func newMembership(node *Node) *membership {
	return &membership{
		node:      node,
		table:     node.store.Table(platform.SystemTable),
		refreshes: make(chan struct{}, 1),
		records:   gossip.NewMemberTable(node.settings.Node),
	}
}

// Run takes part in the membership protocol until ctx ends.
func (ms *membership) Run(ctx context.Context, ready func()) error {
	agent, err := gossip.New(gossip.Options{
		Listen:  ms.node.settings.Listen.Peers,
		Metrics: ms.node.metrics,
		Call: func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
			return ms.node.pool.ControlClient(to.RPC).Sync(ctx, q)
		},
		Member: member.Options{
			Self:            ms.localRecord(),
			StartTime:       time.Now(),
			ProbePeriod:     probePeriod,
			ProbeTimeout:    probeTimeout,
			LostProbePeriod: lostProbePeriod,
			SyncPeriod:      syncPeriod,
			UpdateRate:      updateBytesPerSecond,
			Rand:            rand.IntN,
			OnChange:        ms.handleRecord,
			OnHead:          ms.node.operator.observeHead,
			OnBeat:          func(ident.Node) { ms.node.watcher.recordBeat() },
		},
	})
	if err != nil {
		return err
	}
	ms.transport.Store(agent)
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		ms.join(ctx)
	}()
	ms.requestRefresh()
	ready()
	ms.publishLoop(ctx)
	<-joined
	return errors.Join(ctx.Err(), agent.Close())
}

func (ms *membership) withMachine(f func(m *member.Machine, now time.Time)) {
	if s := ms.transport.Load(); s != nil {
		s.WithMachine(f)
	}
}

// localRecord returns the record of this node and its upstream.
func (ms *membership) localRecord() member.Record {
	u := ms.node.exit.Upstream()
	s := ms.node.settings
	return member.Record{
		Node:    s.Node,
		Start:   ms.node.start,
		Domain:  s.Domain,
		Region:  s.Region,
		Service: u.Service,
		Version: u.Version,
		Slots:   u.Slots,
		RPC:     s.Listen.AdvertisedAddress(),
		UDP:     s.Listen.AdvertisedAddress(),
		Ready:   u.Ready && !u.Draining,
	}
}

// requestRefresh schedules an update and publication. It never blocks.
func (ms *membership) requestRefresh() {
	select {
	case ms.refreshes <- struct{}{}:
	default:
	}
}

func (ms *membership) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ms.refreshes:
		}
		ms.updateLocalRecord()
		ms.node.watcher.update(ms.watchCandidates())
		ms.node.entry.SetMembers(ms.targets())
		addresses := ms.records.Addresses()
		ms.node.pool.Retain(addresses)
		ms.node.setRetryRate(len(addresses))
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval):
		}
	}
}

func (ms *membership) updateLocalRecord() {
	record := ms.localRecord()
	head := ms.node.operator.head()
	ms.withMachine(func(m *member.Machine, now time.Time) {
		m.Update(record, now)
		if head.Revision > m.Head().Revision {
			m.SetHead(head)
			m.SendBeat(ms.node.watcher.listeners())
		}
		ms.handleRecord(m.Self())
	})
}

// handleRecord stores a changed member record. The state machine calls it with
// the transport's lock held.
func (ms *membership) handleRecord(rec member.Record) {
	old, known := ms.records.Put(rec)
	ms.mu.Lock()
	ms.versionCounts = nil
	ms.mu.Unlock()
	if rec.Node != ms.node.settings.Node {
		ms.logChange(old, rec, known)
	}
	old.Revision = rec.Revision
	if old != rec {
		ms.requestRefresh()
	}
}

func (ms *membership) logChange(old, rec member.Record, known bool) {
	codes := map[member.State]event.Code{
		member.Alive:       event.MemberAlive,
		member.Suspect:     event.MemberSuspect,
		member.Leaving:     event.MemberLeaving,
		member.Unreachable: event.MemberUnreachable,
		member.Left:        event.MemberLeft,
	}
	code, logged := codes[rec.State]
	if !known || old.Start != rec.Start || old.Service != rec.Service || old.Ready != rec.Ready {
		code, logged = event.MemberJoined, true
	} else if old.State == rec.State {
		return
	}
	if logged {
		ms.node.log.Emit(code,
			event.NewField(event.Peer, rec.Node),
			event.NewField(event.Domain, rec.Domain),
			event.NewField(event.Service, rec.Service),
			event.NewField(event.Version, rec.Version),
			event.NewField(event.Ready, rec.Ready))
	}
}

func targetState(rec member.Record) choose.State {
	switch {
	case rec.State == member.Leaving || !rec.Ready:
		return choose.Leaving
	case rec.State == member.Suspect:
		return choose.Suspect
	default:
		return choose.Alive
	}
}

// targets lists the expected members that have an upstream.
func (ms *membership) targets() []entry.Target {
	var out []entry.Target
	for _, c := range ms.records.Reachable() {
		if c.Service == "" || !usable(c) {
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
				State:   targetState(c),
			},
			Address: c.RPC,
			Start:   c.Start,
		})
	}
	return out
}

// usable reports whether the figures of a record that another node has sent are
// in range.
func usable(rec member.Record) bool {
	_, slotsErr := bound.Slots(int64(rec.Slots))
	_, addressErr := bound.Address(rec.RPC)
	return slotsErr == nil && addressErr == nil
}

// watchCandidates lists the members that may poll the store for others.
func (ms *membership) watchCandidates() []watch.Member {
	var out []watch.Member
	for _, c := range ms.records.Reachable() {
		if c.State == member.Alive {
			out = append(out, watch.Member{Node: c.Node, Domain: c.Domain})
		}
	}
	return out
}

// versionsOf counts the ready members of a service by version. The caller must
// not modify the result. Requests of a service in a rollout need the counts
// each time, so they are cached until a member changes.
func (ms *membership) versionsOf(s ident.Service) map[ident.Version]int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.versionCounts == nil {
		ms.versionCounts = ms.countVersions()
	}
	return ms.versionCounts[s]
}

func (ms *membership) countVersions() map[ident.Service]map[ident.Version]int {
	out := map[ident.Service]map[ident.Version]int{}
	for _, c := range ms.records.Reachable() {
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

// address returns a member's RPC address.
func (ms *membership) address(n ident.Node) (string, bool) {
	c, ok := ms.records.Get(n)
	return c.RPC, ok
}

// exitAddresses lists the RPC addresses of the other members that run a version
// of a service.
func (ms *membership) exitAddresses(s ident.Service, v ident.Version) []string {
	var out []string
	for _, c := range ms.records.Reachable() {
		if c.Node != ms.node.settings.Node && c.Service == s && c.Version == v {
			out = append(out, c.RPC)
		}
	}
	return out
}

// expectedNodes lists the members that should respond, including this node. It is
// never empty: while all members are leaving, they still respond, so it lists
// those, and this node if it knows no member.
func (ms *membership) expectedNodes() []ident.Node {
	var staying, leaving []ident.Node
	for _, c := range ms.records.Reachable() {
		if c.State == member.Leaving {
			leaving = append(leaving, c.Node)
		} else {
			staying = append(staying, c.Node)
		}
	}
	switch {
	case len(staying) > 0:
		return staying
	case len(leaving) > 0:
		return leaving
	default:
		return []ident.Node{ms.node.settings.Node}
	}
}

// countPeers returns the number of other members that respond.
func (ms *membership) countPeers() int {
	n := 0
	for _, c := range ms.records.Reachable() {
		if c.Node != ms.node.settings.Node {
			n++
		}
	}
	return n
}

// randomAddress returns the RPC address of a random other member.
func (ms *membership) randomAddress() (string, bool) {
	c, ok := ms.records.RandomPeer("", rand.IntN)
	return c.RPC, ok
}

// sendBeats sends a watcher's beats to its listeners.
func (ms *membership) sendBeats(to []ident.Node) {
	ms.withMachine(func(m *member.Machine, _ time.Time) { m.SendBeat(to) })
}

// announceLeave announces that this node accepts no new requests.
func (ms *membership) announceLeave() {
	ms.withMachine(func(m *member.Machine, now time.Time) {
		m.Leave(now)
		ms.handleRecord(m.Self())
	})
}

// memberRow is the store row through which nodes discover each other.
type memberRow struct {
	UDP string `json:"udp"`
}

// join discovers members through rows of the store.
func (ms *membership) join(ctx context.Context) {
	state := seeds.New(rand.Float64, joinJitter, time.Now())
	for ctx.Err() == nil {
		view := seeds.View{Members: ms.countPeers(), Watcher: ms.node.watcher.watches()}
		succeeded := true
		switch state.Next(view, time.Now()) {
		case seeds.Read:
			var rows int
			var own bool
			rows, own, succeeded = ms.readSeeds(ctx)
			if succeeded {
				state.RecordRead(rows, own, time.Now())
			}
		case seeds.Write:
			succeeded = ms.writeOwnRow(ctx)
			if succeeded {
				state.RecordWrite()
			}
		case seeds.Wait:
			mono.Sleep(ctx, joinCheckInterval)
		}
		if !succeeded {
			state.RecordFailure(time.Now())
		}
	}
}

// joinJitter bounds the random delay of the first read, which spreads the load on
// the store when many nodes start together.
const joinJitter = 200 * time.Millisecond

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// readSeeds reads the rows of all nodes. It returns the number of usable rows of
// others, and whether this node has one.
func (ms *membership) readSeeds(ctx context.Context) (rows int, own, succeeded bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, res := ms.table.Scan(callCtx, memberKeyPrefix)
	if !res.OK() {
		return 0, false, false
	}
	var addresses []string
	for _, row := range found {
		var j memberRow
		err := json.Unmarshal(row.Value, &j)
		if err == nil {
			_, err = bound.Address(j.UDP)
		}
		if err != nil {
			ms.node.rejectRow(store.Unreadable{Table: platform.SystemTable, Key: row.Key, Version: row.Version, Err: err})
			continue
		}
		if j.UDP == ms.node.settings.Listen.AdvertisedAddress() {
			own = own || row.Key == ms.rowKey()
		} else {
			addresses = append(addresses, j.UDP)
		}
	}
	ms.withMachine(func(m *member.Machine, _ time.Time) { m.SetSeeds(addresses) })
	return len(addresses), own, true
}

func (ms *membership) rowKey() string { return memberKeyPrefix + string(ms.node.settings.Node) }

// writeOwnRow writes this node's row. After most starts the row exists with the
// same value; the conflict of the first, conditional write reveals that.
func (ms *membership) writeOwnRow(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := ms.rowKey()
	value, err := json.Marshal(memberRow{UDP: ms.node.settings.Listen.AdvertisedAddress()})
	if err != nil {
		return false
	}
	res := ms.table.Commit(callCtx, []store.Write{{Key: key, Value: value}})
	if !res.Conflict {
		return res.OK()
	}
	old, res := ms.table.Get(callCtx, key)
	if res.OK() && string(old.Value) == string(value) {
		return true
	}
	// An unreadable row has a version and is overwritten.
	if old.Version == 0 {
		return false
	}
	return ms.table.Commit(callCtx, []store.Write{{Key: key, Value: value, ExpectedVersion: old.Version}}).OK()
}
