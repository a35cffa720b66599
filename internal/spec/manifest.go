// Package spec defines the formats of the manifest and the settings and parses
// them. Both are JSON with comments. A file is either accepted as a whole or
// rejected with all its faults; it is never applied in part. The struct tags are
// the only definition of the formats: both the parser and the JSON Schemas in
// schema/ are derived from them.
package spec

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// MaxManifestBytes limits the size of a manifest. A manifest of the planned size
// of 170 services has less than 100 KB.
const MaxManifestBytes = 1 << 20

// State is the state that operators have set for a failure domain.
type State string

// States of a failure domain. A domain that is out receives no new requests.
const (
	In  State = "in"
	Out State = "out"
)

// Manifest is the configuration of the whole system.
type Manifest struct {
	Name     string    `json:"name" spec:"form=name" doc:"Name of the deployment."`
	Domains  []Domain  `json:"domains" spec:"min=1,max=64" doc:"Failure domains. The state of at least one must be in."`
	Services []Service `json:"services" spec:"max=1000" doc:"Services that callers can address."`
	Moves    []Move    `json:"moves" spec:"optional,max=1000" doc:"Version moves. Moves of one service must not overlap in time."`
	Measure  Measure   `json:"measure" spec:"optional" doc:"Limits of the health checks of upstreams."`
}

// Domain is one failure domain.
type Domain struct {
	Name   ident.Domain `json:"name" spec:"form=name" doc:"Name of the failure domain."`
	Region ident.Region `json:"region" spec:"form=name" doc:"Region of the failure domain."`
	State  State        `json:"state" spec:"default=in,enum=in|out" doc:"Whether the failure domain receives new requests."`
}

// Service is one service and its current version.
type Service struct {
	Name    ident.Service `json:"name" spec:"form=name" doc:"Name of the service."`
	Version ident.Version `json:"version" spec:"form=name" doc:"Version that serves while no move of the service is in progress."`
	Timeout time.Duration `json:"timeout" spec:"default=10s,min=1ms,max=5m" doc:"Timeout of a request whose caller sets none."`
	Routes  []Route       `json:"routes" spec:"optional,max=200" doc:"Routes whose requests are counted and compared separately."`
}

// Route is a group of requests of a service that behave alike.
type Route struct {
	Name   ident.Route `json:"name" spec:"form=name" doc:"Name of the route."`
	Prefix string      `json:"prefix" spec:"form=path" doc:"Prefix of the path. The longest matching prefix applies."`
	// Idempotent is nil if it depends on the HTTP method.
	Idempotent *bool `json:"idempotent" spec:"optional" doc:"Whether a request may run twice. If absent, it depends on the HTTP method."`
}

// Move replaces one version of a service by another in stages.
type Move struct {
	Name     ident.Move    `json:"name" spec:"form=name" doc:"Name of the move. It must not be reused."`
	Service  ident.Service `json:"service" spec:"form=name" doc:"Service whose version is replaced."`
	From     ident.Version `json:"from" spec:"form=name" doc:"Version that serves before the move."`
	To       ident.Version `json:"to" spec:"form=name" doc:"Version that serves after the move."`
	Start    time.Time     `json:"start" doc:"Time at which the move starts."`
	Deadline time.Time     `json:"deadline" doc:"Time by which the move must be done; otherwise it is reverted."`
	Stages   []Stage       `json:"stages" spec:"min=1,max=32" doc:"Shares of the new version in ascending order. The last share must be 1."`
}

// Stage sets the share of the new version from the given time after the start.
type Stage struct {
	After time.Duration `json:"after" spec:"min=0s" doc:"Time since the start of the move."`
	Share float64       `json:"share" spec:"min=0,max=1" doc:"Share of the requests that the new version receives, from 0 to 1."`
}

// Measure limits the probes (health checks) of each upstream.
type Measure struct {
	Rate  float64 `json:"rate" spec:"default=2,min=0,max=100" doc:"Probes of each upstream per second. 0 disables probes."`
	Burst int     `json:"burst" spec:"default=2,min=1,max=100" doc:"Maximum burst of probes."`
	Path  string  `json:"path" spec:"default=/health,form=path" doc:"Path of the probe requests."`
}

var manifestShape = newShape[Manifest]("cicadahall manifest")

// ParseManifest parses a manifest. The error is of type Errors and lists all
// faults of the file.
func ParseManifest(file string, body []byte) (*Manifest, error) {
	m := &Manifest{}
	d := decoder{file: file, body: body, maxBytes: MaxManifestBytes}
	if d.decode(manifestShape, m) {
		d.checkManifest(m)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return m, nil
}
