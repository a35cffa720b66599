package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// Upstream is the latest announcement of the upstream on the node's instance.
type Upstream struct {
	Service ident.Service
	Version ident.Version
	Slots   ident.Slots
	// Instance is the name that the upstream announces for itself; it may be
	// empty.
	Instance string
	// Address is the host:port to which requests are sent.
	Address string
	// Start identifies one start of the upstream process. A new value means
	// that the upstream is cold.
	Start ident.Start
	// Ready is false before the first announcement and after a withdrawal.
	Ready bool
	// Draining is set once the upstream has requested to be drained. It stays set
	// until another start is announced.
	Draining bool

	lastHeartbeat time.Time
}

// Upstream returns the current record of the upstream.
func (e *Exit) Upstream() Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstream
}

// Announce records an announcement or heartbeat of the upstream. A new start
// identity marks the upstream as cold, regardless of its earlier state. An
// upstream that is announced as draining gets no request.
func (e *Exit) Announce(u Upstream) {
	if e.announce(u, mono.Now()) {
		e.opts.OnUpstreamChange()
	}
}

func (e *Exit) announce(u Upstream, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.upstream
	u.Ready = true
	u.lastHeartbeat = now
	drained := u.Draining
	u.Draining = drained || previous.Draining && previous.Start == u.Start
	e.upstream = u
	if previous.Ready && previous.equalAnnouncement(u) {
		return false
	}
	resumed := e.draining && !u.Draining && !e.closing
	if resumed || !previous.Ready && len(e.jobs) == 0 {
		// A drained limiter cannot be reopened, and its queue length is derived
		// from the slots at its creation. Requests still running on the
		// previous upstream finish without being counted by the new limiter.
		e.draining = e.closing || u.Draining
		e.limiter = e.newLimiter()
	}
	e.limiter.SetSlots(u.Slots, u.Start, now)
	if !previous.Ready {
		e.limiter.RestartLimit(now)
	}
	e.opts.Emit(event.UpstreamAnnounced,
		event.NewField(event.Service, u.Service),
		event.NewField(event.Version, u.Version),
		event.NewField(event.Slots, u.Slots))
	if drained && !previous.Draining {
		e.drainUpstream(now)
	}
	return true
}

func (u Upstream) equalAnnouncement(v Upstream) bool {
	u.lastHeartbeat = v.lastHeartbeat
	return u == v
}

// DrainUpstream stops admitting requests after the upstream asked to be
// drained.
func (e *Exit) DrainUpstream() {
	e.mu.Lock()
	e.drainUpstream(mono.Now())
	e.mu.Unlock()
	e.opts.OnUpstreamChange()
}

// drainUpstream stops admitting requests. The caller must hold mu.
func (e *Exit) drainUpstream(now time.Time) {
	e.stopAdmission(now)
	e.upstream.Draining = true
	e.opts.Emit(event.UpstreamDrained, event.NewField(event.Service, e.upstream.Service), event.NewField(event.Version, e.upstream.Version))
}

// WithdrawUpstream marks the upstream as not ready until its next announcement.
func (e *Exit) WithdrawUpstream() {
	e.mu.Lock()
	e.withdraw("asked")
	e.mu.Unlock()
	e.opts.OnUpstreamChange()
}

// withdraw marks the upstream as not ready. The caller must hold mu.
func (e *Exit) withdraw(reason string) {
	if !e.upstream.Ready {
		return
	}
	e.upstream.Ready = false
	e.opts.Emit(event.UpstreamWithdrawn,
		event.NewField(event.Service, e.upstream.Service),
		event.NewField(event.Version, e.upstream.Version),
		event.NewField(event.Reason, reason))
}
