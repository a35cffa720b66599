package fleet

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// handler answers the other nodes.
type handler struct {
	wirepb.UnimplementedPeerHandler
	n *Node
}

// errStarting reports a part that doesn't run yet, errBody orders that this
// node doesn't have.
var (
	errStarting = errors.New("node is starting")
	errBody     = errors.New("orders of this revision are not known here")
)

// Call runs one request at the exit.
func (h *handler) Call(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	return h.n.exit.Call(ctx, q), nil
}

// Resolve tells what became of a request.
func (h *handler) Resolve(ctx context.Context, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	return h.n.exit.Resolve(ctx, q), nil
}

// Sync answers the anti-entropy of another node.
func (h *handler) Sync(ctx context.Context, q *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	s := h.n.roster.shell.Load()
	if s == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errStarting)
	}
	return s.Sync(ctx, q)
}

// Share trades the evidence on version moves.
func (h *handler) Share(_ context.Context, q *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	return h.n.moves.answer(q), nil
}

// Events returns recorded events.
func (h *handler) Events(_ context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return gather.Page(h.n.log, q), nil
}

// Body returns the operator's orders as far as this node knows them.
func (h *handler) Body(_ context.Context, q *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	body, ok := h.n.orders.held(q.GetDigest())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errBody)
	}
	return &wirepb.BodyResponse{Body: body}, nil
}
