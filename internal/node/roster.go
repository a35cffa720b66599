package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/choose"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/entry"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/store"
)

// joinPrefix precedes the node's name in the key of its join row.
const joinPrefix = "member/"

// rosterTick is how often the join rows are read.
const rosterTick = 500 * time.Millisecond

// joinRow is how nodes find each other through the table service.
type joinRow struct {
	Node    ident.Node    `json:"node"`
	Start   ident.Start   `json:"start,string"`
	Domain  ident.Domain  `json:"domain"`
	Region  ident.Region  `json:"region"`
	Service ident.Service `json:"service"`
	Version ident.Version `json:"version"`
	Slots   ident.Slots   `json:"slots"`
	Peers   string        `json:"peers"`
	Leaving bool          `json:"leaving"`
	// Revision is the manifest in force at the node.
	Revision ident.Revision `json:"revision"`
}

// roster finds the members of the system.
type roster struct {
	n    *Node
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	rows    []joinRow
}

func newRoster(n *Node) *roster {
	r := &roster{n: n}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		r.run()
	}()
	return r
}

func (r *roster) run() {
	t := time.NewTicker(rosterTick)
	defer t.Stop()
	for {
		r.write()
		r.read()
		select {
		case <-t.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// Close stops reading.
func (r *roster) Close() {
	r.stop()
	r.wait.Wait()
}

func (r *roster) own() joinRow {
	u := r.n.exit.Upstream()
	force := r.n.conf.force()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.n.settings
	return joinRow{
		Node:     s.Node,
		Start:    r.n.start,
		Domain:   s.Domain,
		Region:   s.Region,
		Service:  u.Service,
		Version:  u.Version,
		Slots:    u.Slots,
		Peers:    s.Listen.Peers,
		Revision: force.Revision,
		Leaving:  r.leaving || u.Draining || !u.Ready,
	}
}

func (r *roster) write() {
	ctx, cancel := context.WithTimeout(r.ctx, storeLimit)
	defer cancel()
	value, err := json.Marshal(r.own())
	if err != nil {
		return
	}
	key := joinPrefix + string(r.n.settings.Node)
	old, res := r.n.table.Get(ctx, key)
	if !res.OK() || string(old.Value) == string(value) {
		return
	}
	r.n.table.Commit(ctx, []store.Write{{Key: key, Value: value, Expect: old.Version}})
}

func (r *roster) read() {
	ctx, cancel := context.WithTimeout(r.ctx, storeLimit)
	defer cancel()
	found, res := r.n.table.Scan(ctx, joinPrefix)
	if !res.OK() {
		return
	}
	var rows []joinRow
	for _, f := range found {
		var j joinRow
		if json.Unmarshal(f.Value, &j) == nil {
			rows = append(rows, j)
		}
	}
	r.mu.Lock()
	r.rows = rows
	r.mu.Unlock()
	r.publish(targets(rows))
}

// publish hands the members to the entry and to the exit's key fences.
func (r *roster) publish(ts []entry.Target) {
	r.n.entry.Update(ts)
	members := make([]choose.Member, 0, len(ts))
	for _, t := range ts {
		members = append(members, t.Member)
	}
	r.n.exit.SetMembers(entry.Homes(members)[r.n.exit.Upstream().Service])
}

func targets(rows []joinRow) []entry.Target {
	out := make([]entry.Target, 0, len(rows))
	for _, j := range rows {
		if j.Service == "" {
			continue
		}
		m := choose.Member{
			Node:    j.Node,
			Service: j.Service,
			Version: j.Version,
			Domain:  j.Domain,
			Region:  j.Region,
			Slots:   j.Slots,
		}
		if j.Leaving {
			m.State = choose.Leaving
		}
		out = append(out, entry.Target{Member: m, Address: j.Peers, Start: j.Start})
	}
	return out
}

func (r *roster) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.write()
}

// random returns the address of another member.
func (r *roster) random() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []string
	for _, j := range r.rows {
		if j.Node != r.n.settings.Node {
			others = append(others, j.Peers)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

func (n *Node) announce() {
	if n.roster != nil {
		go n.roster.write()
	}
}

// records returns the members in the wire form.
func (r *roster) records() []*wirepb.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*wirepb.Record, 0, len(r.rows))
	for _, j := range r.rows {
		out = append(out, &wirepb.Record{Node: string(j.Node), Start: uint64(j.Start), Revision: uint64(j.Revision)})
	}
	return out
}
