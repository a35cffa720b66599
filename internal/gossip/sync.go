package gossip

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// maxPages bounds the exchanges of a joining node with one peer. A page holds
// about 70 records.
const maxPages = 64

// With runs a function on the machine, alone, with the current time.
type With func(func(m *member.Machine, now time.Time))

// SyncHandler answers the anti-entropy requests of other nodes.
type SyncHandler struct {
	With With
}

// Sync answers a hash with the own parts, a digest with newer records and
// wanted nodes, and takes over records.
func (h *SyncHandler) Sync(_ context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	out := &wirepb.SyncResponse{}
	h.With(func(m *member.Machine, now time.Time) {
		switch {
		case len(q.GetRecords()) > 0:
			m.Merge(fromWire(q.GetRecords()), now)
		case q.GetMask() != 0:
			d := m.Delta(member.Digest{Mask: q.GetMask(), Entries: entriesFromWire(q.GetDigest())})
			out.Records = toWire(d.Records)
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

// SyncClient brings this node and one other to the same records.
type SyncClient struct {
	With With
	// Call sends one request to a peer.
	Call func(ctx context.Context, to member.Record, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error)

	// joined is set after the first complete exchange. Before it the node
	// fetches all pages at once, after it one page per exchange.
	joined bool
}

// Sync runs one exchange with a peer. Calls of one client must not overlap.
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

// exchange compares and trades one page. It reports whether records moved, so
// that more may be waiting.
func (c *SyncClient) exchange(ctx context.Context, to member.Record) (bool, error) {
	q := &wirepb.SyncRequest{}
	c.With(func(m *member.Machine, _ time.Time) {
		q.Source, q.Hash = string(m.Self().Node), m.Digest().Hash
	})
	a, err := c.Call(ctx, to, q)
	if err != nil || a.GetSame() {
		return false, err
	}
	q.Hash = 0
	c.With(func(m *member.Machine, _ time.Time) {
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
	var asked []member.Record
	c.With(func(m *member.Machine, now time.Time) {
		m.Merge(fromWire(a.GetRecords()), now)
		asked = m.Records(nodes(a.GetWanted()))
	})
	if len(asked) > 0 {
		_, err = c.Call(ctx, to, &wirepb.SyncRequest{Source: q.Source, Records: toWire(asked)})
	}
	return len(a.GetRecords())+len(asked) > 0, err
}

func nodes(names []string) []ident.Node {
	out := make([]ident.Node, len(names))
	for i, n := range names {
		out[i] = ident.Node(n)
	}
	return out
}
