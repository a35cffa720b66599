package hist

import (
	"slices"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// entry is the entry node. It runs a retry.Plan for each request.
type entry struct {
	world  *World
	budget *retry.Budget
	// pools holds the pooled connection to each exit.
	pools map[*exit]*conn
	// starts holds the latest start id that the entry knows of each exit.
	starts map[*exit]ident.Start
	tries  map[ident.Request]*try
	// waiting lists the tries without an outcome, in the order of their start.
	waiting []*try
}

// try is one attempt of a request at one exit.
type try struct {
	call  *call
	id    ident.Request
	exit  *exit
	start ident.Start
	conn  *conn
	// messages counts the messages sent for the try. The progress timer of an
	// earlier message has no effect.
	messages int
	settled  bool
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
	c.plan = retry.New(retry.Chain{Attempts: retry.DefaultAttempts, Timeout: w.options.Timeout}, e.budget, w.now)
	w.after(w.options.Timeout, func() { e.complete(c, retry.Unknown, "") })
	e.sendTry(c)
}

// sendTry starts a try at a random exit over the pooled connection. The Silent
// fault first makes that connection silent in one direction or both.
func (e *entry) sendTry(c *call) {
	w := e.world
	x := w.exits[w.options.Pick(len(w.exits))]
	t := &try{call: c, id: fence.AttemptID(c.request.ID, c.tries), exit: x, start: e.starts[x], conn: e.pools[x]}
	if w.chance(w.options.Faults.Silent) {
		e.silence(x, 1+w.options.Pick(3))
	}
	if c.tries == 0 {
		c.request.FirstSilent = t.conn.silent[toExit] || t.conn.silent[toEntry]
	}
	c.tries++
	e.tries[t.id] = t
	e.waiting = append(e.waiting, t)
	m := e.message(t)
	w.send(t.conn, toExit, func() { x.receive(func(p *process) { p.call(t.conn, m) }) })
	e.startTimers(t)
}

// sendResolve requests the outcome of a try over a new connection.
func (e *entry) sendResolve(t *try) {
	w := e.world
	if t.settled || t.call.request.HasOutcome {
		return
	}
	c := &conn{exit: t.exit}
	if w.chance(w.options.Faults.SilentNew) {
		c.silent = [2]bool{true, true}
	}
	m := e.message(t)
	w.send(c, toExit, func() { t.exit.receive(func(p *process) { p.resolve(c, m) }) })
	e.startTimers(t)
}

// message returns the message for a try. All messages of a request have the
// same absolute deadline.
func (e *entry) message(t *try) message {
	return message{id: t.id, request: t.call.request.ID, start: t.start, deadline: t.call.plan.Deadline}
}

// startTimers starts the progress timeout of the latest message of a try, and
// the hedge timer if the request is idempotent.
func (e *entry) startTimers(t *try) {
	t.messages++
	messages := t.messages
	e.world.after(progressTimeout, func() {
		if t.messages == messages {
			e.next(t, retry.Unknown, retry.NoAnswer)
		}
	})
	if t.call.request.Idempotent {
		e.world.after(progressTimeout/2, func() { e.hedge(t) })
	}
}

// hedge sends a second try if the plan allows it.
func (e *entry) hedge(t *try) {
	if t.settled || t.call.request.HasOutcome {
		return
	}
	if t.call.plan.Next(retry.Pending, retry.None, true, e.world.now).Kind == retry.Hedge {
		e.sendTry(t.call)
	}
}

// receive handles a reply on the connection on which a try waits. A truncated
// reply or one to another request leaves the outcome of this try unknown.
func (e *entry) receive(waiting ident.Request, r reply) {
	t := e.tries[waiting]
	if r.id != t.id || len(r.body) != r.size {
		e.next(t, retry.Unknown, retry.NoAnswer)
		return
	}
	if r.outcome == retry.Ran {
		e.complete(t.call, retry.Ran, r.body)
		e.settle(t)
		return
	}
	e.next(t, r.outcome, r.reason)
}

// next executes the next step of the plan after the outcome of a try.
func (e *entry) next(t *try, o retry.Outcome, r retry.Reason) {
	if t.settled || t.call.request.HasOutcome {
		return
	}
	if r == retry.NoAnswer && e.pools[t.exit] == t.conn {
		e.pools[t.exit] = &conn{exit: t.exit}
	}
	a := t.call.plan.Next(o, r, t.call.request.Idempotent, e.world.now)
	switch a.Kind {
	case retry.Resolve:
		if !e.world.options.NoResolve {
			// Cancels the progress timer of the previous message.
			t.messages++
			e.world.after(a.Pause, func() { e.sendResolve(t) })
		}
	case retry.TryOther:
		e.settle(t)
		e.sendTry(t.call)
	case retry.GiveUp:
		e.settle(t)
		e.complete(t.call, a.Outcome, "")
	default:
		e.settle(t)
	}
}

// settle marks a try as ended, so that its later timers and replies don't advance
// the plan. A late complete response still completes the request.
func (e *entry) settle(t *try) {
	t.settled = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *try) bool { return o == t })
}

// complete records the outcome for the caller. Only the first call has an effect.
func (e *entry) complete(c *call, o retry.Outcome, body string) {
	r := c.request
	if r.HasOutcome {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(t *try) bool { return t.call == c })
	r.HasOutcome = true
	r.Outcome = o
	r.Body = body
	r.Latency = e.world.now.Sub(r.Started)
}

// anyWaiting returns a random try that waits for a reply, or fallback if there
// is none.
func (e *entry) anyWaiting(fallback ident.Request) ident.Request {
	if len(e.waiting) == 0 {
		return fallback
	}
	return e.waiting[e.world.options.Pick(len(e.waiting))].id
}

// updateStart records a newer start id of an exit, as gossip does.
func (e *entry) updateStart(x *exit, s ident.Start) {
	e.starts[x] = max(e.starts[x], s)
}

// silence makes the pooled connection to an exit silent. Bit 0 of ways is the
// direction to the exit, bit 1 the direction to the entry.
func (e *entry) silence(x *exit, ways int) {
	c := e.pools[x]
	c.silent[toExit] = c.silent[toExit] || ways&1 != 0
	c.silent[toEntry] = c.silent[toEntry] || ways&2 != 0
}
