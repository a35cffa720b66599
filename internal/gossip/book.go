package gossip

import (
	"sync"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// Book holds the latest record of every member that the machine has reported,
// this node's own included. It is safe for concurrent use.
type Book struct {
	self ident.Node

	mu      sync.Mutex
	records map[ident.Node]member.Record
}

// NewBook returns an empty Book of a node.
func NewBook(self ident.Node) *Book {
	return &Book{self: self, records: map[ident.Node]member.Record{}}
}

// Put stores a record and returns the one before.
func (b *Book) Put(r member.Record) (old member.Record, seen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, seen = b.records[r.Node]
	b.records[r.Node] = r
	return old, seen
}

// Get returns the record of a member.
func (b *Book) Get(n ident.Node) (member.Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.records[n]
	return r, ok
}

// Expected lists the members that are expected to answer.
func (b *Book) Expected() []member.Record {
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

// Random returns another member that is expected to answer, of a service or,
// if that is empty, of any. Below returns a uniform number in [0, n).
func (b *Book) Random(s ident.Service, below func(n int) int) (member.Record, bool) {
	var others []member.Record
	for _, r := range b.Expected() {
		if r.Node != b.self && (s == "" || r.Service == s) {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return member.Record{}, false
	}
	return others[below(len(others))], true
}

// Addresses lists the members that connections are kept to.
func (b *Book) Addresses() map[string]bool {
	out := map[string]bool{}
	for _, r := range b.Expected() {
		out[r.RPC] = true
	}
	return out
}
