package slope

import (
	"context"

	"github.com/cicadahall/cicadahall/internal/scale"
)

// memberFigures are the costs that each scenario of internal/scale gives.
var memberFigures = []struct {
	name, unit, carrier string
	cost                func(scale.Cost) float64
}{
	{"messages sent", "/s", "one probe a period, gossip on probes and acks", func(c scale.Cost) float64 { return c.Sent }},
	{"bytes sent", "B/s", "gossip with a bounded allowance", func(c scale.Cost) float64 { return c.SentBytes }},
	{"bytes received", "B/s", "gossip with a bounded allowance", func(c scale.Cost) float64 { return c.ReceivedBytes }},
	{"anti-entropy, both ways", "B/s", "hash, then digest of the parts that differ, then records", func(c scale.Cost) float64 { return c.CallBytes }},
	{"worst node, both ways", "B/s", "random peers", func(c scale.Cost) float64 { return c.Worst }},
	{"worst node and second, both ways", "B", "random peers", func(c scale.Cost) float64 { return float64(c.PeakBytes) }},
	{"processor time", "µs/s", "constant work a period", func(c scale.Cost) float64 { return 1e6 * c.Processor }},
	{"heap", "B", "one record a member", func(c scale.Cost) float64 { return float64(c.Heap) }},
}

// settleRow is measured for a healed partition only.
const settleRow = "heal: time until all agree"

func memberRows() []string {
	var rows []string
	for _, s := range scale.Scenarios {
		for _, f := range memberFigures {
			rows = append(rows, string(s)+": "+f.name)
		}
	}
	return append(rows, settleRow)
}

// measureMember runs the pure machines of all members in virtual time.
func measureMember(ctx context.Context, o Options) ([]Series, error) {
	var b board
	for _, s := range scale.Scenarios {
		for _, f := range memberFigures {
			b.define(Series{
				Name: string(s) + ": " + f.name, Unit: f.unit, By: "members", Size: members, Carrier: f.carrier,
			})
		}
	}
	b.define(Series{
		Name: settleRow, Unit: "s", By: "members", Size: members, Carrier: "slow probes of lost members, then gossip",
	})
	for _, s := range scale.Scenarios {
		for _, n := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if s != scale.Idle && !o.Whole {
				n = min(n, quickMost)
			}
			c := scale.Membership(n, s)
			for _, f := range memberFigures {
				b.add(string(s)+": "+f.name, n, f.cost(c))
			}
			if s == scale.Heal {
				b.add(settleRow, n, c.Settle.Seconds())
			}
		}
	}
	return b.series, nil
}
