package choose

import (
	"math"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// initialLoad is assumed for a cohort before the first hint.
	initialLoad = 0.5
	// initialServiceTime is assumed for a cohort before the first hint.
	initialServiceTime = 10 * time.Millisecond
	// loadGain averages the load of a cohort over about 30 hints.
	loadGain = 1.0 / 32
	// failureGain makes two failures in a row exceed failureThreshold, but not one.
	failureGain = 0.2
	// failureThreshold is the failure rate from which a member is a last resort.
	failureThreshold = 0.3
	// minTrialPause is the time until a failing member gets a trial request. At
	// 75 calls/s per entry, one trial per pause is below 2 % of the requests
	// from the second pause on.
	minTrialPause = 500 * time.Millisecond
	// maxTrialPause bounds the doubled pauses, so that a repaired member is found.
	maxTrialPause = 30 * time.Second
	// zeroLimitTTL is how long a member that admits nothing is a last resort.
	zeroLimitTTL = 250 * time.Millisecond
	// SlowdownThresholdPercent is the reported service time from which another
	// member is preferred: normal service times vary by a third, a noisy
	// neighbour multiplies them. slowdownTTL is how long such a report is valid:
	// the slowdown of a shared instance lasts for about half a second.
	SlowdownThresholdPercent = 200
	slowdownTTL              = 250 * time.Millisecond
	// sentRingSize is the number of send times kept per member.
	sentRingSize = 4
)

// memberState is the entry's state of one member.
type memberState struct {
	member Member
	cohort *cohort
	// ownInflight counts the requests of this entry that the member has.
	ownInflight int32
	// sentAt is a ring of the times of the latest own requests.
	sentAt   [sentRingSize]time.Time
	nextSent int
	hint     Hint
	// otherInflight is the part of the hint that other entries caused, and
	// hintAt the arrival time of the hint.
	otherInflight float64
	hintAt        time.Time
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// stalledUntil is the time until which the member is a last resort, because
	// a request to it makes no progress.
	stalledUntil time.Time
	// trialPause and trialAt space the trial requests to a failing member.
	trialPause time.Duration
	trialAt    time.Time
}

func (st *memberState) reset() {
	st.hint, st.hintAt, st.otherInflight = Hint{}, time.Time{}, 0
	st.failureRate, st.trialPause, st.trialAt = 0, 0, time.Time{}
}

// RecordSent records that a request is sent to node.
func (c *Chooser) RecordSent(node ident.Node, now time.Time) {
	st := c.states[node]
	if st == nil {
		return
	}
	st.ownInflight++
	st.sentAt[st.nextSent] = now
	st.nextSent = (st.nextSent + 1) % sentRingSize
	if st.failureRate >= failureThreshold {
		st.trialPause = min(2*st.trialPause, maxTrialPause)
		st.trialAt = now.Add(st.trialPause)
	}
}

// RecordAnswer records a complete answer. Latency is the time from RecordSent
// to RecordAnswer.
func (c *Chooser) RecordAnswer(node ident.Node, h Hint, latency time.Duration, now time.Time) {
	st := c.endRequest(node)
	if st == nil {
		return
	}
	st.failureRate -= failureGain * st.failureRate
	st.trialPause, st.trialAt = 0, now
	if h.ServiceTime <= 0 {
		h.ServiceTime = latency
	}
	c.recordHint(st, h, now)
}

// RecordRefusal records that node refused the request without running it.
func (c *Chooser) RecordRefusal(node ident.Node, h Hint, now time.Time) {
	st := c.endRequest(node)
	if st == nil {
		return
	}
	if h.ServiceTime <= 0 {
		h.ServiceTime = st.hint.ServiceTime
	}
	if full := h.Limit - h.Queued; h.Inflight < full {
		h.Inflight = full
	}
	c.recordHint(st, h, now)
}

// RecordFailure records an answer that reports a failure, or the lack of an
// answer.
func (c *Chooser) RecordFailure(node ident.Node, now time.Time) {
	st := c.endRequest(node)
	if st == nil {
		return
	}
	st.failureRate += failureGain * (1 - st.failureRate)
	if st.failureRate >= failureThreshold && st.trialPause == 0 {
		st.trialPause = minTrialPause
		st.trialAt = now.Add(st.trialPause)
	}
}

