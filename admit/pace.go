package admit

import "time"

const (
	// floor is the limit of a cold upstream: one request at a time shows its pace.
	floor = 1.0
	// meanGain averages the reported service time over about 8 answers.
	meanGain = 1.0 / 8
	// baseGain averages the normal service time over about 128 answers.
	baseGain = 1.0 / 128
	// baseCap clips one service time in the average, in normal service times;
	// clipping there lowers the learned mean of exponential times by 1 %.
	baseCap = 5.0
	// driftGain lets the normal service time follow a lasting change, 64 times
	// slower than baseGain, because neither a slow spell nor the overload of a
	// cold upstream must become normal.
	driftGain = baseGain / 64

	// floorGain lets the normal service time follow each window at the floor.
	// One request at a time isn't slow from load, so without this a lasting
	// change of service times would hold the limit at the floor for ever.
	floorGain = 0.1

	// The alarm is a sequential test (CUSUM) of the answer rate: normal against
	// slowRate of normal. Each unit of expected work adds 1-slowRate, each
	// answer takes away ln(1/slowRate).
	slowRate   = 0.2
	answerStep = 1.609 // ln(1/slowRate)
	// alarmLevel gives about e^12 answers between false alarms. With ten
	// running requests a worker five times slower shows within about two
	// normal service times.
	alarmLevel = 12.0
	// settled answers are needed before the test runs: with a normal time
	// learned from 16 answers it alarmed in normal operation.
	settled = 128
	// slowTurns in normal service times is how long alarms must go on until
	// the limit is cut to slowCut of it, and cutAgain the time to each further
	// cut. A cold start costs about 50 normal service times of capacity. With
	// 25, two overlapping stalls of one of four workers led to a cut, and p99 at
	// 95 % load rose to 1.26 times that of a central queue.
	slowTurns = 50
	cutAgain  = 12
	slowCut   = 0.7
	// After a cut, backWindow answers with a mean within backBelow bring
	// backShare of the old limit back at once; the rest must grow again, because
	// a slowness that lasted shows missing capacity. With 8 answers, a slow
	// worker seemed normal in 1 of 50 seeds: the first answers are short ones.
	backWindow = 16
	backBelow  = 1.5
	backShare  = 0.5
	// alarmGap in units of expected work separates two slow spells. A worker
	// five times slower alarms about every 25 units.
	alarmGap = 100
	// idleShare of the limit in use is low load: slow answers then aren't
	// caused by load, so the upstream is cold.
	idleShare = 0.5
	// useGain averages the use over 32 normal service times, so that the
	// requests that pile up before the alarm don't count as high load.
	useGain = 1.0 / 32

	// shedCut is what a shed leaves of the running requests as the new limit.
	shedCut = 0.7
	// brokenLimit connection errors in a row mean that the upstream restarted.
	brokenLimit = 2

	// The limit grows in steps, each after a window of answers.
	// The mean of 18 exponential times varies by a quarter.
	windowMin   = 18
	windowTurns = 3
	// growBelow and shrinkAbove are mean service times in normal ones.
	growBelow   = 1.1
	shrinkAbove = 1.35
	// patienceMax bounds the factor by which windows lengthen. It doubles when
	// the limit shrinks, because capacity then grows slower than the limit, and
	// fades when it grows.
	patienceMax  = 4
	patienceFade = 0.8
	// stepShare is the growth per window as a share of the limit.
	stepShare = 1.0 / 8
)

// pace is the adaptive limit. Times are float64 nanoseconds.
type pace struct {
	limit float64
	// known is the limit to return to after a cut, and top the limit when the
	// slow spell began.
	known float64
	top   float64
	// base is the normal service time, learned from answers, and service the
	// recent one.
	base    float64
	service float64
	answers int
	// alarm is the state of the sequential test, gap the expected work since
	// the latest alarm and slow the time since the first one of a spell.
	alarm float64
	gap   float64
	slow  float64
	// window of answers for growth, with the highest number running.
	count int
	sum   float64
	peak  int
	// patience lengthens the window.
	patience float64
	// broken counts connection errors without an answer in between.
	broken int
	// alarmed is set by an alarm; the Limiter clears it.
	alarmed bool
	// use is the recent mean of the share of the limit in use.
	use float64
}

