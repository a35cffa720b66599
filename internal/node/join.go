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
	// joinPrefix precedes the node's name in the key of its join row.
	joinPrefix = "member/"
	// joinPause is the mean pause between two attempts to reach the table
	// service while it is down.
	joinPause = 2 * time.Second
	// joinRefresh is the mean time between two readings after that. Two groups
	// of nodes that have lost each other find back by it.
	joinRefresh = 15 * time.Minute
	// joinSpread is the time for each row found over which nodes spread their
	// own write. Nodes that start together then write at most 200 rows a second,
	// while a single node of a small system writes at once.
	joinSpread = 5 * time.Millisecond
	// headSpread is the same for the first reading of the head, at most 500 a
	// second. A restarted system would otherwise refuse requests for up to 4 s.
	headSpread = 2 * time.Millisecond
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
	set := func(seeds []string) {
		shell.With(func(m *member.Machine, _ time.Time) { m.SetSeeds(seeds) })
	}
	if seeds, ok := r.scanJoin(ctx); ok {
		set(seeds)
		mono.Sleep(ctx, spread(len(seeds), headSpread))
		r.n.conf.first()
		mono.Sleep(ctx, spread(len(seeds), joinSpread))
	}
	for ctx.Err() == nil {
		seeds, ok := r.fromTable(ctx)
		pause := joinRefresh
		if !ok {
			pause = joinPause
			seeds = r.fromPeers(ctx)
		}
		if len(seeds) > 0 {
			set(seeds)
		}
		mono.Sleep(ctx, jitter(pause))
	}
}

// spread returns a random delay that grows with the number of nodes that may
// have started together.
func spread(nodes int, each time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(nodes+1) * int64(each)))
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// fromTable writes the own row and then reads the others. Of two nodes that
// join at the same time, the one that writes later finds the other one; the
// opposite order left groups of nodes that didn't know of each other.
func (r *roster) fromTable(ctx context.Context) ([]string, bool) {
	if !r.writeJoin(ctx) {
		return nil, false
	}
	return r.scanJoin(ctx)
}

func (r *roster) scanJoin(ctx context.Context) ([]string, bool) {
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
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

func (r *roster) writeJoin(parent context.Context) bool {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
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

// fromPeers asks the peers of the settings for the members that they know,
// unless this node knows members already: at 1,100 members one answer has 85 KB.
func (r *roster) fromPeers(ctx context.Context) []string {
	if r.size() > 1 {
		return nil
	}
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
