package usage_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/control/usage"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

const (
	length = 5 * time.Second
	late   = 10 * time.Second
	// clockError bounds the error of true time in the simulation: half of the
	// longest round trip, and the error of most wall clocks.
	clockError = 60 * time.Millisecond
	nodeCount  = 5
)

// trueStart is the true time at the start, which is in the middle of a window.
var trueStart = time.Unix(1_800_000_002, 0)

// simNode is one node of the simulation.
type simNode struct {
	name   ident.Node
	start  ident.Start
	clock  usage.Clock
	ledger *usage.Ledger
	merged *usage.Table
	// wallError is the error of the node's wall clock.
	wallError time.Duration
	reporter  *usage.Reporter
	heldSince time.Time
	version   int
	// losses counts the messages lost in a row.
	losses int
}

// sim runs nodes whose holder changes, over messages that are lost, late and
// duplicated, a store and a platform that fail, and wall clocks that step. The
// lease is ideal; package duty tests it.
type sim struct {
	t       *rapid.T
	events  *fakes.Events
	rand    *rand.Rand
	faults  float64
	nodes   []*simNode
	offset  *int64
	holder  *simNode
	state   []byte
	version int
	storeUp bool
	// sent has the bodies that reached the platform, accepted or not.
	sent     map[usage.Window]string
	accepted map[usage.Window]time.Time
	// requests has the true times of the requests of each workspace.
	requests map[ident.Workspace][]time.Time
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t: t, events: fakes.NewEvents(trueStart), storeUp: true,
		sent: map[usage.Window]string{}, accepted: map[usage.Window]time.Time{}, requests: map[ident.Workspace][]time.Time{},
	}
	s.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	for i := range nodeCount {
		n := &simNode{name: ident.Node(fmt.Sprintf("n%d", i)), start: ident.Start(i + 1), merged: usage.NewTable()}
		n.ledger = usage.NewLedger(n.name, n.start, length, s.events.Now())
		n.wallError = time.Duration(s.rand.IntN(40)-20) * time.Millisecond
		// A minority of the clocks is wrong, and later steps further.
		if i < nodeCount/2 {
			n.wallError = time.Duration(s.rand.IntN(20)-10) * time.Second
		}
		s.nodes = append(s.nodes, n)
		s.events.After(s.duration(time.Second), func() { s.send(n) })
		s.events.After(s.duration(time.Second), func() { s.request(n) })
	}
	s.events.After(time.Second, s.changeHolder)
	s.events.After(0, s.act)
	return s
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (s *sim) duration(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

// storeMillis is the store's clock, which starts at an unrelated moment.
func (s *sim) storeMillis() int64 { return 77_000 + s.events.Now().Sub(trueStart).Milliseconds() }

// request sends one request to the upstream of a node.
func (s *sim) request(n *simNode) {
	w := ident.Workspace(fmt.Sprintf("w%d", s.rand.IntN(3)))
	now := s.events.Now()
	n.ledger.Count(w, &n.clock, now)
	s.requests[w] = append(s.requests[w], now)
	s.events.After(s.duration(100*time.Millisecond), func() { s.request(n) })
}

// send sends the counts of a node to the holder, once or twice, and learns the
// time from the answer.
func (s *sim) send(n *simNode) {
	again := time.Second
	if !s.sendOnce(n) {
		again = 300 * time.Millisecond
	}
	s.events.After(again, func() { s.send(n) })
}

// sendOnce reports whether the message and its answer arrive.
func (s *sim) sendOnce(n *simNode) bool {
	now := s.events.Now()
	h := s.holder
	if h == nil {
		return false
	}
	to := usage.Receiver{Node: h.name, Start: h.start}
	update, due := n.ledger.Update(to, &n.clock, now)
	if _, ok := n.clock.Offset(); !due && ok {
		return true
	}
	lost := n.losses < 2 && s.chance(s.faults)
	answerLost := !lost && n.losses < 2 && s.chance(s.faults)
	n.losses++
	if !lost && !answerLost {
		n.losses = 0
	}
	sentAt := now
	deliver := func() { h.merged.Merge(update) }
	if s.chance(s.faults) {
		s.events.After(s.duration(4*time.Second), deliver)
	}
	if lost {
		return false
	}
	s.events.After(s.duration(20*time.Millisecond), func() {
		deliver()
		millis, offset := s.storeMillis(), s.offset
		if answerLost || s.holder != h {
			return
		}
		if _, ok := n.clock.Offset(); !ok && offset != nil {
			// The counts so far can be sent now.
			s.events.After(300*time.Millisecond, func() { s.sendOnce(n) })
		}
		s.events.After(s.duration(20*time.Millisecond), func() {
			n.ledger.Acknowledge(to, update)
			n.clock.Observe(millis, sentAt, s.events.Now())
			if offset != nil {
				n.clock.SetOffset(time.Duration(*offset) * time.Millisecond)
			}
		})
	})
	return !answerLost
}

// changeHolder moves the duty to another node, which starts from the stored state,
// or to none for a while.
func (s *sim) changeHolder() {
	if s.holder != nil {
		s.holder.reporter = nil
	}
	s.holder = nil
	s.events.After(s.duration(3*time.Second), func() {
		s.holder = s.nodes[s.rand.IntN(nodeCount)]
		s.holder.heldSince = s.events.Now()
		s.holder.clock.Observe(s.storeMillis(), s.events.Now(), s.events.Now())
	})
	if s.faults > 0 {
		s.events.After(10*time.Second+s.duration(20*time.Second), s.changeHolder)
	}
	s.storeUp = s.faults == 0 || !s.chance(0.2)
	for _, n := range s.nodes[:nodeCount/2] {
		n.wallError += time.Duration(s.rand.IntN(20)-10) * time.Second
	}
}

// act performs steps of the holder.
func (s *sim) act() {
	defer s.events.After(50*time.Millisecond, s.act)
	h := s.holder
	if h == nil || !s.storeUp {
		return
	}
	now := s.events.Now()
	if h.reporter == nil {
		state, err := usage.DecodeState(s.state)
		assert.NilError(s.t, err)
		h.version = s.version
		h.reporter = usage.NewReporter(usage.ReporterOptions{Length: length, Late: late, Rate: 50, Rand: s.rand.Float64}, state)
		s.decideOffset(h, state)
		return
	}
	trueTime, ok := h.clock.True(now)
	if !ok {
		return
	}
	a := h.reporter.Next(usage.View{
		Now: now, True: trueTime, HeldFor: now.Sub(h.heldSince), Table: h.merged,
		Responds: func(ident.Node) bool { return true },
	})
	switch a.Kind {
	case usage.ReporterDecide:
		body, err := json.Marshal(a.Counts)
		assert.NilError(s.t, err)
		next, dropped := h.reporter.StateWith(usage.Report{Window: a.Window, Body: string(body)})
		assert.Equal(s.t, dropped, 0)
		s.commit(h, next)
	case usage.ReporterSend:
		s.post(h, a.Report)
	case usage.ReporterWait:
	}
}

func (s *sim) decideOffset(h *simNode, state usage.State) {
	if state.OffsetMillis == nil {
		var samples []time.Duration
		for _, n := range s.nodes {
			c := usage.Clock{}
			c.Observe(s.storeMillis(), s.events.Now().Add(-s.duration(10*time.Millisecond)), s.events.Now())
			d, _ := c.WallOffset(s.events.Now().Add(n.wallError), s.events.Now())
			samples = append(samples, d)
		}
		state.OffsetMillis = new(usage.MedianOffset(samples).Milliseconds())
		s.commit(h, state)
	}
	s.offset = state.OffsetMillis
	h.heldSince = s.events.Now()
	h.clock.SetOffset(time.Duration(*state.OffsetMillis) * time.Millisecond)
}

// commit stores a state if no other was stored. The answer may be lost.
func (s *sim) commit(h *simNode, next usage.State) {
	value, err := next.Encode()
	assert.NilError(s.t, err)
	if h.version != s.version {
		h.reporter = nil
		return
	}
	s.version++
	s.state = value
	if s.chance(s.faults / 4) {
		h.reporter = nil // reads the row again
		return
	}
	h.version = s.version
	h.reporter.RecordState(next)
	if next.Through != nil {
		h.merged.RecordDecided(*next.Through)
	}
}

// post sends a report to the platform, which may fail before or after it takes
// effect.
func (s *sim) post(h *simNode, r usage.Report) {
	now := s.events.Now()
	if s.chance(s.faults) {
		h.reporter.RecordFailure(0, now)
		return
	}
	before, known := s.sent[r.Window]
	assert.Assert(s.t, !known || before == r.Body, "window %d: %s, then %s", r.Window, before, r.Body)
	s.sent[r.Window] = r.Body
	if _, ok := s.accepted[r.Window]; !ok {
		s.accepted[r.Window] = now
	}
	if s.chance(s.faults) {
		h.reporter.RecordFailure(time.Second, now)
		return
	}
	h.reporter.RecordSettled(r.Window, now)
}

// between counts the requests of a workspace in a span of true time.
func (s *sim) between(w ident.Workspace, from, to time.Time) uint64 {
	index := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(s.requests[w], t, time.Time.Compare)
		return i
	}
	return uint64(max(0, index(to)-index(from)))
}

