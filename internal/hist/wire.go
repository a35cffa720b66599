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

// reply is the reply to a Call or a Resolve. size is the length of the body at
// the sender, by which a truncated body is detected.
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
	// silent is set for each direction in which messages are lost, or are
	// delivered very late.
	silent [2]bool
}

// send sends a message over a connection, with the faults of the options.
func (w *World) send(c *conn, d direction, deliver func()) {
	f := w.options.Faults
	if c.silent[d] {
		if w.chance(10 * f.Late) {
			w.after(w.between(0, 3*w.options.Timeout), deliver)
		}
		return
	}
	if w.chance(f.Lose) {
		return
	}
	delay := oneWayLatency + w.between(0, 2*time.Millisecond)
	if w.chance(f.Late) {
		delay += w.between(0, 2*w.options.Timeout)
	}
	w.after(delay, deliver)
	if w.chance(f.Duplicate) {
		w.after(delay+w.between(0, 2*w.options.Timeout), deliver)
	}
}

// sendReply sends a reply to the try that waits on the connection.
func (w *World) sendReply(c *conn, waiting ident.Request, r reply) {
	f := w.options.Faults
	if w.chance(f.Misdeliver) {
		waiting = w.entry.anyWaiting(waiting)
	}
	if len(r.body) > 0 && w.chance(f.Truncate) {
		r.body = r.body[:w.options.Pick(len(r.body))]
	}
	w.send(c, toEntry, func() { w.entry.receive(waiting, r) })
}

// replyFor maps the verdict of a fence table to a reply.
func replyFor(v fence.Verdict[reply]) reply {
	switch v.Kind {
	case fence.DuplicateFinished:
		if v.Stored {
			return v.Answer.Value
		}
		return reply{outcome: retry.Unknown, reason: retry.AnswerLost}
	case fence.DuplicateRefused:
		return reply{outcome: retry.NotRun, reason: retry.Duplicate}
	case fence.CancelledFirst:
		return reply{outcome: retry.NotRun, reason: retry.Cancelled}
	case fence.Full:
		return reply{outcome: retry.NotRun, reason: retry.Full}
	case fence.WrongStart:
		// The simulated network duplicates messages, so a request with another
		// start id may have run in the earlier process.
		return reply{outcome: retry.Unknown, reason: retry.Start}
	case fence.Expired:
		return reply{outcome: retry.Unknown, reason: retry.Late}
	default:
		// The request is running, or may still arrive.
		return reply{outcome: retry.Unknown, reason: retry.Duplicate}
	}
}
