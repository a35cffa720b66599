package slope

import (
	"fmt"
	"slices"
	"strings"
)

// Term is a part of a demand: the cost in one row of a role's table, multiplied
// by Factor. Without a role, the cost is 1 and Row only names the term.
type Term struct {
	Role   string
	Row    string
	Factor float64
	// BaseOnly selects the base of the fitted line instead of the cost at the
	// full size.
	BaseOnly bool
}

// Demand is what one operating situation consumes of one resource budget.
type Demand struct {
	Budget    string
	Unit      string
	Allowed   float64
	Situation string
	Terms     []Term
}

// newTerm returns a term for the cost at the full size.
func newTerm(role, row string, factor float64) Term {
	return Term{Role: role, Row: row, Factor: factor}
}

// String returns the role and the row of the term.
func (t Term) String() string {
	if t.Role == "" {
		return t.Row
	}
	return t.Role + ", " + t.Row
}

// Resource budgets of a node (processor in µs/s, memory in bytes, network in
// B/s) and of the platform (operations per second). The platform allows several
// hundred writes a second, of which 300 are counted on.
const (
	processorBudget = 28_000
	memoryBudget    = 128e6
	networkBudget   = 5_000
	writeBudget     = 300
	readBudget      = 2_000
)

const (
	// headReadsPerSecond, rowWritesPerSecond and joinReadsPerSecond are the rates
	// of one node.
	headReadsPerSecond = 1.0 / 10
	rowWritesPerSecond = 1.0 / 60
	joinReadsPerSecond = 1.0 / 900
	// joinSpreadSeconds is the time over which the nodes spread the writes of
	// their join rows if the first scan finds the rows of an earlier run: 5 ms
	// for each row found.
	joinSpreadSeconds = memberCount * 0.005
	// gcHeapFactor is the heap size per live byte: a node runs with a garbage
	// collection target of 400 %, so the heap grows to five times the live heap
	// before a collection.
	gcHeapFactor     = 5
	changesPerSecond = float64(changesPerDay) / secondsPerDay
	// listUpdatesPerChange is the number of member list updates that a node makes
	// for one configuration change: when it adopts the change and when its own
	// record changes. The revisions of other members don't update the list.
	listUpdatesPerChange = 2
	// healSeconds is the time over which the cost of a healed partition is
	// averaged. Each member changes at most once in it.
	healSeconds       = 600.0
	restartsPerSecond = 220.0 / secondsPerDay
	// twice counts a cost for the sending and the receiving side, or for two
	// operations on the platform.
	twice = 2
)

// Demands returns the demands of all situations on the budgets. Network demands
// count sent and received bytes.
func Demands() []Demand {
	return slices.Concat(networkDemands(), processorDemands(), memoryDemands(), platformDemands())
}

func networkDemands() []Demand {
	common := []Term{
		newTerm("config", configHeadRowBytes, headReadsPerSecond),
		newTerm("work", workSnapshotBytes, twice*snapshotsPerSecond),
		newTerm("work", workRowBytes, twice*rowWritesPerSecond),
		newTerm("platform", platformScanBytes, joinReadsPerSecond),
	}
	member := func(scenario string) []Term {
		return append([]Term{
			newTerm("member", scenario+": bytes sent", 1),
			newTerm("member", scenario+": bytes received", 1),
		}, common...)
	}
	demand := func(situation string, t []Term) Demand {
		return Demand{"network of a node, both ways", "B/s", networkBudget, situation, t}
	}
	return []Demand{
		demand("steady", member("idle")),
		demand("220 restarts a day", member("restarts")),
		demand("1,300 changes a day", append(member("changes"), newTerm("config", configBodyBytes, twice*changesPerSecond))),
		demand("one version move of the own service", append(member("idle"), newTerm("move", moveDeltaBytes, twice*exchangesPerSecond))),
		demand("10 min after a partition heals", member("heal")),
		demand("platform out", member("idle")),
	}
}

func processorDemands() []Demand {
	common := []Term{
		newTerm("process", processTime, 1),
		newTerm("member", "idle: processor time", 1),
		newTerm("work", workEncodeTime, snapshotsPerSecond),
		newTerm("work", workDecodeTime, snapshotsPerSecond),
		newTerm("work", workSendTime, snapshotsPerSecond),
		newTerm("platform", platformScanTime, joinReadsPerSecond),
	}
	demand := func(situation string, t ...Term) Demand {
		return Demand{"processor of a node", "µs/s", processorBudget, situation, append(slices.Clone(common), t...)}
	}
	return []Demand{
		demand("steady"),
		demand(
			"1,300 changes a day",
			newTerm("member", "changes: processor time", 1),
			newTerm("member", "idle: processor time", -1),
			newTerm("config", configParseTime, changesPerSecond),
			newTerm("entry", entryUpdateTime, changesPerSecond*listUpdatesPerChange),
		),
		demand("one version move of the own service", newTerm("move", moveExchangeTime, exchangesPerSecond), newTerm("move", moveTickTime, exchangesPerSecond)),
		demand("10 min after a partition heals", newTerm("member", "heal: processor time", 1), newTerm("member", "idle: processor time", -1),
			newTerm("entry", entryUpdateTime, memberCount/healSeconds)),
	}
}

