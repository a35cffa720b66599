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
	// clipping there lowers the mean of exponential times by 5 %.
	baseCap = 3.0
	// driftGain lets the normal service time follow a lasting change, 16 times
	// slower than baseGain, because neither a slow spell nor the overload of a
	// cold upstream must become normal.
	driftGain = baseGain / 16

	// The alarm is a sequential test (CUSUM) of the answer rate: normal against
	// slowRate of normal. Each unit of expected work adds 1-slowRate, each
	// answer takes away ln(1/slowRate).
	slowRate   = 0.2
	answerStep = 1.609 // ln(1/slowRate)
	// alarmLevel gives about e^10 answers between false alarms. With ten
	// running requests a worker five times slower shows within about two
	// normal service times.
	alarmLevel = 10.0
	// settled answers are needed before the test runs: the mean of 16
	// exponential times is within half of the truth in 95 % of cases.
	settled = 16
	// alarmCut is what an alarm leaves of the limit.
	alarmCut = 0.3
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

	// Growth beyond the limit that is known to work goes in steps, each after
	// a window of answers. Up to it, each answer of normal speed adds one.
	// The mean of 16 exponential times varies by a quarter.
	windowMin   = 16
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
	// recovered is the growth after a cut which shows that a lower limit helps,
	// so that a further alarm means missing capacity and not a slow spell.
	recovered = 2.0
	// slowAnswer in normal service times is an answer that shows no recovery.
	slowAnswer = 2.0
)

// pace is the adaptive limit. Times are float64 nanoseconds.
type pace struct {
	limit float64
	// known is the limit that worked before the latest cut, and after the
	// limit that the cut left.
	known float64
	after float64
	// base is the normal service time, learned from answers, and service the
	// recent one.
	base    float64
	service float64
	answers int
	// alarm is the state of the sequential test.
	alarm float64
	// window of answers for growth, with the highest number running.
	count int
	sum   float64
	peak  int
	// patience lengthens the window.
	patience float64
	// broken counts connection errors without an answer in between.
	broken int
	// use is the recent mean of the share of the limit in use.
	use float64
}

func (p *pace) init(service time.Duration) {
	p.patience = 1
	p.base = float64(service)
	p.service = p.base
	if service > 0 {
		p.answers = 1 / baseGain
		return
	}
	p.service = float64(firstService)
}

// cold forgets which limit worked.
func (p *pace) cold() {
	p.limit, p.known = floor, floor
	p.alarm, p.broken, p.patience = 0, 0, 1
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
	p.alarm += (1 - slowRate) * turn * float64(running)
	if p.alarm > alarmLevel {
		p.cut()
	}
}

// cut lowers the limit after an alarm. An alarm during recovery halves what
// counts as known if a lower limit had helped. If it hadn't, the upstream is
// slow whatever the limit, and has its old capacity when the spell ends.
func (p *pace) cut() {
	p.alarm = 0
	p.service = max(p.service, p.base/slowRate)
	if p.use < idleShare {
		p.cold()
		return
	}
	if p.limit < p.known && p.limit > p.after+recovered {
		p.known = max(floor, p.limit/2)
	}
	p.limit = max(floor, p.limit*alarmCut)
	p.after = p.limit
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
	if p.answers > settled && (p.limit < slots || p.alarm > alarmLevel/2) {
		gain = driftGain
	}
	p.base += gain * (min(d, baseCap*p.base) - p.base)
}

// grow raises the limit with completed work.
func (p *pace) grow(d, slots float64) {
	if p.limit >= slots {
		p.known = slots
		return
	}
	if p.limit < p.known {
		if d <= slowAnswer*p.base {
			p.limit = min(p.limit+1, p.known)
		}
		return
	}
	p.count++
	p.sum += d
	if float64(p.count) < p.patience*max(windowMin, windowTurns*p.limit) {
		return
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
