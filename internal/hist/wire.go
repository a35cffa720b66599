package hist

import (
	"time"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/retry"
)

// message is a Call or a Resolve.
type message struct {
	id       ident.Request
	request  ident.Request
	start    ident.Start
	deadline time.Time
}

// reply is the answer to a Call or a Resolve. Size is the length of the body
// as framed by the sender, so that a truncated body is noticed.
type reply struct {
	id      ident.Request
	outcome retry.Outcome
	reason  retry.Reason
	body    string
	size    int
	start   ident.Start
}

// direction is the direction of a message on a connection.
type direction uint8

const (
	toExit direction = iota
	toEntry
)

// conn is a connection between the entry and one exit.
type conn struct {
	exit *exit
	// silent connections deliver nothing, or deliver it much too late.
	silent [2]bool
}

// send carries a message over a connection.
func (w *World) send(c *conn, d direction, deliver func()) {
	f := w.options.Faults
	if c.silent[d] {
		if w.hit(10 * f.Late) {
			w.after(w.between(0, 3*w.options.Timeout), deliver)
		}
		return
	}
	if w.hit(f.Lose) {
		return
	}
	delay := oneWay + w.between(0, 2*time.Millisecond)
	if w.hit(f.Late) {
		delay += w.between(0, 2*w.options.Timeout)
	}
	w.after(delay, deliver)
	if w.hit(f.Double) {
		w.after(delay+w.between(0, 2*w.options.Timeout), deliver)
	}
}

// answerTo sends an answer to the call that waits on the connection.
func (w *World) answerTo(c *conn, waiting ident.Request, r reply) {
	f := w.options.Faults
	if w.hit(f.Cross) {
		waiting = w.entry.anyWaiting(waiting)
	}
	if len(r.body) > 0 && w.hit(f.Cut) {
		r.body = r.body[:w.options.Pick(len(r.body))]
	}
	w.send(c, toEntry, func() { w.entry.receive(waiting, r) })
}

// told maps the verdict of a fence table to an answer.
func told(v fence.Verdict[reply]) reply {
	switch v.Kind {
	case fence.DuplicateFinished:
		if v.Stored {
			return v.Answer.Value
		}
		return reply{outcome: retry.Unknown, reason: retry.Lost}
	case fence.DuplicateRefused:
		return reply{outcome: retry.NotRun, reason: retry.Duplicate}
	case fence.CancelledFirst:
		return reply{outcome: retry.NotRun, reason: retry.Cancelled}
	case fence.Full:
		return reply{outcome: retry.NotRun, reason: retry.Full}
	case fence.WrongStart:
		// The network of this harness doubles messages, so that a wrong start
		// proves nothing about the earlier start.
		return reply{outcome: retry.Unknown, reason: retry.Start}
	case fence.Expired:
		return reply{outcome: retry.Unknown, reason: retry.Late}
	default:
		// The request is running, or has not arrived and may still arrive.
		return reply{outcome: retry.Unknown, reason: retry.Duplicate}
	}
}
