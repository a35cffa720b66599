// Package seeds decides when a node reads and writes the rows of the store
// through which nodes find each other. It answers the load that a common start
// of hundreds of nodes puts on the store: each of them reads the rows once, and
// only a few write one.
//
// A node that finds enough rows of others joins through them and needs no row of
// its own. It writes one if it finds too few, if none of those nodes answers, or
// once it is a watcher: every failure domain has a live watcher, so rows of live
// nodes always exist.
//
// Seeds is a pure state machine of one node: the caller passes the time and
// serializes the calls.
package seeds

import "time"

const (
	// minRows is the number of rows of others that a node needs to go without
	// its own.
	minRows = 4
	// answerTimeout is the time in which a node that wrote a row must answer a
	// join; a join is repeated within it.
	answerTimeout = time.Second
	// retryInterval is the mean time between two attempts after a failed call.
	retryInterval = time.Second
	// aloneInterval is the mean time between two reads while no other member is
	// known, refreshInterval that once there is one.
	aloneInterval   = 2 * time.Second
	refreshInterval = 10 * time.Minute
	// roleDelay is how long a node must be a watcher before that counts. A node
	// that has just started knows few others and takes itself for one.
	roleDelay = 3 * time.Second
)

// Action is the next call to the store.
type Action uint8

const (
	// Wait means that no call is due.
	Wait Action = iota
	// Read reads the rows of all nodes.
	Read
	// Write writes this node's row, unless the store has it.
	Write
)

// View is what the node knows of the others.
type View struct {
	// Members is the number of other live members.
	Members int
	// Watcher is set if this node watches the store for others.
	Watcher bool
}

// Seeds is the state of one node.
type Seeds struct {
	rand func() float64
	// next is the earliest time of the next call.
	next time.Time
	// readAt is the time of the latest successful read, zero before it.
	readAt  time.Time
	rows    int
	written bool
	// stale is set if this node's row was written after the latest read, so that
	// nodes that wrote theirs in between aren't known.
	stale bool
	// watcherSince is when this node became a watcher, zero if it isn't one.
	watcherSince time.Time
}

// New returns the state of a node that starts now. Rand returns a uniform number
// in [0, 1). The first read is delayed by up to spread.
func New(rand func() float64, spread time.Duration, now time.Time) *Seeds {
	return &Seeds{rand: rand, next: now.Add(time.Duration(rand() * float64(spread)))}
}

// Next returns the call to make now.
func (s *Seeds) Next(v View, now time.Time) Action {
	switch {
	case !v.Watcher:
		s.watcherSince = time.Time{}
	case s.watcherSince.IsZero():
		s.watcherSince = now
	}
	if now.Before(s.next) {
		return Wait
	}
	switch {
	case s.readAt.IsZero() || s.stale:
		return Read
	case !s.written && s.needsRow(v, now):
		return Write
	case now.Sub(s.readAt) >= s.interval(v):
		return Read
	default:
		return Wait
	}
}

func (s *Seeds) needsRow(v View, now time.Time) bool {
	if s.rows < minRows || v.Watcher && now.Sub(s.watcherSince) >= roleDelay {
		return true
	}
	return v.Members == 0 && now.Sub(s.readAt) >= answerTimeout
}

func (s *Seeds) interval(v View) time.Duration {
	if v.Members == 0 {
		return aloneInterval
	}
	return refreshInterval
}

// RecordRead records a successful read that found rows of other nodes. Own is set
// if it found this node's row.
func (s *Seeds) RecordRead(rows int, own bool, now time.Time) {
	s.rows, s.readAt, s.stale = rows, now, false
	s.written = s.written || own
}

// RecordWrite records that the store has this node's row.
func (s *Seeds) RecordWrite() {
	s.written, s.stale = true, true
}

// RecordFailure records a failed call, which is repeated after a pause.
func (s *Seeds) RecordFailure(now time.Time) {
	s.next = now.Add(retryInterval/2 + time.Duration(s.rand()*float64(retryInterval)))
}
