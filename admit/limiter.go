package admit

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Offer decides about a request. A request whose deadline leaves less than the
// mean service time is refused, because it would occupy a slot without
// producing a usable answer.
func (l *Limiter) Offer(t Request, now time.Time) Decision {
	l.advance(now)
	if l.draining {
		return Decision{Reason: Draining}
	}
	if l.missesDeadline(t, 0, now) {
		return Decision{Reason: Late}
	}
	if l.hasRoom() {
		l.markRunning(t.ID, now)
		return Decision{Verdict: Run}
	}
	wait := l.estimateWait(l.queue.len())
	if !t.MayQueue || l.queue.full() || l.limit() == 0 {
		return Decision{Reason: Full, RetryAfter: wait}
	}
	if l.missesDeadline(t, l.estimateWait(l.queue.ahead(t)), now) {
		return Decision{Reason: Late}
	}
	l.queue.push(t)
	return Decision{Verdict: Queue}
}

// Finish records the end of a running request and starts queued ones. It
// ignores an id that isn't running.
func (l *Limiter) Finish(id ident.Request, r Result, now time.Time) {
	l.advance(now)
	startedAt, ok := l.running[id]
	if !ok {
		return
	}
	inflight := len(l.running)
	delete(l.running, id)
	l.adaptive.recordResult(r, now.Sub(startedAt), inflight, l.slots)
	l.startQueued(now)
}

// Cancel removes a queued request and reports whether it was queued. Neither
// Start nor Expire is called for it.
func (l *Limiter) Cancel(id ident.Request, now time.Time) bool {
	l.advance(now)
	return l.queue.remove(id)
}

// Tick expires queued requests that can't finish in time any more. The caller
// must call it every few milliseconds while a request is queued or running.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	l.startQueued(now)
	for l.queue.len() > 0 && l.missesDeadline(l.queue.peek(), 0, now) {
		l.options.Expire(l.queue.pop(), Late, now)
	}
}

// startQueued starts queued requests while fewer than the limit run.
func (l *Limiter) startQueued(now time.Time) {
	for l.queue.len() > 0 && l.hasRoom() {
		t := l.queue.pop()
		if l.missesDeadline(t, 0, now) {
			l.options.Expire(t, Late, now)
			continue
		}
		l.markRunning(t.ID, now)
		l.options.Start(t, now)
	}
}

func (l *Limiter) markRunning(id ident.Request, now time.Time) {
	l.running[id] = now
	l.adaptive.recordStart(len(l.running))
}

func (l *Limiter) hasRoom() bool {
	return len(l.running) < l.limit()
}

// limit returns the integer part of the adaptive limit, and 0 without slots.
func (l *Limiter) limit() int {
	return int(min(l.adaptive.limit, l.slots))
}

// missesDeadline reports whether a request that starts after wait is expected
// to end past its deadline.
func (l *Limiter) missesDeadline(t Request, wait time.Duration, now time.Time) bool {
	return t.Deadline.Sub(now) <= wait+time.Duration(l.adaptive.recentTime)
}

// estimateWait estimates the time until a slot is free for a request that has
// the given number of requests ahead of it in the queue.
func (l *Limiter) estimateWait(ahead int) time.Duration {
	return time.Duration(l.adaptive.recentTime * float64(ahead+1) / l.adaptive.limit)
}

// advance accounts for the running requests since the previous event. If it
// finds that the upstream has become slow, it expires the queued requests,
// because they finish sooner on other members.
func (l *Limiter) advance(now time.Time) {
	if !l.now.IsZero() {
		l.adaptive.advance(len(l.running), now.Sub(l.now))
	}
	l.now = now
	if l.adaptive.alarmed {
		l.adaptive.alarmed = false
		l.expireQueued(Slow, now)
	}
}

// expireQueued expires all queued requests.
func (l *Limiter) expireQueued(r Reason, now time.Time) {
	for l.queue.len() > 0 {
		l.options.Expire(l.queue.pop(), r, now)
	}
}
