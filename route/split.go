package route

import "github.com/cicadahall/cicadahall/ident"

// Splitter distributes the requests of routes with several services by weighted
// round robin, so that at every node each part's share stays within one request
// of its weight. It is not safe for concurrent use.
type Splitter struct {
	credits map[ident.Route][]float64
	// randomFloat returns a number in [0, 1). Random initial credits keep nodes
	// from sending all their first requests to the same part.
	randomFloat func() float64
}

// NewSplitter returns a Splitter that takes its initial credits from randomFloat.
func NewSplitter(randomFloat func() float64) *Splitter {
	return &Splitter{credits: map[ident.Route][]float64{}, randomFloat: randomFloat}
}

// Next returns the service for the next request of a rule.
func (s *Splitter) Next(r Rule) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	c := s.credits[r.Name]
	if len(c) != len(r.Services) {
		c = make([]float64, len(r.Services))
		for i := range c {
			c[i] = s.randomFloat()
		}
		s.credits[r.Name] = c
	}
	total, best := 0, 0
	for _, p := range r.Services {
		total += p.Weight
	}
	for i, p := range r.Services {
		c[i] += float64(p.Weight) / float64(total)
		if p.Weight > 0 && (c[i] > c[best] || r.Services[best].Weight == 0) {
			best = i
		}
	}
	c[best]--
	return r.Services[best].Service
}
