package fence

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cicadahall/cicadahall/ident"
)

// Home returns the member that holds the fence of a caller's key, chosen by
// rendezvous hashing. The result doesn't depend on the order of members, and a
// member that joins or leaves moves only its own keys. Home reports false if
// there are no members.
func Home(key string, members []ident.Node) (ident.Node, bool) {
	var (
		best     ident.Node
		bestHash uint64
		found    bool
		d        xxhash.Digest
	)
	for _, m := range members {
		d.Reset()
		// Writing to the hash never fails. The separator makes the hashes of
		// ("ab","c") and ("a","bc") differ.
		_, _ = d.WriteString(string(m))
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(key)
		h := d.Sum64()
		if !found || h > bestHash || (h == bestHash && m < best) {
			best, bestHash, found = m, h, true
		}
	}
	return best, found
}
