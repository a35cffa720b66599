package move

import (
	"cmp"
	"encoding/json"
	"math"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Brief decides a move of some seconds with some hundred requests, for which
// the sequential tests of a Mover have too little evidence. The number of
// requests that the new version may get is bounded and counted at its exits.
//
// It needs no wall clock: a move begins when a node first hears of it, and
// nodes tell each other how long it has been running. Counters only grow and
// merge by maximum, so that the order of merges doesn't matter. It isn't safe
// for concurrent use.
type Brief struct {
	o     BriefOptions
	began time.Time
	rows  map[owner]*row
	// byRoute, all and loaded are the sums over rows.
	byRoute map[ident.Route]Pair
	all     Pair
	loaded  Pair
	// told is the largest number of requests that another node has told.
	told int
	// clock counts changes of rows.
	clock   uint64
	outcome Outcome
	fault   string
}

// row is what one node has counted, and the clock of its latest change here.
type row struct {
	tally   tally
	changed uint64
}

// BriefOptions configures a Brief.
type BriefOptions struct {
	Node  ident.Node
	Start ident.Start
	// Length is the time from the order to the deadline.
	Length time.Duration
	// Share of all requests, and Slack requests beyond, bound what a bad
	// version may get.
	Share float64
	Slack float64
}

// Group counts the requests of one version on one route.
type Group struct {
	// Sent counts requests handed to upstreams, Ended those with an end.
	Sent  int `json:"s"`
	Ended int `json:"e"`
	// Failed counts failures among Ended.
	Failed int `json:"f"`
	// Work sums the work time of the others, in ms at usual speed.
	Work int `json:"w"`
}

// Pair compares the versions on one route.
type Pair struct {
	Old Group `json:"o"`
	New Group `json:"n"`
}

// tally is what one node has counted.
type tally struct {
	Routes map[ident.Route]Pair `json:"r"`
	// Loaded counts the ends after the trial, when the new version has load.
	Loaded Pair `json:"l"`
}

const (
	// trialShare of the length is the time in which the new version gets few
	// requests, and pushShare the end of the time after it in which it gets all
	// requests until its part of the bound is used: some faults show under load
	// only.
	trialShare = 0.5
	pushShare  = 0.62
	// doneShare of the length is when a version without a fault is done; the
	// rest of the time is for writing the outcome while the store is slow.
	doneShare = 0.84
	// shiftShare of the length is when all requests shift, shortly before the
	// version is done, so that few are left at the old one then.
	shiftShare = 0.7
	// trialCut, pushCut and shiftCut are the parts of the bound that may be used
	// until the end of the trial, until the shift and until liftTime before the
	// version is done. Between push and shift the answers to the push come in. No
	// evidence lifts the bound earlier: a burst can hide a fault for about a
	// second, in which a version without a bound got 80 requests. The push is the largest part: a fault under load shows only while the
	// version gets all requests for most of a second.
	trialCut = 0.2
	pushCut  = 0.75
	shiftCut = 0.95
	// leastLoaded answers under load are needed before a version is done.
	leastLoaded = 16
	// liftTime before the version is done, its exits take all requests: the old
	// upstreams are stopped as soon as the outcome is written, and nodes differ
	// by some 100 ms in when the move began.
	liftTime = 400 * time.Millisecond
	// leastBad failures and a failure rate that is higher than the old version's
	// by badRate show a fault, if chance explains the difference less often than
	// in 1 of 1,000 looks (badSigma standard deviations). A faulty version fails
	// about half of the requests that its fault concerns; overload and faults of
	// the surroundings fail those of both versions.
	leastBad = 4
	badRate  = 0.15
	badSigma = 3
	// loadedRate is the difference that counts under load: a fault that needs
	// load also spares the requests of the quieter moments.
	loadedRate = 0.1
	// leastSlow answers with a mean of slowRatio times the old version's work
	// time show a slow version, which takes several times as long.
	leastSlow = 8
	slowRatio = 2.5
)

// NewBrief returns a move that begins now.
func NewBrief(o BriefOptions, now time.Time) *Brief {
	return &Brief{
		o:       o,
		began:   now,
		rows:    map[owner]*row{{o.Node, o.Start}: {tally: tally{Routes: map[ident.Route]Pair{}}}},
		byRoute: map[ident.Route]Pair{},
	}
}

// Age returns how long the move has been running.
func (b *Brief) Age(now time.Time) time.Duration { return now.Sub(b.began) }

// Older takes the age that another node knows of.
func (b *Brief) Older(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.Before(b.began) {
		b.began = at
	}
}

// Outcome returns the outcome, if known, and Learn takes it from the row.
func (b *Brief) Outcome() Outcome { return b.outcome }

// Learn takes over an outcome; the first one is final.
func (b *Brief) Learn(o Outcome) {
	if b.outcome == Open {
		b.outcome = o
	}
}

// Fault returns the fault of the new version, or nothing.
func (b *Brief) Fault() string { return b.fault }

// Latch sets the fault that another node has found.
func (b *Brief) Latch(reason string) {
	if b.fault == "" {
		b.fault = reason
	}
}

// Sent counts a request that is handed to an upstream of this node.
func (b *Brief) Sent(r ident.Route, fresh bool) {
	b.change(r, fresh, Group{Sent: 1})
}

// Ended counts the end of a request; work is its time at usual speed, for one
// that ended at its deadline the time until then.
func (b *Brief) Ended(r ident.Route, fresh, failed bool, work time.Duration, now time.Time) {
	end := Group{Ended: 1, Work: int(work.Milliseconds())}
	if failed {
		end = Group{Ended: 1, Failed: 1}
	}
	if b.Age(now) >= b.part(trialShare) {
		own := b.own()
		own.tally.Loaded.group(fresh).add(end, 1)
		b.loaded.group(fresh).add(end, 1)
	}
	b.change(r, fresh, end)
	b.Judge()
}

func (b *Brief) change(r ident.Route, fresh bool, by Group) {
	own := b.own()
	p, sum := own.tally.Routes[r], b.byRoute[r]
	for _, x := range []*Pair{&p, &sum, &b.all} {
		x.group(fresh).add(by, 1)
	}
	own.tally.Routes[r] = p
	b.byRoute[r] = sum
	b.clock++
	own.changed = b.clock
}

func (b *Brief) own() *row { return b.rows[owner{b.o.Node, b.o.Start}] }

// Merge takes the counters of a node's start, as Rows gives them. They replace
// older ones, which are lower. Judge looks at the result.
func (b *Brief) Merge(n ident.Node, s ident.Start, counters []byte) error {
	if n == b.o.Node && s == b.o.Start {
		return nil
	}
	var t tally
	if err := json.Unmarshal(counters, &t); err != nil {
		return err
	}
	have := b.rows[owner{n, s}]
	if have == nil {
		have = &row{}
		b.rows[owner{n, s}] = have
	}
	if t.size() <= have.tally.size() {
		return nil
	}
	b.sum(have.tally, -1)
	b.sum(t, 1)
	b.clock++
	have.tally, have.changed = t, b.clock
	return nil
}

// sum adds a tally to the sums, or takes it away with sign -1.
func (b *Brief) sum(t tally, sign int) {
	for r, p := range t.Routes {
		sum := b.byRoute[r]
		sum.add(p, sign)
		b.byRoute[r] = sum
		b.all.add(p, sign)
	}
	b.loaded.add(t.Loaded, sign)
}

// Clock counts the changes of counters, for Rows.
func (b *Brief) Clock() uint64 { return b.clock }

// Rows calls f with the counters of every node that wanted accepts and whose
// latest change came after a clock; 0 means all.
func (b *Brief) Rows(after uint64, wanted func(ident.Node, ident.Start) bool, f func(n ident.Node, s ident.Start, counters []byte)) {
	for o, r := range b.rows {
		if r.changed <= after || !wanted(o.node, o.start) {
			continue
		}
		if body, err := json.Marshal(r.tally); err == nil {
			f(o.node, o.start, body)
		}
	}
}

func (t tally) size() int {
	n := 0
	for _, p := range t.Routes {
		n += p.Old.Sent + p.Old.Ended + p.New.Sent + p.New.Ended
	}
	return n
}

func (p *Pair) group(fresh bool) *Group {
	if fresh {
		return &p.New
	}
	return &p.Old
}

func (p *Pair) add(o Pair, sign int) {
	p.Old.add(o.Old, sign)
	p.New.add(o.New, sign)
}

func (g *Group) add(o Group, sign int) {
	g.Sent += sign * o.Sent
	g.Ended += sign * o.Ended
	g.Failed += sign * o.Failed
	g.Work += sign * o.Work
}

// Total returns the number of requests that are known to have been sent, and
// Told takes that of a node that knows of more.
func (b *Brief) Total() int { return max(b.told, b.all.Old.Sent+b.all.New.Sent) }

// Told takes the number of requests that another node knows of.
func (b *Brief) Told(sent int) { b.told = max(b.told, sent) }

// Judge latches a fault of the new version, over all routes, under load only
// or on one route.
func (b *Brief) Judge() {
	if b.fault != "" || b.outcome != Open {
		return
	}
	if b.fault = cmp.Or(b.all.fault(badRate), b.loaded.fault(loadedRate)); b.fault != "" {
		return
	}
	for _, p := range b.byRoute {
		if b.fault = p.fault(badRate); b.fault != "" {
			return
		}
	}
}

// fault returns why the new version is worse than the old one, or nothing.
// Least is the least difference of the failure rates that counts.
func (p Pair) fault(least float64) string {
	n, o := p.New, p.Old
	if n.Failed >= leastBad && n.failRate()-o.failRate() >= max(least, badSigma*p.spread()) {
		return "failures"
	}
	if n.served() >= leastSlow && o.served() >= leastSlow && n.work() > slowRatio*o.work() {
		return "latency"
	}
	return ""
}

// spread is the standard deviation of the difference between the failure
// rates if both versions fail equally often.
func (p Pair) spread() float64 {
	n, o := float64(p.New.Ended), float64(p.Old.Ended)
	if n == 0 || o == 0 {
		return 0
	}
	rate := float64(p.New.Failed+p.Old.Failed) / (n + o)
	return math.Sqrt(rate * (1 - rate) * (1/n + 1/o))
}

func (g Group) served() int { return g.Ended - g.Failed }

func (g Group) failRate() float64 { return float64(g.Failed) / float64(max(1, g.Ended)) }

func (g Group) work() float64 { return float64(g.Work) / float64(max(1, g.served())) }

// Trial reports whether the move is in the time before all requests shift.
func (b *Brief) Trial(now time.Time) bool {
	return b.outcome == Open && b.fault == "" && b.Age(now) < b.part(shiftShare)
}

func (b *Brief) part(share float64) time.Duration {
	return time.Duration(share * float64(b.o.Length))
}

// Admits reports whether an exit of the new version may take a request.
// Exits is the number of exits of the new version, which share the bound.
func (b *Brief) Admits(exits int, now time.Time) bool {
	switch {
	case b.outcome == Done:
		return true
	case b.outcome == Reverted || b.fault != "":
		return false
	case b.due(now.Add(liftTime)):
		return true
	}
	own := 0
	for _, p := range b.own().tally.Routes {
		own += p.New.Sent
	}
	return float64(own) < b.cut(now)*b.bound()/float64(max(1, exits))
}

// bound is the number of requests that a bad version may have got by now.
func (b *Brief) bound() float64 { return b.o.Slack + b.o.Share*float64(b.Total()) }

// cut is the part of the bound that may be used by now. In the trial it grows
// with time, so that late faults meet requests, too.
func (b *Brief) cut(now time.Time) float64 {
	switch {
	case b.Age(now) >= b.part(shiftShare):
		return shiftCut
	case b.Age(now) >= b.part(trialShare):
		return pushCut
	}
	age := float64(b.Age(now)) / float64(b.part(trialShare))
	return trialCut * min(1, trialFirst+age)
}

// trialFirst is the part of the trial's requests that may be used at once.
const trialFirst = 0.25

// Share returns the share of requests that entries send to the new version.
func (b *Brief) Share(now time.Time) float64 {
	switch {
	case b.outcome == Done:
		return 1
	case b.outcome == Reverted || b.fault != "":
		return 0
	case b.Age(now) < b.part(trialShare):
		return b.o.Share
	case b.Age(now) >= b.part(pushShare) && b.Trial(now):
		// The exits take hardly any more until the shift.
		return b.o.Share
	default:
		return 1
	}
}

// Verdict returns the outcome that is to be written now.
func (b *Brief) Verdict(now time.Time) Outcome {
	switch {
	case b.outcome != Open:
		return Open
	case b.fault != "" || b.Age(now) >= b.o.Length:
		return Reverted
	case b.due(now):
		return Done
	}
	return Open
}

// due reports whether a version without a fault is done at a time.
func (b *Brief) due(now time.Time) bool {
	return b.Age(now) >= b.part(doneShare) && b.loaded.New.served() >= leastLoaded
}
