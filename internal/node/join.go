package node

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// joinPrefix is the key prefix of the join rows; the node's name follows it.
	joinPrefix = "member/"
	// joinRetryInterval is the mean time between two attempts to reach the
	// table service while it is down.
	joinRetryInterval = 2 * time.Second
	// joinRefreshInterval is the mean time between two reads of the join rows
	// after that. The reads reconnect groups of nodes after a partition.
	joinRefreshInterval = 15 * time.Minute
	// joinSpread is the time per row found over which nodes spread their writes.
	// Nodes that start together then write at most 200 rows a second, while a
	// single node of a small system writes immediately.
	joinSpread = 5 * time.Millisecond
	// headSpread is the time per row found over which nodes spread their first
	// read of the head: at most 500 a second. Otherwise a restarted system would
	// refuse requests for up to 4 s, because it has no manifest yet.
	headSpread = 2 * time.Millisecond
)

// joinRow is the value of a row in the table service through which nodes find
// each other.
type joinRow struct {
	Node  ident.Node  `json:"node"`
	Start ident.Start `json:"start,string"`
	UDP   string      `json:"udp"`
}

// join finds seed members, from the join rows of the table service or, while the
// service is down, from the peers of the settings. It repeats until ctx ends.
func (r *roster) join(ctx context.Context, shell *gossip.Transport) {
	set := func(seeds []string) {
		shell.WithMachine(func(m *member.Machine, _ time.Time) { m.SetSeeds(seeds) })
	}
	if seeds, ok := r.scanJoinRows(ctx); ok {
		set(seeds)
		mono.Sleep(ctx, randomDelay(len(seeds), headSpread))
		r.n.configuration.fetchFirstHead()
		mono.Sleep(ctx, randomDelay(len(seeds), joinSpread))
	}
	for ctx.Err() == nil {
		seeds, ok := r.seedsFromTable(ctx)
		pause := joinRefreshInterval
		if !ok {
			pause = joinRetryInterval
			seeds = r.seedsFromPeers(ctx)
		}
		if len(seeds) > 0 {
			set(seeds)
		}
		mono.Sleep(ctx, jitter(pause))
	}
}

// randomDelay returns a random delay of up to perNode for each of the nodes that
// may have started together, and one more.
func randomDelay(nodes int, perNode time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(nodes+1) * int64(perNode)))
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// seedsFromTable writes this node's row and then reads the others. Of two nodes
// that join at the same time, the one that writes later finds the other. With
// the opposite order, groups of nodes formed that didn't find each other.
func (r *roster) seedsFromTable(ctx context.Context) ([]string, bool) {
	if !r.writeJoinRow(ctx) {
		return nil, false
	}
	return r.scanJoinRows(ctx)
}

func (r *roster) scanJoinRows(ctx context.Context) ([]string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, res := r.n.table.Scan(callCtx, joinPrefix)
	if !res.OK() {
		return nil, false
	}
	var seeds []string
	for _, row := range rows {
		var j joinRow
		if json.Unmarshal(row.Value, &j) == nil && j.Node != r.n.settings.Node {
			seeds = append(seeds, j.UDP)
		}
	}
	return seeds, true
}

func (r *roster) writeJoinRow(parent context.Context) bool {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	j := joinRow{Node: r.n.settings.Node, Start: r.n.start}
	r.withMachine(func(m *member.Machine, _ time.Time) { j.UDP = m.Self().UDP })
	value, err := json.Marshal(j)
	if err != nil {
		return false
	}
	old, res := r.n.table.Get(ctx, joinPrefix+string(j.Node))
	if !res.OK() || bytes.Equal(old.Value, value) {
		return res.OK()
	}
	w := store.Write{Key: old.Key, Value: value, ExpectedVersion: old.Version}
	return r.n.table.Commit(ctx, []store.Write{w}).OK()
}

// seedsFromPeers requests the member lists of the peers in the settings, unless
// this node already has other members: a response with 1,100 members has 85 KB.
func (r *roster) seedsFromPeers(ctx context.Context) []string {
	if r.countExpected() > 1 {
		return nil
	}
	var seeds []string
	for _, address := range r.n.settings.Peers {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		s, err := r.n.pool.ControlClient(address).Status(callCtx, &wirepb.StatusRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, m := range s.GetMembers() {
			if ident.Node(m.GetNode()) != r.n.settings.Node {
				seeds = append(seeds, m.GetUdp())
			}
		}
	}
	return seeds
}
