package fence

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

// Home returns the member that keeps the fence of a caller's key, by
// rendezvous hashing. It doesn't depend on the order of members, and a member
// that joins or leaves moves only its own keys. It reports false without members.
func Home(key string, members []ident.Node) (ident.Node, bool) {
	var (
		best  ident.Node
		high  uint64
		found bool
		d     xxhash.Digest
	)
	for _, m := range members {
		d.Reset()
		// The hash never fails. The separator keeps ("ab","c") and ("a","bc") apart.
		_, _ = d.WriteString(string(m))
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(key)
		h := d.Sum64()
		if !found || h > high || (h == high && m < best) {
			best, high, found = m, h, true
		}
	}
	return best, found
}
