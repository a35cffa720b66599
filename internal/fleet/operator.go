package fleet

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/route"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// storeTimeout bounds one store call. The store responds in 4 ms, and in
	// 100 times that while it is slow.
	storeTimeout = 1500 * time.Millisecond
	// pollCheckInterval is how often a node that relies on watchers checks
	// whether it has to poll the store itself.
	pollCheckInterval = 100 * time.Millisecond
	// peerTimeout bounds one request to another node for operator rows, and
	// peerRetryInterval is the pause after an unsuccessful one.
	peerTimeout       = 500 * time.Millisecond
	peerRetryInterval = 150 * time.Millisecond
	// headDigest is the constant digest in the gossiped head of the operator
	// rows, whose revision is their newest row version. Gossip omits heads
	// without a digest.
	headDigest = "orders"
)

// operatorState holds the rows that the operator has written to the store.
type operatorState struct {
	node       *Node
	feed       store.Feed
	background sync.WaitGroup

	mu      sync.Mutex
	ctx     context.Context
	replica *replica
	// evacuatedDomains are the failure domains that get no requests.
	evacuatedDomains map[ident.Domain]bool
	// wantedVersion is the newest version that another node has announced,
	// wantedFrom is that node, and fetching is set while a goroutine fetches it
	// from peers.
	wantedVersion uint64
	wantedFrom    ident.Node
	fetching      bool

	currentTable atomic.Pointer[route.Table]
}

func newOperatorState(node *Node) *operatorState {
	return &operatorState{
		node:             node,
		feed:             node.store.Feed(platform.OperatorTable),
		ctx:              context.Background(),
		replica:          newReplica(),
		evacuatedDomains: map[ident.Domain]bool{},
	}
}

// table returns the active configuration, or nil if there is none yet.
func (st *operatorState) table() *route.Table { return st.currentTable.Load() }

func (st *operatorState) isEvacuated(d ident.Domain) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.evacuatedDomains[d]
}

// Run follows the operator's rows until ctx ends.
func (st *operatorState) Run(ctx context.Context, ready func()) error {
	st.mu.Lock()
	st.ctx = ctx
	st.mu.Unlock()
	defer st.background.Wait()
	ready()
	f := &follower{operator: st}
	for ctx.Err() == nil {
		if st.node.watcher.shouldPoll() {
			f.poll(ctx)
		} else {
			mono.Sleep(ctx, pollCheckInterval)
		}
	}
	return ctx.Err()
}

// follower tracks the position in the store's feed of operator rows.
type follower struct {
	operator  *operatorState
	position  uint64
	synced    bool
	downSince time.Time
}

// poll reads the whole table, or waits for changes after the last position.
func (f *follower) poll(ctx context.Context) {
	var changes store.Changes
	var result store.Result
	if !f.synced {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		changes, result = f.operator.feed.All(callCtx)
		cancel()
	} else {
		changes, result = f.operator.feed.Next(ctx, f.position, f.operator.node.watcher.pollTimeout())
	}
	if ctx.Err() != nil {
		return
	}
	if result.OK() {
		f.handleChanges(changes)
		return
	}
	f.handleFailure(result)
}

func (f *follower) handleChanges(changes store.Changes) {
	if !f.downSince.IsZero() {
		f.operator.node.log.Emit(event.StoreUp, event.NewField(event.Store, platform.OperatorTable), event.NewField(event.Elapsed, time.Since(f.downSince)))
		f.downSince = time.Time{}
	}
	f.operator.node.watcher.recordAnswer()
	f.synced = true
	// The position follows the read, also backwards: after a stale read, later
	// changes are delivered again, which is harmless, while a position ahead of
	// the read would lose them.
	f.position = changes.Version
	f.operator.apply(changes)
}

func (f *follower) handleFailure(result store.Result) {
	f.synced = false
	if result.Compacted {
		return
	}
	if f.downSince.IsZero() {
		f.downSince = time.Now()
		f.operator.node.log.Emit(event.StoreDown, event.NewField(event.Store, platform.OperatorTable), event.NewField(event.Error, result.Err))
	}
	f.operator.node.watcher.recordFailure()
}

// apply merges changes into the replica and acts on the rows that are newer.
func (st *operatorState) apply(changes store.Changes) {
	st.redact(changes.Rows)
	st.mu.Lock()
	updated := st.replica.apply(changes)
	if len(updated) > 0 {
		evacuatedDomains := map[ident.Domain]bool{}
		for k, row := range st.replica.byKey {
			if kind, name := platform.ParseKey(k); kind == platform.EvacuationRow && !row.Deleted && st.node.settings.Evacuation != nil {
				evacuatedDomains[ident.Domain(name)] = true
			}
		}
		st.evacuatedDomains = evacuatedDomains
	}
	st.mu.Unlock()
	for _, change := range updated {
		st.applyRow(change)
	}
	if len(updated) > 0 {
		st.node.membership.requestRefresh()
	}
}

