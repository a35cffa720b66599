package fleet

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// handler serves the RPCs of other nodes.
type handler struct {
	wirepb.UnimplementedPeerHandler
	node *Node
}

// errStarting reports that the gossip transport isn't running yet,
// errUnknownRevision that this node lacks the requested operator rows.
var (
	errStarting        = errors.New("node is starting")
	errUnknownRevision = errors.New("orders of this revision are not known here")
)

// Call runs one request at the exit.
func (h *handler) Call(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return h.node.exit.Call(ctx, q), nil
}

// Resolve returns the outcome of an earlier request.
func (h *handler) Resolve(ctx context.Context, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return h.node.exit.Resolve(ctx, q), nil
}

// Sync answers an anti-entropy exchange.
func (h *handler) Sync(ctx context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	s := h.node.membership.transport.Load()
	if s == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errStarting)
	}
	return s.Sync(ctx, q)
}

// Share merges a peer's rollout evidence and returns this node's.
func (h *handler) Share(_ context.Context, q *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	return h.node.rollouts.handleShare(q), nil
}

// Events returns one page of recorded events.
func (h *handler) Events(_ context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return gather.EventsPage(h.node.log, q), nil
}

// Body returns the operator's rows if they reach the requested version.
func (h *handler) Body(_ context.Context, q *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	body, ok := h.node.operator.encodedRows(q.GetDigest(), q.GetAfter())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errUnknownRevision)
	}
	return &wirepb.BodyResponse{Body: body}, nil
}
