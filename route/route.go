// Package route implements the routing table: it maps the host and path of a
// request to a route and its service.
//
// A Table holds one configuration. It is immutable after New, so that a request
// is handled under one configuration from beginning to end.
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
	"github.com/cicadahall/cicadahall/internal/policy/access"
)

// Rule is a route: the requests to a host whose path begins with a prefix.
type Rule struct {
	Name ident.Route
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services are the services that share the requests by weight.
	Services []WeightedService
	// Idempotent is set if a request may safely run more than once.
	Idempotent bool
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Timeout is the longest time that a request may wait; 0 means that only the
	// request's own deadline applies.
	Timeout time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of upstreams to which one request may be
	// sent.
	MaxAttempts int
	// Public is set if the requests need no key; one that they carry is ignored.
	Public bool
}

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service ident.Service
	Weight  int
}

// Service is the configuration of a service's upstreams.
type Service struct {
	Name ident.Service
	// HealthPath is the path of the health check.
	HealthPath string
	// ColdRequestsPerSecond is the number of requests per second that a cold
	// upstream can take.
	ColdRequestsPerSecond float64
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum body size in bytes.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of a request's head in bytes,
	// HeaderTimeout the time for it, and IdleTimeout the time that a connection
	// may stay idle. 0 means the default.
	MaxHeaderBytes             int
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is the routing table of one configuration.
type Table struct {
	Revision ident.Revision
	Limits   Limits
	Services map[ident.Service]Service
	// Access holds the keys of the workspaces; nil if there are none.
	Access      *access.Table
	rulesByHost map[string][]Rule
}

// ErrInvalidRule reports an invalid rule.
var ErrInvalidRule = errors.New("invalid route")

// New builds a table. It returns an error that wraps ErrInvalidRule for a rule
// without a host, prefix, service or positive weight, or with a service that
// isn't listed.
func New(revision ident.Revision, limits Limits, services []Service, rules []Rule) (*Table, error) {
	t := &Table{
		Revision:    revision,
		Limits:      limits,
		Services:    make(map[ident.Service]Service, len(services)),
		rulesByHost: map[string][]Rule{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range rules {
		if err := t.validate(r); err != nil {
			return nil, err
		}
		t.rulesByHost[r.Host] = append(t.rulesByHost[r.Host], r)
	}
	for _, hostRules := range t.rulesByHost {
		slices.SortStableFunc(hostRules, func(a, b Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// WithAccess returns a copy of t with another table of keys.
func (t *Table) WithAccess(a *access.Table) *Table {
	next := *t
	next.Access = a
	return &next
}

// maxWeight bounds a weight, so that the sum of the weights of a rule fits into an
// int.
const maxWeight = 1 << 30

func (t *Table) validate(r Rule) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("%w: route %q has no host", ErrInvalidRule, r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("%w: prefix %q of route %q doesn't begin and end with a slash", ErrInvalidRule, r.Prefix, r.Name)
	case len(r.Services) == 0:
		return fmt.Errorf("%w: route %q has no service", ErrInvalidRule, r.Name)
	}
	total := 0
	for _, p := range r.Services {
		if _, ok := t.Services[p.Service]; !ok {
			return fmt.Errorf("%w: route %q refers to the unknown service %q", ErrInvalidRule, r.Name, p.Service)
		}
		if p.Weight < 0 || p.Weight > maxWeight {
			return fmt.Errorf("%w: route %q has the weight %d, 0 to %d are allowed", ErrInvalidRule, r.Name, p.Weight, maxWeight)
		}
		total += p.Weight
	}
	if total == 0 {
		return fmt.Errorf("%w: the weights of route %q are all zero", ErrInvalidRule, r.Name)
	}
	return nil
}

// Find returns the rule with the longest prefix of path. If the host has no
// rules, the host without its port is used.
func (t *Table) Find(host, path string) (Rule, bool) {
	hostRules, ok := t.rulesByHost[host]
	if !ok {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			hostRules = t.rulesByHost[hostname]
		}
	}
	for _, r := range hostRules {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Rule{}, false
}

// Len returns the number of rules.
func (t *Table) Len() int {
	n := 0
	for _, hostRules := range t.rulesByHost {
		n += len(hostRules)
	}
	return n
}
