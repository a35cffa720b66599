package node

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/admin"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// handler serves the requests of other nodes and of the command-line tool.
type handler struct {
	wirepb.UnimplementedPeerHandler
	n *Node
}

// Call handles one request at the exit.
func (h *handler) Call(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return h.n.exit.Call(ctx, q), nil
}

// Resolve returns the outcome of an earlier request.
func (h *handler) Resolve(ctx context.Context, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return h.n.exit.Resolve(ctx, q), nil
}

// Sync answers an anti-entropy request of another node.
func (h *handler) Sync(ctx context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	s := h.n.roster.transport.Load()
	if s == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errStarting)
	}
	return s.Sync(ctx, q)
}

// Share exchanges the evidence of version moves. A head in the message is one
// that a command has just published; this node spreads it by gossip.
func (h *handler) Share(_ context.Context, q *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	if w := q.GetHead(); w != nil {
		h.n.configuration.handlePublishedHead(config.Head{
			Revision: ident.Revision(w.GetRevision()),
			Digest:   ident.Digest(w.GetDigest()),
			Change:   ident.Change(w.GetChange()),
		})
		h.n.roster.requestUpdate()
	}
	return h.n.moves.handleShare(q), nil
}

// Keep stores the work snapshot of another node.
func (h *handler) Keep(_ context.Context, q *wirepb.KeepRequest) (*wirepb.KeepResponse, error) {
	if err := h.n.workReporter.keep(q); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return &wirepb.KeepResponse{}, nil
}

// Held returns the work snapshots that this node holds.
func (h *handler) Held(context.Context, *wirepb.HeldRequest) (*wirepb.HeldResponse, error) {
	a := &wirepb.HeldResponse{}
	for _, s := range h.n.workReporter.snapshots() {
		a.Snapshots = append(a.Snapshots, s.Encode())
	}
	return a, nil
}

// Events returns a page of the events in this node's log.
func (h *handler) Events(_ context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return gather.EventsPage(h.n.log, q), nil
}

// errStarting reports that the membership protocol isn't running yet.
var errStarting = errors.New("node is starting")

// errNoBody reports that this node doesn't have the requested manifest body.
var errNoBody = errors.New("manifest body is not in force here")

// Body returns the manifest in effect if it has the requested digest.
func (h *handler) Body(_ context.Context, q *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	body, ok := h.n.configuration.activeBody(ident.Digest(q.GetDigest()))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errNoBody)
	}
	return &wirepb.BodyResponse{Body: body}, nil
}

// Status returns the members, moves and configuration head known to this node,
// and the load of its exit.
func (h *handler) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	active := h.n.configuration.activeHead()
	return &wirepb.StatusResponse{
		Node:    string(h.n.settings.Node),
		Start:   uint64(h.n.start),
		Head:    &wirepb.Head{Revision: uint64(active.Revision), Digest: string(active.Digest), Change: string(active.Change)},
		Members: h.n.roster.wireRecords(),
		Moves:   h.n.moves.wireStates(),
		Hint:    h.n.exit.Load(),
	}, nil
}

// adminHandler returns the HTTP handler for operators' tools.
func (n *Node) adminHandler() http.Handler {
	return admin.New(admin.Options{Registry: n.metrics, Log: n.log, NotReadyReason: n.notReadyReason})
}

// notReadyReason returns why callers should use another node, or "" if the node is
// ready.
func (n *Node) notReadyReason() string {
	switch {
	case n.leaving.Load():
		return "the node is stopping"
	case n.configuration.activeHead().Revision == 0:
		return "no manifest is in force"
	default:
		return ""
	}
}
