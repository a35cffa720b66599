// Package intake decides which connections of callers a node keeps. It holds the
// account of their number and of the memory that they may need, and follows the
// requests on a connection, so that their heads are bounded before they are
// parsed.
//
// Invariants: neither the number of connections nor the charged bytes exceed their
// limits; a connection is charged the most that it can cost in its state; the
// connection of a running request is never chosen to be closed.
package intake

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// ID identifies a connection.
type ID uint64

// State is what a connection does.
type State uint8

const (
	// Head means that a request's head is expected or incomplete.
	Head State = iota
	// Body means that a request's body is incomplete.
	Body
	// Running means that a request runs.
	Running
	// Writing means that the response of a request is being written.
	Writing
	// Idle means that the connection carries no request.
	Idle
	// Lingering means that the last response may still be on its way.
	Lingering

	states = 6
)

// String returns the name of the state in metrics.
func (s State) String() string {
	return [states]string{"head", "body", "running", "writing", "idle", "lingering"}[s]
}

// States returns all states.
func States() []State { return []State{Head, Body, Running, Writing, Idle, Lingering} }

// progressHalfLife is the time in which the weight of received bytes halves. A
// sender that stops falls behind one that has just begun within a few seconds.
const progressHalfLife = time.Second

// unreadTimeout is the time after which a response that its caller doesn't read no
// longer keeps its connection open when the account is full.
const unreadTimeout = 5 * time.Second

// newcomerProgress is the progress of a new connection, in bytes. It keeps one that
// hasn't had the time to send from being closed before those that have stopped.
const newcomerProgress = 16 << 10

// Options configures an Account. Limits of 0 mean none.
type Options struct {
	MaxConns int
	MaxBytes Bytes
}

// Account holds the connections of one listener. It is a pure state machine and
// not safe for concurrent use.
type Account struct {
	options Options
	conns   []*conn
	byID    map[ID]*conn
	bytes   Bytes
	counts  [states]int
}

type conn struct {
	id    ID
	index int
	state State
	bytes Bytes
	// progress is the decayed number of received bytes at the time at.
	progress float64
	at       time.Time
	// since is the time of the latest change of the state.
	since time.Time
	// length is the length of the body if it is known, and received counts the
	// bytes of the current head or body.
	length, received Bytes
}

// New returns an empty account.
func New(o Options) *Account { return &Account{options: o, byID: map[ID]*conn{}} }

// Add charges a new connection, which is in the state Head. It returns the
// connections to close for it, which are no longer in the account, and reports
// whether it was added. Nothing is closed for a connection that isn't added.
func (a *Account) Add(id ID, bytes Bytes, now time.Time) (closed []ID, added bool) {
	closed, added = a.makeRoom(nil, 1, bytes, now)
	if !added {
		return nil, false
	}
	c := &conn{id: id, index: len(a.conns), state: Head, bytes: bytes, progress: newcomerProgress, at: now, since: now}
	a.conns = append(a.conns, c)
	a.byID[id] = c
	a.bytes += bytes
	a.counts[Head]++
	return closed, true
}

// Charge sets the bytes of a connection. It returns the connections to close for
// it, which are no longer in the account, and reports whether the charge was
// changed.
func (a *Account) Charge(id ID, bytes Bytes, now time.Time) (closed []ID, charged bool) {
	c := a.byID[id]
	if c == nil {
		return nil, false
	}
	if bytes > c.bytes {
		closed, charged = a.makeRoom(c, 0, bytes-c.bytes, now)
		if !charged {
			return nil, false
		}
	}
	a.bytes += bytes - c.bytes
	c.bytes = bytes
	return closed, true
}

// SetBody sets the state Body. The length is 0 if it is unknown.
func (a *Account) SetBody(id ID, length Bytes, now time.Time) {
	a.SetState(id, Body, now)
	if c := a.byID[id]; c != nil {
		c.length = length
	}
}

// TakeStalled removes the connections with incomplete bodies that have received
// nothing for a time, the slowest first, until their bodies occupy the given bytes.
// It returns them; the caller closes them.
func (a *Account) TakeStalled(bytes Bytes, stalled time.Duration, now time.Time) (closed []ID) {
	var found []*conn
	for _, c := range a.conns {
		if c.state == Body && now.Sub(c.at) >= stalled {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *conn) int { return cmp.Compare(a.progressAt(now), b.progressAt(now)) })
	for _, c := range found {
		if bytes <= 0 {
			break
		}
		bytes -= max(c.length, c.received)
		a.remove(c)
		closed = append(closed, c.id)
	}
	return closed
}

