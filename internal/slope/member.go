package slope

import (
	"context"

	"github.com/cicadahall/cicadahall/internal/scale"
)

// memberFigures lists the costs that are measured in each scenario of
// internal/scale.
var memberFigures = []struct {
	name, unit, carrier string
	cost                func(scale.Cost) float64
}{
	{"messages sent", "/s", "one probe a period, gossip on probes and acks", func(c scale.Cost) float64 { return c.Sent }},
	{"bytes sent", "B/s", "gossip with a bounded allowance", func(c scale.Cost) float64 { return c.SentBytes }},
	{"bytes received", "B/s", "gossip with a bounded allowance", func(c scale.Cost) float64 { return c.ReceivedBytes }},
	{"anti-entropy, both ways", "B/s", "hash, then digest of the parts that differ, then records", func(c scale.Cost) float64 { return c.CallBytes }},
	{"worst node, both ways", "B/s", "random peers", func(c scale.Cost) float64 { return c.MaxNodeBytes }},
	{"worst node and second, both ways", "B", "random peers", func(c scale.Cost) float64 { return float64(c.PeakBytes) }},
	{"processor time", "µs/s", "constant work a period", func(c scale.Cost) float64 { return 1e6 * c.Processor }},
	{"heap", "B", "one record a member", func(c scale.Cost) float64 { return float64(c.Heap) }},
}

// memberSettle is measured in the scenario of a healed partition only.
const memberSettle = "heal: time until all agree"

func memberRows() []string {
	var rows []string
	for _, s := range scale.Scenarios {
		for _, f := range memberFigures {
			rows = append(rows, string(s)+": "+f.name)
		}
	}
	return append(rows, memberSettle)
}

// measureMember runs the membership state machines of all members in virtual
// time, without network.
func measureMember(ctx context.Context, o Options) ([]Series, error) {
	var b seriesBuilder
	for _, s := range scale.Scenarios {
		for _, f := range memberFigures {
			b.define(Series{
				Name: string(s) + ": " + f.name, Unit: f.unit, SizeUnit: "members", FullSize: memberCount, Mechanism: f.carrier,
			})
		}
	}
	b.define(Series{
		Name: memberSettle, Unit: "s", SizeUnit: "members", FullSize: memberCount, Mechanism: "slow probes of lost members, then gossip",
	})
	for _, s := range scale.Scenarios {
		for _, n := range memberCounts {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if s != scale.Idle && !o.FullSize {
				n = min(n, reducedMembers)
			}
			c := scale.Membership(n, s)
			for _, f := range memberFigures {
				b.add(string(s)+": "+f.name, n, f.cost(c))
			}
			if s == scale.PartitionHeal {
				b.add(memberSettle, n, c.ConvergenceTime.Seconds())
			}
		}
	}
	return b.series, nil
}
