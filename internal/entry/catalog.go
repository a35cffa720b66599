package entry

import (
	"strings"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/spec"
)

// Catalog looks up the services and routes of one manifest. It is immutable.
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

// Service returns the service with the given name and whether it exists.
func (c *Catalog) Service(name ident.Service) (spec.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// complete sets the values that the caller left to the manifest.
func (r *request) complete(s spec.Service) {
	if !r.hasTimeout {
		r.chain.Timeout = s.Timeout
	}
	route, ok := routeOf(s, r.route, r.path)
	if !ok {
		r.route = ""
	} else {
		r.route = route.Name
	}
	if r.idempotent == byMethod && ok && route.Idempotent != nil {
		r.idempotent = repeatabilityOf(*route.Idempotent)
	}
}

// routeOf returns the route with the given name, or else the route with the
// longest matching prefix. Unknown names fall back to the prefix, so that
// callers cannot create routes.
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
