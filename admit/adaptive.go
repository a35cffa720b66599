package admit

import "time"

const (
	// minLimit is the limit of a cold upstream. One request at a time is enough
	// to measure its service time.
	minLimit = 1.0
	// recentGain averages the reported service time over about 8 answers.
	recentGain = 1.0 / 8
	// normalGain averages the normal service time over about 128 answers.
	normalGain = 1.0 / 128
	// normalSampleCap clips each sample of the normal service time, in multiples
	// of it. The clipping lowers the learned mean of exponential times by 1 %.
	normalSampleCap = 5.0
	// normalDriftGain lets the normal service time follow a lasting change, 64
	// times slower than normalGain, because neither a temporary slowdown nor the
	// overload of a cold upstream must become the normal service time.
	normalDriftGain = normalGain / 64

	// minLimitGain lets the normal service time follow each window at the
	// minimum limit. One request at a time isn't slow because of load, so without
	// this a lasting change of service times would hold the limit at its minimum
	// forever.
	minLimitGain = 0.1

	// Slowness is detected by a sequential test (CUSUM) of the answer rate: the
	// normal rate against slowAnswerRate of it. Each unit of expected work adds
	// 1-slowAnswerRate, each answer subtracts ln(1/slowAnswerRate).
	slowAnswerRate  = 0.2
	alarmAnswerStep = 1.609 // ln(1/slowAnswerRate)
	// alarmThreshold gives about e^12 answers between false alarms. With ten
	// running requests, a worker that is five times slower is detected within
	// about two normal service times.
	alarmThreshold = 12.0
	// minAlarmAnswers is the number of answers before the test runs. With a
	// normal service time learned from 16 answers, it raised false alarms in
	// normal operation.
	minAlarmAnswers = 128
	// firstCutDelay is how long alarms must go on until the limit is multiplied
	// by cutFactor, and repeatCutDelay the time to each further cut, both in
	// normal service times. A cold start costs about 50 normal service times of
	// capacity. With 25, two overlapping stalls of one of four workers cut the
	// limit, and p99 at 95 % load rose to 1.26 times that of a central queue.
	firstCutDelay  = 50
	repeatCutDelay = 12
	cutFactor      = 0.7
	// A limit that cuts lowered below recoveryShare of the limit at the beginning
	// of the slow spell returns to that share at once after recoveryWindow
	// answers with a mean below recoveryMaxRatio normal service times. The first
	// cut leaves the limit above the share. The rest must grow again, because a
	// lasting slowness indicates missing capacity. With a window of 8 answers, a slow worker looked normal in 1 of
	// 50 seeds, because the first answers to arrive are the short ones.
	recoveryWindow   = 16
	recoveryMaxRatio = 1.5
	recoveryShare    = 0.5
	// spellGap separates two slow spells, in units of expected work. A worker
	// that is five times slower raises an alarm about every 25 units.
	spellGap = 100
	// lowUtilization is the share of the limit in use below which slow answers
	// aren't caused by load, so that the upstream must be cold.
	lowUtilization = 0.5
	// utilizationGain averages the utilization over 32 normal service times, so
	// that requests that accumulate before the alarm don't count as high load.
	utilizationGain = 1.0 / 32

	// shedFactor is the new limit after a shed as a share of the running requests.
	shedFactor = 0.7
	// maxConnErrors consecutive connection errors mean that the upstream restarted.
	maxConnErrors = 2

	// The limit is adjusted in steps, each after a window of max(minWindow,
	// windowPerLimit*limit) answers. The mean of 18 exponential times varies by
	// a quarter.
	minWindow      = 18
	windowPerLimit = 3
	// growMaxRatio and shrinkMinRatio bound the mean service time of a window,
	// in normal service times, for the limit to grow or shrink.
	growMaxRatio   = 1.1
	shrinkMinRatio = 1.35
	// maxWindowScale bounds the factor by which windows lengthen. The factor
	// doubles when the limit shrinks, because capacity then grows slower than
	// the limit, and decays by windowScaleDecay when the limit grows.
	maxWindowScale   = 4
	windowScaleDecay = 0.8
	// stepFraction is the change per window as a share of the limit.
	stepFraction = 1.0 / 8
)