// checkCounts compares the reports with the requests, whose windows are certain
// apart from those within clockError of a boundary.
func (s *sim) checkCounts(through time.Time) {
	first, last := usage.WindowAt(trueStart, length), usage.WindowAt(through, length)-1
	for w := first; w <= last; w++ {
		body, ok := s.sent[w]
		assert.Assert(s.t, ok, "window %d was not reported", w)
		var counts map[ident.Workspace]uint64
		assert.NilError(s.t, json.Unmarshal([]byte(body), &counts))
		begin, end := (w - 1).End(length), w.End(length)
		for name := range s.requests {
			least := s.between(name, begin.Add(clockError), end.Add(-clockError))
			most := s.between(name, begin.Add(-clockError), end.Add(clockError))
			if w == first {
				// True time wasn't known yet; those counts have a resolution of 100 ms.
				least, most = s.between(name, begin, end.Add(-200*time.Millisecond)), s.between(name, begin, end.Add(200*time.Millisecond))
			}
			assert.Assert(s.t, counts[name] >= least && counts[name] <= most, "window %d: %s: %d reported, %d to %d expected", w, name, counts[name], least, most)
		}
	}
}

// Guards against two different reports of a window, a window without a report, and
// counts that are too low or too high, while the holder changes, messages are
// lost, late and duplicated, the store and the platform fail and a minority of the
// wall clocks steps by seconds.
func TestEachWindowOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.faults = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "faults")
		s.events.Run(trueStart.Add(2 * time.Minute))
		s.faults, s.storeUp = 0, true
		if s.holder == nil {
			s.events.After(0, s.changeHolder)
		}
		end := s.events.Now()
		s.events.Run(end.Add(40 * time.Second))
		s.checkCounts(end)
	})
}

