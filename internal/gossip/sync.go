package gossip

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// maxPages bounds the pages that a joining node fetches from one peer. A page has
// about 70 records.
const maxPages = 64

// WithMachine calls a function with the machine and the current time, with
// exclusive access to the machine.
type WithMachine func(func(m *member.Machine, now time.Time))

// SyncHandler answers the anti-entropy requests of other nodes.
type SyncHandler struct {
	WithMachine WithMachine
}

// Sync handles one anti-entropy request. It merges records, answers a digest with
// the records that are newer at this node and the nodes whose records it wants,
// and answers a hash with the hashes of its parts unless the hashes are equal.
func (h *SyncHandler) Sync(_ context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	out := &wirepb.SyncResponse{}
	h.WithMachine(func(m *member.Machine, now time.Time) {
		switch {
		case len(q.GetRecords()) > 0:
			m.Merge(recordsFromWire(q.GetRecords()), now)
		case q.GetMask() != 0:
			d := m.Delta(member.Digest{Mask: q.GetMask(), Entries: entriesFromWire(q.GetDigest())})
			out.Records = recordsToWire(d.Records)
			for _, n := range d.Wanted {
				out.Wanted = append(out.Wanted, string(n))
			}
		default:
			d := m.Delta(member.Digest{Hash: q.GetHash()})
			out.Same = d.Same
			out.Parts = d.Digest.Parts
		}
	})
	return out, nil
}

// SyncClient runs anti-entropy exchanges, which bring this node and a peer to the
// same records.
type SyncClient struct {
	WithMachine WithMachine
	// Call sends one request to a peer.
	Call func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error)

	// joined is set after the first complete exchange. Until then Sync fetches
	// all pages, afterwards one page per call.
	joined bool
}

// Sync runs one exchange with a peer. It must not be called concurrently.
func (c *SyncClient) Sync(ctx context.Context, to member.Record) error {
	for range maxPages {
		more, err := c.exchange(ctx, to)
		if err != nil {
			return oops.In("gossip").With("step", "sync", "peer", to.Node).Wrap(err)
		}
		if !more || c.joined {
			break
		}
	}
	c.joined = true
	return nil
}

// exchange compares the records with those of a peer and exchanges one page of
// differences. It reports whether records were exchanged, in which case there may
// be further pages.
func (c *SyncClient) exchange(ctx context.Context, to member.Record) (bool, error) {
	q := &wirepb.SyncRequest{}
	c.WithMachine(func(m *member.Machine, _ time.Time) {
		q.Source, q.Hash = string(m.Self().Node), m.Digest().Hash
	})
	a, err := c.Call(ctx, to, q)
	if err != nil || a.GetSame() {
		return false, err
	}
	q.Hash = 0
	c.WithMachine(func(m *member.Machine, _ time.Time) {
		d := m.Delta(member.Digest{Parts: a.GetParts()}).Digest
		q.Mask, q.Digest = d.Mask, entriesToWire(d.Entries)
	})
	if q.Mask == 0 {
		return false, nil
	}
	a, err = c.Call(ctx, to, q)
	if err != nil {
		return false, err
	}
	var wanted []member.Record
	c.WithMachine(func(m *member.Machine, now time.Time) {
		m.Merge(recordsFromWire(a.GetRecords()), now)
		wanted = m.Records(nodeIDs(a.GetWanted()))
	})
	if len(wanted) > 0 {
		_, err = c.Call(ctx, to, &wirepb.SyncRequest{Source: q.Source, Records: recordsToWire(wanted)})
	}
	return len(a.GetRecords())+len(wanted) > 0, err
}

func nodeIDs(names []string) []ident.Node {
	out := make([]ident.Node, len(names))
	for i, n := range names {
		out[i] = ident.Node(n)
	}
	return out
}
