package route

import "github.com/cicadahall/cicadahall/ident"

// Splitter deals the requests of split routes so that each part's share stays
// within one request of its weight at every node. It isn't safe for concurrent use.
type Splitter struct {
	credits map[ident.Route][]float64
	// uniform returns a number in [0, 1). Nodes that begin at different
	// points don't send all their first requests to the same part.
	uniform func() float64
}

// NewSplitter returns a Splitter that draws its starting points from uniform.
func NewSplitter(uniform func() float64) *Splitter {
	return &Splitter{credits: map[ident.Route][]float64{}, uniform: uniform}
}

// Next returns the service for the next request of a rule.
func (s *Splitter) Next(r Rule) ident.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	c := s.credits[r.Name]
	if len(c) != len(r.Parts) {
		c = make([]float64, len(r.Parts))
		for i := range c {
			c[i] = s.uniform()
		}
		s.credits[r.Name] = c
	}
	total, best := 0, 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	for i, p := range r.Parts {
		c[i] += float64(p.Weight) / float64(total)
		if p.Weight > 0 && (c[i] > c[best] || r.Parts[best].Weight == 0) {
			best = i
		}
	}
	c[best]--
	return r.Parts[best].Service
}
