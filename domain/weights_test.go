package domain_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/domain"
	"github.com/cicadahall/cicadahall/ident"
)

func ExampleWeights() {
	g := domain.New(domain.Options{})
	now := time.Unix(0, 0)
	g.Set([]domain.State{{Domain: "mvd-a", Out: true}, {Domain: "mvd-b"}}, now)
	fmt.Println(g.Admits("mvd-a", now), g.Weight("mvd-a", now), g.Weight("mvd-b", now))
	g.Set([]domain.State{{Domain: "mvd-a"}, {Domain: "mvd-b"}}, now)
	now = now.Add(5 * time.Second)
	fmt.Println(g.Admits("mvd-a", now), g.Weight("mvd-a", now))
	// Output:
	// false 0 1
	// true 0.5
}

// Guards against new work in a domain that is out, refusals by a domain that is
// in, a ramp that restarts when the same manifest is set again, decreases or never
// ends, and a node that starts and treats a domain that was always in as cold.
func TestGateInvariants(t *testing.T) {
	domains := []ident.Domain{"a", "b", "c", "unlisted"}
	rapid.Check(t, func(t *rapid.T) {
		g := domain.New(domain.Options{})
		now := time.Unix(0, 0)
		out := map[ident.Domain]bool{}
		returnedAt := map[ident.Domain]time.Time{}
		lastWeight := map[ident.Domain]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				var states []domain.State
				for _, d := range domains[:3] {
					s := domain.State{Domain: d, Out: rapid.Bool().Draw(t, "out")}
					if s.Out || rapid.Bool().Draw(t, "listed") {
						states = append(states, s)
					}
					if out[d] && !s.Out {
						returnedAt[d] = now
					}
					if out[d] != s.Out {
						delete(lastWeight, d)
					}
					out[d] = s.Out
				}
				g.Set(states, now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, d := range domains {
					w := g.Weight(d, now)
					assert.Equal(t, g.Admits(d, now), !out[d])
					assert.Equal(t, w > 0, !out[d])
					assert.Assert(t, w >= lastWeight[d] && w <= 1, "weight of %s went from %v to %v", d, lastWeight[d], w)
					lastWeight[d] = w
					at, returned := returnedAt[d]
					full := !out[d] && (!returned || now.Sub(at) >= 10*time.Second)
					assert.Equal(t, w == 1, full, "%s: weight %v", d, w)
				}
			},
		})
	})
}

func BenchmarkWeight(b *testing.B) {
	g := domain.New(domain.Options{})
	now := time.Unix(0, 0)
	g.Set([]domain.State{{Domain: "a", Out: true}}, now)
	g.Set(nil, now)
	b.ReportAllocs()
	for b.Loop() {
		g.Weight("a", now)
	}
}
