package duty_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/control/duty"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/store"
)

const (
	length    = 3 * time.Second
	key       = "duty/test"
	nodeCount = 3
)

var errTest = errors.New("injected fault")

// rows is a store in virtual time. As on the platform, one counter numbers all
// changes, and its clock starts at an unrelated moment.
type rows struct {
	now     func() time.Time
	byKey   map[string]store.Row
	version uint64
	// hidesVersion leaves the version out of the answers to commits.
	hidesVersion bool
}

var storeEpoch = time.Unix(1000, 0)

func (s *rows) millis() int64 { return s.now().Sub(storeEpoch).Milliseconds() }

func (s *rows) get(k string) (store.Row, store.Result) {
	r := s.byKey[k]
	r.Key = k
	return r, store.Result{Outcome: store.Done, NowMillis: s.millis()}
}

func (s *rows) commit(writes []store.Write) store.Result {
	for _, w := range writes {
		if s.byKey[w.Key].Version != w.ExpectedVersion {
			return store.Result{Outcome: store.Refused, Conflict: true, Err: errTest}
		}
	}
	s.version++
	for _, w := range writes {
		s.byKey[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	r := store.Result{Outcome: store.Done, NowMillis: s.millis(), Version: s.version}
	if s.hidesVersion {
		r.Version = 0
	}
	return r
}

// call is one call of the platform that a holder has made.
type call struct {
	node  ident.Node
	start ident.Start
	token duty.Token
	at    time.Time
}

// process is one start of a node in the simulation.
type process struct {
	sim         *sim
	index       int
	node        ident.Node
	start       ident.Start
	lease       *duty.Lease
	pausedUntil time.Time
	busy        bool
	ended       bool
}

// sim runs several nodes that crash, pause, stop as planned and restart, over a
// store whose answers are slow, lost, or whose writes take effect late.
type sim struct {
	t      *rapid.T
	events *fakes.Events
	store  *rows
	rand   *rand.Rand
	// faults is the probability of a fault of a call or a process, and stops that
	// of a planned stop in each tick.
	faults    float64
	stops     float64
	processes [nodeCount]*process
	starts    int
	calls     []call
}

func newSim(t *rapid.T) *sim {
	e := fakes.NewEvents(time.Unix(5000, 0))
	s := &sim{t: t, events: e, store: &rows{now: e.Now, byKey: map[string]store.Row{}}, faults: 0.1}
	s.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s.store.hidesVersion = rapid.Bool().Draw(t, "hides version")
	for i := range nodeCount {
		s.startProcess(i)
	}
	return s
}

func (s *sim) startProcess(i int) {
	s.starts++
	p := &process{sim: s, index: i, node: ident.Node(fmt.Sprintf("n%d", i)), start: ident.Start(s.starts)}
	p.lease = duty.New(duty.Options{
		Node: p.node, Start: p.start, Key: key, Length: length, Stagger: length / 10,
		FirstCall: s.events.Now(), Rand: s.rand.Float64,
	})
	s.processes[i] = p
	s.events.After(0, p.tick)
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (s *sim) latency() time.Duration {
	if s.chance(s.faults) {
		return time.Duration(s.rand.Int64N(int64(2 * length)))
	}
	return time.Duration(s.rand.Int64N(int64(20 * time.Millisecond)))
}

// whenRunning runs f when the process isn't paused, unless it has ended.
func (p *process) whenRunning(f func()) {
	if wait := p.pausedUntil.Sub(p.sim.events.Now()); wait > 0 {
		p.sim.events.After(wait, func() { p.whenRunning(f) })
		return
	}
	if !p.ended {
		f()
	}
}

func (p *process) tick() {
	p.whenRunning(func() {
		s := p.sim
		p.useLease()
		p.act()
		switch {
		case s.chance(s.faults / 40):
			p.end()
		case s.chance(s.stops):
			p.stop()
		case s.chance(s.faults / 10):
			p.pausedUntil = s.events.Now().Add(time.Duration(s.rand.Int64N(int64(3 * length))))
		}
		s.events.After(20*time.Millisecond, p.tick)
	})
}

// useLease makes a call of the platform if the lease allows it.
func (p *process) useLease() {
	now := p.sim.events.Now()
	if token, until, ok := p.lease.Valid(now); ok && now.Before(until) {
		p.sim.calls = append(p.sim.calls, call{p.node, p.start, token, now})
		for _, o := range p.sim.processes {
			o.lease.RecordHolder(until.Sub(now), now)
		}
	}
}

func (p *process) act() {
	if p.busy {
		return
	}
	now := p.sim.events.Now()
	switch p.lease.Next(p.index, now).Kind {
	case duty.Read:
		p.read()
	case duty.Commit:
		if w, ok := p.lease.Prepare(now); ok {
			p.commit(w, func(r store.Result) { p.lease.HandleCommit(r, p.sim.events.Now()) })
		} else {
			p.read()
		}
	case duty.Wait:
	}
}

func (p *process) read() {
	s := p.sim
	p.busy = true
	sentAt := s.events.Now()
	lost := s.chance(s.faults)
	s.events.After(s.latency(), func() {
		row, res := s.store.get(key)
		if lost {
			row, res = store.Row{Key: key}, store.Result{Outcome: store.Refused, Err: errTest}
		}
		s.events.After(s.latency(), func() {
			p.whenRunning(func() {
				p.busy = false
				_ = p.lease.HandleRow(row, res, sentAt, s.events.Now())
			})
		})
	})
}

// commit sends a write. Its answer may be lost, and after that it may still take
// effect.
func (p *process) commit(w store.Write, done func(store.Result)) {
	s := p.sim
	p.busy = true
	unknown := s.chance(s.faults)
	lost := unknown && s.chance(0.5)
	toStore, toProcess := s.latency(), s.latency()
	answer := func(r store.Result) {
		p.whenRunning(func() {
			p.busy = false
			done(r)
		})
	}
	if unknown {
		s.events.After(time.Duration(s.rand.Int64N(int64(length))), func() { answer(store.Result{Outcome: store.Unknown, Err: errTest}) })
	}
	s.events.After(toStore, func() {
		if lost {
			return
		}
		r := s.store.commit([]store.Write{w})
		if !unknown {
			s.events.After(toProcess, func() { answer(r) })
		}
	})
}

// end ends the process without notice; the node restarts.
func (p *process) end() {
	p.ended = true
	p.sim.events.After(time.Duration(p.sim.rand.Int64N(int64(length))), func() { p.sim.startProcess(p.index) })
}

// stop ends the process as planned. A process that isn't the holder, or that can't
// tell, ends like any other.
func (p *process) stop() {
	_, _, held := p.lease.Valid(p.sim.events.Now())
	p.lease.Stop()
	p.release(held)
}

func (p *process) release(held bool) {
	if p.ended {
		return
	}
	if p.busy {
		p.sim.events.After(5*time.Millisecond, func() { p.release(held) })
		return
	}
	w, ok := p.lease.PrepareRelease(p.sim.events.Now())
	if !ok && held {
		p.read()
		p.release(false)
		return
	}
	if !ok {
		p.end()
		return
	}
	p.commit(w, func(store.Result) {
		for _, o := range p.sim.processes {
			o.lease.RecordRelease(p.sim.events.Now())
		}
		p.end()
	})
}

// check verifies the order of all calls.
func (s *sim) check() {
	last := map[ident.Node]time.Time{}
	for i, c := range s.calls {
		if i > 0 {
			before := s.calls[i-1]
			assert.Assert(s.t, c.token >= before.token, "token %d of %s at %v follows token %d of %s at %v", c.token, c.node, c.at, before.token, before.node, before.at)
			assert.Assert(s.t, c.token > before.token || c.node == before.node && c.start == before.start, "%s and %s used token %d", before.node, c.node, c.token)
			if at, ok := last[c.node]; ok && c.node != before.node {
				assert.Assert(s.t, c.at.Sub(at) > length, "%s returned %v after its last call, after %s", c.node, c.at.Sub(at), before.node)
			}
		}
		last[c.node] = c.at
	}
}

// Guards against two holders at a time, a token that decreases or is used twice,
// and a holder that returns within the length of a lease after another one, over
// crashes, pauses, planned stops, lost answers and writes that take effect late;
// and against a duty that no node takes afterwards.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.faults = rapid.SampledFrom([]float64{0.02, 0.1, 0.3}).Draw(t, "faults")
		s.stops = rapid.SampledFrom([]float64{0, 0.002, 0.05}).Draw(t, "stops")
		s.events.Run(s.events.Now().Add(2 * time.Minute))
		s.faults, s.stops = 0, 0
		s.events.Run(s.events.Now().Add(10 * length))
		s.check()
		recent := s.calls[len(s.calls)-1]
		assert.Assert(t, s.events.Now().Sub(recent.at) < 100*time.Millisecond, "no node holds the lease: last call at %v", recent.at)
	})
}

