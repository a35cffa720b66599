// Package route finds the service that a request goes to by host and path.
//
// A Table is one configuration. It doesn't change after it has been built, so
// that a request is judged by one configuration from its beginning to its end.
package route

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

// Rule is one route: the requests of a host whose path begins with a prefix.
type Rule struct {
	Name ident.Route
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts are the services that share the requests, by weight.
	Parts []Part
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Timeout is the longest time that a request may be kept waiting; 0 means
	// that only the request's own deadline counts.
	Timeout time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Attempts bounds the upstreams to which one request may be sent.
	Attempts int
}

// Part is a service that takes a share of a route's requests.
type Part struct {
	Service ident.Service
	Weight  int
}

// Service is what the configuration says of a service's upstreams.
type Service struct {
	Name ident.Service
	// Health is the path of the health check.
	Health string
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// Body is the largest body in bytes.
	Body int
}

// Table is one configuration.
type Table struct {
	Revision ident.Revision
	Limits   Limits
	Services map[ident.Service]Service
	hosts    map[string][]Rule
}

// ErrRule reports a rule that can't be used.
var ErrRule = errors.New("invalid route")

// New builds a table. It returns ErrRule for a rule without host, prefix or
// service, or with a service that isn't listed.
func New(revision ident.Revision, limits Limits, services []Service, rules []Rule) (*Table, error) {
	t := &Table{
		Revision: revision,
		Limits:   limits,
		Services: make(map[ident.Service]Service, len(services)),
		hosts:    map[string][]Rule{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range rules {
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func (t *Table) check(r Rule) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("%w: route %q has no host", ErrRule, r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("%w: prefix %q of route %q doesn't begin and end with a slash", ErrRule, r.Prefix, r.Name)
	case len(r.Parts) == 0:
		return fmt.Errorf("%w: route %q names no service", ErrRule, r.Name)
	}
	total := 0
	for _, p := range r.Parts {
		if _, ok := t.Services[p.Service]; !ok {
			return fmt.Errorf("%w: route %q names the unknown service %q", ErrRule, r.Name, p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("%w: route %q has the negative weight %d", ErrRule, r.Name, p.Weight)
		}
		total += p.Weight
	}
	if total == 0 {
		return fmt.Errorf("%w: the weights of route %q are all zero", ErrRule, r.Name)
	}
	return nil
}

// Find returns the rule with the longest prefix that begins the path.
func (t *Table) Find(host, path string) (Rule, bool) {
	list, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			list = t.hosts[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Rule{}, false
}

// Len returns the number of rules.
func (t *Table) Len() int {
	n := 0
	for _, l := range t.hosts {
		n += len(l)
	}
	return n
}