// adaptiveLimit is the adaptive concurrency limit of an upstream. Times are
// float64 nanoseconds.
type adaptiveLimit struct {
	limit float64
	// recoveryLimit is the limit that recoverLimit restores if limit is below it.
	// spellLimit is the limit at the beginning of the slow spell or the one that
	// recoverLimit has restored since.
	recoveryLimit float64
	spellLimit    float64
	// normalTime is the service time in normal operation, learned from answers,
	// and recentTime the mean of the latest answers.
	normalTime float64
	recentTime float64
	answers    int
	// cusum is the state of the sequential test, workSinceAlarm the expected
	// work since the latest alarm and spellTime the time since the first alarm
	// of a spell, in normal service times.
	cusum          float64
	workSinceAlarm float64
	spellTime      float64
	// windowCount and windowSum are the number and the total service time of the
	// answers in the current window, windowPeak its maximum of running requests.
	windowCount int
	windowSum   float64
	windowPeak  int
	// windowScale lengthens the window.
	windowScale float64
	// connErrors counts connection errors since the latest answer.
	connErrors int
	// alarmed is set by an alarm; the Limiter clears it.
	alarmed bool
	// utilization is the recent mean of the share of the limit in use.
	utilization float64
}

func (a *adaptiveLimit) init(service time.Duration) {
	a.windowScale, a.workSinceAlarm = 1, spellGap
	a.normalTime = float64(service)
	a.recentTime = a.normalTime
	if service > 0 {
		a.answers = 1 / normalGain
		return
	}
	a.recentTime = float64(initialServiceTime)
}

// restart restarts the limit at its minimum.
func (a *adaptiveLimit) restart() {
	a.limit, a.recoveryLimit, a.spellLimit = minLimit, minLimit, minLimit
	a.cusum, a.spellTime, a.connErrors, a.windowScale = 0, 0, 0, 1
	a.resetWindow()
}

func (a *adaptiveLimit) resetWindow() {
	a.windowCount, a.windowSum, a.windowPeak = 0, 0, 0
}

func (a *adaptiveLimit) recordStart(running int) {
	a.windowPeak = max(a.windowPeak, running)
}

// advance adds the work that the running requests were expected to do in d.
func (a *adaptiveLimit) advance(running int, d time.Duration) {
	if a.answers < minAlarmAnswers || d <= 0 {
		return
	}
	elapsed := float64(d) / a.normalTime
	weight := min(1, elapsed*utilizationGain)
	a.utilization += weight * (float64(running)/a.limit - a.utilization)
	a.spellTime += elapsed
	a.workSinceAlarm += elapsed * float64(running)
	a.cusum += (1 - slowAnswerRate) * elapsed * float64(running)
	if a.cusum > alarmThreshold {
		a.handleAlarm()
	}
}

// handleAlarm handles a slowness alarm. At low utilization the upstream must
// be cold, so the limit restarts. At high utilization the slowness is only
// reported in the load hint, unless it lasts.
func (a *adaptiveLimit) handleAlarm() {
	if a.workSinceAlarm > spellGap {
		a.spellTime, a.spellLimit = 0, a.limit
	}
	a.cusum, a.workSinceAlarm, a.alarmed = 0, 0, true
	a.recentTime = max(a.recentTime, a.normalTime/slowAnswerRate)
	switch {
	case a.utilization < lowUtilization:
		a.restart()
	case a.spellTime > firstCutDelay:
		a.spellTime -= repeatCutDelay
		a.cut()
	}
}

