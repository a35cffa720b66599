package slope

import "slices"

// firstScanSpreadSeconds is the proposed time over which the nodes spread their
// first scan.
const firstScanSpreadSeconds = 5.0

// ProposedDemands returns the demands of the situations that exceed their
// budget, as they would be with the proposed changes. The terms refer to the
// same measurements; a spread is assumed to be even.
func ProposedDemands() []Demand {
	// networkTerms returns the network terms of a node whose head row has no
	// earlier heads.
	networkTerms := func(scenario string, t ...Term) []Term {
		return append([]Term{
			newTerm("member", scenario+": bytes sent", 1),
			newTerm("member", scenario+": bytes received", 1),
			{Role: "config", Row: configHeadRowBytes, Factor: headReadsPerSecond, BaseOnly: true},
			newTerm("work", workSnapshotBytes, twice*snapshotsPerSecond),
			newTerm("work", workRowBytes, twice*rowWritesPerSecond),
			newTerm("platform", platformScanBytes, joinReadsPerSecond),
		}, t...)
	}
	// streamSaving subtracts the cost of a snapshot without keys, which is
	// mostly HTTP headers that a stream doesn't repeat.
	streamSaving := Term{Role: "work", Row: workSnapshotBytes, Factor: -twice * snapshotsPerSecond, BaseOnly: true}
	bodyExchange := newTerm("config", configBodyBytes, twice*changesPerSecond)
	ownCounters := newTerm("move", moveOwnBytes, membersPerService-1)
	demand := func(situation string, t []Term) Demand {
		return Demand{"network of a node, both ways", "B/s", networkBudget, situation, slices.Clone(t)}
	}
	const startsAtOnce = "all 1,100 nodes start at once, any table: first scan spread over 5 s"
	return []Demand{
		demand("steady: earlier heads in a row of their own", networkTerms("idle")),
		demand("the same at 220 restarts a day", networkTerms("restarts")),
		demand("the same at 1,300 changes a day", networkTerms("changes", bodyExchange)),
		demand("the same 10 min after a partition heals", networkTerms("heal")),
		demand("the same, and snapshots on one stream to the peer instead of a call each", networkTerms("heal", streamSaving)),
		demand("earlier heads in a row of their own, with a move: own counters only, to each member of the service once a second", networkTerms("idle", ownCounters)),
		demand("the same, and snapshots on one stream", networkTerms("idle", ownCounters, streamSaving)),
		{"platform writes", "/s", writeBudget, startsAtOnce, []Term{
			newTerm("", "join rows, spread over 5 s", memberCount/firstScanSpreadSeconds),
		}},
		{"platform reads", "/s", readBudget, startsAtOnce, []Term{
			newTerm("", "scan, get and scan of the join rows, spread over 5 s", 3*memberCount/firstScanSpreadSeconds), newTerm("config", configStartReads, 1),
		}},
	}
}