// Guards against reports that come late although nothing fails.
func TestReportsAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.events.Run(trueStart.Add(time.Minute))
		first := usage.WindowAt(trueStart, length)
		for w := first; w < usage.WindowAt(trueStart.Add(time.Minute-late), length); w++ {
			at, ok := s.accepted[w]
			assert.Assert(t, ok && at.Sub(w.End(length)) < late, "window %d: %v", w, at.Sub(w.End(length)))
		}
	})
}

// Guards against a holder that sends a window it decided although a node whose
// counts are missing still responds, and against one that waits beyond the time
// at which the report is due.
func TestWaitsForMissingCounts(t *testing.T) {
	table := usage.NewTable()
	r := usage.NewReporter(usage.ReporterOptions{Length: length, Late: late, Rate: 50, Rand: rand.Float64}, usage.State{})
	w := usage.Window(100)
	counts := []usage.WindowCounts{{Window: w, Counts: []usage.Count{{Workspace: "a", Requests: 3}}}}
	table.Merge(usage.Update{Node: "n1", Start: 1, Complete: w - 1, Windows: counts})
	kindAt := func(age time.Duration, responds bool) usage.ReporterActionKind {
		now := w.End(length).Add(age)
		return r.Next(usage.View{Now: now, True: now, HeldFor: time.Hour, Table: table, Responds: func(ident.Node) bool { return responds }}).Kind
	}
	assert.Equal(t, kindAt(late/2, true), usage.ReporterWait)
	assert.Equal(t, kindAt(late/2, false), usage.ReporterDecide)
	assert.Equal(t, kindAt(late-time.Second, true), usage.ReporterDecide)
	table.Merge(usage.Update{Node: "n1", Start: 1, Complete: w})
	assert.Equal(t, kindAt(late/2, true), usage.ReporterDecide)
	assert.Equal(t, kindAt(time.Second, true), usage.ReporterWait)
}

