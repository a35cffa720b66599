package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/control/duty"
	"github.com/cicadahall/cicadahall/internal/control/usage"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// usageInterval is the mean time between two messages with counts. A node
	// that fails loses the counts since its last one: about 1 s of a window of
	// 5 s, of one node of many.
	usageInterval = time.Second
	// usageRetryInterval is the mean pause after a failed message, which goes to
	// another candidate.
	usageRetryInterval = 300 * time.Millisecond
	// usageTimeout bounds one message.
	usageTimeout = 500 * time.Millisecond
	// usageFlushTimeout bounds the last messages of a node that stops. It is a
	// part of killMargin.
	usageFlushTimeout = 150 * time.Millisecond
	// handOverTimeout bounds the hand-over to the next holder. The node serves
	// longer than that before it stops.
	handOverTimeout = drainDelay / 2
	// orphanedLeases is the number of lease lengths without an answer of a holder
	// after which a node with counts contends for the duty, whatever its rank.
	orphanedLeases = 3
)

// usageReport counts the requests that this node's upstream starts, by workspace,
// sends the counts to the holder of the usage report, and reports those of all
// nodes while this node is the holder. A nil usageReport does nothing.
type usageReport struct {
	node       *Node
	cloud      *platform.Cloud
	table      store.Table
	runner     *duty.Runner
	background sync.WaitGroup

	mu     sync.Mutex
	clock  usage.Clock
	ledger *usage.Ledger
	merged *usage.Table
	// decided is the last window whose report is known to be decided.
	decided usage.Window
	// receiver is the holder that has answered at heardAt; its Node is empty if
	// none is known. failed counts the messages without an accepting answer since
	// then.
	receiver usage.Receiver
	heardAt  time.Time
	failed   int
	// wallOffsets has the differences of the nodes' wall clocks to the store's.
	wallOffsets map[ident.Node]time.Duration
}

// newUsageReport returns nil if the settings leave the usage report off.
func newUsageReport(n *Node) *usageReport {
	c := n.settings.Cloud
	if !c.Has(spec.UsageReportDuty) {
		return nil
	}
	now := mono.Now()
	u := &usageReport{
		node:        n,
		cloud:       platform.NewCloud(c.Address),
		table:       n.store.Table(platform.SystemTable),
		ledger:      usage.NewLedger(n.settings.Node, n.start, c.Window, now),
		merged:      usage.NewTable(),
		heardAt:     now,
		wallOffsets: map[ident.Node]time.Duration{},
	}
	u.runner = duty.NewRunner(duty.Duty{Name: spec.UsageReportDuty, Run: u.report}, duty.RunnerOptions{
		Node: n.settings.Node, Start: n.start, Length: c.Lease, Table: u.table,
		Now: mono.Now, Rand: rand.Float64, Rank: u.rank,
		OnAcquired: func(t duty.Token) {
			n.log.Emit(event.DutyAcquired, event.NewField(event.Duty, spec.UsageReportDuty), event.NewField(event.Token, uint64(t)))
		},
		OnLost: func(t duty.Token) {
			n.log.Emit(event.DutyLost, event.NewField(event.Duty, spec.UsageReportDuty), event.NewField(event.Token, uint64(t)))
		},
		OnError: func(err error) {
			n.counter("duty.store.failed").Inc(1)
			n.log.Emit(event.DutyStoreFailed, event.NewField(event.Duty, spec.UsageReportDuty), event.NewField(event.Error, err))
		},
	})
	metrics.NewRegisteredFunctionalGauge("usage.uncounted", n.metrics, func() int64 {
		u.mu.Lock()
		defer u.mu.Unlock()
		return int64(u.ledger.Dropped())
	})
	return u
}

// observeStoreClock records the store's clock in an answer.
func (n *Node) observeStoreClock(nowMillis int64, sentAt time.Time) {
	if u := n.usage; u != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.clock.Observe(nowMillis, sentAt, mono.Now())
	}
}

// count counts a request that is sent to the upstream.
func (u *usageReport) count(r exit.RequestStart) {
	if u == nil || r.Workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Count(r.Workspace, &u.clock, mono.Now())
}

// rank returns the number of candidates ranked before this node. A node whose
// counts no holder has taken for a while contends in any case: the candidates may
// all be cut off from the store.
func (u *usageReport) rank() int {
	rank := slices.Index(u.candidates(), u.node.settings.Node)
	u.mu.Lock()
	defer u.mu.Unlock()
	orphaned := u.failed > 0 && mono.Now().Sub(u.heardAt) > orphanedLeases*u.node.settings.Cloud.Lease
	if rank < 0 || rank >= duty.Candidates && !orphaned {
		return duty.NoCandidate
	}
	return rank
}

// candidates lists the members in the order in which they take the duty.
func (u *usageReport) candidates() []ident.Node {
	return duty.Rank(spec.UsageReportDuty, u.node.membership.expectedNodes())
}

