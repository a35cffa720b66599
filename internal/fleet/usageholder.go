package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/control/duty"
	"github.com/cicadahall/cicadahall/internal/control/usage"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/platform"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// usageStateKey is the key of the row with what the holder has decided.
	usageStateKey = duty.RowPrefix + spec.UsageReportDuty + "/state"
	// holderInterval is the time between two steps of the holder.
	holderInterval = 50 * time.Millisecond
	// clockWait is how long a new holder waits for the clocks of more than half of
	// the nodes before it decides true time. Nodes send theirs once a second.
	clockWait = 2 * time.Second
	// postTimeout bounds one call of the platform, which is also bounded by the
	// lease, and minPostTime is the least time worth a call.
	postTimeout = time.Second
	minPostTime = 50 * time.Millisecond
)

// usageHolder is the work of the holder of the usage report.
type usageHolder struct {
	usage    *usageReport
	runner   *duty.Runner
	reporter *usage.Reporter
	// version is that of the state row. It is read again after a write with an
	// unknown version.
	version uint64
	// since is when the stored state was read or true time agreed, the latest of
	// both.
	since time.Time
}

// report performs the duty until ctx ends.
func (u *usageReport) report(ctx context.Context, r *duty.Runner) {
	h := &usageHolder{usage: u, runner: r}
	for ctx.Err() == nil {
		if !h.step(ctx) {
			mono.Sleep(ctx, jitter(usageRetryInterval))
		}
		mono.Sleep(ctx, holderInterval)
	}
}

// step does the next thing that is due and reports whether no call of the store
// has failed.
func (h *usageHolder) step(ctx context.Context) bool {
	if h.reporter == nil {
		return h.load(ctx)
	}
	state := h.reporter.State()
	if state.OffsetMillis == nil {
		return h.decideOffset(ctx, state)
	}
	now := mono.Now()
	responding := map[ident.Node]bool{}
	for _, n := range h.usage.node.membership.expectedNodes() {
		responding[n] = true
	}
	heldFor := min(h.runner.HeldFor(), now.Sub(h.since))
	h.usage.mu.Lock()
	trueTime, known := h.usage.clock.True(now)
	var action usage.ReporterAction
	if known {
		action = h.reporter.Next(usage.View{
			Now: now, True: trueTime, HeldFor: heldFor, Table: h.usage.merged,
			Responds: func(n ident.Node) bool { return responding[n] },
		})
	}
	h.usage.mu.Unlock()
	switch action.Kind {
	case usage.ReporterDecide:
		return h.decide(ctx, action)
	case usage.ReporterSend:
		h.send(ctx, action.Report)
	case usage.ReporterWait:
	}
	return true
}

// load reads what earlier holders have decided.
func (h *usageHolder) load(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, res := h.usage.table.Get(callCtx, usageStateKey)
	if !res.OK() {
		return false
	}
	state, err := usage.DecodeState(row.Value)
	if err != nil {
		// The decisions in it must not be made again.
		h.usage.node.rejectRow(store.Unreadable{Table: platform.SystemTable, Key: row.Key, Version: row.Version, Err: err})
		return false
	}
	c := h.usage.node.settings.Cloud
	h.version = row.Version
	h.reporter = usage.NewReporter(usage.ReporterOptions{Length: c.Window, Late: c.Late, Rate: c.Rate, Rand: rand.Float64}, state)
	h.adopt(state)
	return true
}

// adopt applies the stored state to this node.
func (h *usageHolder) adopt(s usage.State) {
	h.usage.mu.Lock()
	defer h.usage.mu.Unlock()
	if _, ok := h.usage.clock.Offset(); !ok || h.since.IsZero() {
		h.since = mono.Now()
	}
	if s.OffsetMillis != nil {
		h.usage.clock.SetOffset(time.Duration(*s.OffsetMillis) * time.Millisecond)
	}
	if s.Through != nil {
		h.usage.recordDecided(*s.Through)
	}
}

// store writes a new state under the lease. After a failure the row is read again,
// because the write may have taken effect.
func (h *usageHolder) store(ctx context.Context, s usage.State) bool {
	value, err := s.Encode()
	if err != nil {
		return false
	}
	version, err := h.runner.Commit(ctx, store.Write{Key: usageStateKey, Value: value, ExpectedVersion: h.version})
	if err != nil || version == 0 {
		h.reporter = nil
	}
	if err != nil {
		if !errors.Is(err, duty.ErrNotHeld) {
			h.usage.node.log.Emit(event.DutyStoreFailed, event.NewField(event.Duty, spec.UsageReportDuty), event.NewField(event.Error, err))
		}
		return false
	}
	h.version = version
	if h.reporter != nil {
		h.reporter.RecordState(s)
	}
	h.adopt(s)
	return true
}

