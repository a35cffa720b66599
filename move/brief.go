package move

import (
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
	o       BriefOptions
	began   time.Time
	rows    map[owner]tally
	outcome Outcome
	fault   string
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

// tally is what one node has counted, by route.
type tally map[ident.Route]Pair

const (
	// trialShare of the length is the time in which the new version gets few
	// requests, and pushShare the end of the time after it in which it gets all
	// requests until the bound is nearly reached: some faults show under load only.
	trialShare = 0.5
	pushShare  = 0.62
	// doneShare of the length is when a version without a fault is done; the
	// rest of the time is for writing the outcome while the store is slow.
	doneShare = 0.8
	// trialCut and pushCut are the parts of the bound that may be used in these
	// times. The rest is for the requests that the version gets between the end
	// of the push and the moment at which all exits know of a fault.
	trialCut = 0.3
	pushCut  = 0.5
	// leastBad failures and a failure rate that is higher than the old version's
	// by badRate show a fault, if chance explains the difference less often than
	// in 1 of 1,000 looks (badSigma standard deviations). A faulty version fails
	// about half of the requests that its fault concerns; overload and faults of
	// the surroundings fail those of both versions.
	leastBad = 4
	badRate  = 0.15
	badSigma = 3
	// leastSlow answers with a mean of slowRatio times the old version's work
	// time show a slow version, which takes several times as long.
	leastSlow = 8
	slowRatio = 2.5
)

// NewBrief returns a move that begins now.
func NewBrief(o BriefOptions, now time.Time) *Brief {
	return &Brief{o: o, began: now, rows: map[owner]tally{{o.Node, o.Start}: {}}}
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
	b.change(r, fresh, func(g *Group) { g.Sent++ })
}

// Ended counts the end of a request; work is its time at usual speed, for one
// that ended at its deadline the time until then.
func (b *Brief) Ended(r ident.Route, fresh, failed bool, work time.Duration) {
	b.change(r, fresh, func(g *Group) {
		g.Ended++
		if failed {
			g.Failed++
		} else {
			g.Work += int(work.Milliseconds())
		}
	})
	b.judge()
}

func (b *Brief) change(r ident.Route, fresh bool, f func(*Group)) {
	own := b.rows[owner{b.o.Node, b.o.Start}]
	p := own[r]
	if fresh {
		f(&p.New)
	} else {
		f(&p.Old)
	}
	own[r] = p
}

// Counters returns what this node has counted, and Merge takes that of others.
func (b *Brief) Counters() ([]byte, error) {
	return json.Marshal(b.rows[owner{b.o.Node, b.o.Start}])
}

// Merge takes the counters of a node's start. They replace older ones, which
// are lower.
func (b *Brief) Merge(n ident.Node, s ident.Start, counters []byte) error {
	if n == b.o.Node && s == b.o.Start {
		return nil
	}
	var t tally
	if err := json.Unmarshal(counters, &t); err != nil {
		return err
	}
	if t.size() >= b.rows[owner{n, s}].size() {
		b.rows[owner{n, s}] = t
	}
	b.judge()
	return nil
}

// Rows calls f with the counters of every node that is known.
func (b *Brief) Rows(f func(n ident.Node, s ident.Start, counters []byte)) {
	for o, t := range b.rows {
		if body, err := json.Marshal(t); err == nil && len(t) > 0 {
			f(o.node, o.start, body)
		}
	}
}

func (t tally) size() int {
	n := 0
	for _, p := range t {
		n += p.Old.Sent + p.Old.Ended + p.New.Sent + p.New.Ended
	}
	return n
}

func (g *Group) add(o Group) {
	g.Sent += o.Sent
	g.Ended += o.Ended
	g.Failed += o.Failed
	g.Work += o.Work
}

// total returns the sums over all nodes, by route and over all routes.
func (b *Brief) total() (map[ident.Route]Pair, Pair) {
	byRoute := map[ident.Route]Pair{}
	var all Pair
	for _, t := range b.rows {
		for r, p := range t {
			sum := byRoute[r]
			sum.Old.add(p.Old)
			sum.New.add(p.New)
			byRoute[r] = sum
			all.Old.add(p.Old)
			all.New.add(p.New)
		}
	}
	return byRoute, all
}

// judge latches a fault of the new version, on one route or over all of them.
func (b *Brief) judge() {
	if b.fault != "" || b.outcome != Open {
		return
	}
	byRoute, all := b.total()
	if reason := all.fault(); reason != "" {
		b.fault = reason
		return
	}
	for _, p := range byRoute {
		if reason := p.fault(); reason != "" {
			b.fault = reason
			return
		}
	}
}

// fault returns why the new version is worse than the old one, or nothing.
func (p Pair) fault() string {
	n, o := p.New, p.Old
	if n.Failed >= leastBad && n.failRate()-o.failRate() >= max(badRate, badSigma*p.spread()) {
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

// Trial reports whether the move is in the time in which the new version gets
// a bounded number of requests.
func (b *Brief) Trial(now time.Time) bool {
	return b.outcome == Open && b.fault == "" && b.Age(now) < b.part(pushShare)
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
	case !b.Trial(now):
		return true
	}
	_, all := b.total()
	bound := b.o.Slack + b.o.Share*float64(all.Old.Sent+all.New.Sent)
	own := 0
	for _, p := range b.rows[owner{b.o.Node, b.o.Start}] {
		own += p.New.Sent
	}
	return float64(own) < b.cut(now)*bound/float64(max(1, exits))
}

// cut is the part of the bound that may be used by now. In the trial it grows
// with time, so that late faults meet requests, too.
func (b *Brief) cut(now time.Time) float64 {
	age := float64(b.Age(now)) / float64(b.part(trialShare))
	if age >= 1 {
		return pushCut
	}
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
	default:
		return 1
	}
}

// Verdict returns the outcome that is to be written now.
func (b *Brief) Verdict(now time.Time) Outcome {
	_, all := b.total()
	switch {
	case b.outcome != Open:
		return Open
	case b.fault != "" || b.Age(now) >= b.o.Length:
		return Reverted
	case b.Age(now) >= b.part(doneShare) && all.New.served() >= leastSlow:
		return Done
	}
	return Open
}
