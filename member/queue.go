package member

import "math"

const (
	// spreadMargin is added to the natural logarithm of the number of members to
	// get the copies of one update that a member receives on average. With 4, one
	// update in 50 misses some member and waits for anti-entropy.
	spreadMargin = 4
	// duplicateShare accounts for duplicates, which count as transmissions and
	// come about as often.
	duplicateShare = 2
)

// retransmits returns how often an update is sent, duplicates heard included,
// in a system of n members.
func retransmits(n int) int {
	return int(math.Ceil(duplicateShare * (math.Log(float64(n+2)) + spreadMargin)))
}

// update is one queued change of a member. It is stale when the member has
// changed again since.
type update struct {
	peer  *peer
	stamp uint32
}

// queue holds updates by the number of times they were sent, so that the least
// spread ones go first at constant cost.
type queue struct {
	levels [][]update
}

// push queues the current state of a peer to be sent limit times.
func (q *queue) push(p *peer, limit int) {
	p.limit = limit
	p.stamp++
	p.sent = 0
	p.queued = true
	q.put(0, update{peer: p, stamp: p.stamp})
}

func (q *queue) put(level int, u update) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], u)
}

// pop removes the least sent update whose size fits, or returns nil. Updates
// sent often enough are dropped.
func (q *queue) pop(room int) *peer {
	for level := range q.levels {
		for len(q.levels[level]) > 0 {
			u := q.levels[level][0]
			fresh := u.stamp == u.peer.stamp && u.peer.queued
			if fresh && u.peer.sent < u.peer.limit && u.peer.update().Size() > room {
				return nil
			}
			q.levels[level] = q.levels[level][1:]
			if !fresh {
				continue
			}
			if u.peer.sent >= u.peer.limit {
				u.peer.queued = false
				continue
			}
			return u.peer
		}
		q.levels[level] = nil
	}
	return nil
}

// requeue puts a popped peer back after it was sent once more.
func (q *queue) requeue(p *peer) {
	p.sent++
	if p.sent >= p.limit {
		p.queued = false
		return
	}
	q.put(p.sent, update{peer: p, stamp: p.stamp})
}

// empty tells whether no update may be waiting. Stale entries count as waiting
// until they are popped.
func (q *queue) empty() bool {
	for _, l := range q.levels {
		if len(l) > 0 {
			return false
		}
	}
	return true
}
