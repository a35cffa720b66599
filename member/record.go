// Package member implements membership and failure detection of one system with
// probes, gossip and anti-entropy.
//
// A Machine is a pure state machine of one node. Packets and the current time
// are its inputs; calls of the functions in Options are its outputs. It has no
// goroutine, socket, clock or random source and is not safe for concurrent use.
//
// Invariants: only the owner of a record changes its content, and it raises the
// incarnation with each change; all copies of one incarnation have the same
// content. Records are ordered by incarnation, start and state, and a copy only
// moves up in this order, except that a node retracts its own suspicions when it
// finds itself isolated. The cost per node and second doesn't grow with the
// number of members while no record changes, and is bounded while many change.
package member

import (
	"cmp"

	"github.com/cicadahall/cicadahall/ident"
)

// State is the state of a member in the view of a node. Within one incarnation of
// a record, a higher state replaces a lower one.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota + 1
	// Suspect members failed a probe and may still refute the suspicion.
	Suspect
	// Leaving members have announced that they accept no new work.
	Leaving
	// Unreachable members didn't refute the suspicion in time.
	Unreachable
	// Left members stopped answering after they had announced their leave.
	Left
)

var stateNames = [...]string{"unknown", "alive", "suspect", "leaving", "unreachable", "left"}

// String returns the name of the state in logs and in the status.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// Lost reports whether the member is no longer expected to answer.
func (s State) Lost() bool { return s == Unreachable || s == Left }

// withoutSuspicion returns the state that anti-entropy compares. Suspicions end
// within seconds and would otherwise make nearly equal digests differ.
func (s State) withoutSuspicion() State {
	if s == Suspect {
		return Alive
	}
	return s
}

// Record is what a node announces about itself and its upstream.
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
	// copies get it from direct packets and anti-entropy, since 1,300 changes a
	// day at 1,100 members would cause 16 record updates a second by gossip.
	Revision ident.Revision
	// Ready reports whether the upstream accepts work.
	Ready bool
}

// stateOnly returns the record with only the state of the member. It takes about
// 30 bytes instead of 120 and is applied only to a copy of the same incarnation.
func (r Record) stateOnly() Record {
	return Record{Node: r.Node, Start: r.Start, Incarnation: r.Incarnation, State: r.State}
}

// isStateOnly reports whether the record carries only a state. A whole record
// always has a UDP address.
func (r Record) isStateOnly() bool { return r.UDP == "" }

// Compare orders two records of one node: by incarnation, then by start, then
// by state. A restarted node supersedes the record of its earlier start because
// incarnations begin at the Unix time, and because an owner that receives a
// higher record of an earlier start raises its own incarnation above it.
func Compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Start, b.Start),
		cmp.Compare(a.State, b.State),
	)
}

// sameIncarnation reports whether both records are of one incarnation of one
// process start.
func sameIncarnation(a, b Record) bool {
	return a.Start == b.Start && a.Incarnation == b.Incarnation
}