// cut lowers the limit and sets recoveryLimit to a share of the limit at the
// beginning of the slow spell. After the first cut of a spell that began at L,
// the limit is 0.7 L and recoveryLimit 0.5 L, so recoverLimit applies only
// after a further cut.
func (a *adaptiveLimit) cut() {
	a.recoveryLimit = max(minLimit, a.spellLimit*recoveryShare)
	a.limit = max(minLimit, a.limit*cutFactor)
	a.resetWindow()
}

// recordResult updates the limit after a request that took d.
func (a *adaptiveLimit) recordResult(r Result, d time.Duration, running int, slots float64) {
	if r != Broken {
		a.connErrors = 0
	}
	switch r {
	case Shed:
		a.recordShed(running)
	case Broken:
		a.recordConnError()
	case Failed:
		a.cusum = max(0, a.cusum-alarmAnswerStep)
	case Done:
		a.cusum = max(0, a.cusum-alarmAnswerStep)
		a.learnServiceTime(float64(d), slots)
		a.adjust(float64(d), slots)
	}
}

func (a *adaptiveLimit) recordShed(running int) {
	a.limit = max(minLimit, min(a.limit, float64(running)*shedFactor))
	a.recoveryLimit = a.limit
	a.resetWindow()
}

func (a *adaptiveLimit) recordConnError() {
	a.connErrors++
	if a.connErrors >= maxConnErrors {
		a.restart()
	}
}

// learnServiceTime updates the recent and the normal service time with the
// service time d of an answer. After minAlarmAnswers answers, the normal service
// time follows only slowly while the answer may not come from normal operation:
// the limit is below the slots, so that the upstream is cold, sheds requests or
// was slow; an alarm was raised less than spellGap ago; or the sequential test
// is halfway to an alarm.
func (a *adaptiveLimit) learnServiceTime(d, slots float64) {
	a.answers++
	if a.normalTime == 0 {
		a.normalTime, a.recentTime = d, d
		return
	}
	a.recentTime += recentGain * (d - a.recentTime)
	gain := max(normalGain, 1/float64(a.answers))
	if a.answers > minAlarmAnswers && (a.limit < slots || a.workSinceAlarm < spellGap || a.cusum > alarmThreshold/2) {
		gain = normalDriftGain
	}
	a.normalTime += gain * (min(d, normalSampleCap*a.normalTime) - a.normalTime)
}

// adjust changes the limit after each window of answers.
func (a *adaptiveLimit) adjust(d, slots float64) {
	if a.limit >= slots {
		return
	}
	a.windowCount++
	a.windowSum += d
	if a.limit < a.recoveryLimit {
		a.recoverLimit()
		return
	}
	if float64(a.windowCount) < a.windowScale*max(minWindow, windowPerLimit*a.limit) {
		return
	}
	if a.limit <= minLimit {
		a.normalTime += minLimitGain * (a.windowSum/float64(a.windowCount) - a.normalTime)
	}
	mean := a.windowSum / float64(a.windowCount) / a.normalTime
	step := max(1, a.limit*stepFraction)
	switch {
	case mean > shrinkMinRatio && a.limit > minLimit:
		a.limit = max(minLimit, a.limit-step)
		a.windowScale = min(2*a.windowScale, maxWindowScale)
	case mean < growMaxRatio && a.windowPeak >= int(a.limit)-1:
		a.limit = min(slots, a.limit+step)
		a.windowScale = max(1, a.windowScale*windowScaleDecay)
	}
	a.recoveryLimit = a.limit
	a.resetWindow()
}

// recoverLimit restores the recovery limit after a window of normal answers.
func (a *adaptiveLimit) recoverLimit() {
	if a.windowCount < recoveryWindow {
		return
	}
	if a.windowSum/float64(a.windowCount) < recoveryMaxRatio*a.normalTime {
		a.limit, a.spellLimit, a.spellTime = a.recoveryLimit, a.recoveryLimit, 0
	}
	a.resetWindow()
}
