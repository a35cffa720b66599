package spec

import (
	"cmp"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Side is the settings of a node beside an upstream on the users' platform,
// where the operator's orders come from the platform's store.
type Side struct {
	Node      ident.Node    `json:"node" doc:"Name of the node, unique in the system."`
	Service   ident.Service `json:"service" doc:"Service of the upstream beside the node."`
	Domain    ident.Domain  `json:"domain" doc:"Failure domain of the node."`
	Region    ident.Region  `json:"region" doc:"Region of the node."`
	Upstream  string        `json:"upstream" spec:"form=address" doc:"Address of the upstream beside the node."`
	Listen    SideListen    `json:"listen" doc:"Addresses that the node listens on."`
	Store     SideStore     `json:"store" doc:"The platform's store."`
	Seeds     []string      `json:"seeds" spec:"optional,max=64" doc:"Addresses of other nodes' heartbeat listeners. Nodes find each other through the store; the number of seeds is logged only."`
	Heartbeat time.Duration `json:"heartbeat" spec:"default=1500ms,min=10ms,max=1m" doc:"Time between two heartbeats of the upstream."`
	Grace     time.Duration `json:"grace" spec:"default=6s,min=1s,max=10m" doc:"Time from SIGTERM to SIGKILL."`
	Budget    SideBudget    `json:"budget" spec:"optional" doc:"Bound of repeated requests over all nodes."`
	Exposure  SideExposure  `json:"exposure" spec:"optional" doc:"Bound of requests to a new version that may be bad, over all nodes."`
	Cold      SideCold      `json:"cold" spec:"optional" doc:"Bound of requests to a cold upstream."`
	Probes    float64       `json:"probes" spec:"default=60,min=0,max=1000" doc:"Most health checks of an upstream a second."`
	Log       Level         `json:"log" spec:"default=info,enum=debug|info|warn|error" doc:"Lowest level of events in the log."`
}

// SideListen holds the addresses of the listeners.
type SideListen struct {
	Callers string `json:"callers" spec:"form=address" doc:"HTTP for callers."`
	Beats   string `json:"beats" spec:"form=address" doc:"HTTP for the upstream's heartbeats."`
	Ready   string `json:"ready" spec:"form=address" doc:"HTTP for the platform's readiness check."`
	Peers   string `json:"peers" spec:"form=address" doc:"HTTP and UDP for other nodes."`
	Public  string `json:"public" spec:"optional" doc:"Address at which other nodes reach this one, such as one that is translated on the way; empty means peers."`
	Admin   string `json:"admin" spec:"optional" doc:"HTTP for metrics and events; empty means none."`
}

// SideStore is the platform's store.
type SideStore struct {
	Address string `json:"address" spec:"form=address" doc:"Host and port."`
}

// SideBudget bounds the requests that are sent to more than one upstream.
type SideBudget struct {
	Ratio  float64       `json:"ratio" spec:"default=0.2,min=0,max=1" doc:"Repeats for each request of a service in a window."`
	Slack  float64       `json:"slack" spec:"default=50,min=0,max=100000" doc:"Repeats beyond the ratio in a window."`
	Window time.Duration `json:"window" spec:"default=10s,min=1s,max=10m" doc:"Length of a window."`
}

// SideExposure bounds what a new version gets before it is known to be good.
type SideExposure struct {
	Share float64 `json:"share" spec:"default=0.1,min=0,max=1" doc:"Share of the service's requests during the move."`
	Slack float64 `json:"slack" spec:"default=50,min=0,max=100000" doc:"Requests beyond the share."`
}

// SideCold bounds what a cold upstream gets in one second.
type SideCold struct {
	Overage float64 `json:"overage" spec:"default=1.5,min=0,max=100" doc:"Factor on the rate that the configuration names."`
	Slack   float64 `json:"slack" spec:"default=5,min=0,max=1000" doc:"Requests beyond that."`
}

// Reached returns the address at which other nodes reach this one.
func (l SideListen) Reached() string { return cmp.Or(l.Public, l.Peers) }

var sideShape = describe[Side]("cicadahall side settings")

// ParseSide reads the settings of a node on the users' platform. The error is
// of type Errors and lists all faults of the file.
func ParseSide(file string, body []byte) (*Side, error) {
	s := &Side{}
	d := decoder{file: file, body: body, limit: MaxSettings}
	d.decode(sideShape, s)
	if err := d.err(); err != nil {
		return nil, err
	}
	return s, nil
}