// applyRow acts on one changed row.
func (st *operatorState) applyRow(change store.Change) {
	kind, name := platform.ParseKey(change.Key)
	switch kind {
	case platform.ConfigRow:
		st.applyConfig(change)
	case platform.RolloutRow:
		st.node.rollouts.applyOrder(ident.Service(name), change)
	case platform.EvacuationRow:
		if st.node.settings.Evacuation == nil {
			st.node.rejectOrder(change, spec.Evacuation)
			return
		}
		code := event.DomainOut
		if change.Deleted {
			code = event.DomainIn
		}
		st.node.log.Emit(code, event.NewField(event.Domain, name), event.NewField(event.Revision, change.Version))
	case platform.UnknownRow:
	}
}

// applyConfig activates a configuration unless it is older than the active one.
func (st *operatorState) applyConfig(change store.Change) {
	if change.Deleted {
		return
	}
	t, err := platform.DecodeConfig(change.Value)
	if err != nil {
		st.node.log.Emit(event.ManifestRejected, event.NewField(event.Revision, change.Version), event.NewField(event.Error, err))
		return
	}
	for {
		old := st.currentTable.Load()
		if old != nil && t.Revision <= old.Revision {
			return
		}
		next := t
		if old != nil {
			next = t.WithAccess(t.Access.Succeed(old.Access))
		}
		if st.currentTable.CompareAndSwap(old, next) {
			break
		}
	}
	st.node.workspaces.update()
	st.updateColdLimit()
	st.node.log.Emit(event.ManifestAdopted, event.NewField(event.Revision, t.Revision), event.NewField(event.Count, t.Len()))
}

// updateColdLimit sets the exit's rate limit for the upstream while it is cold.
func (st *operatorState) updateColdLimit() {
	t := st.table()
	if t == nil {
		return
	}
	service, ok := t.Services[st.node.exit.Upstream().Service]
	if !ok {
		return
	}
	cold := st.node.settings.Cold
	if cold == nil {
		return
	}
	rate, burst := admit.ColdBound{Rate: service.ColdRequestsPerSecond, Overage: cold.Overage, Slack: cold.Slack}.Pace()
	st.node.exit.SetColdRate(exit.ColdRate{Rate: rate, Burst: burst})
}

// head returns the newest version in the replica.
func (st *operatorState) head() member.Head {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.replica.newestVersion == 0 {
		return member.Head{}
	}
	return member.Head{Revision: ident.Revision(st.replica.newestVersion), Digest: headDigest}
}

// observeHead records a head received by gossip. If it is newer than the
// replica, the rows are fetched from other nodes, which also works while this
// node can't reach the store.
func (st *operatorState) observeHead(h member.Head, from ident.Node) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if v := uint64(h.Revision); v > st.wantedVersion {
		st.wantedVersion, st.wantedFrom = v, from
	}
	if st.fetching || st.replica.newestVersion >= st.wantedVersion {
		return
	}
	st.fetching = true
	ctx := st.ctx
	st.background.Add(1)
	go func() {
		defer st.background.Done()
		for st.needsFetch(ctx) {
			st.fetchFromPeer(ctx)
		}
	}()
}

// needsFetch reports whether gossip has announced a newer version than this
// node has. When it returns false, the fetching goroutine ends.
func (st *operatorState) needsFetch(ctx context.Context) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fetching = ctx.Err() == nil && st.replica.newestVersion < st.wantedVersion
	return st.fetching
}

// fetchFromPeer fetches rows from the node that announced the newer version, or
// on later attempts from a random one. It pauses if no peer is known or the
// peer doesn't have them.
func (st *operatorState) fetchFromPeer(ctx context.Context) {
	st.mu.Lock()
	revision, wantedFrom, after := st.wantedVersion, st.wantedFrom, st.replica.newestVersion
	st.wantedFrom = ""
	st.mu.Unlock()
	address, ok := st.node.membership.address(wantedFrom)
	if !ok {
		address, ok = st.node.membership.randomAddress()
	}
	if !ok {
		mono.Sleep(ctx, peerRetryInterval)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := st.node.pool.ControlClient(address).Body(callCtx, &wirepb.BodyRequest{Digest: strconv.FormatUint(revision, 10), After: after})
	if err != nil {
		mono.Sleep(ctx, jitter(peerRetryInterval))
		return
	}
	changes, err := decodeReplica(resp.GetBody())
	if err != nil {
		st.node.log.Emit(event.ManifestRejected, event.NewField(event.Peer, address), event.NewField(event.Error, err))
		mono.Sleep(ctx, peerTimeout)
		return
	}
	st.apply(changes)
}

// encodedRows returns the rows that are newer than after, if they include the
// given version.
func (st *operatorState) encodedRows(atLeast string, after uint64) ([]byte, bool) {
	version, err := strconv.ParseUint(atLeast, 10, 64)
	if err != nil {
		return nil, false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.replica.newestVersion < version || st.replica.newestVersion == 0 {
		return nil, false
	}
	body, err := st.replica.encode(after)
	return body, err == nil
}
