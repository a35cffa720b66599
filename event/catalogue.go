package event

//go:generate go run ./gen ../docs/events.md

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Name is the name of a field.
type Name string

// Names of all fields.
const (
	Address  Name = "address"
	Attempts Name = "attempts"
	Bytes    Name = "bytes"
	Caller   Name = "caller"
	Change   Name = "change"
	Child    Name = "child"
	Count    Name = "count"
	Deadline Name = "deadline"
	Digest   Name = "digest"
	Domain   Name = "domain"
	Elapsed  Name = "elapsed"
	Error    Name = "error"
	Fence    Name = "fence"
	Instance Name = "instance"
	Key      Name = "key"
	Last     Name = "last"
	Queued   Name = "queued"
	Ready    Name = "ready"
	Running  Name = "running"
	Slow     Name = "slow"
	Failed   Name = "failed"
	Limit    Name = "limit"
	Move     Name = "move"
	Outcome  Name = "outcome"
	Path     Name = "path"
	Peer     Name = "peer"
	Reason   Name = "reason"
	Request  Name = "request"
	Revision Name = "revision"
	Route    Name = "route"
	Service  Name = "service"
	Share    Name = "share"
	Slots    Name = "slots"
	Status   Name = "status"
	Store    Name = "store"
	Total    Name = "total"
	Version  Name = "version"
)

// Kind is the catalogue entry of one code.
type Kind struct {
	Code   Code
	Name   string
	Level  Level
	Fields []Name
	Text   string // what happened, for docs/events.md
}

