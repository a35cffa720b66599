package gossip

import (
	"sync"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// MemberTable stores the latest record of every member that the machine has
// reported, including the record of this node. It is safe for concurrent use.
type MemberTable struct {
	self ident.Node

	mu      sync.Mutex
	records map[ident.Node]member.Record
}

// NewMemberTable returns an empty MemberTable for the node self.
func NewMemberTable(self ident.Node) *MemberTable {
	return &MemberTable{self: self, records: map[ident.Node]member.Record{}}
}

// Put stores a record and returns the previous record of the member, if there is
// one.
func (b *MemberTable) Put(r member.Record) (old member.Record, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found = b.records[r.Node]
	b.records[r.Node] = r
	return old, found
}

// Get returns the record of a member and whether there is one.
func (b *MemberTable) Get(n ident.Node) (member.Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[n]
	return r, ok
}

// Reachable returns the members that are expected to respond, in no particular
// order.
func (b *MemberTable) Reachable() []member.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]member.Record, 0, len(b.records))
	for _, r := range b.records {
		if !r.State.Lost() {
			out = append(out, r)
		}
	}
	return out
}

// RandomPeer returns another member that is expected to respond, and false if
// there is none. If s isn't empty, the member is one of service s. The function
// intN returns a uniform number in [0, n).
func (b *MemberTable) RandomPeer(s ident.Service, intN func(n int) int) (member.Record, bool) {
	var others []member.Record
	for _, r := range b.Reachable() {
		if r.Node != b.self && (s == "" || r.Service == s) {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return member.Record{}, false
	}
	return others[intN(len(others))], true
}

// Addresses returns the RPC addresses of the members that are expected to
// respond.
func (b *MemberTable) Addresses() map[string]bool {
	out := map[string]bool{}
	for _, r := range b.Reachable() {
		out[r.RPC] = true
	}
	return out
}