func (p *pace) init(service time.Duration) {
	p.patience, p.gap = 1, alarmGap
	p.base = float64(service)
	p.service = p.base
	if service > 0 {
		p.answers = 1 / baseGain
		return
	}
	p.service = float64(firstService)
}

// cold restarts the limit at its minimum.
func (p *pace) cold() {
	p.limit, p.known, p.top = floor, floor, floor
	p.alarm, p.slow, p.broken, p.patience = 0, 0, 0, 1
	p.reset()
}

func (p *pace) reset() {
	p.count, p.sum, p.peak = 0, 0, 0
}

func (p *pace) begin(running int) {
	p.peak = max(p.peak, running)
}

// advance adds the work that running requests should have done in d.
func (p *pace) advance(running int, d time.Duration) {
	if p.answers < settled || d <= 0 {
		return
	}
	turn := float64(d) / p.base
	share := min(1, turn*useGain)
	p.use += share * (float64(running)/p.limit - p.use)
	p.slow += turn
	p.gap += turn * float64(running)
	p.alarm += (1 - slowRate) * turn * float64(running)
	if p.alarm > alarmLevel {
		p.slowdown()
	}
}

// slowdown handles an alarm. At low load, slow answers mean a cold start. At
// high load, the upstream is only reported as slow unless it stays so.
func (p *pace) slowdown() {
	if p.gap > alarmGap {
		p.slow, p.top = 0, p.limit
	}
	p.alarm, p.gap, p.alarmed = 0, 0, true
	p.service = max(p.service, p.base/slowRate)
	switch {
	case p.use < idleShare:
		p.cold()
	case p.slow > slowTurns:
		p.slow -= cutAgain
		p.cut()
	}
}

// cut lowers the limit and remembers what to return to.
func (p *pace) cut() {
	p.known = max(floor, p.top*backShare)
	p.limit = max(floor, p.limit*slowCut)
	p.reset()
}

// finish learns from the end of a request that took d.
func (p *pace) finish(r Result, d time.Duration, running int, slots float64) {
	if r != Broken {
		p.broken = 0
	}
	switch r {
	case Shed:
		p.shed(running)
	case Broken:
		p.fault()
	case Failed:
		p.alarm = max(0, p.alarm-answerStep)
	case Done:
		p.alarm = max(0, p.alarm-answerStep)
		p.learn(float64(d), slots)
		p.grow(float64(d), slots)
	}
}

func (p *pace) shed(running int) {
	p.limit = max(floor, min(p.limit, float64(running)*shedCut))
	p.known = p.limit
	p.reset()
}

func (p *pace) fault() {
	p.broken++
	if p.broken >= brokenLimit {
		p.cold()
	}
}

func (p *pace) learn(d, slots float64) {
	p.answers++
	if p.base == 0 {
		p.base, p.service = d, d
		return
	}
	p.service += meanGain * (d - p.service)
	gain := max(baseGain, 1/float64(p.answers))
	if p.answers > settled && (p.limit < slots || p.gap < alarmGap || p.alarm > alarmLevel/2) {
		gain = driftGain
	}
	p.base += gain * (min(d, baseCap*p.base) - p.base)
}

// grow raises the limit with completed work.
func (p *pace) grow(d, slots float64) {
	if p.limit >= slots {
		return
	}
	p.count++
	p.sum += d
	if p.limit < p.known {
		p.recover()
		return
	}
	if float64(p.count) < p.patience*max(windowMin, windowTurns*p.limit) {
		return
	}
	if p.limit <= floor {
		p.base += floorGain * (p.sum/float64(p.count) - p.base)
	}
	mean := p.sum / float64(p.count) / p.base
	step := max(1, p.limit*stepShare)
	switch {
	case mean > shrinkAbove && p.limit > floor:
		p.limit = max(floor, p.limit-step)
		p.patience = min(2*p.patience, patienceMax)
	case mean < growBelow && p.peak >= int(p.limit)-1:
		p.limit = min(slots, p.limit+step)
		p.patience = max(1, p.patience*patienceFade)
	}
	p.known = p.limit
	p.reset()
}

// recover returns to the known limit when a window of answers is normal.
func (p *pace) recover() {
	if p.count < backWindow {
		return
	}
	if p.sum/float64(p.count) < backBelow*p.base {
		p.limit, p.top, p.slow = p.known, p.known, 0
	}
	p.reset()
}
