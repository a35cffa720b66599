package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/route"
)

func rule(name, host, prefix string, parts ...route.WeightedService) route.Rule {
	return route.Rule{Name: ident.Route(name), Host: host, Prefix: prefix, Services: parts}
}

var shop = route.WeightedService{Service: "shop", Weight: 1}

func Example() {
	t, err := route.New(7, route.Limits{}, []route.Service{{Name: "shop"}}, []route.Rule{
		rule("all", "a.example", "/", shop),
		rule("books", "a.example", "/books/", shop),
	})
	fmt.Println(err)
	r, _ := t.Find("a.example:8080", "/books/7")
	fmt.Println(r.Name)
	_, ok := t.Find("b.example", "/books/7")
	fmt.Println(ok)
	// Output:
	// <nil>
	// books
	// false
}

// Guards against configurations whose requests have no destination.
func TestInvalidRules(t *testing.T) {
	for name, r := range map[string]route.Rule{
		"no host":         rule("r", "", "/", shop),
		"no slash":        rule("r", "h", "/x", shop),
		"no service":      rule("r", "h", "/x/"),
		"unknown service": rule("r", "h", "/x/", route.WeightedService{Service: "other", Weight: 1}),
		"no weight":       rule("r", "h", "/x/", route.WeightedService{Service: "shop"}),
		"negative weight": rule("r", "h", "/x/", route.WeightedService{Service: "shop", Weight: -1}, shop, shop),
	} {
		_, err := route.New(1, route.Limits{}, []route.Service{{Name: "shop"}}, []route.Rule{r})
		assert.ErrorIs(t, err, route.ErrInvalidRule, name)
	}
}

// Guards against shares that drift from their weights: after any number of
// requests, each part's count is off by less than one request per part.
func TestSplitterKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		weights[0]++
		total := 0
		var parts []route.WeightedService
		for i, w := range weights {
			total += w
			parts = append(parts, route.WeightedService{Service: ident.Service(fmt.Sprint(i)), Weight: w})
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := route.NewSplitter(random.Float64)
		r := rule("r", "h", "/", parts...)
		counts := map[ident.Service]int{}
		for n := 1; n <= 300; n++ {
			counts[s.Next(r)]++
			for _, p := range parts {
				deviation := float64(counts[p.Service]) - float64(n*p.Weight)/float64(total)
				assert.Assert(t, deviation > -float64(len(parts)) && deviation < float64(len(parts)), "%s off by %v after %d", p.Service, deviation, n)
				assert.Assert(t, p.Weight > 0 || counts[p.Service] == 0)
			}
		}
	})
}
