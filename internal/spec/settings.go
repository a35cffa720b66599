package spec

import (
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// MaxSettingsBytes limits the size of a settings file.
const MaxSettingsBytes = 64 << 10

// Level is the lowest level of events that are logged.
type Level string

// Log levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Fault Level = "error"
)

// Settings holds the settings of one node.
type Settings struct {
	Node     ident.Node    `json:"node" spec:"form=name" doc:"Name of the node, unique in the system."`
	Domain   ident.Domain  `json:"domain" spec:"form=name" doc:"Failure domain of the node, as named in the manifest."`
	Region   ident.Region  `json:"region" spec:"form=name" doc:"Region of the node, as named in the manifest."`
	Listen   Listen        `json:"listen" doc:"Addresses that the node listens on."`
	Platform Platform      `json:"platform" doc:"Base URLs of the platform's services."`
	Peers    []string      `json:"peers" spec:"optional,max=64,form=address" doc:"Peer addresses of other nodes, used to join while the table service is down."`
	Upstream string        `json:"upstream" spec:"optional,form=url" doc:"Base URL of the upstream until it announces another one. If absent, the node waits for an announcement."`
	Slots    ident.Slots   `json:"slots" spec:"optional,min=1,max=100000" doc:"Requests that the upstream can run at the same time until it announces another number."`
	Limits   Limits        `json:"limits" spec:"optional" doc:"Limits that bound the node's memory."`
	Drain    time.Duration `json:"drain" spec:"default=30s,min=1s,max=10m" doc:"Maximum time that a planned shutdown waits for running requests."`
	Log      Level         `json:"log" spec:"default=info,enum=debug|info|warn|error" doc:"Lowest level of events that are logged."`
}

// Listen holds the addresses of the node's listeners.
type Listen struct {
	Callers string `json:"callers" spec:"form=address" doc:"HTTP for callers."`
	Peers   string `json:"peers" spec:"form=address" doc:"HTTP for other nodes and for commands."`
	Gossip  string `json:"gossip" spec:"form=address" doc:"UDP for the membership protocol."`
	Local   string `json:"local" spec:"form=address" doc:"HTTP for the node's upstream."`
	Admin   string `json:"admin" spec:"form=address" doc:"HTTP for metrics, readiness and events."`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string `json:"table" spec:"form=url" doc:"Table service."`
	Objects string `json:"objects" spec:"form=url" doc:"Object store."`
}

// Limits bounds the memory of a node.
type Limits struct {
	Body     int `json:"body" spec:"default=4194304,min=1024,max=67108864" doc:"Maximum size of a request or response body in bytes."`
	Inflight int `json:"inflight" spec:"default=4096,min=1,max=100000" doc:"Maximum number of requests in flight at the entry."`
	Queue    int `json:"queue" spec:"default=0,min=0,max=10000" doc:"Maximum number of queued requests at the exit. 0 means 32 per slot, at least 64 and at most 512."`
}

var settingsShape = newShape[Settings]("cicadahall settings")

// ParseSettings parses the settings of a node. The error is of type Errors and
// lists all faults of the file.
func ParseSettings(file string, body []byte) (*Settings, error) {
	s := &Settings{}
	d := decoder{file: file, body: body, maxBytes: MaxSettingsBytes}
	if d.decode(settingsShape, s) {
		d.checkSettings(s)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return s, nil
}