// table is the only definition of names, levels and fields.
var table = []Kind{
	{NodeStarted, "node-started", Info, []Name{Version, Domain, Address}, "The node process has started. Version is that of the program."},
	{NodeReady, "node-ready", Info, []Name{Elapsed}, "The node accepts calls."},
	{NodeDraining, "node-draining", Info, []Name{Reason, Count}, "A planned shutdown has begun. Count is the number of running requests."},
	{NodeStopped, "node-stopped", Info, []Name{Elapsed, Count}, "The node has closed all parts. Count is the number of interrupted requests."},
	{PortMissing, "port-missing", Warn, []Name{Address, Error}, "An optional listener couldn't be opened; the node works without it."},
	{SettingsChanged, "settings-changed", Info, []Name{Count}, "The settings were read again after a signal. Count is the number of seeds."},
	{SettingsRejected, "settings-rejected", Warn, []Name{Error}, "The settings file can't be used; the settings before stay in force."},
	{LinesDropped, "lines-dropped", Warn, []Name{Count}, "Log lines were dropped because the output was too slow or there were too many. Count is their number."},
	{ChildStarted, "child-started", Debug, []Name{Child}, "The supervisor has started a child."},
	{ChildRestarted, "child-restarted", Warn, []Name{Child, Error, Count}, "A child has failed and starts again. Count is the number of restarts in the window."},
	{ChildGaveUp, "child-gave-up", Fault, []Name{Child, Error, Count}, "A child has failed more often than allowed; the node closes."},
	{MemberJoined, "member-joined", Info, []Name{Peer, Domain, Service, Version, Address}, "A member is seen for the first time or with a new start."},
	{MemberSuspect, "member-suspect", Warn, []Name{Peer, Reason}, "Direct and indirect probes of a member have failed."},
	{MemberAlive, "member-alive", Info, []Name{Peer}, "A suspect or unreachable member answers again."},
	{MemberUnreachable, "member-unreachable", Warn, []Name{Peer, Elapsed}, "A member did not refute the suspicion in time."},
	{MemberLeaving, "member-leaving", Info, []Name{Peer}, "A member announces that it takes no new work."},
	{MemberLeft, "member-left", Info, []Name{Peer}, "A member has left."},
	{SelfDoubtBegin, "self-doubt-begin", Warn, []Name{Failed, Total}, "Most probes of this node fail, so it suspects no other node."},
	{SelfDoubtEnd, "self-doubt-end", Info, []Name{Failed, Total, Elapsed}, "Probes of this node succeed again."},
	{UpstreamAnnounced, "upstream-announced", Info, []Name{Service, Version, Slots, Address}, "The upstream announces itself for the first time or with other values."},
	{UpstreamDrained, "upstream-drained", Info, []Name{Service, Version}, "The upstream takes no new work."},
	{UpstreamWithdrawn, "upstream-withdrawn", Info, []Name{Service, Version, Reason}, "The upstream is gone."},
	{UpstreamCold, "upstream-cold", Warn, []Name{Service, Version, Reason, Limit}, "The upstream appears cold; the limit restarts low."},
	{UpstreamWarm, "upstream-warm", Info, []Name{Service, Version, Limit, Elapsed}, "The limit has reached the announced slots again."},
	{UpstreamFailing, "upstream-failing", Warn, []Name{Service, Version, Failed, Total}, "The upstream fails fast."},
	{LimitChanged, "limit-changed", Debug, []Name{Service, Limit, Reason}, "The adaptive limit has changed."},
	{BeatRejected, "beat-rejected", Warn, []Name{Instance, Address, Error}, "A heartbeat was refused and changed nothing."},
	{UpstreamLost, "upstream-lost", Warn, []Name{Instance, Address, Reason}, "The upstream takes no connections. Reason is what found it."},
	{UpstreamFound, "upstream-found", Info, []Name{Instance, Address}, "An upstream that was lost answers health checks again."},
	{RequestRefused, "request-refused", Info, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A request was refused and did not run."},
	{RequestUnknown, "request-unknown", Warn, []Name{Request, Service, Route, Caller, Peer, Reason}, "The outcome of a request is not known."},
	{RequestResolved, "request-resolved", Info, []Name{Request, Peer, Outcome, Elapsed}, "A request with a lost response was brought to a known outcome."},
	{ConnectionSilent, "connection-silent", Warn, []Name{Peer, Address, Elapsed}, "A connection made no progress and was discarded."},
	{RequestServed, "request-served", Info, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A caller got an upstream's answer. Request is the caller's id, Fence the id between nodes, Deadline the time that the request had."},
	{RequestFailed, "request-failed", Info, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A caller got a failure. Fields as in request-served."},
	{TryEnded, "try-ended", Info, []Name{Request, Peer, Last, Outcome, Reason, Status, Slow, Queued, Running, Limit, Elapsed}, "One copy of a request has ended at a node. Request is the id between nodes; the load is the exit's at its answer."},
	{RequestRun, "request-run", Info, []Name{Request, Route, Instance, Outcome, Reason, Status, Error}, "The exit has sent a request to its upstream. Request is the id between nodes."},
	{ManifestPublished, "manifest-published", Info, []Name{Revision, Digest, Change}, "A manifest was accepted by the store."},
	{ManifestAdopted, "manifest-adopted", Info, []Name{Revision, Digest, Elapsed}, "This node has put a manifest in force."},
	{ManifestRejected, "manifest-rejected", Fault, []Name{Revision, Digest, Error}, "This node can't read an accepted manifest and keeps the one before."},
	{StoreDown, "store-down", Warn, []Name{Store, Error}, "A service of the platform does not answer."},
	{StoreUp, "store-up", Info, []Name{Store, Elapsed}, "A service of the platform answers again. Elapsed is the length of the outage."},
	{RowRejected, "row-rejected", Warn, []Name{Key, Peer, Error}, "A row of the store or of another node can't be read and was left out."},
	{WatchBegun, "watch-begun", Info, []Name{Count}, "This node follows the store for others. Count is the number of nodes that it tells."},
	{WatchEnded, "watch-ended", Info, nil, "This node doesn't follow the store for others any more."},
	{WatchersSilent, "watchers-silent", Warn, []Name{Elapsed}, "No watcher of the store was heard for the elapsed time; this node asks the store itself."},
	{WatchersHeard, "watchers-heard", Info, []Name{Elapsed}, "A watcher of the store is heard again. Elapsed is the length of the silence."},
	{DomainOut, "domain-out", Warn, []Name{Domain, Revision}, "A failure domain gets no new work."},
	{DomainIn, "domain-in", Info, []Name{Domain, Revision}, "A failure domain is back; its share ramps up."},
	{MoveStarted, "move-started", Info, []Name{Move, Service, Version, Deadline}, "A version move has started. Version is the new one."},
	{MoveStage, "move-stage", Info, []Name{Move, Share}, "The share of the new version has changed."},
	{MoveFault, "move-fault", Warn, []Name{Move, Route, Reason, Peer}, "Evidence of a fault of the new version; new requests go to the old one."},
	{MoveDone, "move-done", Info, []Name{Move, Service, Version}, "The final outcome of a move is done."},
	{MoveReverted, "move-reverted", Warn, []Name{Move, Service, Version, Reason}, "The final outcome of a move is reverted. Version is the one that serves."},
	{ReportWritten, "report-written", Debug, []Name{Count, Elapsed, Bytes}, "The work counters were written to the table service. Count is the sequence number."},
	{ReportKept, "report-kept", Debug, []Name{Peer, Count, Bytes}, "This node keeps the work counters of a peer. Count is the sequence number."},
	{ProbeSent, "probe-sent", Debug, []Name{Address, Path, Status, Elapsed}, "The exit has probed its upstream."},
	{ProbeFailed, "probe-failed", Warn, []Name{Address, Path, Status, Error}, "A probe of the upstream has failed."},
}

// Kinds returns the catalogue in the order of the codes.
func Kinds() []Kind { return slices.Clone(table) }

// Lookup finds the catalogue entry of a code.
func Lookup(c Code) (Kind, bool) {
	i, ok := slices.BinarySearchFunc(table, c, func(k Kind, c Code) int { return int(k.Code) - int(c) })
	if !ok {
		return Kind{}, false
	}
	return table[i], true
}

// blockSize is the number of codes that one part may use.
const blockSize = 100

// blocks are the parts in the order of their codes, from 100.
var blocks = [...]string{
	"Node", "Supervisor", "Membership", "Upstream and admission", "Requests", "Configuration",
	"Platform", "Failure domains", "Version moves", "Work reports", "Measuring",
}

const catalogueHead = `# Events

Written by ` + "`go generate ./event`" + ` from the table in event/catalogue.go.

Each event has a number that never changes its meaning, a name, a level and
fields. A log line holds, in logfmt: ` + "`time`, `logical`, `node`, `start`, `seq`, `level`, `code`, `event`" + `
and then the fields. ` + "`time` and `logical`" + ` form the hybrid logical timestamp;
` + "`seq`" + ` counts the recorded events of one start without gaps, so a missing number is
a lost line. Events below the level of the settings (` + "`log`" + `) are not recorded.
Values are cut after 512 bytes. Durations have a unit.
`

// WriteCatalogue writes docs/events.md.
func WriteCatalogue(w io.Writer) error {
	var b strings.Builder
	b.WriteString(catalogueHead)
	block := Code(0)
	for _, k := range table {
		if k.Code/blockSize != block {
			block = k.Code / blockSize
			fmt.Fprintf(&b, "\n## %d: %s\n\n| code | name | level | fields | meaning |\n|---|---|---|---|---|\n", block*blockSize, blocks[block-1])
		}
		names := make([]string, len(k.Fields))
		for i, n := range k.Fields {
			names[i] = string(n)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", k.Code, k.Name, k.Level, strings.Join(names, ", "), k.Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
