package node

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	"github.com/cicadahall/cicadahall/ident"
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
		Members: h.n.roster.records(),
	}, nil
}

// admin returns the HTTP interface for operators' tools.
func (n *Node) admin() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if n.conf.force().Revision == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}
