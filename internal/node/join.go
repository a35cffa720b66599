package node

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/store"
)

const (
	// joinPrefix precedes the node's name in the key of its join row.
	joinPrefix = "member/"
	// joinPause is the pause between two attempts to write and read the join
	// rows while the table service is out of reach.
	joinPause = 2 * time.Second
	// joinRefresh is the time between two readings after that. Two groups of
	// nodes that have lost each other find back by it. At 1,100 nodes it causes
	// less than 4 scans a second.
	joinRefresh = 5 * time.Minute
)

// joinRow is how nodes find each other through the table service.
type joinRow struct {
	Node  ident.Node  `json:"node"`
	Start ident.Start `json:"start,string"`
	UDP   string      `json:"udp"`
}

// join finds members to start from: through the rows of the table service, or
// through the peers of the settings while that is down.
func (r *roster) join(ctx context.Context, shell *gossip.Shell) {
	for ctx.Err() == nil {
		seeds, ok := r.fromTable(ctx)
		pause := joinRefresh
		if !ok {
			seeds = r.fromPeers(ctx)
			pause = joinPause
		}
		shell.With(func(m *member.Machine, _ time.Time) { m.SetSeeds(seeds) })
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// fromTable writes the own row and then reads the others. Of two nodes that
// join at the same time, the one that writes later finds the other one; the
// opposite order left groups of nodes that didn't know of each other.
func (r *roster) fromTable(ctx context.Context) ([]string, bool) {
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	if !r.writeJoin(limited) {
		return nil, false
	}
	rows, res := r.n.table.Scan(limited, joinPrefix)
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

func (r *roster) writeJoin(ctx context.Context) bool {
	j := joinRow{Node: r.n.settings.Node, Start: r.n.start}
	r.with(func(m *member.Machine, _ time.Time) { j.UDP = m.Self().UDP })
	value, err := json.Marshal(j)
	if err != nil {
		return false
	}
	old, res := r.n.table.Get(ctx, joinPrefix+string(j.Node))
	if !res.OK() || bytes.Equal(old.Value, value) {
		return res.OK()
	}
	w := store.Write{Key: old.Key, Value: value, Expect: old.Version}
	return r.n.table.Commit(ctx, []store.Write{w}).OK()
}

// fromPeers asks the peers of the settings for the members that they know.
func (r *roster) fromPeers(ctx context.Context) []string {
	var seeds []string
	for _, address := range r.n.settings.Peers {
		limited, cancel := context.WithTimeout(ctx, peerLimit)
		s, err := r.n.pool.Client(address).Status(limited, &wirepb.StatusRequest{})
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
