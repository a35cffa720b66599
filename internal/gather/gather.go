// Package gather merges the events of all nodes and of log files into one time
// line. It reports what the time line lacks: nodes that did not answer, records
// that the ring buffer of a node has overwritten, and lines of a log file that are
// not events.
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
	// pageSize is the maximum number of events in one response. At about 300
	// bytes each, a page stays below the limit of 4 MiB for one message.
	pageSize = 1000
	// maxPages bounds the number of pages read from one node.
	maxPages = 100
	// maxConcurrentCalls bounds the number of concurrent calls.
	maxConcurrentCalls = 16
)

// ErrNoPeer reports that none of the given peers answered, so that the members are
// unknown.
var ErrNoPeer = errors.New("no peer answered")

// Collector requests the events of nodes.
type Collector struct {
	// Status requests the members known to the node at an address.
	Status func(ctx context.Context, address string) (*wirepb.StatusResponse, error)
	// Events requests a page of events from the node at an address.
	Events func(ctx context.Context, address string, r *wirepb.EventsRequest) (*wirepb.EventsResponse, error)
	// Timeout bounds each call.
	Timeout time.Duration
}

// Result is the result of Collect.
type Result struct {
	Records []event.Record
	Missing []string // what the records lack, in order of the nodes
	// Answered is the number of nodes whose events were read completely.
	Answered int
}

// node is a member with all addresses that peers have reported for it.
type node struct {
	name      ident.Node
	addresses []address
}

type address struct {
	hostPort    string
	incarnation uint64
}

// Collect reads the events of all members known to the peers. It adds a note to
// the result for each node that does not answer. The error is ErrNoPeer if no peer
// answered.
func (c *Collector) Collect(ctx context.Context, peers []string) (Result, error) {
	nodes, notes := c.members(ctx, peers)
	if len(nodes) == 0 {
		return Result{Missing: notes}, ErrNoPeer
	}
	lists := make([][]event.Record, len(nodes))
	nodeNotes := make([][]string, len(nodes))
	answered := make([]bool, len(nodes))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, n := range nodes {
		g.Go(func() error {
			lists[i], nodeNotes[i], answered[i] = c.readNode(ctx, n)
			return nil
		})
	}
	_ = g.Wait() // errors are in the notes
	r := Result{Records: event.Merge(lists...), Missing: append(notes, slices.Concat(nodeNotes...)...)}
	for _, a := range answered {
		if a {
			r.Answered++
		}
	}
	return r, nil
}

// members requests the members known to each peer and merges the lists.
func (c *Collector) members(ctx context.Context, peers []string) ([]node, []string) {
	var (
		mu    sync.Mutex
		found = map[ident.Node]*node{}
		notes []string
		g     errgroup.Group
	)
	g.SetLimit(maxConcurrentCalls)
	for _, p := range peers {
		g.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
			defer cancel()
			s, err := c.Status(callCtx, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				notes = append(notes, fmt.Sprintf("peer %s did not answer: %v", p, err))
				return nil
			}
			for _, m := range s.GetMembers() {
				addAddress(found, ident.Node(m.GetNode()), address{m.GetRpc(), m.GetIncarnation()})
			}
			addAddress(found, ident.Node(s.GetNode()), address{hostPort: p})
			return nil
		})
	}
	_ = g.Wait() // errors are in the notes
	slices.Sort(notes)
	return sortNodes(found), notes
}

func addAddress(found map[ident.Node]*node, name ident.Node, a address) {
	n := found[name]
	if n == nil {
		n = &node{name: name}
		found[name] = n
	}
	same := func(b address) bool { return b.hostPort == a.hostPort }
	i := slices.IndexFunc(n.addresses, same)
	if i < 0 {
		n.addresses = append(n.addresses, a)
		return
	}
	n.addresses[i].incarnation = max(n.addresses[i].incarnation, a.incarnation)
}

// sortNodes sorts the nodes by name, and the addresses of each node by descending
// incarnation.
func sortNodes(found map[ident.Node]*node) []node {
	nodes := make([]node, 0, len(found))
	for _, n := range found {
		slices.SortFunc(n.addresses, func(a, b address) int {
			return cmp.Or(cmp.Compare(b.incarnation, a.incarnation), cmp.Compare(a.hostPort, b.hostPort))
		})
		nodes = append(nodes, *n)
	}
	slices.SortFunc(nodes, func(a, b node) int { return cmp.Compare(a.name, b.name) })
	return nodes
}

// readNode reads all events of one node. It tries its addresses in order until one
// answers. The result ok reports whether the events are complete.
func (c *Collector) readNode(ctx context.Context, n node) (records []event.Record, notes []string, ok bool) {
	var err error
	for _, a := range n.addresses {
		var lost uint64
		records, lost, err = c.readPages(ctx, a.hostPort)
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

// errEndlessEvents reports a node whose list of events has too many pages or whose
// sequence numbers don't increase.
var errEndlessEvents = errors.New("list of events does not end")

func (c *Collector) readPages(ctx context.Context, address string) (records []event.Record, lost uint64, err error) {
	since := uint64(0)
	for range maxPages {
		r, err := c.readPage(ctx, address, since)
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
			return records, lost, errEndlessEvents
		}
		since = next
	}
	return records, lost, errEndlessEvents
}

func (c *Collector) readPage(ctx context.Context, address string, since uint64) (*wirepb.EventsResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.Events(callCtx, address, &wirepb.EventsRequest{Since: since, Most: pageSize})
}
