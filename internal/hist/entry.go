package hist

import (
	"slices"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// entry is the entry node: a retry.Plan for each request.
type entry struct {
	world  *World
	budget *retry.Budget
	pools  map[*exit]*conn
	starts map[*exit]ident.Start
	tries  map[ident.Request]*try
	// waiting lists the tries without an outcome, in the order of their start.
	waiting []*try
}

// try is one copy of a request at one exit.
type try struct {
	call  *call
	id    ident.Request
	exit  *exit
	start ident.Start
	conn  *conn
	// asked counts the messages; a timer of an earlier message is void.
	asked   int
	settled bool
}

// call is one request at the entry node.
type call struct {
	request *Request
	plan    *retry.Plan
	tries   uint8
}

func newEntry(w *World) *entry {
	e := &entry{
		world:  w,
		budget: retry.NewBudget(retry.BudgetOptions{}),
		pools:  map[*exit]*conn{},
		starts: map[*exit]ident.Start{},
		tries:  map[ident.Request]*try{},
	}
	for _, x := range w.exits {
		e.starts[x] = x.process.start
		e.pools[x] = &conn{exit: x}
	}
	return e
}

func (e *entry) begin(r *Request) {
	w := e.world
	c := &call{request: r}
	c.plan = retry.New(retry.Chain{Attempts: retry.DefaultAttempts, Left: w.options.Timeout}, e.budget, w.now)
	w.after(w.options.Timeout, func() { e.tell(c, retry.Unknown, "") })
	e.sendTry(c)
}

// sendTry sends a copy to some exit over a pooled connection.
func (e *entry) sendTry(c *call) {
	w := e.world
	x := w.exits[w.options.Pick(len(w.exits))]
	t := &try{call: c, id: fence.TryID(c.request.ID, c.tries), exit: x, start: e.starts[x], conn: e.pools[x]}
	if w.hit(w.options.Faults.Silent) {
		e.silence(x, 1+w.options.Pick(3))
	}
	if c.tries == 0 {
		c.request.WasSilent = t.conn.silent[toExit] || t.conn.silent[toEntry]
	}
	c.tries++
	e.tries[t.id] = t
	e.waiting = append(e.waiting, t)
	m := e.message(t)
	w.send(t.conn, toExit, func() { x.receive(func(p *process) { p.call(t.conn, m) }) })
	e.expect(t)
}

// sendResolve asks for the outcome of a try over a new connection.
func (e *entry) sendResolve(t *try) {
	w := e.world
	if t.settled || t.call.request.Told {
		return
	}
	c := &conn{exit: t.exit}
	if w.hit(w.options.Faults.SilentNew) {
		c.silent = [2]bool{true, true}
	}
	m := e.message(t)
	w.send(c, toExit, func() { t.exit.receive(func(p *process) { p.resolve(c, m) }) })
	e.expect(t)
}

// message carries the same absolute deadline for every message of a request.
func (e *entry) message(t *try) message {
	return message{id: t.id, request: t.call.request.ID, start: t.start, deadline: t.call.plan.Deadline}
}

// expect starts the progress timeout of the latest message of a try.
func (e *entry) expect(t *try) {
	t.asked++
	asked := t.asked
	e.world.after(progress, func() {
		if t.asked == asked {
			e.next(t, retry.Unknown, retry.Silent)
		}
	})
	if t.call.request.Idempotent {
		e.world.after(progress/2, func() { e.hedge(t) })
	}
}

func (e *entry) hedge(t *try) {
	if t.settled || t.call.request.Told {
		return
	}
	if t.call.plan.Next(retry.Pending, retry.None, true, e.world.now).Kind == retry.Hedge {
		e.sendTry(t.call)
	}
}

// receive handles an answer on the connection where a try waits. An answer to
// another request or a truncated one says nothing about this try.
func (e *entry) receive(waiting ident.Request, r reply) {
	t := e.tries[waiting]
	if r.id != t.id || len(r.body) != r.size {
		e.next(t, retry.Unknown, retry.Silent)
		return
	}
	if r.outcome == retry.Ran {
		e.tell(t.call, retry.Ran, r.body)
		e.settle(t)
		return
	}
	e.next(t, r.outcome, r.reason)
}

// next follows the plan after the outcome of a try.
func (e *entry) next(t *try, o retry.Outcome, r retry.Reason) {
	if t.settled || t.call.request.Told {
		return
	}
	if r == retry.Silent && e.pools[t.exit] == t.conn {
		e.pools[t.exit] = &conn{exit: t.exit}
	}
	a := t.call.plan.Next(o, r, t.call.request.Idempotent, e.world.now)
	switch a.Kind {
	case retry.Resolve:
		if !e.world.options.NoResolve {
			// Outdates the timer of the message before.
			t.asked++
			e.world.after(a.Pause, func() { e.sendResolve(t) })
		}
	case retry.Elsewhere:
		e.settle(t)
		e.sendTry(t.call)
	case retry.GiveUp:
		e.settle(t)
		e.tell(t.call, a.Outcome, "")
	default:
		e.settle(t)
	}
}

// settle marks a try as ended for the plan.
func (e *entry) settle(t *try) {
	t.settled = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *try) bool { return o == t })
}

// tell gives the caller its outcome, once.
func (e *entry) tell(c *call, o retry.Outcome, body string) {
	r := c.request
	if r.Told {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(t *try) bool { return t.call == c })
	r.Told = true
	r.Outcome = o
	r.Body = body
	r.Took = e.world.now.Sub(r.Started)
}

// anyWaiting returns another try that waits for an answer, if there is one.
func (e *entry) anyWaiting(not ident.Request) ident.Request {
	if len(e.waiting) == 0 {
		return not
	}
	return e.waiting[e.world.options.Pick(len(e.waiting))].id
}

// learn takes over a new start of an exit, as gossip would bring it.
func (e *entry) learn(x *exit, s ident.Start) {
	e.starts[x] = max(e.starts[x], s)
}

// silence makes the pooled connection to an exit silent.
func (e *entry) silence(x *exit, ways int) {
	c := e.pools[x]
	c.silent[toExit] = c.silent[toExit] || ways&1 != 0
	c.silent[toEntry] = c.silent[toEntry] || ways&2 != 0
}
