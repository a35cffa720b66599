// Package gather collects the events of all nodes and of log files into one
// time line. It states what is missing instead of hiding it: nodes that did
// not answer, records that a ring has lost, and lines that are not events.
package gather

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// pageSize is the number of events of one call. At some 300 bytes each, a
	// page stays below the 4 MiB of one message.
	pageSize = 1000
	// maxPages bounds what one node can send.
	maxPages = 100
	// parallel bounds the calls at the same time.
	parallel = 16
)

// ErrNoPeer reports that none of the given peers answered, so that the members
// are not known.
var ErrNoPeer = errors.New("no peer answered")

// Collector asks nodes for their events.
type Collector struct {
	// Status asks the node at an address for its view of the members.
	Status func(ctx context.Context, address string) (*wirepb.StatusResponse, error)
	// Events asks the node at an address for a page of events.
	Events func(ctx context.Context, address string, r *wirepb.EventsRequest) (*wirepb.EventsResponse, error)
	// Timeout bounds each call.
	Timeout time.Duration
}

// Result is what a collection yields.
type Result struct {
	Records []event.Record
	Notes   []string // what is missing, in order of the nodes
	// Answered counts the nodes whose events were read completely.
	Answered int
}

// node is a member with the addresses that different peers know for it.
type node struct {
	name      ident.Node
	addresses []address
}

type address struct {
	text        string
	incarnation uint64
}

// Collect reads the events of all members that the peers list. A node that
// does not answer leads to a note; the error is ErrNoPeer if no peer answered.
func (c *Collector) Collect(ctx context.Context, peers []string) (Result, error) {
	nodes, notes := c.members(ctx, peers)
	if len(nodes) == 0 {
		return Result{Notes: notes}, ErrNoPeer
	}
	lists := make([][]event.Record, len(nodes))
	missing := make([][]string, len(nodes))
	answered := make([]bool, len(nodes))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, n := range nodes {
		g.Go(func() error {
			lists[i], missing[i], answered[i] = c.node(ctx, n)
			return nil
		})
	}
	_ = g.Wait() // faults are notes
	r := Result{Records: event.Merge(lists...), Notes: append(notes, slices.Concat(missing...)...)}
	for _, a := range answered {
		if a {
			r.Answered++
		}
	}
	return r, nil
}

// members asks all peers and joins their lists.
func (c *Collector) members(ctx context.Context, peers []string) ([]node, []string) {
	var (
		mu    sync.Mutex
		found = map[ident.Node]*node{}
		notes []string
		g     errgroup.Group
	)
	g.SetLimit(parallel)
	for _, p := range peers {
		g.Go(func() error {
			call, cancel := context.WithTimeout(ctx, c.Timeout)
			defer cancel()
			s, err := c.Status(call, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notes = append(notes, fmt.Sprintf("peer %s did not answer: %v", p, err))
				return nil
			}
			for _, m := range s.GetMembers() {
				add(found, ident.Node(m.GetNode()), address{m.GetRpc(), m.GetIncarnation()})
			}
			add(found, ident.Node(s.GetNode()), address{text: p})
			return nil
		})
	}
	_ = g.Wait() // faults are notes
	slices.Sort(notes)
	return sorted(found), notes
}

func add(found map[ident.Node]*node, name ident.Node, a address) {
	n := found[name]
	if n == nil {
		n = &node{name: name}
		found[name] = n
	}
	same := func(b address) bool { return b.text == a.text }
	i := slices.IndexFunc(n.addresses, same)
	if i < 0 {
		n.addresses = append(n.addresses, a)
		return
	}
	n.addresses[i].incarnation = max(n.addresses[i].incarnation, a.incarnation)
}

// sorted orders nodes by name, and the addresses of each by the latest record.
func sorted(found map[ident.Node]*node) []node {
	nodes := make([]node, 0, len(found))
	for _, n := range found {
		slices.SortFunc(n.addresses, func(a, b address) int {
			return cmp.Or(cmp.Compare(b.incarnation, a.incarnation), cmp.Compare(a.text, b.text))
		})
		nodes = append(nodes, *n)
	}
	slices.SortFunc(nodes, func(a, b node) int { return cmp.Compare(a.name, b.name) })
	return nodes
}

// node reads all events of one node. It tries the addresses in turn until one
// answers.
func (c *Collector) node(ctx context.Context, n node) (records []event.Record, notes []string, ok bool) {
	var err error
	for _, a := range n.addresses {
		var lost uint64
		records, lost, err = c.pages(ctx, a.text)
		if lost > 0 {
			notes = append(notes, fmt.Sprintf("node %s has lost %d older events", n.name, lost))
		}
		if err == nil {
			return records, notes, true
		}
		if len(records) > 0 {
			notes = append(notes, fmt.Sprintf("node %s stopped answering after %d events: %v", n.name, len(records), err))
			return records, notes, false
		}
	}
	return nil, append(notes, fmt.Sprintf("node %s did not answer: %v", n.name, err)), false
}

// errPages reports a node that never ends its list.
var errPages = errors.New("list of events does not end")

func (c *Collector) pages(ctx context.Context, address string) (records []event.Record, lost uint64, err error) {
	since := uint64(0)
	for range maxPages {
		r, err := c.page(ctx, address, since)
		if err != nil {
			return records, lost, err
		}
		lost += r.GetLost()
		if len(r.GetEvents()) == 0 {
			return records, lost, nil
		}
		for _, e := range r.GetEvents() {
			records = append(records, FromWire(e))
		}
		next := records[len(records)-1].Sequence
		if next <= since {
			return records, lost, errPages
		}
		since = next
	}
	return records, lost, errPages
}

func (c *Collector) page(ctx context.Context, address string, since uint64) (*wirepb.EventsResponse, error) {
	call, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.Events(call, address, &wirepb.EventsRequest{Since: since, Most: pageSize})
}
