package fleet

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	// healthInterval is the time between two health checks. An instance stays
	// slow for about half a second, and a health check costs a fraction of a
	// request; with 30 ms and 100 ms the same number of requests was served.
	healthInterval = 75 * time.Millisecond
	// healthTimeout bounds one health check, which the upstream answers
	// immediately.
	healthTimeout = 300 * time.Millisecond
	// maxFailedProbes is the number of consecutive health checks without a
	// connection after which the upstream counts as down.
	maxFailedProbes = 2
	// maxDeparted bounds the remembered incarnations of upstreams that have
	// left.
	maxDeparted = 64
)

// incarnation identifies one start of an upstream.
type incarnation struct {
	instance   string
	bornMillis int64
}

// startID returns the incarnation as a start number for the exit.
func (i incarnation) startID() ident.Start {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.instance + "/" + strconv.FormatInt(i.bornMillis, 10))) // Write never fails
	return ident.Start(h.Sum64() | 1)
}

// upstream tracks the upstream beside the node through its heartbeats and
// health checks, and sends the exit's requests to it.
type upstream struct {
	node *Node
	pool *conns.Pool
	// probePool has separate connections, so that a late response to a request
	// isn't taken for a health check's.
	probePool *conns.Pool

	mu           sync.Mutex
	current      incarnation
	lastSequence int64
	lastBeatAt   time.Time
	// confirmed is the incarnation that a health check has confirmed.
	confirmed incarnation
	// unconfirmed is the latest heartbeat that wasn't trusted.
	unconfirmed  *platform.Heartbeat
	departed     []incarnation
	failedProbes int
}

func newUpstream(node *Node) *upstream {
	dialed := func() { node.counter("upstream.connections").Inc(1) }
	return &upstream{
		node:      node,
		pool:      conns.New(conns.Options{MaxBodyBytes: maxBodyBytes, OnDial: dialed}),
		probePool: conns.New(conns.Options{MaxBodyBytes: maxProbeBytes, OnDial: dialed}),
	}
}

// maxProbeBytes bounds the body of a health check's response.
const maxProbeBytes = 64 << 10

var (
	errOtherAddress = errors.New("heartbeat of an upstream at another address than the one beside this node")
	errDeparted     = errors.New("heartbeat of an upstream that has left")
	errUnconfirmed  = errors.New("heartbeat of an upstream that may have left before the start of the node, not confirmed by a health check")
	errStale        = errors.New("heartbeat is older than a previous one")
)

// handleBeat handles a heartbeat. It returns an error for one that is rejected.
func (u *upstream) handleBeat(b platform.Heartbeat) error {
	err := u.checkBeat(b)
	if errors.Is(err, errStale) {
		// A late heartbeat of the current upstream is acknowledged, but has no
		// effect.
		return nil
	}
	if err != nil {
		u.reject(b.Instance, b.Address, err)
		return err
	}
	if !b.Draining && !u.isTrusted(b) {
		u.reject(b.Instance, b.Address, errUnconfirmed)
		u.mu.Lock()
		u.unconfirmed = &b
		u.mu.Unlock()
		return nil
	}
	u.acceptBeat(b)
	return nil
}

// rejectMessage handles a heartbeat or departure that can't be decoded.
func (u *upstream) rejectMessage(instance string, err error) {
	u.reject(instance, "", err)
}

func (u *upstream) reject(instance, address string, err error) {
	u.node.counter("heartbeats.rejected").Inc(1)
	u.node.log.Emit(event.HeartbeatRejected, event.NewField(event.Instance, instance), event.NewField(event.Address, address), event.NewField(event.Error, err))
}

// acceptBeat applies a heartbeat to the exit, unless the upstream has left since
// the heartbeat was checked.
func (u *upstream) acceptBeat(b platform.Heartbeat) {
	id := incarnation{b.Instance, b.BornMillis}
	u.mu.Lock()
	u.unconfirmed = nil
	left := u.hasDeparted(id)
	if !left {
		u.node.exit.Announce(exit.Upstream{
			Service:  b.Service,
			Version:  b.Version,
			Slots:    b.Slots,
			Instance: b.Instance,
			Address:  b.Address,
			Start:    id.startID(),
			Draining: b.Draining,
		})
	}
	u.mu.Unlock()
	if left {
		return
	}
	u.node.operator.updateColdLimit()
	if b.ColdRemaining > 0 && u.node.settings.Cold != nil {
		u.node.exit.ReportLoad(b.Instance, admit.LoadReport{HasColdRemaining: true, ColdRemaining: b.ColdRemaining})
	}
}

// retryUnconfirmed checks an untrusted heartbeat again. The first check may
// have failed for lack of a configuration, which names the health check's path.
func (u *upstream) retryUnconfirmed() {
	u.mu.Lock()
	b := u.unconfirmed
	u.mu.Unlock()
	if b == nil || !u.isTrusted(*b) {
		return
	}
	u.mu.Lock()
	current := u.unconfirmed == b
	u.mu.Unlock()
	if current {
		u.acceptBeat(*b)
	}
}

