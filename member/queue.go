package member

import "math"

const (
	// spreadMargin plus the natural logarithm of the number of members is the
	// mean number of copies of one update that a member receives. With 4, one
	// update in 50 misses some member, which gets it by anti-entropy.
	spreadMargin = 4
	// duplicateFactor accounts for received duplicates, which count as
	// transmissions and are about as frequent as own ones.
	duplicateFactor = 2
)

// transmissionLimit returns how often a node sends an update in a system of n
// members; received duplicates count as transmissions.
func transmissionLimit(n int) int {
	return int(math.Ceil(duplicateFactor * (math.Log(float64(n+2)) + spreadMargin)))
}

// queuedUpdate is a queued change of a member's record. It is stale if stamp
// differs from that of the peer, because a later change has been queued.
type queuedUpdate struct {
	peer  *peer
	stamp uint32
}

// queue holds updates by the number of times they were sent, so that those sent
// least come first at constant cost.
type queue struct {
	levels [][]queuedUpdate
}

// push queues the current record of a peer to be sent maxTransmissions times.
func (q *queue) push(p *peer, maxTransmissions int) {
	p.maxTransmissions = maxTransmissions
	p.stamp++
	p.transmissions = 0
	p.queued = true
	q.put(0, queuedUpdate{peer: p, stamp: p.stamp})
}

func (q *queue) put(level int, u queuedUpdate) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], u)
}

// pop removes the update that was sent least and returns its peer, or nil if
// there is none or its size exceeds room, in bytes. It drops updates that have
// reached their limit.
func (q *queue) pop(room int) *peer {
	for level := range q.levels {
		for len(q.levels[level]) > 0 {
			u := q.levels[level][0]
			fresh := u.stamp == u.peer.stamp && u.peer.queued
			if fresh && u.peer.transmissions < u.peer.maxTransmissions && u.peer.gossipRecord().Size() > room {
				return nil
			}
			q.levels[level] = q.levels[level][1:]
			if !fresh {
				continue
			}
			if u.peer.transmissions >= u.peer.maxTransmissions {
				u.peer.queued = false
				continue
			}
			return u.peer
		}
		q.levels[level] = nil
	}
	return nil
}

// requeue counts a transmission of a popped peer and queues it again if its
// limit isn't reached.
func (q *queue) requeue(p *peer) {
	p.transmissions++
	if p.transmissions >= p.maxTransmissions {
		p.queued = false
		return
	}
	q.put(p.transmissions, queuedUpdate{peer: p, stamp: p.stamp})
}

// empty reports whether the queue has no entries. Stale entries count until they
// are popped.
func (q *queue) empty() bool {
	for _, l := range q.levels {
		if len(l) > 0 {
			return false
		}
	}
	return true
}
