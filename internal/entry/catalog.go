package entry

import (
	"strings"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/spec"
)

// Catalog finds services and routes of one manifest. It doesn't change.
type Catalog struct {
	services map[ident.Service]spec.Service
}

// NewCatalog returns the catalog of a manifest.
func NewCatalog(m *spec.Manifest) *Catalog {
	c := &Catalog{services: make(map[ident.Service]spec.Service, len(m.Services))}
	for _, s := range m.Services {
		c.services[s.Name] = s
	}
	return c
}

// Service returns a service by name.
func (c *Catalog) Service(name ident.Service) (spec.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// complete fills in what the caller left to the manifest.
func (q *request) complete(s spec.Service) {
	if !q.timed {
		q.chain.Left = s.Timeout
	}
	r, ok := routeOf(s, q.route, q.path)
	if !ok {
		q.route = ""
	} else {
		q.route = r.Name
	}
	if q.idempotent == byMethod && ok && r.Idempotent != nil {
		q.idempotent = runsOf(*r.Idempotent)
	}
}

// routeOf returns the route that a caller names or else the one with the
// longest matching prefix. Unknown names fall back to the prefix, so that
// callers can't create routes.
func routeOf(s spec.Service, name ident.Route, path string) (spec.Route, bool) {
	best := -1
	for i, r := range s.Routes {
		if name != "" && r.Name == name {
			return r, true
		}
		if strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(s.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return spec.Route{}, false
	}
	return s.Routes[best], true
}
