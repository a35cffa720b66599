package demo

import "time"

// moveName names the version move of the demo.
const moveName = "counter-v2"

// manifest is written as a build pipeline would write it, without using the
// product's own types.
type manifest struct {
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

func firstManifest() manifest {
	m := manifest{
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
	for _, d := range regionDomains {
		m.Domains = append(m.Domains, domainItem{Name: d, Region: region, State: "in"})
	}
	return m
}

func (m *manifest) setDomain(name, state string) {
	for i := range m.Domains {
		if m.Domains[i].Name == name {
			m.Domains[i].State = state
		}
	}
}

// addMove adds the move with stages that fit the short time of the demo.
func (m *manifest) addMove(start time.Time, length time.Duration) {
	m.Moves = append(m.Moves, moveItem{
		Name:     moveName,
		Service:  "counter",
		From:     "v1",
		To:       "v2",
		Start:    start,
		Deadline: start.Add(length),
		Stages: []stageItem{
			{After: "0s", Share: 0.05},
			{After: "5s", Share: 0.3},
			{After: "10s", Share: 1},
		},
	})
}
