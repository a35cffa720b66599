package spec

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Sidecar holds the settings of a node that runs beside an upstream on the
// hosting platform, where the operator's orders come from the platform's store.
type Sidecar struct {
	Node      ident.Node    `json:"node" doc:"Name of the node, unique in the system."`
	Service   ident.Service `json:"service" doc:"Service of the node's upstream."`
	Domain    ident.Domain  `json:"domain" doc:"Failure domain of the node."`
	Region    ident.Region  `json:"region" spec:"optional" doc:"Region of the node; empty if there is only one."`
	Upstream  string        `json:"upstream" spec:"form=address" doc:"Address of the node's upstream."`
	Listen    SidecarListen `json:"listen" doc:"Addresses that the node listens on."`
	Store     SidecarStore  `json:"store" doc:"The platform's store."`
	Seeds     []string      `json:"seeds" spec:"optional,max=64" doc:"Addresses of other nodes' heartbeat listeners. Nodes find each other through the store; the number of seeds is logged only."`
	Heartbeat time.Duration `json:"heartbeat" spec:"default=1500ms,min=10ms,max=1m" doc:"Time between two heartbeats of the upstream."`
	Grace     time.Duration `json:"grace" spec:"default=6s,min=1s,max=10m" doc:"Time from SIGTERM to SIGKILL."`
	// The parts of the node that these settings switch on are off without them.
	Budget      *SidecarBudget   `json:"budget" spec:"optional" doc:"Limit of repeated requests over all nodes; without it they are limited by the routes' attempts only."`
	Exposure    *SidecarExposure `json:"exposure" spec:"optional" doc:"Limit of requests to a new version before it is known to work, over all nodes; without it orders to move a version are refused."`
	Cold        *SidecarCold     `json:"cold" spec:"optional" doc:"Limit of requests to a cold upstream; without it a cold upstream is treated as a warm one."`
	Evacuation  *time.Duration   `json:"evacuation" spec:"optional,min=0s,max=10m" doc:"Time within which an evacuated failure domain gets no more requests; without it orders to evacuate are refused."`
	Probes      *float64         `json:"probes" spec:"optional,min=0,max=1000" doc:"Maximum number of health checks of an upstream per second; without it there are none."`
	Cloud       *SidecarCloud    `json:"cloud" spec:"optional" doc:"The platform's service for calls that one node makes on behalf of all; without it there are none."`
	Memory      Megabytes        `json:"memory" spec:"default=184,min=64,max=1048576" doc:"Memory of the node's process in MB, including bytes that it has received and not yet read."`
	Descriptors *int             `json:"descriptors" spec:"optional,min=256,max=1048576" doc:"Maximum number of open file descriptors of the node's process; without it connections are bounded by memory only."`
	Pipelined   int              `json:"pipelined" spec:"default=1,min=1,max=64" doc:"Number of requests on one caller's connection that run at the same time. Callers that send requests without waiting for the responses to earlier ones gain from more than 1."`
	Calls       CallOrder        `json:"calls" spec:"default=ranked,enum=ranked|first" doc:"Order of the calls that the upstream makes while it runs a request: by the priority of their routes, or before all new requests."`
	Log         Level            `json:"log" spec:"default=info,enum=debug|info|warn|error" doc:"Lowest level of events that are logged."`
}

// Megabytes is an amount of memory in units of 1,000,000 bytes.
type Megabytes float64

// SidecarListen holds the addresses of the node's listeners.
type SidecarListen struct {
	Callers string `json:"callers" spec:"form=address" doc:"HTTP for callers."`
	Beats   string `json:"beats" spec:"form=address" doc:"HTTP for the upstream's heartbeats."`
	Ready   string `json:"ready" spec:"form=address" doc:"HTTP for the platform's readiness check."`
	Peers   string `json:"peers" spec:"form=address" doc:"HTTP and UDP for other nodes."`
	Public  string `json:"public" spec:"optional" doc:"Address at which other nodes reach this one if it differs from peers, such as behind address translation; empty means peers."`
	Admin   string `json:"admin" spec:"optional" doc:"HTTP for metrics and events; empty means none."`
}

// SidecarStore locates the platform's store.
type SidecarStore struct {
	Address string `json:"address" spec:"form=address" doc:"Host and port."`
}