// Run contends for the duty and sends this node's counts until ctx ends.
func (u *usageReport) Run(ctx context.Context, ready func()) error {
	ready()
	u.background.Add(1)
	go func() {
		defer u.background.Done()
		u.runner.Run(ctx)
	}()
	for ctx.Err() == nil {
		pause := usageInterval
		if !u.exchange(ctx) {
			pause = usageRetryInterval
		}
		mono.Sleep(ctx, jitter(pause))
	}
	u.background.Wait()
	return ctx.Err()
}

// exchange sends this node's counts, if there are new ones, and reports whether
// nothing is left to send now.
func (u *usageReport) exchange(ctx context.Context) bool {
	target, ok := u.target()
	if !ok {
		return false
	}
	u.mu.Lock()
	to := usage.Receiver{Node: target}
	if u.receiver.Node == target {
		to = u.receiver
	}
	update, due := u.ledger.Update(to, &u.clock, mono.Now())
	_, hasOffset := u.clock.Offset()
	u.mu.Unlock()
	if !due && hasOffset && u.rank() == duty.NoCandidate {
		return true
	}
	sentAt := mono.Now()
	resp, err := u.send(ctx, target, &wirepb.UsageRequest{Updates: []*wirepb.UsageUpdate{encodeUpdate(update)}})
	if err != nil {
		u.node.counter("usage.messages.failed").Inc(1)
	}
	return u.handleResponse(target, update, resp, sentAt)
}

// target returns the node to send counts to: the holder if it is known, else one
// candidate after the other.
func (u *usageReport) target() (ident.Node, bool) {
	self := u.node.settings.Node
	if _, _, ok := u.runner.Valid(); ok {
		return self, true
	}
	candidates := u.candidates()
	candidates = slices.DeleteFunc(candidates[:min(duty.Candidates, len(candidates))], func(n ident.Node) bool { return n == self })
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.receiver.Node != "" && u.receiver.Node != self {
		return u.receiver.Node, true
	}
	if len(candidates) == 0 {
		u.failed++
		return "", false
	}
	return candidates[u.failed%len(candidates)], true
}

var errNoAddress = errors.New("address of the node is not known")

// send completes a request and sends it to another node, or to this one.
func (u *usageReport) send(ctx context.Context, to ident.Node, req *wirepb.UsageRequest) (*wirepb.UsageResponse, error) {
	req.Node = string(u.node.settings.Node)
	u.mu.Lock()
	offset, ok := u.clock.WallOffset(time.Now(), mono.Now())
	u.mu.Unlock()
	req.WallOffsetMillis, req.HasWallOffset = offset.Milliseconds(), ok
	if to == u.node.settings.Node {
		return u.handle(req), nil
	}
	address, ok := u.node.membership.address(to)
	if !ok {
		return nil, errNoAddress
	}
	callCtx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	return u.node.pool.ControlClient(address).Usage(callCtx, req)
}

