package slope

import "slices"

// firstSpread is the proposed range of the first scan in seconds.
const firstSpread = 5.0

// Proposed lists what the situations that don't fit take with the proposed
// changes. The terms come from the same measurements; a spread is assumed to
// be even.
func Proposed() []Need {
	// with returns the needs of a node whose head row has no earlier heads.
	with := func(scenario string, t ...Term) []Term {
		return append([]Term{
			of("member", scenario+": bytes sent", 1),
			of("member", scenario+": bytes received", 1),
			{Role: "config", Row: configRow, Times: headReads, Base: true},
			of("work", workKeep, both*keepsPerSecond),
			of("work", workRow, both*rowWrites),
			of("platform", platformScan, joinReads),
		}, t...)
	}
	// The base of the line is what a snapshot takes without keys, which is
	// mostly the headers of HTTP.
	stream := Term{Role: "work", Row: workKeep, Times: -both * keepsPerSecond, Base: true}
	body := of("config", configBody, both*changesSecond)
	own := of("move", moveOwn, perService-1)
	wire := func(situation string, t []Term) Need {
		return Need{"network of a node, both ways", "B/s", wireBudget, situation, slices.Clone(t)}
	}
	const startsAtOnce = "all 1,100 nodes start at once, any table: first scan spread over 5 s"
	return []Need{
		wire("steady: earlier heads in a row of their own", with("idle")),
		wire("the same at 220 restarts a day", with("restarts")),
		wire("the same at 1,300 changes a day", with("changes", body)),
		wire("the same 10 min after a partition heals", with("heal")),
		wire("the same, and snapshots on one stream to the peer instead of a call each", with("heal", stream)),
		wire("earlier heads in a row of their own, with a move: own counters only, to each member of the service once a second", with("idle", own)),
		wire("the same, and snapshots on one stream", with("idle", own, stream)),
		{"platform writes", "/s", writeBudget, startsAtOnce, []Term{
			of("", "join rows, spread over 5 s", members/firstSpread),
		}},
		{"platform reads", "/s", readBudget, startsAtOnce, []Term{
			of("", "scan, get and scan of the join rows, spread over 5 s", 3*members/firstSpread), of("config", configStart, 1),
		}},
	}
}
