package slope

import (
	"fmt"
	"slices"
	"strings"
)

// Term is a part of a need: a figure of a role, a number of times.
type Term struct {
	Role  string
	Row   string
	Times float64
	// Base takes the base of the line instead of the cost at the full size.
	Base bool
}

// Need is what one situation takes of one budget.
type Need struct {
	Budget    string
	Unit      string
	Allowed   float64
	Situation string
	Terms     []Term
}

// of returns a term at the full size.
func of(role, row string, times float64) Term {
	return Term{Role: role, Row: row, Times: times}
}

// String names the term.
func (t Term) String() string {
	if t.Role == "" {
		return t.Row
	}
	return t.Role + ", " + t.Row
}

// Budgets of design section 1.3; of the several hundred writes, 300 a second
// are taken.
const (
	coreBudget   = 28_000
	memoryBudget = 128e6
	wireBudget   = 5_000
	writeBudget  = 300
	readBudget   = 2_000
)

const (
	// headReads, rowWrites and joinReads are per node and second.
	headReads = 1.0 / 10
	rowWrites = 1.0 / 60
	joinReads = 1.0 / 900
	// joinSpread is the time in seconds over which the join rows of all nodes
	// are written if a scan finds the rows of an earlier run: 5 ms for each row.
	joinSpread = members * 0.005
	// collected is the memory of a live byte under Go's garbage collector: a
	// node starts a collection when its heap has grown by 400 %.
	collected     = 5
	changesSecond = float64(changes) / day
	// listsPerChange is how often a node hands on its member list for a change:
	// when it adopts it and when its own record changes. The revisions of other
	// members change no list.
	listsPerChange = 2
	// partitionHealed is the time in seconds over which a healed partition is
	// measured; at most each member changes once.
	partitionHealed = 600.0
	restarts        = 220.0 / day
	// both counts what one node sends and what it receives.
	both = 2
)

// Needs lists what each situation takes. Bytes are sent and received ones.
func Needs() []Need {
	return slices.Concat(wireNeeds(), coreNeeds(), memoryNeeds(), platformNeeds())
}

func wireNeeds() []Need {
	rest := []Term{
		of("config", configRow, headReads),
		of("work", workKeep, both*keepsPerSecond),
		of("work", workRow, both*rowWrites),
		of("platform", platformScan, joinReads),
	}
	member := func(scenario string) []Term {
		return append([]Term{
			of("member", scenario+": bytes sent", 1),
			of("member", scenario+": bytes received", 1),
		}, rest...)
	}
	need := func(situation string, t []Term) Need {
		return Need{"network of a node, both ways", "B/s", wireBudget, situation, t}
	}
	return []Need{
		need("steady", member("idle")),
		need("220 restarts a day", member("restarts")),
		need("1,300 changes a day", append(member("changes"), of("config", configBody, both*changesSecond))),
		need("one version move of the own service", append(member("idle"), of("move", moveFresh, both*exchangesPerSecond))),
		need("10 min after a partition heals", member("heal")),
		need("platform out", member("idle")),
	}
}

func coreNeeds() []Need {
	rest := []Term{
		of("process", processTime, 1),
		of("member", "idle: processor time", 1),
		of("work", workEncode, keepsPerSecond),
		of("work", workDecode, keepsPerSecond),
		of("work", workKept, keepsPerSecond),
		of("platform", platformParse, joinReads),
	}
	need := func(situation string, t ...Term) Need {
		return Need{"processor of a node", "µs/s", coreBudget, situation, append(slices.Clone(rest), t...)}
	}
	return []Need{
		need("steady"),
		need(
			"1,300 changes a day",
			of("member", "changes: processor time", 1),
			of("member", "idle: processor time", -1),
			of("config", configParse, changesSecond),
			of("entry", entryUpdate, changesSecond*listsPerChange),
		),
		need("one version move of the own service", of("move", moveTime, exchangesPerSecond), of("move", moveTick, exchangesPerSecond)),
		need("10 min after a partition heals", of("member", "heal: processor time", 1), of("member", "idle: processor time", -1),
			of("entry", entryUpdate, members/partitionHealed)),
	}
}

func memoryNeeds() []Need {
	base := []Term{
		of("process", processMemory, 1),
		of("member", "idle: heap", collected),
		of("entry", entryHeap, collected),
		of("event", eventHeap, collected),
		of("config", configHeap, collected),
		of("work", workHeap, both*collected),
	}
	need := func(situation string, t ...Term) Need {
		return Need{"memory of a node", "B", memoryBudget, situation, append(slices.Clone(base), t...)}
	}
	return []Need{
		need("steady, fences of 10 s", of("exit", exitFences, collected*10.0/300)),
		need("all calls with the longest deadline, 5 min", of("exit", exitFences, collected)),
		need("ten version moves followed", of("exit", exitFences, collected*10.0/300), of("move", moveHeap, 10*collected)),
		need("10 min after a partition heals", of("member", "heal: heap", collected), of("member", "idle: heap", -collected)),
	}
}

func platformNeeds() []Need {
	write := func(situation string, t ...Term) Need {
		return Need{"platform writes", "/s", writeBudget, situation, t}
	}
	read := func(situation string, t ...Term) Need {
		return Need{"platform reads", "/s", readBudget, situation, t}
	}
	steady := []Term{
		of("config", configSteady, 1),
		of("work", workReads, 1),
		of("", "get and scan of the join rows, each node every 15 min", both*members*joinReads),
	}
	return []Need{
		write("steady, 220 restarts a day", of("work", workWrites, 1), of("", "join rows", restarts)),
		write("1,300 changes a day", of("work", workWrites, 1), of("", "body and head of a change", both*changesSecond)),
		write("all 1,100 nodes start at once, rows of an earlier run found", of("", "join rows, spread over 5.5 s", members/joinSpread)),
		write("all 1,100 nodes start at once, empty table", of("process", processWrites, 1)),
		write("first minute after a common start", of("work", workPeak, 1)),
		read("steady", steady...),
		read("worst second after a change", of("config", configHead, 1), of("work", workReads, 1)),
		read(
			"all 1,100 nodes start at once, rows of an earlier run found",
			of("", "first scan of each node in the same second", members),
			of("", "get and scan of the join rows, spread over 5.5 s", both*members/joinSpread),
			of("config", configStart, 1),
		),
		read("all 1,100 nodes start at once, empty table", of("process", processReads, 1)),
	}
}

// sum returns the need and the term that takes most of it.
func (n Need) sum(c Costs) (total float64, most string, err error) {
	largest := 0.0
	for _, t := range n.Terms {
		one := 1.0
		if t.Role != "" {
			if one, err = c.need(t); err != nil {
				return 0, "", err
			}
		}
		part := one * t.Times
		total += part
		if part > largest {
			largest = part
			most = t.String() + ": " + Number(part)
		}
	}
	return total, most, nil
}

// need returns the cost of a term, once.
func (c Costs) need(t Term) (float64, error) {
	l, size, err := c.line(t.Role, t.Row)
	if t.Base {
		size = 0
	}
	return l.At(size), err
}

// Budget writes the summary.
func Budget(needs []Need, c Costs) (string, error) {
	var b strings.Builder
	b.WriteString("| budget | situation | allowed | needed | fits | largest part |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, n := range needs {
		total, most, err := n.sum(c)
		if err != nil {
			return "", err
		}
		fits := "yes"
		if total > n.Allowed {
			fits = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s %s | %s | %s |\n",
			n.Budget, n.Situation, Number(n.Allowed), n.Unit, Number(total), n.Unit, fits, most)
	}
	return b.String(), nil
}
