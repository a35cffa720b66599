package verbs

import (
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// inForce counts the nodes that serve with at least the given revision.
func inForce(s *wirepb.StatusResponse, r ident.Revision) (force, nodes int) {
	for _, m := range s.GetMembers() {
		nodes++
		if ident.Revision(m.GetRevision()) >= r {
			force++
		}
	}
	return force, nodes
}
