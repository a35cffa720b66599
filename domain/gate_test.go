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

func ExampleGate() {
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

// Guards against new work in a domain that is out and refusals by one that is
// in (both sides of P3), against a ramp that restarts when the same manifest
// is set again, falls or never ends, and against a node that starts and sees
// a long-standing domain as cold.
func TestGate(t *testing.T) {
	names := []ident.Domain{"a", "b", "c", "unlisted"}
	rapid.Check(t, func(t *rapid.T) {
		g := domain.New(domain.Options{})
		now := time.Unix(0, 0)
		out := map[ident.Domain]bool{}
		back := map[ident.Domain]time.Time{}
		last := map[ident.Domain]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				var states []domain.State
				for _, d := range names[:3] {
					s := domain.State{Domain: d, Out: rapid.Bool().Draw(t, "out")}
					if s.Out || rapid.Bool().Draw(t, "listed") {
						states = append(states, s)
					}
					if out[d] && !s.Out {
						back[d] = now
					}
					if out[d] != s.Out {
						delete(last, d)
					}
					out[d] = s.Out
				}
				g.Set(states, now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, d := range names {
					w := g.Weight(d, now)
					assert.Equal(t, g.Admits(d, now), !out[d])
					assert.Equal(t, w > 0, !out[d])
					assert.Assert(t, w >= last[d] && w <= 1, "weight of %s went from %v to %v", d, last[d], w)
					last[d] = w
					since, was := back[d]
					full := !out[d] && (!was || now.Sub(since) >= 10*time.Second)
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
