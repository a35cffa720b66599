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
	// headerLimit bounds the time in which a peer sends a request's headers.
	headerLimit = 5 * time.Second
	// idleServer is above idleLimit, so that the client closes first and no
	// request meets a connection that the server is just closing.
	idleServer = 2 * idleLimit
)

// NewServer returns the HTTP server of a node's peer port. It answers a Call
// that takes long with an interim 102 response, by which the entry node tells
// a slow request from a silent connection.
func NewServer(h wirepb.PeerHandler, o Options) *http.Server {
	path, handler := wirepb.NewPeerHandler(&local{PeerHandler: h},
		connect.WithReadMaxBytes(int(o.Body)+messageSlack),
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(compressFrom),
		connect.WithConditionalHandlerOptions(plain))
	m := http.NewServeMux()
	m.Handle(path, handler)
	m.HandleFunc(wirepb.PeerCallProcedure, confirm(handler))
	return &http.Server{
		Handler:           m,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleServer,
	}
}

// plain turns off the compression of answers on the path of requests, which
// cost a fifth of the processor time of a call with two hops.
func plain(s connect.Spec) []connect.HandlerOption {
	if s.Procedure != wirepb.PeerCallProcedure && s.Procedure != wirepb.PeerResolveProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompression(gzipName, nil, nil)}
}

// local puts the deadlines of messages on the clock of this process.
type local struct {
	wirepb.PeerHandler
}

// Call passes a request on.
func (l *local) Call(ctx context.Context, q *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	q.DeadlineNanos = mono.Now().Add(time.Duration(q.GetLeftNanos())).UnixNano()
	return l.PeerHandler.Call(ctx, q)
}

// Resolve passes a question on.
func (l *local) Resolve(ctx context.Context, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	q.DeadlineNanos = mono.Now().Add(time.Duration(q.GetLeftNanos())).UnixNano()
	return l.PeerHandler.Resolve(ctx, q)
}
