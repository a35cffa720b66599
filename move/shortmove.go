package move

import (
	"cmp"
	"encoding/json"
	"math"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// ShortMove decides a short move, of some seconds with some hundred requests,
// which gives the sequential tests of a Mover too little evidence. The number
// of requests that the new version may get is bounded and counted at the exits
// of the new version.
//
// It needs no wall clock: a move begins when the first node receives it, and
// nodes exchange how long it has been running. Counters only grow and merge by
// maximum, so the order of merges doesn't matter. A ShortMove isn't safe for
// concurrent use.
type ShortMove struct {
	options ShortMoveOptions
	beganAt time.Time
	rows    map[nodeStart]*counterRow
	// byRoute, total and underLoad are the sums over rows.
	byRoute   map[ident.Route]VersionPair
	total     VersionPair
	underLoad VersionPair
	// reportedTotal is the largest number of sent requests that another node has
	// reported.
	reportedTotal int
	// changeCount is the number of changes of rows.
	changeCount uint64
	outcome     Outcome
	fault       string
}

// counterRow holds the counts of one node start, and changeCount at its latest
// change.
type counterRow struct {
	counts    nodeCounts
	changedAt uint64
}

// ShortMoveOptions configures a ShortMove.
type ShortMoveOptions struct {
	Node  ident.Node
	Start ident.Start
	// Length is the time from the beginning of the move to its deadline.
	Length time.Duration
	// A bad version may get at most Share of all requests and ExtraRequests
	// requests more.
	Share         float64
	ExtraRequests float64
}

// VersionCounts counts the requests of one version on one route.
type VersionCounts struct {
	// Sent counts requests handed to upstreams, Ended those that have ended.
	Sent  int `json:"s"`
	Ended int `json:"e"`
	// Failed counts failures among Ended.
	Failed int `json:"f"`
	// WorkMillis is the sum of the work times of requests that didn't fail, in
	// milliseconds at the nominal speed of the instance.
	WorkMillis int `json:"w"`
}

// VersionPair holds the counts of both versions on one route.
type VersionPair struct {
	Baseline VersionCounts `json:"o"`
	Canary   VersionCounts `json:"n"`
}

// nodeCounts holds the counts of one node start.
type nodeCounts struct {
	Routes map[ident.Route]VersionPair `json:"r"`
	// UnderLoad counts the requests that ended after the trial, when the new
	// version is under load.
	UnderLoad VersionPair `json:"l"`
}

const (
	// The times of the phases are fractions of the length of a move. Until
	// trialEnd the new version gets few requests. From then until loadTestEnd it
	// gets all requests, until its part of the bound is used, because some faults
	// appear only under load.
	trialEnd    = 0.5
	loadTestEnd = 0.62
	// From doneStart on, a version without a fault is done; the remaining time is
	// for writing the outcome to a slow store.
	doneStart = 0.84
	// From shiftStart on, all requests shift to the new version, shortly before
	// it is done, so that few requests are left at the old version then.
	shiftStart = 0.7
	// trialBoundPart, loadTestBoundPart and shiftBoundPart are the parts of the
	// bound that may be used until trialEnd, until shiftStart and until
	// boundLiftLead before the version is done. Between loadTestEnd and
	// shiftStart the answers to the load test arrive. No evidence lifts the bound
	// earlier: a burst can hide a fault for about a second, in which a version
	// without a bound got 80 requests. The load test has the largest part,
	// because a fault under load shows only while the version gets all requests
	// for most of a second.
	trialBoundPart    = 0.2
	loadTestBoundPart = 0.75
	shiftBoundPart    = 0.95
	// minLoadedAnswers is the number of answers under load that a version needs
	// to be done.
	minLoadedAnswers = 16
	// boundLiftLead is how long before the version is done its exits accept all
	// requests. The old upstreams are stopped as soon as the outcome is written,
	// and nodes differ by some 100 ms in the beginning of the move.
	boundLiftLead = 400 * time.Millisecond
	// minFailures failures, and a failure rate above the old version's by
	// minFailureRateDiff and by minFailureSigma standard deviations, show a
	// fault. Chance alone exceeds that many standard deviations in fewer than 1
	// of 1,000 evaluations. A faulty version fails about half of the requests
	// that its fault affects; overload and faults of the environment fail
	// requests of both versions.
	minFailures        = 4
	minFailureRateDiff = 0.15
	minFailureSigma    = 3
	// minLoadedFailureRateDiff is the difference that counts under load, which is
	// smaller, because a fault that needs load doesn't affect requests at moments
	// with less load.
	minLoadedFailureRateDiff = 0.1
	// minLatencyAnswers answers with a mean work time above slowWorkRatio times
	// the old version's show a slow version. Slow versions take several times as
	// long.
	minLatencyAnswers = 8
	slowWorkRatio     = 2.5
)

// NewShortMove returns a ShortMove of a move that begins at now.
func NewShortMove(o ShortMoveOptions, now time.Time) *ShortMove {
	return &ShortMove{
		options: o,
		beganAt: now,
		rows:    map[nodeStart]*counterRow{{o.Node, o.Start}: {counts: nodeCounts{Routes: map[ident.Route]VersionPair{}}}},
		byRoute: map[ident.Route]VersionPair{},
	}
}

// Age returns how long the move has been running.
func (b *ShortMove) Age(now time.Time) time.Duration { return now.Sub(b.beganAt) }

// RaiseAge raises the age of the move to the one that another node reports.
func (b *ShortMove) RaiseAge(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.Before(b.beganAt) {
		b.beganAt = at
	}
}

// Outcome returns the outcome, or Open.
func (b *ShortMove) Outcome() Outcome { return b.outcome }

// SetOutcome sets the outcome that the final row states; the first one is
// final.
func (b *ShortMove) SetOutcome(o Outcome) {
	if b.outcome == Open {
		b.outcome = o
	}
}

// Fault returns the reason of the fault of the new version, or an empty string.
func (b *ShortMove) Fault() string { return b.fault }

// SetFault sets the fault that another node has found, unless one is set.
func (b *ShortMove) SetFault(reason string) {
	if b.fault == "" {
		b.fault = reason
	}
}

// RecordSent counts a request that is sent to an upstream of this node.
func (b *ShortMove) RecordSent(r ident.Route, isCanary bool) {
	b.record(r, isCanary, VersionCounts{Sent: 1})
}

// RecordEnd counts the end of a request. work is its work time at the nominal
// speed of the instance, or the time until its deadline if that passed first.
func (b *ShortMove) RecordEnd(r ident.Route, isCanary, failed bool, work time.Duration, now time.Time) {
	end := VersionCounts{Ended: 1, WorkMillis: int(work.Milliseconds())}
	if failed {
		end = VersionCounts{Ended: 1, Failed: 1}
	}
	if b.Age(now) >= b.partOfLength(trialEnd) {
		own := b.ownRow()
		own.counts.UnderLoad.version(isCanary).add(end, 1)
		b.underLoad.version(isCanary).add(end, 1)
	}
	b.record(r, isCanary, end)
	b.Evaluate()
}

func (b *ShortMove) record(r ident.Route, isCanary bool, increase VersionCounts) {
	own := b.ownRow()
	p, sum := own.counts.Routes[r], b.byRoute[r]
	for _, x := range []*VersionPair{&p, &sum, &b.total} {
		x.version(isCanary).add(increase, 1)
	}
	own.counts.Routes[r] = p
	b.byRoute[r] = sum
	b.changeCount++
	own.changedAt = b.changeCount
}

func (b *ShortMove) ownRow() *counterRow { return b.rows[nodeStart{b.options.Node, b.options.Start}] }

// Merge replaces the counters of a node start by the given ones, in the encoding
// of EachRow, if these are newer, that is, if they count more. The caller calls
// Evaluate afterwards.
func (b *ShortMove) Merge(n ident.Node, s ident.Start, counters []byte) error {
	if n == b.options.Node && s == b.options.Start {
		return nil
	}
	var received nodeCounts
	if err := json.Unmarshal(counters, &received); err != nil {
		return err
	}
	current := b.rows[nodeStart{n, s}]
	if current == nil {
		current = &counterRow{}
		b.rows[nodeStart{n, s}] = current
	}
	if received.requestEvents() <= current.counts.requestEvents() {
		return nil
	}
	b.accumulate(current.counts, -1)
	b.accumulate(received, 1)
	b.changeCount++
	current.counts, current.changedAt = received, b.changeCount
	return nil
}

// accumulate adds c to the sums, or subtracts it with sign -1.
func (b *ShortMove) accumulate(c nodeCounts, sign int) {
	for r, p := range c.Routes {
		sum := b.byRoute[r]
		sum.add(p, sign)
		b.byRoute[r] = sum
		b.total.add(p, sign)
	}
	b.underLoad.add(c.UnderLoad, sign)
}

// ChangeCount returns the number of changes of counters so far, for EachRow.
func (b *ShortMove) ChangeCount() uint64 { return b.changeCount }

// EachRow calls f with the encoded counters of every node start that wanted
// accepts and that changed after the given value of ChangeCount; 0 selects all.
func (b *ShortMove) EachRow(after uint64, wanted func(ident.Node, ident.Start) bool, f func(n ident.Node, s ident.Start, counters []byte)) {
	for o, r := range b.rows {
		if r.changedAt <= after || !wanted(o.node, o.start) {
			continue
		}
		if body, err := json.Marshal(r.counts); err == nil {
			f(o.node, o.start, body)
		}
	}
}

func (c nodeCounts) requestEvents() int {
	n := 0
	for _, p := range c.Routes {
		n += p.Baseline.Sent + p.Baseline.Ended + p.Canary.Sent + p.Canary.Ended
	}
	return n
}

func (p *VersionPair) version(isCanary bool) *VersionCounts {
	if isCanary {
		return &p.Canary
	}
	return &p.Baseline
}

func (p *VersionPair) add(o VersionPair, sign int) {
	p.Baseline.add(o.Baseline, sign)
	p.Canary.add(o.Canary, sign)
}

func (c *VersionCounts) add(o VersionCounts, sign int) {
	c.Sent += sign * o.Sent
	c.Ended += sign * o.Ended
	c.Failed += sign * o.Failed
	c.WorkMillis += sign * o.WorkMillis
}

// Total returns the number of requests that are known to have been sent.
func (b *ShortMove) Total() int {
	return max(b.reportedTotal, b.total.Baseline.Sent+b.total.Canary.Sent)
}

// RaiseTotal raises Total to the number of requests that another node reports.
func (b *ShortMove) RaiseTotal(sent int) { b.reportedTotal = max(b.reportedTotal, sent) }

// Evaluate sets the fault if the new version is faulty over all routes, under
// load or on one route.
func (b *ShortMove) Evaluate() {
	if b.fault != "" || b.outcome != Open {
		return
	}
	if b.fault = cmp.Or(b.total.fault(minFailureRateDiff), b.underLoad.fault(minLoadedFailureRateDiff)); b.fault != "" {
		return
	}
	for _, p := range b.byRoute {
		if b.fault = p.fault(minFailureRateDiff); b.fault != "" {
			return
		}
	}
}

// fault returns the way in which the new version is worse than the old one, or
// an empty string. minRateDiff is the least difference of the failure rates that
// counts.
func (p VersionPair) fault(minRateDiff float64) string {
	newCounts, oldCounts := p.Canary, p.Baseline
	if newCounts.Failed >= minFailures && newCounts.failRate()-oldCounts.failRate() >= max(minRateDiff, minFailureSigma*p.rateStdDev()) {
		return "failures"
	}
	if newCounts.served() >= minLatencyAnswers && oldCounts.served() >= minLatencyAnswers && newCounts.meanWorkMillis() > slowWorkRatio*oldCounts.meanWorkMillis() {
		return "latency"
	}
	return ""
}

// rateStdDev is the standard deviation of the difference between the failure
// rates, if both versions fail equally often.
func (p VersionPair) rateStdDev() float64 {
	newEnded, oldEnded := float64(p.Canary.Ended), float64(p.Baseline.Ended)
	if newEnded == 0 || oldEnded == 0 {
		return 0
	}
	rate := float64(p.Canary.Failed+p.Baseline.Failed) / (newEnded + oldEnded)
	return math.Sqrt(rate * (1 - rate) * (1/newEnded + 1/oldEnded))
}

func (c VersionCounts) served() int { return c.Ended - c.Failed }

func (c VersionCounts) failRate() float64 { return float64(c.Failed) / float64(max(1, c.Ended)) }

func (c VersionCounts) meanWorkMillis() float64 {
	return float64(c.WorkMillis) / float64(max(1, c.served()))
}

// InTrial reports whether the move is still in the time before all requests
// shift.
func (b *ShortMove) InTrial(now time.Time) bool {
	return b.outcome == Open && b.fault == "" && b.Age(now) < b.partOfLength(shiftStart)
}

func (b *ShortMove) partOfLength(share float64) time.Duration {
	return time.Duration(share * float64(b.options.Length))
}

// CanAdmit reports whether an exit of the new version may accept a request.
// exits is the number of exits of the new version, which share the bound.
func (b *ShortMove) CanAdmit(exits int, now time.Time) bool {
	switch {
	case b.outcome == Done:
		return true
	case b.outcome == Reverted || b.fault != "":
		return false
	case b.isDue(now.Add(boundLiftLead)):
		return true
	}
	own := 0
	for _, p := range b.ownRow().counts.Routes {
		own += p.Canary.Sent
	}
	return float64(own) < b.usablePart(now)*b.bound()/float64(max(1, exits))
}

// bound is the number of requests that a bad version may have got by now.
func (b *ShortMove) bound() float64 {
	return b.options.ExtraRequests + b.options.Share*float64(b.Total())
}

// usablePart is the part of the bound that may be used by now. It grows with
// time during the trial, so that a fault that appears late in the trial still
// meets requests.
func (b *ShortMove) usablePart(now time.Time) float64 {
	switch {
	case b.Age(now) >= b.partOfLength(shiftStart):
		return shiftBoundPart
	case b.Age(now) >= b.partOfLength(trialEnd):
		return loadTestBoundPart
	}
	age := float64(b.Age(now)) / float64(b.partOfLength(trialEnd))
	return trialBoundPart * min(1, trialInitialPart+age)
}

// trialInitialPart is the fraction of the trial's requests that may be used at
// once.
const trialInitialPart = 0.25

// Share returns the share of requests that entries send to the new version.
func (b *ShortMove) Share(now time.Time) float64 {
	switch {
	case b.outcome == Done:
		return 1
	case b.outcome == Reverted || b.fault != "":
		return 0
	case b.Age(now) < b.partOfLength(trialEnd):
		return b.options.Share
	case b.Age(now) >= b.partOfLength(loadTestEnd) && b.InTrial(now):
		// The exits accept hardly any more requests until the shift.
		return b.options.Share
	default:
		return 1
	}
}

// OutcomeToWrite returns the outcome to write now, or Open.
func (b *ShortMove) OutcomeToWrite(now time.Time) Outcome {
	switch {
	case b.outcome != Open:
		return Open
	case b.fault != "" || b.Age(now) >= b.options.Length:
		return Reverted
	case b.isDue(now):
		return Done
	}
	return Open
}

// isDue reports whether a version without a fault is done at now.
func (b *ShortMove) isDue(now time.Time) bool {
	return b.Age(now) >= b.partOfLength(doneStart) && b.underLoad.Canary.served() >= minLoadedAnswers
}