// Guards against a hand-over that waits for the expiry of a lease that was
// released, and against nodes that call the store although the holder answers.
func TestPlannedStopHandsOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.faults = 0
		s.events.Run(s.events.Now().Add(5 * time.Second))
		holder := s.calls[len(s.calls)-1]
		for _, p := range s.processes {
			if p.node == holder.node {
				p.stop()
			}
		}
		stoppedAt := s.events.Now()
		s.events.Run(stoppedAt.Add(length / 2))
		s.check()
		next := s.calls[len(s.calls)-1]
		assert.Assert(t, next.start != holder.start && next.token == holder.token+1, "%v then %v", holder, next)
	})
}

// Guards against a candidate that reads the lease row while it hears of the holder
// from messages: each call of the store is billed.
func TestNoReadsWhileHolderAnswers(t *testing.T) {
	now := time.Unix(5000, 0)
	l := duty.New(duty.Options{Node: "a", Start: 1, Key: key, Length: length, Stagger: length / 10, FirstCall: now, Rand: rand.Float64})
	for range 100 {
		l.RecordHolder(length/2, now)
		assert.Equal(t, l.Next(0, now).Kind, duty.Wait)
		now = now.Add(time.Second)
	}
	assert.Equal(t, l.Next(0, now.Add(length)).Kind, duty.Read)
	assert.Equal(t, l.Next(duty.NoCandidate, now.Add(length)).Kind, duty.Wait)
}

// Guards against a commit that counts as confirmed by an earlier one of the same
// process, whose expiry in the row is sooner.
func TestLateCommitConfirmsOnlyItself(t *testing.T) {
	now := time.Unix(5000, 0)
	s := &rows{now: func() time.Time { return now }, byKey: map[string]store.Row{}}
	l := duty.New(duty.Options{Node: "a", Start: 1, Key: key, Length: length, FirstCall: now, Rand: rand.Float64})
	read := func() {
		row, res := s.get(key)
		assert.NilError(t, l.HandleRow(row, res, now, now))
	}
	prepare := func() store.Write {
		w, ok := l.Prepare(now)
		assert.Assert(t, ok)
		return w
	}
	unknown := store.Result{Outcome: store.Unknown, Err: errTest}
	read()
	first := prepare()
	l.HandleCommit(unknown, now)
	read()
	now = now.Add(length / 2)
	prepare() // is lost
	assert.Assert(t, s.commit([]store.Write{first}).OK())
	l.HandleCommit(unknown, now)
	read()
	_, _, ok := l.Valid(now.Add(length / 2))
	assert.Assert(t, !ok, "valid after the expiry in the row")
}
