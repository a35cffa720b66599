package event

//go:generate go run ./gen ../docs/events.md

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Name is the name of an event field.
type Name string

// Field names.
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
	Disabled Name = "disabled"
	Domain   Name = "domain"
	Duty     Name = "duty"
	Elapsed  Name = "elapsed"
	Enabled  Name = "enabled"
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
	Offset   Name = "offset"
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
	Token    Name = "token"
	Total    Name = "total"
	Version  Name = "version"

	Workspace Name = "workspace"
	Window    Name = "window"
)

// Kind is the catalogue entry of one event code.
type Kind struct {
	Code   Code
	Name   string
	Level  Level
	Fields []Name
	Text   string // a sentence on the cause of the event and its fields, for docs/events.md
}

// catalogue is the only definition of event names, levels and fields, sorted by
// code.
var catalogue = []Kind{
	{NodeStarted, "node-started", LevelInfo, []Name{Version, Domain, Address}, "The node process has started. Version is the version of the program."},
	{NodeReady, "node-ready", LevelInfo, []Name{Elapsed}, "The node accepts requests."},
	{NodeDraining, "node-draining", LevelInfo, []Name{Reason, Count}, "The node stops: after a signal, or because a child task has failed too often. Reason is signal or failure, count the number of running requests."},
	{NodeStopped, "node-stopped", LevelInfo, []Name{Elapsed, Count}, "The node has stopped all its components. Count is the number of interrupted requests."},
	{PortMissing, "port-missing", LevelWarn, []Name{Address, Error}, "An optional listener couldn't be opened; the node runs without it."},
	{SettingsChanged, "settings-changed", LevelInfo, []Name{Count}, "The settings were reloaded after a signal. Count is the number of seeds."},
	{SettingsRejected, "settings-rejected", LevelWarn, []Name{Error}, "The settings file is invalid; the previous settings stay in effect."},
	{LinesDropped, "lines-dropped", LevelWarn, []Name{Count}, "Log lines were dropped because the output was too slow or the rate limit was exceeded. Count is the number of dropped lines."},
	{PartsOff, "parts-off", LevelInfo, []Name{Enabled, Disabled}, "The settings leave parts of the node off. The fields list the parts that are on and off."},
	{ChildStarted, "child-started", LevelDebug, []Name{Child}, "The supervisor has started a child task."},
	{ChildRestarted, "child-restarted", LevelWarn, []Name{Child, Error, Count}, "A child task has failed and is restarted. Count is the number of restarts in the window."},
	{ChildGaveUp, "child-gave-up", LevelError, []Name{Child, Error, Count}, "A child task has exceeded the restart limit; the node stops."},
	{MemberJoined, "member-joined", LevelInfo, []Name{Peer, Domain, Service, Version, Address}, "A member was seen for the first time or after a restart."},
	{MemberSuspect, "member-suspect", LevelWarn, []Name{Peer, Reason}, "Direct and indirect probes of a member have failed."},
	{MemberAlive, "member-alive", LevelInfo, []Name{Peer}, "A suspect or unreachable member answers probes again."},
	{MemberUnreachable, "member-unreachable", LevelWarn, []Name{Peer, Elapsed}, "A member did not refute the suspicion within the timeout."},
	{MemberLeaving, "member-leaving", LevelInfo, []Name{Peer}, "A member announces that it accepts no new requests."},
	{MemberLeft, "member-left", LevelInfo, []Name{Peer}, "A member has left the system."},
	{IsolationBegun, "self-doubt-begin", LevelWarn, []Name{Failed, Total}, "Most probes that this node sends fail, so it suspects no other member."},
	{IsolationEnded, "self-doubt-end", LevelInfo, []Name{Failed, Total, Elapsed}, "Probes that this node sends succeed again."},
	{UpstreamAnnounced, "upstream-announced", LevelInfo, []Name{Service, Version, Slots, Address}, "The upstream has announced itself for the first time or with changed values."},
	{UpstreamDrained, "upstream-drained", LevelInfo, []Name{Service, Version}, "The upstream accepts no new requests."},
	{UpstreamWithdrawn, "upstream-withdrawn", LevelInfo, []Name{Service, Version, Reason}, "The upstream is no longer announced."},
	{UpstreamCold, "upstream-cold", LevelWarn, []Name{Service, Version, Reason, Limit}, "The upstream appears cold; its concurrency limit restarts from a low value."},
	{UpstreamWarm, "upstream-warm", LevelInfo, []Name{Service, Version, Limit, Elapsed}, "The concurrency limit has reached the announced slots again."},
	{UpstreamFailing, "upstream-failing", LevelWarn, []Name{Service, Version, Failed, Total}, "The upstream answers requests quickly with errors."},
	{LimitChanged, "limit-changed", LevelDebug, []Name{Service, Limit, Reason}, "The adaptive concurrency limit has changed."},
	{HeartbeatRejected, "beat-rejected", LevelWarn, []Name{Instance, Address, Error}, "A heartbeat was rejected and has no effect."},
	{UpstreamLost, "upstream-lost", LevelWarn, []Name{Instance, Address, Reason}, "The upstream accepts no connections. Reason is the check that detected it."},
	{UpstreamFound, "upstream-found", LevelInfo, []Name{Instance, Address}, "An upstream that accepted no connections answers health checks again."},
	{RequestRefused, "request-refused", LevelInfo, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A request was refused and did not run. Fields as in request-served."},
	{RequestUnknown, "request-unknown", LevelWarn, []Name{Request, Service, Route, Caller, Peer, Reason}, "The outcome of a request is unknown."},
	{RequestResolved, "request-resolved", LevelInfo, []Name{Request, Peer, Outcome, Elapsed}, "The outcome of a request whose response was lost has been determined."},
	{ConnectionSilent, "connection-silent", LevelWarn, []Name{Peer, Address, Elapsed}, "A connection made no progress and was closed."},
	{RequestServed, "request-served", LevelInfo, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A caller received an upstream's response. Request is the caller's id, Fence the id used between nodes, Deadline the timeout of the request."},
	{RequestFailed, "request-failed", LevelInfo, []Name{Request, Fence, Route, Service, Outcome, Reason, Status, Deadline, Elapsed}, "A caller received a failure. Fields as in request-served."},
	{AttemptEnded, "try-ended", LevelInfo, []Name{Request, Peer, Last, Outcome, Reason, Status, Slow, Queued, Running, Limit, Elapsed}, "One attempt of a request has ended at a node. Request is the id used between nodes; the load fields are those of the exit when it answered."},
	{RequestRun, "request-run", LevelInfo, []Name{Request, Route, Instance, Outcome, Reason, Status, Error}, "The exit has sent a request to its upstream. Request is the id used between nodes."},
	{RequestUnauthorized, "request-unauthorized", LevelWarn, []Name{Request, Route, Reason, Workspace, Count}, "The key of a caller isn't in the configuration in force and the caller received 401. Workspace is the one that had the key before. At most one line a second; count is the number of such requests since the last line, this one included."},
	{ConnectionsClosed, "connections-closed", LevelWarn, []Name{Address, Reason, Count}, "The node has refused or closed connections at a listener. Count is their number since the previous line; there is at most one line a second for each address and reason."},
	{ManifestPublished, "manifest-published", LevelInfo, []Name{Revision, Digest, Change}, "The store has accepted a manifest."},
	{ManifestAdopted, "manifest-adopted", LevelInfo, []Name{Revision, Digest, Elapsed}, "This node has put a manifest into effect."},
	{ManifestRejected, "manifest-rejected", LevelError, []Name{Revision, Digest, Error}, "This node can't parse an accepted manifest and keeps the previous one."},
	{StoreDown, "store-down", LevelWarn, []Name{Store, Error}, "A platform service does not answer."},
	{StoreUp, "store-up", LevelInfo, []Name{Store, Elapsed}, "A platform service answers again. Elapsed is the length of the outage."},
	{RowRejected, "row-rejected", LevelWarn, []Name{Store, Key, Revision, Peer, Error}, "A row from the store or from another node can't be parsed and was skipped."},
	{WatchBegun, "watch-begun", LevelInfo, []Name{Count}, "This node watches the store on behalf of other nodes. Count is the number of nodes that it sends changes to."},
	{WatchEnded, "watch-ended", LevelInfo, nil, "This node no longer watches the store on behalf of other nodes."},
	{WatchersSilent, "watchers-silent", LevelWarn, []Name{Elapsed}, "No watcher of the store has sent a message for the elapsed time; this node reads the store itself."},
	{WatchersResumed, "watchers-heard", LevelInfo, []Name{Elapsed}, "A watcher of the store has sent a message again. Elapsed is the time without one."},
	{DomainOut, "domain-out", LevelWarn, []Name{Domain, Revision}, "A failure domain receives no new requests."},
	{DomainIn, "domain-in", LevelInfo, []Name{Domain, Revision}, "A failure domain receives new requests again; its share ramps up."},
	{MoveStarted, "move-started", LevelInfo, []Name{Move, Service, Version, Deadline}, "A version move has started. Version is the new one."},
	{MoveStage, "move-stage", LevelInfo, []Name{Move, Share}, "The share of the new version has changed."},
	{MoveFault, "move-fault", LevelWarn, []Name{Move, Route, Reason, Peer}, "Evidence of a fault of the new version was found; new requests go to the old version."},
	{MoveDone, "move-done", LevelInfo, []Name{Move, Service, Version}, "A version move has ended with the outcome done."},
	{MoveReverted, "move-reverted", LevelWarn, []Name{Move, Service, Version, Reason}, "A version move has ended with the outcome reverted. Version is the version that serves."},
	{ReportWritten, "report-written", LevelDebug, []Name{Count, Elapsed, Bytes}, "The work counters were written to the table service. Count is the sequence number."},
	{ReportStored, "report-kept", LevelDebug, []Name{Peer, Count, Bytes}, "This node stores the work counters of a peer. Count is the sequence number."},
	{ProbeSent, "probe-sent", LevelDebug, []Name{Address, Path, Status, Elapsed}, "The exit has sent a health check to its upstream."},
	{ProbeFailed, "probe-failed", LevelWarn, []Name{Address, Path, Status, Error}, "A health check of the upstream has failed."},
	{DutyAcquired, "duty-acquired", LevelInfo, []Name{Duty, Token}, "This node has acquired the lease of a duty. Token is the fencing token."},
	{DutyLost, "duty-lost", LevelInfo, []Name{Duty, Token}, "This node no longer performs a duty: it stops, another node has taken over, or the lease couldn't be renewed."},
	{DutyStoreFailed, "duty-store-failed", LevelWarn, []Name{Duty, Error}, "A store call for a duty has failed. It is repeated."},
	{ClockAgreed, "clock-agreed", LevelInfo, []Name{Offset, Count}, "The holder of the usage report has stored the difference of true time to the store's clock. Count is the number of nodes whose median it is."},
	{UsageDecided, "usage-decided", LevelDebug, []Name{Window, Count, Total}, "The counts of a window are stored and final. Count is the number of workspaces, total that of requests."},
	{UsageAccepted, "usage-accepted", LevelDebug, []Name{Window, Token, Elapsed}, "The platform has accepted the usage report of a window. Elapsed is the time since the end of the window."},
	{UsageFailed, "usage-failed", LevelWarn, []Name{Window, Token, Status, Error}, "A call with a usage report failed and is repeated. Status 0 means no answer."},
	{UsageRefused, "usage-refused", LevelError, []Name{Window, Token, Status}, "The platform has refused a usage report for good; it isn't sent again."},
	{UsageDropped, "usage-dropped", LevelError, []Name{Window, Count}, "The oldest decided usage reports were given up, because too many wait for the platform. Count is their number."},
}

// Kinds returns the catalogue entries in ascending order of their codes.
func Kinds() []Kind { return slices.Clone(catalogue) }

// Lookup returns the catalogue entry of a code and reports whether it exists.
func Lookup(c Code) (Kind, bool) {
	i, ok := slices.BinarySearchFunc(catalogue, c, func(k Kind, c Code) int { return int(k.Code) - int(c) })
	if !ok {
		return Kind{}, false
	}
	return catalogue[i], true
}

// blockSize is the number of codes reserved for each component.
const blockSize = 100

// blocks names the component of each block of codes; the first block starts at
// blockSize.
var blocks = [...]string{
	"Node", "Supervisor", "Membership", "Upstream and admission", "Requests", "Configuration",
	"Platform", "Failure domains", "Version moves", "Work reports", "Measuring", "Duties",
}

const catalogueHeader = `# Events

Written by ` + "`go generate ./event`" + ` from the table in event/catalogue.go.

Each event has a code that is never reused, a name, a level and fields. A log
line holds, in logfmt: ` + "`time`, `logical`, `node`, `start`, `seq`, `level`, `code`, `event`" + `
and then the fields. ` + "`time` and `logical`" + ` form the hybrid logical timestamp;
` + "`seq`" + ` counts the recorded events of one start without gaps, so a missing number is
a lost line. Events below the level of the settings (` + "`log`" + `) are not recorded.
Values are truncated to 512 bytes. Durations have a unit.
`

// WriteCatalogue writes the catalogue as Markdown, the content of
// docs/events.md.
func WriteCatalogue(w io.Writer) error {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	block := Code(0)
	for _, k := range catalogue {
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