// Guards against state that grows during an outage of the platform, and against an
// unbounded ledger while no holder takes the counts.
func TestBounds(t *testing.T) {
	r := usage.NewReporter(usage.ReporterOptions{Length: length, Late: late, Rate: 50, Rand: rand.Float64}, usage.State{})
	dropped := 0
	for w := range usage.Window(1000) {
		next, n := r.StateWith(usage.Report{Window: w, Body: "{}"})
		dropped += n
		r.RecordState(next)
	}
	assert.Equal(t, dropped, 1000-len(r.State().Pending))
	assert.Assert(t, len(r.State().Pending) <= 60)
	now := trueStart
	c := usage.Clock{}
	c.Observe(now.UnixMilli(), now, now)
	c.SetOffset(0)
	l := usage.NewLedger("n", 1, time.Second, now)
	for i := range 1000 {
		l.Count("w", &c, now.Add(time.Duration(i)*time.Second))
	}
	u, due := l.Update(usage.Receiver{Node: "h"}, &c, now.Add(1000*time.Second))
	assert.Assert(t, due && len(u.Windows) <= usage.Retained, "%d windows", len(u.Windows))
}

// Guards against counts that a new holder doesn't get, because the previous one has
// acknowledged them, or that a restart of the holder loses.
func TestNewReceiverGetsAllCounts(t *testing.T) {
	now := trueStart
	c := usage.Clock{}
	c.Observe(now.UnixMilli(), now, now)
	c.SetOffset(0)
	l := usage.NewLedger("n", 1, length, now)
	l.Count("w", &c, now)
	a, b := usage.Receiver{Node: "a", Start: 1}, usage.Receiver{Node: "b", Start: 1}
	u, due := l.Update(usage.Receiver{Node: "a"}, &c, now)
	assert.Assert(t, due)
	l.Acknowledge(a, u)
	_, due = l.Update(a, &c, now)
	assert.Assert(t, !due, "sent again after an acknowledgement")
	for _, to := range []usage.Receiver{b, {Node: "b", Start: 2}} {
		u, due = l.Update(to, &c, now)
		assert.Assert(t, due && len(u.Windows) == 1)
		l.Acknowledge(to, u)
	}
	sum := usage.NewTable()
	sum.Merge(u)
	sum.Merge(u)
	assert.Assert(t, maps.Equal(sum.Sum(u.Windows[0].Window), map[ident.Workspace]uint64{"w": 1}))
}

// Guards against a holder that counts a window again that was decided with fewer
// counts, instead of sending the stored report.
func TestNextHolderKeepsDecisions(t *testing.T) {
	w := usage.Window(100)
	o := usage.ReporterOptions{Length: length, Late: late, Rate: 50, Rand: rand.Float64}
	stored, _ := usage.NewReporter(o, usage.State{}).StateWith(usage.Report{Window: w, Body: "stored"})
	value, err := stored.Encode()
	assert.NilError(t, err)
	state, err := usage.DecodeState(value)
	assert.NilError(t, err)
	table := usage.NewTable()
	table.Merge(usage.Update{Node: "n1", Start: 1, Complete: w, Windows: []usage.WindowCounts{{Window: w, Counts: []usage.Count{{Workspace: "a", Requests: 3}}}}})
	r := usage.NewReporter(o, state)
	now := w.End(length).Add(late)
	v := usage.View{Now: now, True: now, HeldFor: time.Hour, Table: table, Responds: func(ident.Node) bool { return true }}
	a := r.Next(v)
	assert.Equal(t, a.Kind, usage.ReporterSend)
	assert.Equal(t, a.Report, usage.Report{Window: w, Body: "stored"})
	r.RecordSettled(w, now)
	v.Now = now.Add(time.Second)
	assert.Equal(t, r.Next(v).Kind, usage.ReporterWait)
}
