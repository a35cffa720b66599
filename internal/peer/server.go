package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// headerTimeout bounds the time in which a peer must send a request's
	// headers.
	headerTimeout = 5 * time.Second
	// serverIdleTimeout exceeds idleTimeout, so that the client closes a
	// connection first and no request is sent on a connection that the server
	// is closing.
	serverIdleTimeout = 2 * idleTimeout
)

// NewServer returns the HTTP server for a node's peer port. It confirms a
// long-running Call with an interim 102 response, by which the entry node
// distinguishes a slow request from an unresponsive connection.
func NewServer(h wirepb.PeerHandler, o Options) *http.Server {
	path, handler := wirepb.NewPeerHandler(&deadlineHandler{PeerHandler: h},
		connect.WithReadMaxBytes(int(o.MaxBodyBytes)+messageOverhead),
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithConditionalHandlerOptions(disableCompression))
	serveMux := http.NewServeMux()
	serveMux.Handle(path, handler)
	serveMux.HandleFunc(wirepb.PeerCallProcedure, withInterimResponse(handler))
	return &http.Server{
		Handler:           serveMux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
}

// disableCompression disables the compression of responses to Call and Resolve,
// which took a fifth of the CPU time of a call with two hops.
func disableCompression(s connect.Spec) []connect.HandlerOption {
	if s.Procedure != wirepb.PeerCallProcedure && s.Procedure != wirepb.PeerResolveProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompression(gzipName, nil, nil)}
}

// deadlineHandler converts the remaining time in a message to a deadline on the
// clock of this process.
type deadlineHandler struct {
	wirepb.PeerHandler
}

// Call sets the deadline of a request and handles it.
func (d *deadlineHandler) Call(ctx context.Context, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	req.DeadlineNanos = mono.Now().Add(time.Duration(req.GetLeftNanos())).UnixNano()
	return d.PeerHandler.Call(ctx, req)
}

// Resolve sets the deadline of a query and handles it.
func (d *deadlineHandler) Resolve(ctx context.Context, req *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	req.DeadlineNanos = mono.Now().Add(time.Duration(req.GetLeftNanos())).UnixNano()
	return d.PeerHandler.Resolve(ctx, req)
}