// stallPenalty is how long a member without progress is a last resort. Failure
// detection takes seconds; until then each request to the member would cost its
// caller the time after which a connection counts as silent.
const stallPenalty = time.Second

// RecordStall records that a request to node makes no progress. The member is a
// last resort until it answers, but for at most a second.
func (c *Chooser) RecordStall(node ident.Node, now time.Time) {
	if st := c.states[node]; st != nil {
		st.stalledUntil = now.Add(stallPenalty)
	}
}

// RecordAbandonment records that the entry has stopped waiting for a request,
// such as the slower copy of a hedged request. It doesn't count as a failure.
func (c *Chooser) RecordAbandonment(node ident.Node) {
	c.endRequest(node)
}

// endRequest ends one own request. It returns nil if node is no longer a member.
func (c *Chooser) endRequest(node ident.Node) *memberState {
	st := c.states[node]
	if st != nil && st.ownInflight > 0 {
		st.ownInflight--
	}
	return st
}

// recordHint stores a hint unless a later hint of the same exit has arrived.
func (c *Chooser) recordHint(st *memberState, h Hint, now time.Time) {
	if h.At.Before(st.hint.At) && now.Sub(st.hintAt) < zeroLimitTTL {
		return
	}
	included := st.ownInflight
	for _, t := range st.sentAt {
		if included > 0 && now.Sub(t) < c.options.HintDelay {
			included--
		}
	}
	st.hint, st.hintAt = h, now
	st.stalledUntil = time.Time{}
	st.otherInflight = max(0, float64(h.Inflight+h.Queued-included))
	co := st.cohort
	if h.Limit > 0 {
		co.otherLoad += loadGain * (min(1, st.otherInflight/float64(h.Limit)) - co.otherLoad)
	}
	if h.ServiceTime > 0 {
		co.recordServiceTime(float64(h.ServiceTime))
	}
}

func (co *cohort) recordServiceTime(s float64) {
	if co.serviceTime == 0 {
		co.serviceTime = s
		return
	}
	// A slow member must not conceal itself by raising the mean.
	co.serviceTime += loadGain * (min(s, 2*co.serviceTime) - co.serviceTime)
}

// limit returns the number of requests that the member is assumed to admit.
func (st *memberState) limit() float64 {
	switch {
	case !st.hintAt.IsZero() && st.hint.Limit > 0:
		return float64(st.hint.Limit)
	case st.member.State == Cold:
		return 1
	default:
		return max(1, float64(st.member.Slots))
	}
}

// estimateInflight estimates the number of requests at the member. The estimate
// for other entries decays from the hint to the cohort's mean within about one
// service time, because by then most requests counted in the hint are done.
func (st *memberState) estimateInflight(limit float64, now time.Time) float64 {
	meanInflight := st.cohort.otherLoad * limit
	if st.hintAt.IsZero() {
		return meanInflight + float64(st.ownInflight)
	}
	decayTime := st.cohort.serviceTime
	if decayTime == 0 {
		decayTime = float64(initialServiceTime)
	}
	weight := math.Exp(-float64(now.Sub(st.hintAt)) / decayTime)
	return meanInflight + (st.otherInflight-meanInflight)*weight + float64(st.ownInflight)
}

// slowness returns by how much the ratio of the member's service time to the
// cohort's mean exceeds the normal spread.
func (st *memberState) slowness() float64 {
	if st.cohort.serviceTime == 0 || st.hint.ServiceTime == 0 {
		return 0
	}
	return max(0, float64(st.hint.ServiceTime)/st.cohort.serviceTime-normalServiceRatio)
}

// reportsSlowdown reports whether the member recently reported a service time
// of several times the usual one.
func (st *memberState) reportsSlowdown(now time.Time) bool {
	return st.hint.SlowdownPercent >= SlowdownThresholdPercent && now.Sub(st.hintAt) < slowdownTTL
}

// lastResort reports whether the member is chosen only if no other is left.
func (st *memberState) lastResort(now time.Time) bool {
	if st.member.State == Suspect || now.Before(st.stalledUntil) {
		return true
	}
	if st.failureRate >= failureThreshold && (st.ownInflight > 0 || now.Before(st.trialAt)) {
		return true
	}
	closed := !st.hintAt.IsZero() && st.hint.Limit == 0
	return closed && now.Sub(st.hintAt) < zeroLimitTTL
}
