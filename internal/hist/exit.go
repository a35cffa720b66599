package hist

import (
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// exit is an exit node with its upstream.
type exit struct {
	world  *World
	number int
	skew   time.Duration
	frozen bool
	// inbox holds what happened to the process while it was frozen.
	inbox   []func()
	process *process
	starts  ident.Start
	// upstream counts the lives of the upstream.
	upstream int
}

// process is one run of an exit node.
type process struct {
	exit    *exit
	start   ident.Start
	table   *fence.Table[reply]
	waiters map[ident.Request][]*conn
}

func newExit(w *World, number int) *exit {
	x := &exit{world: w, number: number, skew: w.between(-w.options.Skew, w.options.Skew)}
	x.boot()
	return x
}

func (x *exit) boot() {
	x.starts++
	p := &process{exit: x, start: ident.Start(x.number+1)<<32 | x.starts, waiters: map[ident.Request][]*conn{}}
	p.table = fence.New(fence.Options[reply]{
		Start:   p.start,
		Entries: x.world.options.Entries,
		Bytes:   x.world.options.Bytes,
		Size:    func(r reply) int { return len(r.body) },
		Done:    p.wake,
		NoMark:  x.world.options.NoMark,
	})
	x.process = p
}

func (x *exit) clock() time.Time {
	return x.world.now.Add(x.skew)
}

// receive handles a message with whatever process is alive.
func (x *exit) receive(do func(p *process)) {
	if x.frozen {
		x.inbox = append(x.inbox, func() { do(x.process) })
		return
	}
	do(x.process)
}

// later runs do in the same process, if it is still alive then.
func (p *process) later(d time.Duration, do func()) {
	p.exit.world.after(d, func() {
		p.exit.receive(func(alive *process) {
			if alive == p {
				do()
			}
		})
	})
}

// call handles an arrived Call.
func (p *process) call(c *conn, m message) {
	w := p.exit.world
	v := p.table.Begin(m.id, m.start, m.deadline, p.exit.clock())
	if v.Kind != fence.Run {
		p.answer(c, m.id, told(v))
		return
	}
	if w.hit(w.options.Faults.Refuse) {
		p.finish(c, m.id, fence.Refused, reply{outcome: retry.NotRun, reason: retry.Full})
		return
	}
	if w.hit(w.options.Faults.Shed) {
		p.later(oneWay, func() {
			p.finish(c, m.id, fence.Refused, reply{outcome: retry.NotRun, reason: retry.Shed})
		})
		return
	}
	p.run(c, m)
}

// run sends the request to the upstream.
func (p *process) run(c *conn, m message) {
	w := p.exit.world
	r := w.byID[m.request]
	r.Runs++
	life := p.exit.upstream
	body := bodyOf(m.request, r.Runs)
	p.later(w.between(time.Millisecond, longRun), func() {
		if p.exit.upstream != life {
			p.finish(c, m.id, fence.Ran, reply{outcome: retry.Unknown, reason: retry.Broken})
			return
		}
		p.finish(c, m.id, fence.Ran, reply{outcome: retry.Ran, body: body, size: len(body)})
	})
}

// finish ends a request and answers the connection that carried it.
func (p *process) finish(c *conn, id ident.Request, s fence.State, r reply) {
	r.id = id
	r.start = p.start
	p.table.Finish(id, fence.Answer[reply]{State: s, Value: r}, p.exit.clock())
	p.answer(c, id, r)
}

// resolve handles an arrived Resolve.
func (p *process) resolve(c *conn, m message) {
	v := p.table.Cancel(m.id, m.start, m.deadline, p.exit.clock())
	if v.Kind == fence.DuplicateRunning {
		p.waiters[m.id] = append(p.waiters[m.id], c)
		return
	}
	p.answer(c, m.id, told(v))
}

// wake answers the resolves that wait for a request.
func (p *process) wake(id ident.Request) {
	a, _ := p.table.Lookup(id)
	for _, c := range p.waiters[id] {
		p.answer(c, id, a.Value)
	}
	delete(p.waiters, id)
}

func (p *process) answer(c *conn, id ident.Request, r reply) {
	r.id = id
	r.start = p.start
	p.exit.world.answerTo(c, id, r)
}

// bodyOf is the complete response of one run of a request.
func bodyOf(id ident.Request, run int) string {
	return fmt.Sprintf("%s run %d", id, run)
}

// Kill ends the process of an exit and starts a new one.
func (w *World) Kill(number int) {
	x := w.exits[number]
	x.frozen = false
	x.inbox = nil
	x.boot()
	start := x.process.start
	w.after(w.between(0, time.Second), func() { w.entry.learn(x, start) })
}

// Freeze stops an exit until Resume; its messages queue up.
func (w *World) Freeze(number int) {
	w.exits[number].frozen = true
}

// Resume lets an exit handle what queued up, in any order.
func (w *World) Resume(number int) {
	x := w.exits[number]
	x.frozen = false
	for len(x.inbox) > 0 {
		i := w.options.Pick(len(x.inbox))
		do := x.inbox[i]
		x.inbox = append(x.inbox[:i], x.inbox[i+1:]...)
		do()
	}
}

// KillUpstream breaks all runs at the upstream of an exit.
func (w *World) KillUpstream(number int) {
	w.exits[number].upstream++
}

// Silence makes all pooled connections to an exit silent for good, from the
// entry, to the entry or both ways. New connections work.
func (w *World) Silence(number, ways int) {
	w.entry.silence(w.exits[number], ways)
}