// SidecarBudget limits the requests that are sent to more than one upstream.
type SidecarBudget struct {
	Ratio  float64       `json:"ratio" spec:"default=0.2,min=0,max=1" doc:"Repeated requests as a fraction of the requests of a service in a window."`
	Slack  float64       `json:"slack" spec:"default=50,min=0,max=100000" doc:"Repeated requests allowed beyond the ratio in a window."`
	Window time.Duration `json:"window" spec:"default=10s,min=1s,max=10m" doc:"Length of a window."`
}

// SidecarExposure limits the requests that a new version receives before it is
// known to work.
type SidecarExposure struct {
	Share float64 `json:"share" spec:"default=0.1,min=0,max=1" doc:"Share of the service's requests during the move."`
	Slack float64 `json:"slack" spec:"default=50,min=0,max=100000" doc:"Requests allowed beyond the share."`
}

// SidecarCold limits the requests that a cold upstream receives in one second.
type SidecarCold struct {
	Overage float64 `json:"overage" spec:"default=1.5,min=0,max=100" doc:"Factor on the rate for cold upstreams in the configuration."`
	Slack   float64 `json:"slack" spec:"default=5,min=0,max=1000" doc:"Requests allowed beyond that rate."`
}

// SidecarCloud holds the duties of one node at a time: calls to the platform that
// the nodes of a system make as one.
type SidecarCloud struct {
	Address string        `json:"address" spec:"form=address" doc:"Host and port that the calls go to."`
	Duties  []string      `json:"duties" spec:"optional,max=64" doc:"Names of the calls that the platform expects; names that this release doesn't know are ignored."`
	Rate    float64       `json:"rate" spec:"default=50,min=0.1,max=100000" doc:"Calls per second that the platform accepts from all nodes together."`
	Lease   time.Duration `json:"lease" spec:"default=3s,min=100ms,max=10m" doc:"Time after which another node takes over from one that no longer answers."`
	Window  time.Duration `json:"window" spec:"default=5s,min=100ms,max=24h" doc:"Length of a window of the usage report."`
	Late    time.Duration `json:"late" spec:"default=10s,min=100ms,max=24h" doc:"Time after the end of a window at which its usage report is due."`
}

// UsageReportDuty is the name in SidecarCloud.Duties that switches on the usage
// report.
const UsageReportDuty = "usage_report"

// Has reports whether a duty is listed. A nil SidecarCloud has none.
func (c *SidecarCloud) Has(duty string) bool {
	return c != nil && slices.Contains(c.Duties, duty)
}

// AdvertisedAddress returns the address at which other nodes reach this node.
func (l SidecarListen) AdvertisedAddress() string { return cmp.Or(l.Public, l.Peers) }

// CallOrder is the order of calls among requests.
type CallOrder string

// CallsFirst lets calls go before all new requests.
const CallsFirst CallOrder = "first"

// Part is a part of a node that its settings switch on.
type Part string

// Parts of a node.
const (
	RetryBudget  Part = "retry-budget"
	Rollouts     Part = "rollouts"
	ColdLimit    Part = "cold-limit"
	Evacuation   Part = "evacuation"
	HealthChecks Part = "health-checks"
	UsageReport  Part = "usage-report"
)

// Parts returns the parts that the settings switch on and those that stay off.
func (s *Sidecar) Parts() (on, off []Part) {
	for _, p := range []struct {
		part Part
		on   bool
	}{
		{RetryBudget, s.Budget != nil},
		{Rollouts, s.Exposure != nil},
		{ColdLimit, s.Cold != nil},
		{Evacuation, s.Evacuation != nil},
		{HealthChecks, s.Probes != nil && *s.Probes > 0},
		{UsageReport, s.Cloud.Has(UsageReportDuty)},
	} {
		if p.on {
			on = append(on, p.part)
		} else {
			off = append(off, p.part)
		}
	}
	return on, off
}

var sidecarShape = newShape[Sidecar]("cicadahall side settings")

// ParseSidecar parses the settings of a node on the hosting platform. The error
// is of type Errors and lists all faults of the file.
func ParseSidecar(file string, body []byte) (*Sidecar, error) {
	s := &Sidecar{}
	d := decoder{file: file, body: body, maxBytes: MaxSettingsBytes}
	d.decode(sidecarShape, s)
	if err := d.err(); err != nil {
		return nil, err
	}
	return s, nil
}
