package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/gossip"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/stand"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
	"github.com/cicadahall/cicadahall/store"
)

const (
	platformScan   = "bytes of one scan of the join rows, both ways"
	platformParse  = "processor time of one scan, both sides"
	platformStatus = "bytes of one status answer, which a node without members joins by in an outage"
	platformRead   = "bytes of one row read, both ways"
	platformWrite  = "bytes of one row write, both ways"
)

var platformRows = []string{platformScan, platformParse, platformStatus, platformRead, platformWrite}

// joinRow has the form of the rows member/<node> of internal/node.
type joinRow struct {
	Node  ident.Node  `json:"node"`
	Start ident.Start `json:"start,string"`
	UDP   string      `json:"udp"`
}

func measurePlatform(ctx context.Context, _ Options) ([]Series, error) {
	var b board
	b.define(Series{Name: platformScan, Unit: "B", By: "members", Size: members, Carrier: "two scans at the start, then one each 15 min with jitter"})
	b.define(Series{Name: platformParse, Unit: "µs", By: "members", Size: members, Carrier: "two scans at the start, then one each 15 min with jitter"})
	b.define(Series{Name: platformStatus, Unit: "B", By: "members", Size: members, Carrier: "asked only while no member is known"})
	b.define(Series{Name: platformRead, Unit: "B", By: "bytes", Size: 2000, Carrier: "keep-alive connections"})
	b.define(Series{Name: platformWrite, Unit: "B", By: "bytes", Size: 2000, Carrier: "keep-alive connections"})
	for _, n := range sizes {
		if err := measureScan(ctx, &b, n); err != nil {
			return nil, err
		}
		size, err := peerBytes(&fixedPeer{status: statusOf(n)}, func(c wirepb.PeerClient) error {
			_, err := c.Status(ctx, &wirepb.StatusRequest{})
			return err
		})
		if err != nil {
			return nil, err
		}
		b.add(platformStatus, n, size)
	}
	for _, n := range []int{500, 2000, 8000} {
		if err := measureRow(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

func measureScan(ctx context.Context, b *board, n int) error {
	w, err := newWire(stand.NewPlatform().Handler())
	if err != nil {
		return err
	}
	defer w.Close()
	table := plat.NewTable("http://" + w.address)
	for i := range n {
		name := fmt.Sprintf("service-%d-%d", i%services, i)
		value, err := json.Marshal(joinRow{
			Node: ident.Node(name), Start: 1<<63 + ident.Start(i), UDP: fmt.Sprintf("10.20.%d.%d:7002", i/200, i%200),
		})
		if err != nil {
			return err
		}
		if r := table.Commit(ctx, []store.Write{{Key: "member/" + name, Value: value}}); !r.OK() {
			return r.Err
		}
	}
	scan := func() error {
		_, r := table.Scan(ctx, "member/")
		return r.Err
	}
	bytes, err := w.perCall(scan)
	b.add(platformScan, n, bytes)
	b.add(platformParse, n, microseconds(func() { _ = scan() }))
	return err
}

func statusOf(n int) *wirepb.StatusResponse {
	var all []member.Record
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		m := memberOf(i, services)
		all = append(all, member.Record{
			Node: m.Node, Start: ident.Start(r.Uint64()), Incarnation: uint64(epoch.UnixMilli()), State: member.Alive,
			Domain: m.Domain, Region: m.Region, Service: m.Service, Version: m.Version, Slots: m.Slots,
			RPC: fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200), UDP: fmt.Sprintf("10.20.%d.%d:7002", i/200, i%200),
			Revision: 1300, Ready: true,
		})
	}
	return &wirepb.StatusResponse{Node: "service-0-0", Start: 1 << 63, Members: gossip.ToWire(all)}
}

func measureRow(ctx context.Context, b *board, n int) error {
	w, err := newWire(stand.NewPlatform().Handler())
	if err != nil {
		return err
	}
	defer w.Close()
	table := plat.NewTable("http://" + w.address)
	key := "work/service-17-187/" + fmt.Sprint(uint64(1<<63))
	version := uint64(0)
	write, err := w.perCall(func() error {
		r := table.Commit(ctx, []store.Write{{Key: key, Value: make([]byte, n), Expect: version}})
		version++
		return r.Err
	})
	if err != nil {
		return err
	}
	b.add(platformWrite, n, write)
	read, err := w.perCall(func() error {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, r := table.Get(limited, key)
		return r.Err
	})
	b.add(platformRead, n, read)
	return err
}
