// Package member keeps the membership of one system by probes and gossip.
//
// A Machine is a pure state machine for one node: packets and the current time
// are its inputs, calls of its function fields are its effects. It holds no
// goroutine, socket, clock or random source and is not safe for concurrent use.
//
// Invariants: only the owner of a record changes its content, and raises the
// incarnation with each change; all copies of one incarnation have the same
// content. Records are ordered by incarnation, start and state, and a copy only
// moves up in this order, except that a node takes back its own suspicions when
// it finds itself faulty. The cost per node and second doesn't grow with the
// number of members while nothing changes, and is bounded while much changes.
package member

import (
	"cmp"

	"github.com/cicadahall/cicadahall/ident"
)

// State is what a node knows of a member. For one incarnation of a record a
// higher state replaces a lower one.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota + 1
	// Suspect members failed their probes and may still refute it.
	Suspect
	// Leaving members have announced that they take no new work.
	Leaving
	// Unreachable members didn't refute the suspicion in time.
	Unreachable
	// Left members stopped answering after they had announced to leave.
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "leaving", "unreachable", "left"}

// String returns the name used in logs and in the status.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Lost tells whether the member is no longer expected to answer.
func (s State) Lost() bool { return s == Unreachable || s == Left }

// settled is the state that anti-entropy compares. Suspicions pass within
// seconds by themselves and would make nearly equal states differ.
func (s State) settled() State {
	if s == Suspect {
		return Alive
	}
	return s
}

// Record is what a node tells of itself and of its upstream.
type Record struct {
	Node        ident.Node
	Start       ident.Start
	Incarnation uint64
	State       State
	Domain      ident.Domain
	Region      ident.Region
	Service     ident.Service
	Version     ident.Version
	Slots       ident.Slots
	RPC         string // address for calls between nodes, host:port
	UDP         string // address for membership packets, host:port
	// Revision is the adopted configuration. It is not part of an incarnation:
	// copies learn it from direct packets and anti-entropy, since 1,300 changes
	// a day at 1,100 members would be 16 record updates a second by gossip.
	Revision ident.Revision
	// Ready tells that the upstream takes work.
	Ready bool
}

// bare returns only the claim about the member's state. It costs about 30 bytes
// instead of 120 and is applied only to a copy of the same incarnation.
func (r Record) bare() Record {
	return Record{Node: r.Node, Start: r.Start, Incarnation: r.Incarnation, State: r.State}
}

// isBare tells whether the record carries only a state. Every content has a
// UDP address.
func (r Record) isBare() bool { return r.UDP == "" }

// Compare orders two records of one node: by incarnation, then by start, then
// by state. A restarted node outranks its earlier run because incarnations
// start at the Unix time, and because an owner that meets a higher record of
// an earlier run raises its own incarnation above it.
func Compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Start, b.Start),
		cmp.Compare(a.State, b.State),
	)
}

// sameRun tells whether both records are of one incarnation of one process.
func sameRun(a, b Record) bool {
	return a.Start == b.Start && a.Incarnation == b.Incarnation
}