// decideOffset stores the difference of true time to the store's clock, once the
// clocks of more than half of the nodes are known.
func (h *usageHolder) decideOffset(ctx context.Context, s usage.State) bool {
	nodes := h.usage.node.membership.expectedNodes()
	var samples []time.Duration
	h.usage.mu.Lock()
	self := h.usage.node.settings.Node
	if d, ok := h.usage.clock.WallOffset(time.Now(), mono.Now()); ok {
		h.usage.wallOffsets[self] = d
	}
	for _, n := range nodes {
		if d, ok := h.usage.wallOffsets[n]; ok {
			samples = append(samples, d)
		}
	}
	h.usage.mu.Unlock()
	if len(samples) == 0 || 2*len(samples) <= len(nodes) && h.runner.HeldFor() < clockWait {
		return true
	}
	offset := usage.MedianOffset(samples)
	s.OffsetMillis = new(offset.Milliseconds())
	if !h.store(ctx, s) {
		return false
	}
	h.usage.node.log.Emit(event.ClockAgreed, event.NewField(event.Offset, offset), event.NewField(event.Count, len(samples)))
	return true
}

// decide stores the counts of a window. They are final from then on.
func (h *usageHolder) decide(ctx context.Context, a usage.ReporterAction) bool {
	body, err := platform.EncodeUsage(int64(a.Window), a.Counts)
	if err != nil {
		return false
	}
	next, dropped := h.reporter.StateWith(usage.Report{Window: a.Window, Body: string(body)})
	if !h.store(ctx, next) {
		return false
	}
	total := uint64(0)
	for _, n := range a.Counts {
		total += n
	}
	h.usage.node.counter("usage.reports.decided").Inc(1)
	h.usage.node.log.Emit(event.UsageDecided, event.NewField(event.Window, int64(a.Window)), event.NewField(event.Count, len(a.Counts)), event.NewField(event.Total, total))
	if dropped > 0 {
		h.usage.node.counter("usage.reports.dropped").Inc(int64(dropped))
		h.usage.node.log.Emit(event.UsageDropped, event.NewField(event.Window, int64(a.Window)), event.NewField(event.Count, dropped))
	}
	return true
}

// send sends a stored report. The call ends before the lease does.
func (h *usageHolder) send(ctx context.Context, r usage.Report) {
	n := h.usage.node
	token, until, ok := h.runner.Valid()
	remaining := until.Sub(mono.Now())
	if !ok || remaining < minPostTime {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, min(postTimeout, remaining))
	defer cancel()
	resp := h.usage.cloud.PostUsage(callCtx, platform.UsageReport{Holder: n.settings.Node, Token: uint64(token), Body: []byte(r.Body)})
	now := mono.Now()
	fields := []event.Field{event.NewField(event.Window, int64(r.Window)), event.NewField(event.Token, uint64(token))}
	switch resp.Result {
	case platform.CloudAccepted:
		h.reporter.RecordSettled(r.Window, now)
		n.counter("usage.reports.accepted").Inc(1)
		h.usage.mu.Lock()
		trueTime, _ := h.usage.clock.True(now)
		h.usage.mu.Unlock()
		n.log.Emit(event.UsageAccepted, append(fields, event.NewField(event.Elapsed, trueTime.Sub(r.Window.End(n.settings.Cloud.Window))))...)
	case platform.CloudRefused:
		h.reporter.RecordSettled(r.Window, now)
		n.counter("usage.reports.refused").Inc(1)
		n.log.Emit(event.UsageRefused, append(fields, event.NewField(event.Status, resp.Status))...)
	case platform.CloudUnavailable:
		if ctx.Err() != nil {
			return
		}
		h.reporter.RecordFailure(resp.RetryAfter, now)
		n.counter("usage.reports.failed").Inc(1)
		n.log.Emit(event.UsageFailed, append(fields, event.NewField(event.Status, resp.Status), event.NewField(event.Error, resp.Err))...)
	}
}