func memoryDemands() []Demand {
	common := []Term{
		newTerm("process", processMemory, 1),
		newTerm("member", "idle: heap", gcHeapFactor),
		newTerm("entry", entryHeap, gcHeapFactor),
		newTerm("event", eventHeap, gcHeapFactor),
		newTerm("config", configHeap, gcHeapFactor),
		newTerm("work", workHeap, twice*gcHeapFactor),
	}
	demand := func(situation string, t ...Term) Demand {
		return Demand{"memory of a node", "B", memoryBudget, situation, append(slices.Clone(common), t...)}
	}
	return []Demand{
		demand("steady, fences of 10 s", newTerm("exit", exitFenceHeap, gcHeapFactor*10.0/300)),
		demand("all calls with the longest deadline, 5 min", newTerm("exit", exitFenceHeap, gcHeapFactor)),
		demand("ten version moves followed", newTerm("exit", exitFenceHeap, gcHeapFactor*10.0/300), newTerm("move", moveHeap, 10*gcHeapFactor)),
		demand("10 min after a partition heals", newTerm("member", "heal: heap", gcHeapFactor), newTerm("member", "idle: heap", -gcHeapFactor)),
	}
}

func platformDemands() []Demand {
	write := func(situation string, t ...Term) Demand {
		return Demand{"platform writes", "/s", writeBudget, situation, t}
	}
	read := func(situation string, t ...Term) Demand {
		return Demand{"platform reads", "/s", readBudget, situation, t}
	}
	steadyReads := []Term{
		newTerm("config", configSteadyReads, 1),
		newTerm("work", workSteadyReads, 1),
		newTerm("", "get and scan of the join rows, each node every 15 min", twice*memberCount*joinReadsPerSecond),
	}
	return []Demand{
		write("steady, 220 restarts a day", newTerm("work", workSteadyWrites, 1), newTerm("", "join rows", restartsPerSecond)),
		write("1,300 changes a day", newTerm("work", workSteadyWrites, 1), newTerm("", "body and head of a change", twice*changesPerSecond)),
		write("all 1,100 nodes start at once, rows of an earlier run found", newTerm("", "join rows, spread over 5.5 s", memberCount/joinSpreadSeconds)),
		write("all 1,100 nodes start at once, empty table", newTerm("process", processPeakWrites, 1)),
		write("first minute after a common start", newTerm("work", workPeakWrites, 1)),
		read("steady", steadyReads...),
		read("worst second after a change", newTerm("config", configChangeReads, 1), newTerm("work", workSteadyReads, 1)),
		read(
			"all 1,100 nodes start at once, rows of an earlier run found",
			newTerm("", "first scan of each node in the same second", memberCount),
			newTerm("", "get and scan of the join rows, spread over 5.5 s", twice*memberCount/joinSpreadSeconds),
			newTerm("config", configStartReads, 1),
		),
		read("all 1,100 nodes start at once, empty table", newTerm("process", processPeakReads, 1)),
	}
}

// evaluate returns the sum of the terms and a text with the largest term.
func (d Demand) evaluate(c Costs) (total float64, largest string, err error) {
	maxPart := 0.0
	for _, t := range d.Terms {
		cost := 1.0
		if t.Role != "" {
			if cost, err = c.termCost(t); err != nil {
				return 0, "", err
			}
		}
		part := cost * t.Factor
		total += part
		if part > maxPart {
			maxPart = part
			largest = t.String() + ": " + FormatNumber(part)
		}
	}
	return total, largest, nil
}

// termCost returns the cost of a term before multiplication by its factor.
func (c Costs) termCost(t Term) (float64, error) {
	l, size, err := c.fitLine(t.Role, t.Row)
	if t.BaseOnly {
		size = 0
	}
	return l.At(size), err
}

// Budget returns the Markdown table that compares the demands with the budgets.
func Budget(demands []Demand, c Costs) (string, error) {
	var b strings.Builder
	b.WriteString("| budget | situation | allowed | needed | fits | largest part |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, d := range demands {
		total, largest, err := d.evaluate(c)
		if err != nil {
			return "", err
		}
		fits := "yes"
		if total > d.Allowed {
			fits = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s %s | %s | %s |\n",
			d.Budget, d.Situation, FormatNumber(d.Allowed), d.Unit, FormatNumber(total), d.Unit, fits, largest)
	}
	return b.String(), nil
}
