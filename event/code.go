package event

import "slices"

// Code identifies a kind of event. Codes are never reused, because operators
// search old logs for them. Each component has a block of 100 codes.
type Code uint32

// Node: 100 to 199.
const (
	NodeStarted Code = 100 + iota
	NodeReady
	NodeDraining
	NodeStopped
	PortMissing
	SettingsChanged
	SettingsRejected
	LinesDropped
	PartsOff
)

// Supervisor: 200 to 299.
const (
	ChildStarted Code = 200 + iota
	ChildRestarted
	ChildGaveUp
)

// Membership: 300 to 399.
const (
	MemberJoined Code = 300 + iota
	MemberSuspect
	MemberAlive
	MemberUnreachable
	MemberLeaving
	MemberLeft
	IsolationBegun
	IsolationEnded
)

// Upstream and admission: 400 to 499.
const (
	UpstreamAnnounced Code = 400 + iota
	UpstreamDrained
	UpstreamWithdrawn
	UpstreamCold
	UpstreamWarm
	UpstreamFailing
	LimitChanged
	HeartbeatRejected
	UpstreamLost
	UpstreamFound
)

// Requests: 500 to 599.
const (
	RequestRefused Code = 500 + iota
	RequestUnknown
	RequestResolved
	ConnectionSilent
	RequestServed
	RequestFailed
	AttemptEnded
	RequestRun
	RequestUnauthorized
	ConnectionsClosed
)

// Configuration: 600 to 699.
const (
	ManifestPublished Code = 600 + iota
	ManifestAdopted
	ManifestRejected
)

// Platform: 700 to 799.
const (
	StoreDown Code = 700 + iota
	StoreUp
	RowRejected
	WatchBegun
	WatchEnded
	WatchersSilent
	WatchersResumed
)

// Failure domains: 800 to 899.
const (
	DomainOut Code = 800 + iota
	DomainIn
)

// Version moves: 900 to 999.
const (
	MoveStarted Code = 900 + iota
	MoveStage
	MoveFault
	MoveDone
	MoveReverted
)

// Work reports: 1000 to 1099.
const (
	ReportWritten Code = 1000 + iota
	ReportStored
)

// Measuring: 1100 to 1199.
const (
	ProbeSent Code = 1100 + iota
	ProbeFailed
)

// Duties: 1200 to 1299.
const (
	DutyAcquired Code = 1200 + iota
	DutyLost
	DutyStoreFailed
	ClockAgreed
	UsageDecided
	UsageAccepted
	UsageFailed
	UsageRefused
	UsageDropped
)

// Level is the severity of an event.
type Level int

// Levels in ascending order of severity.
const (
	LevelDebug Level = iota
	LevelInfo
	LevelWarn
	LevelError
)

// levels holds the names of the levels, as in the settings.
var levels = [...]string{"debug", "info", "warn", "error"}

// String returns the name of the level as in the settings.
func (l Level) String() string { return levels[l] }

// ParseLevel returns the level with the given name and reports whether it
// exists.
func ParseLevel(text string) (Level, bool) {
	i := slices.Index(levels[:], text)
	return Level(max(i, 0)), i >= 0
}

// String returns the event name from the catalogue, or "unknown".
func (c Code) String() string {
	k, ok := Lookup(c)
	if !ok {
		return "unknown"
	}
	return k.Name
}