// trustDelay is the time after the start of the process from which heartbeats
// need no confirmation. One that was sent before the start arrives earlier: no
// heartbeat is as late as one that counts as missing.
func (u *upstream) trustDelay() time.Duration {
	return maxMissedHeartbeats * u.node.settings.Heartbeat
}

// isTrusted reports whether a heartbeat proves that the upstream accepts
// requests. The heartbeats that arrive after a start of this process may be late
// ones of an upstream whose departure the previous process has acknowledged.
// They prove nothing, however many they are, until the upstream's own health
// check says that it isn't leaving.
func (u *upstream) isTrusted(b platform.Heartbeat) bool {
	id := incarnation{b.Instance, b.BornMillis}
	u.mu.Lock()
	confirmed := u.confirmed == id
	u.mu.Unlock()
	if confirmed || time.Since(u.node.startedAt) > u.trustDelay() {
		return true
	}
	t := u.node.operator.table()
	if t == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	health, err := platform.CheckHealth(ctx, u.probePool, b.Address, t.Services[b.Service].HealthPath)
	if err != nil || !health.Healthy || health.Instance != "" && health.Instance != b.Instance {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.confirmed = id
	return true
}

// checkBeat checks the order of heartbeats: within an incarnation by sequence
// number, between incarnations by the time of their start. A heartbeat of an
// upstream that has left is always rejected.
func (u *upstream) checkBeat(b platform.Heartbeat) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b.Address != u.node.settings.Upstream {
		return errOtherAddress
	}
	id := incarnation{b.Instance, b.BornMillis}
	now := time.Now()
	if u.hasDeparted(id) {
		return errDeparted
	}
	if id == u.current {
		if b.Sequence <= u.lastSequence {
			return errStale
		}
	} else if u.current.instance != "" && b.BornMillis < u.current.bornMillis && now.Sub(u.lastBeatAt) < supersedeBeats*u.node.settings.Heartbeat {
		return errDeparted
	}
	if id != u.current {
		u.pool.CloseIdle()
		u.probePool.CloseIdle()
	}
	u.current, u.lastSequence, u.lastBeatAt = id, b.Sequence, now
	return nil
}

// hasDeparted reports whether an incarnation has left. The caller must hold mu.
func (u *upstream) hasDeparted(id incarnation) bool {
	return slices.ContainsFunc(u.departed, func(d incarnation) bool {
		return d.instance == id.instance && id.bornMillis <= d.bornMillis
	})
}

// supersedeBeats is the number of heartbeat intervals without a heartbeat of
// the current upstream after which one with an earlier start time replaces it.
// Start times come from the wall clock, which may step back.
const supersedeBeats = 3

// recordDeparture remembers an incarnation that has left. The caller must hold
// mu.
func (u *upstream) recordDeparture(id incarnation) {
	u.departed = append(u.departed, id)
	if len(u.departed) > maxDeparted {
		u.departed = u.departed[1:]
	}
}

// handleDeparture handles the message that an upstream leaves for good. A start
// time of 0 means every start of the instance up to now.
func (u *upstream) handleDeparture(instance string, bornMillis int64) error {
	u.mu.Lock()
	isCurrent := u.current.instance == instance && (bornMillis == 0 || bornMillis == u.current.bornMillis)
	if bornMillis == 0 {
		bornMillis = time.Now().UnixMilli()
	}
	u.recordDeparture(incarnation{instance, bornMillis})
	u.unconfirmed = nil
	u.mu.Unlock()
	if isCurrent && !u.node.exit.Upstream().Draining {
		u.node.exit.DrainUpstream()
	}
	return nil
}

// send runs a request on the upstream; it is the exit's Send option.
func (u *upstream) send(ctx context.Context, target exit.Upstream, req *wirepb.CallRequest) *wirepb.CallResponse {
	h := http.Header{}
	call.CopyHeaders(h, req.GetHeaders())
	host := h.Get("Host")
	h.Del("Host")
	if u.node.operator.workspaces() != nil {
		// An entry of the previous release passes on what its caller has sent.
		platform.SetWorkspace(h, ident.Workspace(req.GetWorkspace()))
	}
	reply := platform.Send(ctx, u.pool, target.Address, platform.UpstreamRequest{
		Method:     req.GetMethod(),
		Path:       req.GetPath(),
		Host:       host,
		Header:     h,
		Body:       req.GetBody(),
		Timeout:    mono.Until(time.Unix(0, req.GetDeadlineNanos())),
		Instance:   target.Instance,
		Caller:     req.GetCaller(),
		Idempotent: req.GetIdempotent(),
	})
	if reply.Load.Known {
		u.node.exit.ReportLoad(target.Instance, admit.LoadReport{SlowdownPercent: reply.Load.SlowdownPercent})
	}
	resp := u.toCallResponse(ctx, target, req, reply)
	u.node.log.Emit(event.RequestRun,
		event.NewField(event.Request, call.RequestID(req.GetId())),
		event.NewField(event.Route, req.GetRoute()),
		event.NewField(event.Instance, target.Instance),
		event.NewField(event.Outcome, call.OutcomeOf(resp.GetOutcome())),
		event.NewField(event.Reason, call.ReasonName(resp.GetReason())),
		event.NewField(event.Status, reply.Status),
		event.NewField(event.Error, reply.Err))
	return resp
}