// handleResponse applies the answer to a message, nil if there was none, and
// reports whether the receiver has taken the counts.
func (u *usageReport) handleResponse(from ident.Node, update usage.Update, resp *wirepb.UsageResponse, sentAt time.Time) bool {
	now := mono.Now()
	if resp.GetAccepted() && from != u.node.settings.Node {
		u.runner.RecordHolder(time.Duration(resp.GetLeaseNanos()) - now.Sub(sentAt))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if resp.GetStoreMillis() > 0 {
		u.clock.Observe(resp.GetStoreMillis(), sentAt, now)
	}
	_, agreed := u.clock.Offset()
	if resp.GetHasOffset() {
		u.clock.SetOffset(time.Duration(resp.GetOffsetMillis()) * time.Millisecond)
	}
	u.recordDecided(usage.Window(resp.GetDecided()))
	if !resp.GetAccepted() {
		u.receiver = usage.Receiver{}
		if holder := ident.Node(resp.GetHolder()); holder != from {
			u.receiver.Node = holder
		}
		u.failed++
		return false
	}
	u.receiver = usage.Receiver{Node: from, Start: ident.Start(resp.GetStart())}
	u.ledger.Acknowledge(u.receiver, update)
	u.heardAt, u.failed = now, 0
	// The counts before true time was known are sent soon.
	return agreed || !resp.GetHasOffset()
}

// recordDecided removes the counts of windows whose reports are decided. The
// caller must hold mu.
func (u *usageReport) recordDecided(w usage.Window) {
	u.decided = max(u.decided, w)
	u.ledger.RecordDecided(u.decided)
	u.merged.RecordDecided(u.decided)
}

// handle merges the counts in a message. Those for a node that isn't the holder
// are kept, because it may be the next one, but not acknowledged.
func (u *usageReport) handle(req *wirepb.UsageRequest) *wirepb.UsageResponse {
	if req.GetReleased() {
		u.runner.RecordRelease()
	}
	_, until, valid := u.runner.Valid()
	now := mono.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	sender := ident.Node(req.GetNode())
	if req.GetReleased() && u.receiver.Node == sender {
		u.receiver = usage.Receiver{}
	}
	_, agreed := u.clock.Offset()
	if req.GetHasWallOffset() && !agreed {
		u.wallOffsets[sender] = time.Duration(req.GetWallOffsetMillis()) * time.Millisecond
	}
	_, dated := u.clock.True(now)
	complete := true
	for _, m := range req.GetUpdates() {
		u.merged.Merge(decodeUpdate(m, u.lastWindow(now)))
		// Without true time the counts have been omitted.
		complete = complete && (dated || len(m.GetWindows()) == 0)
	}
	resp := &wirepb.UsageResponse{Accepted: valid && complete, Start: uint64(u.node.start), Decided: int64(u.decided)}
	switch {
	case valid:
		resp.Holder = string(u.node.settings.Node)
		resp.LeaseNanos = int64(until.Sub(now))
	case now.Sub(u.heardAt) < u.node.settings.Cloud.Lease:
		resp.Holder = string(u.receiver.Node)
	}
	if millis, ok := u.clock.StoreMillis(now); ok {
		resp.StoreMillis = millis
	}
	if offset, ok := u.clock.Offset(); ok {
		resp.OffsetMillis, resp.HasOffset = offset.Milliseconds(), true
	}
	return resp
}

// lastWindow returns the last window that a message may contain. Later ones would
// displace the counts of the current one. The caller must hold mu.
func (u *usageReport) lastWindow(now time.Time) usage.Window {
	t, ok := u.clock.True(now)
	if !ok {
		return 0
	}
	return usage.WindowAt(t, u.node.settings.Cloud.Window) + 1
}

// handOver releases the duty for a planned stop and gives the counts of all nodes
// to the next candidate. It returns at once; flush waits for it.
func (u *usageReport) handOver() {
	if u == nil {
		return
	}
	u.background.Add(1)
	go func() {
		defer u.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		if !u.runner.Release(ctx) {
			return
		}
		req := &wirepb.UsageRequest{Released: true}
		u.mu.Lock()
		for _, update := range u.merged.Updates() {
			req.Updates = append(req.Updates, encodeUpdate(update))
		}
		u.mu.Unlock()
		for _, n := range u.candidates() {
			if n == u.node.settings.Node {
				continue
			}
			if _, err := u.send(ctx, n, req); err == nil || ctx.Err() != nil {
				return
			}
		}
	}()
}

// flush sends the last counts of a node that stops.
func (u *usageReport) flush() {
	if u == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageFlushTimeout)
	defer cancel()
	for ctx.Err() == nil && !u.exchange(ctx) {
		mono.Sleep(ctx, usageFlushTimeout/5)
	}
}

// close closes the connections to the platform.
func (u *usageReport) close() {
	if u != nil {
		u.background.Wait()
		u.cloud.Close()
	}
}

// encodeUpdate converts an update to a message.
func encodeUpdate(u usage.Update) *wirepb.UsageUpdate {
	m := &wirepb.UsageUpdate{Node: string(u.Node), Start: uint64(u.Start), Complete: int64(u.Complete)}
	for _, w := range u.Windows {
		wm := &wirepb.UsageWindow{Window: int64(w.Window)}
		for _, c := range w.Counts {
			wm.Workspaces = append(wm.Workspaces, string(c.Workspace))
			wm.Counts = append(wm.Counts, c.Requests)
		}
		m.Windows = append(m.Windows, wm)
	}
	return m
}

// decodeUpdate converts a message. It omits windows after last and those whose
// names and counts don't match.
func decodeUpdate(m *wirepb.UsageUpdate, last usage.Window) usage.Update {
	u := usage.Update{Node: ident.Node(m.GetNode()), Start: ident.Start(m.GetStart()), Complete: min(usage.Window(m.GetComplete()), last)}
	for _, wm := range m.GetWindows() {
		if len(wm.GetWorkspaces()) != len(wm.GetCounts()) || usage.Window(wm.GetWindow()) > last {
			continue
		}
		w := usage.WindowCounts{Window: usage.Window(wm.GetWindow())}
		for i, name := range wm.GetWorkspaces() {
			w.Counts = append(w.Counts, usage.Count{Workspace: ident.Workspace(name), Requests: wm.GetCounts()[i]})
		}
		u.Windows = append(u.Windows, w)
	}
	return u
}

var errUsageOff = errors.New("the settings leave the usage report off")

// Usage merges counts of requests by workspace.
func (h *handler) Usage(_ context.Context, q *wirepb.UsageRequest) (*wirepb.UsageResponse, error) {
	if h.node.usage == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errUsageOff)
	}
	return h.node.usage.handle(q), nil
}
