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
	platformScanBytes   = "bytes of one scan of the join rows, both ways"
	platformScanTime    = "processor time of one scan, both sides"
	platformStatusBytes = "bytes of one status answer, which a node without members joins by in an outage"
	platformReadBytes   = "bytes of one row read, both ways"
	platformWriteBytes  = "bytes of one row write, both ways"
)

var platformRows = []string{platformScanBytes, platformScanTime, platformStatusBytes, platformReadBytes, platformWriteBytes}

// joinRow has the encoding of the rows member/<node> that internal/node writes.
type joinRow struct {
	Node  ident.Node  `json:"node"`
	Start ident.Start `json:"start,string"`
	UDP   string      `json:"udp"`
}

func measurePlatform(ctx context.Context, _ Options) ([]Series, error) {
	var b seriesBuilder
	b.define(Series{Name: platformScanBytes, Unit: "B", SizeUnit: "members", FullSize: memberCount, Mechanism: "two scans at the start, then one each 15 min with jitter"})
	b.define(Series{Name: platformScanTime, Unit: "µs", SizeUnit: "members", FullSize: memberCount, Mechanism: "two scans at the start, then one each 15 min with jitter"})
	b.define(Series{Name: platformStatusBytes, Unit: "B", SizeUnit: "members", FullSize: memberCount, Mechanism: "asked only while no member is known"})
	b.define(Series{Name: platformReadBytes, Unit: "B", SizeUnit: "bytes", FullSize: 2000, Mechanism: "keep-alive connections"})
	b.define(Series{Name: platformWriteBytes, Unit: "B", SizeUnit: "bytes", FullSize: 2000, Mechanism: "keep-alive connections"})
	for _, n := range memberCounts {
		if err := measureScan(ctx, &b, n); err != nil {
			return nil, err
		}
		size, err := peerBytes(&fixedPeer{status: newStatus(n)}, func(c wirepb.PeerClient) error {
			_, err := c.Status(ctx, &wirepb.StatusRequest{})
			return err
		})
		if err != nil {
			return nil, err
		}
		b.add(platformStatusBytes, n, size)
	}
	for _, n := range []int{500, 2000, 8000} {
		if err := measureRow(ctx, &b, n); err != nil {
			return nil, err
		}
	}
	return b.series, nil
}

func measureScan(ctx context.Context, b *seriesBuilder, n int) error {
	server, err := newCountingServer(stand.NewPlatform().Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	table := plat.NewTable("http://" + server.address)
	for i := range n {
		name := fmt.Sprintf("service-%d-%d", i%serviceCount, i)
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
	bytes, err := server.bytesPerCall(scan)
	b.add(platformScanBytes, n, bytes)
	b.add(platformScanTime, n, microsecondsPerCall(func() { _ = scan() }))
	return err
}

func newStatus(n int) *wirepb.StatusResponse {
	var all []member.Record
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	for i := range n {
		m := newMember(i, serviceCount)
		all = append(all, member.Record{
			Node: m.Node, Start: ident.Start(r.Uint64()), Incarnation: uint64(epoch.UnixMilli()), State: member.Alive,
			Domain: m.Domain, Region: m.Region, Service: m.Service, Version: m.Version, Slots: m.Slots,
			RPC: fmt.Sprintf("10.20.%d.%d:7001", i/200, i%200), UDP: fmt.Sprintf("10.20.%d.%d:7002", i/200, i%200),
			Revision: 1300, Ready: true,
		})
	}
	return &wirepb.StatusResponse{Node: "service-0-0", Start: 1 << 63, Members: gossip.RecordsToWire(all)}
}

func measureRow(ctx context.Context, b *seriesBuilder, n int) error {
	server, err := newCountingServer(stand.NewPlatform().Handler())
	if err != nil {
		return err
	}
	defer server.Close()
	table := plat.NewTable("http://" + server.address)
	key := "work/service-17-187/" + fmt.Sprint(uint64(1<<63))
	version := uint64(0)
	write, err := server.bytesPerCall(func() error {
		r := table.Commit(ctx, []store.Write{{Key: key, Value: make([]byte, n), ExpectedVersion: version}})
		version++
		return r.Err
	})
	if err != nil {
		return err
	}
	b.add(platformWriteBytes, n, write)
	read, err := server.bytesPerCall(func() error {
		readCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, r := table.Get(readCtx, key)
		return r.Err
	})
	b.add(platformReadBytes, n, read)
	return err
}