// toCallResponse converts the result of an exchange with the upstream into the
// response to the entry.
func (u *upstream) toCallResponse(ctx context.Context, target exit.Upstream, req *wirepb.CallRequest, reply platform.UpstreamResponse) *wirepb.CallResponse {
	resp := &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_REFUSED}
	switch reply.Result {
	case platform.Answered:
		platform.StripInternalHeaders(reply.Header)
		resp.Outcome = wirepb.Outcome_OUTCOME_RAN
		resp.Status = int32(reply.Status)
		resp.Headers = call.EndToEndHeaders(reply.Header)
		resp.Body = reply.Body
	case platform.Shed:
		resp.Reason = wirepb.Reason_REASON_SHED
	case platform.Misdirected, platform.NotSent:
		resp.Reason = wirepb.Reason_REASON_DOWN
		if ctx.Err() == nil {
			u.withdraw(target, "request")
		}
	default:
		resp.Outcome = wirepb.Outcome_OUTCOME_UNKNOWN
		resp.Reason = exit.IncompleteReason(ctx)
		if errors.Is(reply.Err, quota.ErrFull) {
			resp.Reason = wirepb.Reason_REASON_MEMORY
		}
	}
	return resp
}

// withdraw withdraws an upstream that refuses connections or has been replaced
// at its address. A heartbeat or a health check restores it.
func (u *upstream) withdraw(target exit.Upstream, reason string) {
	if current := u.node.exit.Upstream(); !current.Ready || current.Start != target.Start {
		return
	}
	u.node.log.Emit(event.UpstreamLost, event.NewField(event.Instance, target.Instance), event.NewField(event.Address, target.Address), event.NewField(event.Reason, reason))
	u.node.exit.WithdrawUpstream()
}

// Run checks the upstream's health until ctx ends.
func (u *upstream) Run(ctx context.Context, ready func()) error {
	ready()
	interval := healthInterval
	if p := u.node.probeRate(); p > 0 {
		interval = max(interval, time.Duration(probeRateMargin*float64(time.Second)/p))
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	defer u.pool.Close()
	defer u.probePool.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			u.retryUnconfirmed()
			u.checkHealth(ctx)
		}
	}
}

// probeRate returns the maximum number of health checks per second.
func (n *Node) probeRate() float64 {
	if n.settings.Probes == nil {
		return 0
	}
	return *n.settings.Probes
}

// probeRateMargin keeps the rate of health checks below the configured limit.
const probeRateMargin = 1.5

func (u *upstream) checkHealth(ctx context.Context) {
	t := u.node.operator.table()
	target := u.node.exit.Upstream()
	if t == nil || target.Instance == "" || target.Draining || u.node.probeRate() <= 0 {
		return
	}
	service, ok := t.Services[target.Service]
	if !ok || service.HealthPath == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := platform.CheckHealth(callCtx, u.probePool, target.Address, service.HealthPath)
	u.node.counter("upstream.probes").Inc(1)
	if err != nil {
		u.recordProbeFailure(target, err)
		return
	}
	u.failedProbes = 0
	if health.Instance != "" && health.Instance != target.Instance {
		return
	}
	if !target.Ready {
		u.restore(target)
	}
	u.node.exit.ReportLoad(target.Instance, admit.LoadReport{
		SlowdownPercent:  health.Load.SlowdownPercent,
		HasBusy:          health.Load.Known,
		Busy:             health.Load.Running + health.Load.Queued,
		HasColdRemaining: u.node.settings.Cold != nil,
		ColdRemaining:    health.Load.ColdRemaining,
	})
}

// recordProbeFailure counts health checks that failed before anything was sent.
// Other failures mean a full or slow upstream, which the responses to requests
// reveal more precisely.
func (u *upstream) recordProbeFailure(target exit.Upstream, err error) {
	if f := (*conns.Error)(nil); !errors.As(err, &f) || f.Sent {
		return
	}
	u.failedProbes++
	if u.failedProbes == maxFailedProbes {
		u.withdraw(target, "health check")
	}
}

// restore announces an upstream again that was withdrawn and now responds.
func (u *upstream) restore(target exit.Upstream) {
	u.mu.Lock()
	isCurrent := incarnation{target.Instance, u.current.bornMillis}.startID() == target.Start
	u.mu.Unlock()
	if !isCurrent || target.Draining {
		return
	}
	u.node.log.Emit(event.UpstreamFound, event.NewField(event.Instance, target.Instance), event.NewField(event.Address, target.Address))
	u.node.exit.Announce(target)
}