// SetState sets the state of a connection.
func (a *Account) SetState(id ID, s State, now time.Time) {
	c := a.byID[id]
	if c == nil || c.state == s {
		return
	}
	a.counts[c.state]--
	a.counts[s]++
	switch s {
	case Head:
		c.progress, c.at = newcomerProgress, now
	case Writing:
		c.progress, c.at = 0, now
	default:
	}
	c.state, c.since, c.received = s, now, 0
}

// Move records n bytes received or, in the state Writing, sent on a connection.
func (a *Account) Move(id ID, n int, now time.Time) {
	if c := a.byID[id]; c != nil {
		c.progress, c.at = c.progressAt(now)+float64(n), now
		c.received += Bytes(n)
	}
}

// Remove removes a connection.
func (a *Account) Remove(id ID) {
	if c := a.byID[id]; c != nil {
		a.remove(c)
	}
}

// State returns the state of a connection, which is Head if it isn't in the account.
func (a *Account) State(id ID) State {
	if c := a.byID[id]; c != nil {
		return c.state
	}
	return Head
}

// Has reports whether a connection is in the account.
func (a *Account) Has(id ID) bool { return a.byID[id] != nil }

// Bytes returns the charged bytes, Count the number of connections in a state.
func (a *Account) Bytes() Bytes { return a.bytes }

// Count returns the number of connections in a state.
func (a *Account) Count(s State) int { return a.counts[s] }

func (a *Account) remove(c *conn) {
	last := a.conns[len(a.conns)-1]
	a.conns[c.index] = last
	last.index = c.index
	a.conns = a.conns[:len(a.conns)-1]
	delete(a.byID, c.id)
	a.bytes -= c.bytes
	a.counts[c.state]--
}

// makeRoom removes connections other than keep until more connections and bytes
// fit. If they can't be made to fit, nothing is removed.
func (a *Account) makeRoom(keep *conn, conns int, bytes Bytes, now time.Time) (closed []ID, fits bool) {
	if a.fits(conns, bytes) {
		return nil, true
	}
	if !a.canFit(keep, conns, bytes, now) {
		return nil, false
	}
	for !a.fits(conns, bytes) {
		c := a.worst(keep, now)
		a.remove(c)
		closed = append(closed, c.id)
	}
	return closed, true
}

func (a *Account) fits(conns int, bytes Bytes) bool {
	o := a.options
	return (o.MaxConns == 0 || len(a.conns)+conns <= o.MaxConns) && (o.MaxBytes == 0 || a.bytes+bytes <= o.MaxBytes)
}

// canFit reports whether more connections and bytes fit without all connections
// that may be closed.
func (a *Account) canFit(keep *conn, conns int, bytes Bytes, now time.Time) bool {
	closable := 0
	var closableBytes Bytes
	for _, c := range a.conns {
		if c != keep && c.closable(now) {
			closable++
			closableBytes += c.bytes
		}
	}
	return a.fits(conns-closable, bytes-closableBytes)
}

// worst returns the connection to close first: an incomplete one, the slowest in
// progress of these, then the longest idle, then the longest lingering, then those
// with an unread response.
func (a *Account) worst(keep *conn, now time.Time) *conn {
	var worst *conn
	worstRank, worstScore := math.MaxInt, math.Inf(1)
	for _, c := range a.conns {
		if c == keep || !c.closable(now) {
			continue
		}
		rank, score := c.order(now)
		if rank < worstRank || rank == worstRank && score < worstScore {
			worst, worstRank, worstScore = c, rank, score
		}
	}
	return worst
}

// order returns the rank of a connection's state and its score within the rank.
// Lower ones are closed first.
func (c *conn) order(now time.Time) (rank int, score float64) {
	switch c.state {
	case Head, Body:
		return 0, c.progressAt(now)
	case Idle:
		return 1, -now.Sub(c.since).Seconds()
	case Lingering:
		return 2, -now.Sub(c.since).Seconds()
	default:
		return 3, c.progressAt(now)
	}
}

// closable reports whether a connection may be closed for another one.
func (c *conn) closable(now time.Time) bool {
	switch c.state {
	case Running:
		return false
	case Writing:
		return now.Sub(c.at) >= unreadTimeout
	default:
		return true
	}
}

func (c *conn) progressAt(now time.Time) float64 {
	return c.progress * math.Exp2(-float64(now.Sub(c.at))/float64(progressHalfLife))
}
