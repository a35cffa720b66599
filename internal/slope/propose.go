package slope

import "slices"

const (
	// joinSpread is the proposed range of the first join in seconds.
	joinSpread = 5.0
	// slowJoin is the proposed time between two scans of the join rows in seconds.
	slowJoin = 900.0
)

// Proposed lists what the situations that don't fit take with the proposed
// changes. The terms come from the same measurements; a spread is assumed to
// be even.
func Proposed() []Need {
	steady := []Term{
		of("member", "idle: bytes sent", 1),
		of("member", "idle: bytes received", 1),
		{Role: "config", Row: configRow, Times: headReads, Base: true},
		of("work", workZip, both*keepsPerSecond),
		of("work", workRow, both*rowWrites),
		of("platform", platformScan, 1/slowJoin),
	}
	wire := func(situation string, t ...Term) Need {
		return Need{"network of a node, both ways", "B/s", wireBudget, situation, append(slices.Clone(steady), t...)}
	}
	join := of("", "get and scan of the join rows, spread over 5 s", both*members/joinSpread)
	return []Need{
		wire("steady: gzip on calls between nodes, head row without earlier heads, scan every 15 min"),
		wire("the same at 1,300 changes a day", of("config", configBody, both*changesSecond)),
		wire("the same with a move: own counters only, to each member of the service once a second",
			of("move", moveOwn, perService-1)),
		wire("the same with the platform out: peers of the settings only while no member is known"),
		{"platform writes", "/s", writeBudget, "all 1,100 nodes start at once: first join spread over 5 s", []Term{
			of("", "join rows, spread over 5 s", members/joinSpread),
		}},
		{"platform reads", "/s", readBudget, "all 1,100 nodes start at once: first join spread over 5 s", []Term{
			join, of("config", configStart, 1),
		}},
		{"platform reads", "/s", readBudget, "later: scans jittered around 15 min", []Term{
			of("config", configSteady, 1), of("work", workReads, 1),
			of("", "get and scan of the join rows", both*members/slowJoin),
		}},
	}
}
