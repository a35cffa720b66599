package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Offer decides about a ticket. A ticket whose deadline leaves less than the
// mean service time is refused, because it would take a slot for nothing.
func (l *Limiter) Offer(t Ticket, now time.Time) Decision {
	l.advance(now)
	if l.draining {
		return Decision{Reason: Draining}
	}
	if l.late(t, 0, now) {
		return Decision{Reason: Late}
	}
	if l.room() {
		l.begin(t.ID, now)
		return Decision{Verdict: Run}
	}
	wait := l.wait(l.queue.len())
	if !t.Last || l.queue.full() || l.limit() == 0 {
		return Decision{Reason: Full, RetryAfter: wait}
	}
	if l.late(t, l.wait(l.queue.ahead(t)), now) {
		return Decision{Reason: Late}
	}
	l.queue.push(t)
	return Decision{Verdict: Queue}
}

// Finish ends a running request and starts queued ones. An id that isn't
// running is ignored.
func (l *Limiter) Finish(id ident.Request, r Result, now time.Time) {
	l.advance(now)
	begun, ok := l.running[id]
	if !ok {
		return
	}
	inflight := len(l.running)
	delete(l.running, id)
	l.pace.finish(r, now.Sub(begun), inflight, l.slots)
	l.fill(now)
}

// Cancel removes a queued ticket and reports whether it was queued. Neither
// Start nor Expire is called for it.
func (l *Limiter) Cancel(id ident.Request, now time.Time) bool {
	l.advance(now)
	return l.queue.remove(id)
}

// Tick gives up queued tickets that can't finish in time any more. It is
// called every few milliseconds while something is queued or running.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	l.fill(now)
	for l.queue.len() > 0 && l.late(l.queue.first(), 0, now) {
		l.options.Expire(l.queue.pop(), Late, now)
	}
}

// fill starts queued tickets while there is room.
func (l *Limiter) fill(now time.Time) {
	for l.queue.len() > 0 && l.room() {
		t := l.queue.pop()
		if l.late(t, 0, now) {
			l.options.Expire(t, Late, now)
			continue
		}
		l.begin(t.ID, now)
		l.options.Start(t, now)
	}
}

func (l *Limiter) begin(id ident.Request, now time.Time) {
	l.running[id] = now
	l.pace.begin(len(l.running))
}

func (l *Limiter) room() bool {
	return len(l.running) < l.limit()
}

// limit is the integer part of the adaptive limit, and 0 without slots.
func (l *Limiter) limit() int {
	return int(min(l.pace.limit, l.slots))
}

// late reports whether a ticket that starts after wait ends past its deadline.
func (l *Limiter) late(t Ticket, wait time.Duration, now time.Time) bool {
	return t.Deadline.Sub(now) <= wait+time.Duration(l.pace.service)
}

// wait estimates the time until a slot is free for a ticket with n ahead of it.
func (l *Limiter) wait(n int) time.Duration {
	return time.Duration(l.pace.service * float64(n+1) / l.pace.limit)
}

// advance accounts for the work time since the previous event. When it shows
// that the upstream has become slow, queued requests are better off elsewhere.
func (l *Limiter) advance(now time.Time) {
	if !l.now.IsZero() {
		l.pace.advance(len(l.running), now.Sub(l.now))
	}
	l.now = now
	if l.pace.alarmed {
		l.pace.alarmed = false
		l.flush(Slow, now)
	}
}

// flush gives up all queued tickets.
func (l *Limiter) flush(r Reason, now time.Time) {
	for l.queue.len() > 0 {
		l.options.Expire(l.queue.pop(), r, now)
	}
}
