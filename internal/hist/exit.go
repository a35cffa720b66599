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
	// inbox holds the messages and events that reached the process while it was
	// frozen.
	inbox   []func()
	process *process
	// starts counts the starts of the process.
	starts ident.Start
	// upstreamStarts counts the restarts of the upstream.
	upstreamStarts int
}

// process is one run of an exit node.
type process struct {
	exit  *exit
	start ident.Start
	table *fence.Table[reply]
	// waiters holds the connections whose Resolve waits for a running request.
	waiters map[ident.Request][]*conn
}

func newExit(w *World, number int) *exit {
	x := &exit{world: w, number: number, skew: w.between(-w.options.Skew, w.options.Skew)}
	x.boot()
	return x
}

// boot starts a new process with an empty fence table.
func (x *exit) boot() {
	x.starts++
	p := &process{exit: x, start: ident.Start(x.number+1)<<32 | x.starts, waiters: map[ident.Request][]*conn{}}
	p.table = fence.New(fence.Options[reply]{
		Start:       p.start,
		Entries:     x.world.options.Entries,
		Bytes:       x.world.options.Bytes,
		Size:        func(r reply) int { return len(r.body) },
		Done:        p.answerWaiters,
		NoTombstone: x.world.options.NoMark,
	})
	x.process = p
}

func (x *exit) clock() time.Time {
	return x.world.now.Add(x.skew)
}

// receive passes an event to the process that runs on arrival, or to the one
// that runs after Resume if the exit is frozen.
func (x *exit) receive(do func(p *process)) {
	if x.frozen {
		x.inbox = append(x.inbox, func() { do(x.process) })
		return
	}
	do(x.process)
}

// later runs do after d, unless the process has ended by then.
func (p *process) later(d time.Duration, do func()) {
	p.exit.world.after(d, func() {
		p.exit.receive(func(current *process) {
			if current == p {
				do()
			}
		})
	})
}

// call handles a Call.
func (p *process) call(c *conn, m message) {
	w := p.exit.world
	v := p.table.Begin(m.id, m.start, m.deadline, p.exit.clock())
	if v.Kind != fence.Run {
		p.answer(c, m.id, replyFor(v))
		return
	}
	if w.chance(w.options.Faults.Refuse) {
		p.finish(c, m.id, fence.Refused, reply{outcome: retry.NotRun, reason: retry.Full})
		return
	}
	if w.chance(w.options.Faults.Shed) {
		p.later(oneWayLatency, func() {
			p.finish(c, m.id, fence.Refused, reply{outcome: retry.NotRun, reason: retry.Shed})
		})
		return
	}
	p.run(c, m)
}

// run sends the request to the upstream. If the upstream restarts before the
// request ends, its outcome is unknown.
func (p *process) run(c *conn, m message) {
	w := p.exit.world
	r := w.byID[m.request]
	r.Runs++
	startsBefore := p.exit.upstreamStarts
	body := bodyOf(m.request, r.Runs)
	p.later(w.between(time.Millisecond, maxServiceTime), func() {
		if p.exit.upstreamStarts != startsBefore {
			p.finish(c, m.id, fence.Ran, reply{outcome: retry.Unknown, reason: retry.Broken})
			return
		}
		p.finish(c, m.id, fence.Ran, reply{outcome: retry.Ran, body: body, size: len(body)})
	})
}

// finish records the result of a request and replies on the connection that
// carried it.
func (p *process) finish(c *conn, id ident.Request, s fence.State, r reply) {
	r.id = id
	r.start = p.start
	p.table.Finish(id, fence.Answer[reply]{State: s, Value: r}, p.exit.clock())
	p.answer(c, id, r)
}

// resolve handles a Resolve.
func (p *process) resolve(c *conn, m message) {
	v := p.table.Cancel(m.id, m.start, m.deadline, p.exit.clock())
	if v.Kind == fence.DuplicateRunning {
		p.waiters[m.id] = append(p.waiters[m.id], c)
		return
	}
	p.answer(c, m.id, replyFor(v))
}

// answerWaiters replies to the Resolve messages that wait for a request.
func (p *process) answerWaiters(id ident.Request) {
	a, _ := p.table.Lookup(id)
	for _, c := range p.waiters[id] {
		p.answer(c, id, a.Value)
	}
	delete(p.waiters, id)
}

func (p *process) answer(c *conn, id ident.Request, r reply) {
	r.id = id
	r.start = p.start
	p.exit.world.sendReply(c, id, r)
}

// bodyOf returns the complete response of one run of a request.
func bodyOf(id ident.Request, run int) string {
	return fmt.Sprintf("%s run %d", id, run)
}

// Kill ends the process of an exit and starts a new one. The entry learns of the
// new start within a second.
func (w *World) Kill(number int) {
	x := w.exits[number]
	x.frozen = false
	x.inbox = nil
	x.boot()
	start := x.process.start
	w.after(w.between(0, time.Second), func() { w.entry.updateStart(x, start) })
}

// Freeze stops the process of an exit until Resume; its messages are queued.
func (w *World) Freeze(number int) {
	w.exits[number].frozen = true
}

// Resume continues the process of an exit, which handles the queued messages in
// random order.
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

// KillUpstream breaks all requests that run at the upstream of an exit.
func (w *World) KillUpstream(number int) {
	w.exits[number].upstreamStarts++
}

// Silence makes the pooled connection to an exit silent permanently: ways is 1
// for the direction to the exit, 2 for the direction to the entry, 3 for both.
// New connections work.
func (w *World) Silence(number, ways int) {
	w.entry.silence(w.exits[number], ways)
}
