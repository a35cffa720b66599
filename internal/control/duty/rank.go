package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

// Candidates is the number of nodes that contend for a duty, so that few nodes call
// the store. The others move up when one of them leaves the list of members.
const Candidates = 3

// Rank returns the nodes in the order in which they are candidates for a duty. All
// nodes that know the same members compute the same order.
func Rank(duty string, nodes []ident.Node) []ident.Node {
	out := slices.Clone(nodes)
	weights := make(map[ident.Node]uint64, len(out))
	for _, n := range out {
		weights[n] = xxhash.Sum64String(string(n) + "/duty/" + duty)
	}
	slices.SortFunc(out, func(a, b ident.Node) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
	return out
}
