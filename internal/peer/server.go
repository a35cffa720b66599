package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cicadahall/cicadahall/internal/control/quota"
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
	// maxHeaderBytes bounds the headers of a peer's request, which are a few
	// hundred bytes. The headers of a caller's request are in the message.
	maxHeaderBytes = 64 << 10
)

// NewServer returns the HTTP server for a node's peer port. It confirms a
// long-running Call with an interim 102 response, by which the entry node
// distinguishes a slow request from an unresponsive connection.
func NewServer(h wirepb.PeerHandler, o Options) *http.Server {
	withDeadlines := &deadlineHandler{PeerHandler: h}
	path, connectHandler := wirepb.NewPeerHandler(withDeadlines,
		connect.WithReadMaxBytes(maxControlBytes),
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithConditionalHandlerOptions(disableCompression),
		connect.WithConditionalHandlerOptions(func(s connect.Spec) []connect.HandlerOption {
			if s.Procedure != wirepb.PeerCallProcedure {
				return nil
			}
			return []connect.HandlerOption{connect.WithReadMaxBytes(int(o.MaxBodyBytes) + messageOverhead)}
		}))
	handler := chargeMessages(o.Quota, connectHandler)
	frames := &frameServer{options: o, handler: withDeadlines}
	serveMux := http.NewServeMux()
	serveMux.Handle(path, handler)
	serveMux.HandleFunc(wirepb.PeerCallProcedure, withInterimResponse(handler))
	serveMux.HandleFunc(callPath, withInterimResponse(http.HandlerFunc(frames.serveCall)))
	serveMux.HandleFunc(resolvePath, frames.serveResolve)
	return &http.Server{
		Handler:           serveMux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// maxControlBytes bounds a message that carries no request, in bytes.
const maxControlBytes = 8 << 20

// messageCopies is the number of times that connect-go stores a message while it
// reads and decodes it.
const messageCopies = 4

// chargeMessages charges the messages that handler reads.
func chargeMessages(q *quota.Quota, handler http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lease, err := q.NewLease()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer lease.Release()
		charged := r.WithContext(quota.NewContext(r.Context(), lease))
		charged.Body = &chargedBody{ReadCloser: r.Body, lease: lease, kind: quota.Body}
		handler.ServeHTTP(w, charged)
	}
}

// chargedBody charges the copies of what is read before it returns it.
type chargedBody struct {
	io.ReadCloser
	lease *quota.Lease
	kind  quota.Kind
}

// Read reads and charges the next bytes.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if growErr := b.lease.Grow(b.kind, messageCopies*quota.Bytes(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
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
