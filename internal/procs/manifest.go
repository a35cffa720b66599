package procs

import "time"

// MoveName is the name of the version move that AddMove adds.
const MoveName = "counter-v2"

// Manifest is the JSON form of a manifest as a build pipeline would write it. It
// doesn't use the product's own types.
type Manifest struct {
	Name     string          `json:"name"`
	Domains  []domainItem    `json:"domains"`
	Services []serviceItem   `json:"services"`
	Moves    []moveItem      `json:"moves,omitempty"`
	Measure  measureSettings `json:"measure"`
}

type domainItem struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
}

type serviceItem struct {
	Name    string      `json:"name"`
	Version string      `json:"version"`
	Timeout string      `json:"timeout"`
	Routes  []routeItem `json:"routes"`
}

type routeItem struct {
	Name   string `json:"name"`
	Prefix string `json:"prefix"`
}

type moveItem struct {
	Name     string      `json:"name"`
	Service  string      `json:"service"`
	From     string      `json:"from"`
	To       string      `json:"to"`
	Start    time.Time   `json:"start"`
	Deadline time.Time   `json:"deadline"`
	Stages   []stageItem `json:"stages"`
}

type stageItem struct {
	After string  `json:"after"`
	Share float64 `json:"share"`
}

type measureSettings struct {
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
	Path  string  `json:"path"`
}

// NewManifest returns a manifest with two services in which all failure domains
// have the state "in".
func NewManifest() Manifest {
	m := Manifest{
		Name: "montevideo",
		Services: []serviceItem{
			{Name: "counter", Version: "v1", Timeout: "3s", Routes: []routeItem{
				{Name: "browse", Prefix: "/browse"},
				{Name: "lessons", Prefix: "/lessons"},
				{Name: "confirm", Prefix: "/confirm"},
			}},
			{Name: "workshop", Version: "v1", Timeout: "3s", Routes: []routeItem{
				{Name: "commissions", Prefix: "/commissions"},
				{Name: "stock", Prefix: "/stock"},
			}},
		},
		Measure: measureSettings{Rate: 2, Burst: 2, Path: "/health"},
	}
	for _, d := range Domains {
		m.Domains = append(m.Domains, domainItem{Name: d, Region: region, State: "in"})
	}
	return m
}

// SetDomain sets the state of a failure domain, "in" or "out".
func (m *Manifest) SetDomain(name, state string) {
	for i := range m.Domains {
		if m.Domains[i].Name == name {
			m.Domains[i].State = state
		}
	}
}

// AddMove adds a move of counter from v1 to v2 whose deadline is duration after
// start. Its stages begin within 10 s, so that they fit a short run.
func (m *Manifest) AddMove(start time.Time, duration time.Duration) {
	m.Moves = append(m.Moves, moveItem{
		Name:     MoveName,
		Service:  "counter",
		From:     "v1",
		To:       "v2",
		Start:    start,
		Deadline: start.Add(duration),
		Stages: []stageItem{
			{After: "0s", Share: 0.05},
			{After: "5s", Share: 0.3},
			{After: "10s", Share: 1},
		},
	})
}
