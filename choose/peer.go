package choose

import (
	"math"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// initialLoad is assumed for a cohort before the first hint.
	initialLoad = 0.5
	// initialService is assumed for a cohort before the first hint.
	initialService = 10 * time.Millisecond
	// loadGain averages the load of a cohort over about 30 hints.
	loadGain = 1.0 / 32
	// failGain makes two failures in a row cross failLimit, but not one.
	failGain = 0.2
	// failLimit is the failure average from which a member is used last.
	failLimit = 0.3
	// firstPause is the time until a failing member gets a trial request. At
	// 75 calls/s per entry, one trial per pause is below the 2 % target from
	// the second pause on.
	firstPause = 500 * time.Millisecond
	// lastPause bounds the doubled pauses, so that a repaired member is found.
	lastPause = 30 * time.Second
	// closedPause is the time that a member which admits nothing is used last.
	closedPause = 250 * time.Millisecond
	// SlowPercent is the reported slowness from which another member is
	// preferred: normal work varies by a third, a noisy neighbour makes it several
	// times longer. strainedFor is the time that such a report counts: the
	// slowness of a shared instance lasts for about half a second.
	SlowPercent = 200
	strainedFor = 250 * time.Millisecond
	// recent is the number of send times kept per member.
	recent = 4
)

// peer is what the entry knows about one member.
type peer struct {
	member Member
	group  *group
	// own counts requests of this entry that the member holds.
	own int32
	// sends are the times of the latest own requests, a ring.
	sends [recent]time.Time
	next  int
	hint  Hint
	// others is the part of the hint that isn't own, and heard its arrival.
	others float64
	heard  time.Time
	// failing is the moving average of failures, from 0 to 1.
	failing float64
	// doubt is the time until which the member is used last, because a request
	// to it makes no progress.
	doubt time.Time
	// pause and retry space the trial requests of a failing member.
	pause time.Duration
	retry time.Time
}

func (p *peer) forget() {
	p.hint, p.heard, p.others = Hint{}, time.Time{}, 0
	p.failing, p.pause, p.retry = 0, 0, time.Time{}
}

// Sent records that a request goes to node.
func (c *Chooser) Sent(node ident.Node, now time.Time) {
	p := c.peers[node]
	if p == nil {
		return
	}
	p.own++
	p.sends[p.next] = now
	p.next = (p.next + 1) % recent
	if p.failing >= failLimit {
		p.pause = min(2*p.pause, lastPause)
		p.retry = now.Add(p.pause)
	}
}

// Done records a complete answer. Latency is the time from Sent to Done.
func (c *Chooser) Done(node ident.Node, h Hint, latency time.Duration, now time.Time) {
	p := c.settle(node)
	if p == nil {
		return
	}
	p.failing -= failGain * p.failing
	p.pause, p.retry = 0, now
	if h.Service <= 0 {
		h.Service = latency
	}
	c.learn(p, h, now)
}

// Refused records that node didn't run the request.
func (c *Chooser) Refused(node ident.Node, h Hint, now time.Time) {
	p := c.settle(node)
	if p == nil {
		return
	}
	if h.Service <= 0 {
		h.Service = p.hint.Service
	}
	if full := h.Limit - h.Queued; h.Inflight < full {
		h.Inflight = full
	}
	c.learn(p, h, now)
}

// Failed records an answer that reports a failure, or no answer at all.
func (c *Chooser) Failed(node ident.Node, now time.Time) {
	p := c.settle(node)
	if p == nil {
		return
	}
	p.failing += failGain * (1 - p.failing)
	if p.failing >= failLimit && p.pause == 0 {
		p.pause = firstPause
		p.retry = now.Add(p.pause)
	}
}

// doubtTime is how long a member without progress is used last. Membership
// finds out within seconds; until then each request would cost its caller the
// time after which a connection counts as silent.
const doubtTime = time.Second

// Doubt records that a request to node makes no progress. Any later answer of
// the member ends the doubt.
func (c *Chooser) Doubt(node ident.Node, now time.Time) {
	if p := c.peers[node]; p != nil {
		p.doubt = now.Add(doubtTime)
	}
}

// Abandoned records that the entry has stopped waiting for a request, such as
// the slower copy of a hedged one. Its end says nothing about the member.
func (c *Chooser) Abandoned(node ident.Node) {
	c.settle(node)
}

// settle ends one own request; nil means that the member is gone.
func (c *Chooser) settle(node ident.Node) *peer {
	p := c.peers[node]
	if p != nil && p.own > 0 {
		p.own--
	}
	return p
}

// learn stores a hint unless a later one of the same exit has overtaken it.
func (c *Chooser) learn(p *peer, h Hint, now time.Time) {
	if h.At.Before(p.hint.At) && now.Sub(p.heard) < closedPause {
		return
	}
	known := p.own
	for _, t := range p.sends {
		if known > 0 && now.Sub(t) < c.options.Settle {
			known--
		}
	}
	p.hint, p.heard = h, now
	p.doubt = time.Time{}
	p.others = max(0, float64(h.Inflight+h.Queued-known))
	g := p.group
	if h.Limit > 0 {
		g.load += loadGain * (min(1, p.others/float64(h.Limit)) - g.load)
	}
	if h.Service > 0 {
		g.learnService(float64(h.Service))
	}
}

func (g *group) learnService(s float64) {
	if g.service == 0 {
		g.service = s
		return
	}
	// A slow member must not hide itself by raising the mean.
	g.service += loadGain * (min(s, 2*g.service) - g.service)
}

// limit is the number of requests that the member is assumed to admit.
func (p *peer) limit() float64 {
	switch {
	case !p.heard.IsZero() && p.hint.Limit > 0:
		return float64(p.hint.Limit)
	case p.member.State == Cold:
		return 1
	default:
		return max(1, float64(p.member.Slots))
	}
}

// busy estimates the requests at the member. The part of other entries moves
// from the hint to the cohort's mean within about one service time, because
// after that time most requests that the hint counted are done.
func (p *peer) busy(limit float64, now time.Time) float64 {
	mean := p.group.load * limit
	if p.heard.IsZero() {
		return mean + float64(p.own)
	}
	turn := p.group.service
	if turn == 0 {
		turn = float64(initialService)
	}
	fresh := math.Exp(-float64(now.Sub(p.heard)) / turn)
	return mean + (p.others-mean)*fresh + float64(p.own)
}

// slowness is how much longer than the cohort's mean the member works, beyond
// the spread that is normal.
func (p *peer) slowness() float64 {
	if p.group.service == 0 || p.hint.Service == 0 {
		return 0
	}
	return max(0, float64(p.hint.Service)/p.group.service-normalSpread)
}

// strained reports whether the member has just told that its work takes
// several times as long as usual.
func (p *peer) strained(now time.Time) bool {
	return p.hint.Slow >= SlowPercent && now.Sub(p.heard) < strainedFor
}

// last reports whether the member is used only if no other is left.
func (p *peer) last(now time.Time) bool {
	if p.member.State == Suspect || now.Before(p.doubt) {
		return true
	}
	if p.failing >= failLimit && (p.own > 0 || now.Before(p.retry)) {
		return true
	}
	closed := !p.heard.IsZero() && p.hint.Limit == 0
	return closed && now.Sub(p.heard) < closedPause
}
