package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
)

// Upstream is what the upstream beside the node has announced.
type Upstream struct {
	Service ident.Service
	Version ident.Version
	Slots   ident.Slots
	// Instance is the name that the upstream gives itself; may be empty.
	Instance string
	// Address is the host and port that requests are sent to.
	Address string
	// Start changes when the upstream restarts, which makes it cold.
	Start ident.Start
	// Ready is false before the first announcement and after a withdrawal.
	Ready bool
	// Draining is set once the upstream has asked for no new work.
	Draining bool

	heard time.Time
}

// Upstream returns the current record of the upstream.
func (e *Exit) Upstream() Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstream
}

// Announce takes the upstream's announcement or heartbeat. A new start
// identity means a cold upstream, whatever it did before.
func (e *Exit) Announce(u Upstream) {
	if e.announce(u, mono.Now()) {
		e.o.Changed()
	}
}

func (e *Exit) announce(u Upstream, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.upstream
	u.Ready = true
	u.heard = now
	u.Draining = old.Draining && old.Start == u.Start
	e.upstream = u
	if old.Ready && old.same(u) {
		return false
	}
	drained := e.draining && !u.Draining && !e.closing
	if drained || !old.Ready && len(e.jobs) == 0 {
		// A drained limiter stays drained, and the queue's length follows from
		// the slots at the limiter's creation. Requests that still run on the
		// upstream before end unseen by the new limiter.
		e.draining = e.closing || u.Draining
		e.limiter = e.newLimiter()
	}
	e.limiter.SetSlots(u.Slots, u.Start, now)
	if !old.Ready {
		e.limiter.Cold(now)
	}
	e.o.Emit(event.UpstreamAnnounced,
		event.F(event.Service, u.Service),
		event.F(event.Version, u.Version),
		event.F(event.Slots, u.Slots))
	return true
}

func (u Upstream) same(v Upstream) bool {
	u.heard = v.heard
	return u == v
}

// DrainUpstream refuses new work on behalf of the upstream.
func (e *Exit) DrainUpstream() {
	e.mu.Lock()
	e.refuseAll(mono.Now())
	e.upstream.Draining = true
	e.o.Emit(event.UpstreamDrained, event.F(event.Service, e.upstream.Service), event.F(event.Version, e.upstream.Version))
	e.mu.Unlock()
	e.o.Changed()
}

// WithdrawUpstream forgets the upstream until it announces itself again.
func (e *Exit) WithdrawUpstream() {
	e.mu.Lock()
	e.withdraw("asked")
	e.mu.Unlock()
	e.o.Changed()
}

// withdraw is called with the lock held.
func (e *Exit) withdraw(reason string) {
	if !e.upstream.Ready {
		return
	}
	e.upstream.Ready = false
	e.o.Emit(event.UpstreamWithdrawn,
		event.F(event.Service, e.upstream.Service),
		event.F(event.Version, e.upstream.Version),
		event.F(event.Reason, reason))
}
