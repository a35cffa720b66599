// Package spec reads the manifest and the settings. Both are JSON with
// comments. A file is either accepted whole or rejected with all its faults;
// nothing is applied in part. The struct tags are the only description of the
// formats: the parser and the JSON Schema in schema/ are both derived from
// them.
package spec

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// MaxManifest is the largest accepted manifest in bytes. A manifest of the
// planned size (170 services) is below 100 KB.
const MaxManifest = 1 << 20

// State tells whether operators have taken a failure domain out.
type State string

// States of a failure domain.
const (
	In  State = "in"
	Out State = "out"
)

// Manifest is the configuration of the whole system.
type Manifest struct {
	Name     string    `json:"name" spec:"form=name" doc:"Name of the deployment."`
	Domains  []Domain  `json:"domains" spec:"min=1,max=64" doc:"Failure domains. At least one must be in."`
	Services []Service `json:"services" spec:"max=1000" doc:"Services that callers can address."`
	Moves    []Move    `json:"moves" spec:"optional,max=1000" doc:"Version moves. Moves of one service must not overlap in time."`
	Measure  Measure   `json:"measure" spec:"optional" doc:"Budget for measuring upstreams."`
}

// Domain is one failure domain.
type Domain struct {
	Name   ident.Domain `json:"name" spec:"form=name" doc:"Name of the failure domain."`
	Region ident.Region `json:"region" spec:"form=name" doc:"Region of the failure domain."`
	State  State        `json:"state" spec:"default=in,enum=in|out" doc:"Whether the failure domain gets new work."`
}

// Service is one service and its current version.
type Service struct {
	Name    ident.Service `json:"name" spec:"form=name" doc:"Name of the service."`
	Version ident.Version `json:"version" spec:"form=name" doc:"Version that serves outside of moves."`
	Timeout time.Duration `json:"timeout" spec:"default=10s,min=1ms,max=5m" doc:"Longest time of a request whose caller names none."`
	Routes  []Route       `json:"routes" spec:"optional,max=200" doc:"Routes that are counted and compared separately."`
}

// Route is a group of requests that behave alike.
type Route struct {
	Name   ident.Route `json:"name" spec:"form=name" doc:"Name of the route."`
	Prefix string      `json:"prefix" spec:"form=path" doc:"Prefix of the path. The longest matching prefix decides."`
	// Idempotent is nil if the method decides.
	Idempotent *bool `json:"idempotent" spec:"optional" doc:"Whether a request may run twice. Without it the method decides."`
}

// Move replaces one version of a service by another, stage by stage.
type Move struct {
	Name     ident.Move    `json:"name" spec:"form=name" doc:"Name of the move. It is never used again."`
	Service  ident.Service `json:"service" spec:"form=name" doc:"Service whose version moves."`
	From     ident.Version `json:"from" spec:"form=name" doc:"Version that serves before the move."`
	To       ident.Version `json:"to" spec:"form=name" doc:"Version that serves after the move."`
	Start    time.Time     `json:"start" doc:"Begin of the move."`
	Deadline time.Time     `json:"deadline" doc:"Time before which the move is done or else is reverted."`
	Stages   []Stage       `json:"stages" spec:"min=1,max=32" doc:"Shares of the new version in ascending order. The last share is 1."`
}

// Stage gives the share of the new version from a time after the start on.
type Stage struct {
	After time.Duration `json:"after" spec:"min=0s" doc:"Time since the start of the move."`
	Share float64       `json:"share" spec:"min=0,max=1" doc:"Share of the requests that the new version gets, 0 to 1."`
}

// Measure is the probe budget of each upstream.
type Measure struct {
	Rate  float64 `json:"rate" spec:"default=2,min=0,max=100" doc:"Probes per second and upstream. 0 turns probes off."`
	Burst int     `json:"burst" spec:"default=2,min=1,max=100" doc:"Probes that may follow each other without a pause."`
	Path  string  `json:"path" spec:"default=/health,form=path" doc:"Path that probes request."`
}

var manifestShape = describe[Manifest]("cicadahall manifest")

// ParseManifest reads a manifest. The error is of type Errors and lists all
// faults of the file.
func ParseManifest(file string, body []byte) (*Manifest, error) {
	m := &Manifest{}
	d := decoder{file: file, body: body, limit: MaxManifest}
	if d.decode(manifestShape, m) {
		d.checkManifest(m)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return m, nil
}
