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

// handler answers the other nodes and the commands.
type handler struct {
	wirepb.UnimplementedPeerHandler
	n *Node
}

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

// Share trades the evidence on version moves. A head in the message is one
// that a command has just published; gossip spreads it from here.
func (h *handler) Share(_ context.Context, q *wirepb.ShareRequest) (*wirepb.ShareResponse, error) {
	if w := q.GetHead(); w != nil {
		h.n.conf.told(config.Head{
			Revision: ident.Revision(w.GetRevision()),
			Digest:   ident.Digest(w.GetDigest()),
			Change:   ident.Change(w.GetChange()),
		})
		h.n.roster.refresh()
	}
	return h.n.moves.answer(q), nil
}

// Keep holds the work snapshot of another node.
func (h *handler) Keep(_ context.Context, q *wirepb.KeepRequest) (*wirepb.KeepResponse, error) {
	if err := h.n.works.keep(q); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return &wirepb.KeepResponse{}, nil
}

// Held returns the work snapshots that this node holds.
func (h *handler) Held(context.Context, *wirepb.HeldRequest) (*wirepb.HeldResponse, error) {
	a := &wirepb.HeldResponse{}
	for _, s := range h.n.works.held() {
		a.Snapshots = append(a.Snapshots, s.Encode())
	}
	return a, nil
}

// Events returns recorded events.
func (h *handler) Events(_ context.Context, q *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	return gather.Page(h.n.log, q), nil
}

// errStarting reports a part that doesn't run yet.
var errStarting = errors.New("node is starting")

// errNoBody reports a manifest body that this node doesn't hold.
var errNoBody = errors.New("manifest body is not in force here")

// Body returns the manifest in force.
func (h *handler) Body(_ context.Context, q *wirepb.BodyRequest) (*wirepb.BodyResponse, error) {
	body, ok := h.n.conf.held(ident.Digest(q.GetDigest()))
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errNoBody)
	}
	return &wirepb.BodyResponse{Body: body}, nil
}

// Status tells what this node knows of the system.
func (h *handler) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	force := h.n.conf.force()
	return &wirepb.StatusResponse{
		Node:    string(h.n.settings.Node),
		Start:   uint64(h.n.start),
		Head:    &wirepb.Head{Revision: uint64(force.Revision), Digest: string(force.Digest), Change: string(force.Change)},
		Members: h.n.roster.wire(),
		Moves:   h.n.moves.states(),
		Hint:    h.n.exit.Load(),
	}, nil
}

// admin returns the HTTP interface for operators' tools.
func (n *Node) admin() http.Handler {
	return admin.New(admin.Options{Registry: n.metrics, Log: n.log, Ready: n.notReady})
}

// notReady returns why callers should use another node, or nothing.
func (n *Node) notReady() string {
	switch {
	case n.leaving.Load():
		return "the node is stopping"
	case n.conf.force().Revision == 0:
		return "no manifest is in force"
	default:
		return ""
	}
}
