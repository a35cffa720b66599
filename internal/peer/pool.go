// Package peer carries calls between nodes over connect-go. Each peer has its
// own transport, so that a failure of one connection can be applied to the idle
// connections of the same peer. No two concurrent calls share a connection.
package peer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// dialTimeout bounds the time to connect to a peer. Three times the slowest
	// round trip between regions allows for one lost SYN.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout closes idle connections before a middlebox on the path drops
	// their state, after which they would no longer respond. A connection takes
	// about 30 KB at both ends, a new one costs a round trip.
	idleTimeout = 3 * time.Second
	// maxIdleConns is the maximum number of idle connections to one peer.
	maxIdleConns = 8
	// bufferSize is the size in bytes of each of a connection's two buffers;
	// most messages fit.
	bufferSize = 2 << 10
	// minCompressBytes is the size in bytes from which control messages are
	// compressed. Below it, gzip saves less than its own framing.
	minCompressBytes = 512
	// messageOverhead is added to the body limit for the rest of a message, in
	// bytes.
	messageOverhead = 256 << 10
	// maxInterimResponses is the maximum number of interim responses to a
	// request; an exit sends one.
	maxInterimResponses = 4
)

var errTooManyInterim = errors.New("peer sent too many interim responses")

// Options configures a Pool and a server.
type Options struct {
	// MaxBodyBytes is the maximum size of a request or response body in bytes.
	MaxBodyBytes int64
	// MaxControlBytes is the maximum size in bytes of a pool's responses to control
	// messages; 0 means what a server accepts.
	MaxControlBytes int
	// Quota bounds the memory of the requests that a server handles at one time;
	// nil means no bound. A pool charges responses to the lease of their context.
	Quota *quota.Quota
}

// Pool holds the connections to all peers. It is safe for concurrent use.
type Pool struct {
	opts  Options
	mu    sync.Mutex
	peers map[string]*peerConn
}

// peerConn holds the connections to one peer.
type peerConn struct {
	transport *reply.Transport
	// control compresses the messages that it sends: work counts make up half
	// of a node's control traffic. plain sends requests uncompressed for low
	// latency.
	control wirepb.PeerClient
	plain   wirepb.PeerClient
	// connectUntil is the time until which requests are sent to plain, since the
	// peer, of an earlier release, doesn't know frames. In nanoseconds.
	connectUntil atomic.Int64
}

// frameRetryInterval is the time after which frames are tried again with a peer
// that didn't know them.
const frameRetryInterval = 10 * time.Second

func (pc *peerConn) usesFrames() bool {
	return mono.Now().UnixNano() >= pc.connectUntil.Load()
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{opts: o, peers: map[string]*peerConn{}}
}

// controlClient returns a client for control messages.
func (p *Pool) controlClient(t *reply.Transport, address string) wirepb.PeerClient {
	return wirepb.NewPeerClient(&http.Client{Transport: t}, "http://"+address,
		connect.WithReadMaxBytes(cmp.Or(p.opts.MaxControlBytes, maxControlBytes)),
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
		connect.WithSendCompression(gzipName),
		connect.WithCompressMinBytes(minCompressBytes))
}

// plainClient returns a client for requests to a peer that doesn't know frames.
func (p *Pool) plainClient(t *reply.Transport, address string) wirepb.PeerClient {
	return wirepb.NewPeerClient(&http.Client{Transport: chargedTransport{t}}, "http://"+address,
		connect.WithReadMaxBytes(int(p.opts.MaxBodyBytes)+messageOverhead))
}

// chargedTransport charges responses to the lease of the request's context.
type chargedTransport struct {
	*reply.Transport
}

// RoundTrip sends a request and returns the response to it.
func (t chargedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &chargedBody{ReadCloser: resp.Body, lease: quota.FromContext(r.Context()), kind: quota.Response}
	return resp, nil
}

func newTransport() *reply.Transport {
	return reply.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return conns.Dial(ctx, network, address, dialTimeout)
}

// remainingNanos returns the time until a deadline on the clock of this
// process. Deadlines are not sent over the network, because the clocks of
// instances differ and step.
func remainingNanos(deadline int64) int64 {
	return int64(mono.Until(time.Unix(0, deadline)))
}

// ControlClient returns the client for control messages to a peer over its
// pooled connections.
func (p *Pool) ControlClient(address string) wirepb.PeerClient {
	return p.peer(address).control
}

func (p *Pool) peer(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc, ok := p.peers[address]
	if !ok {
		transport := newTransport()
		pc = &peerConn{
			transport: transport,
			control:   p.controlClient(transport, address),
			plain:     p.plainClient(transport, address),
		}
		p.peers[address] = pc
	}
	return pc
}

// Call sends one request to the exit node at address. It calls progress when
// the exit confirms the arrival of the request's headers, which proves that the
// connection is responsive.
func (p *Pool) Call(ctx context.Context, address string, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
	interim := 0
	trace := &httptrace.ClientTrace{
		// With this function, the transport doesn't bound the interim responses.
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses {
				return errTooManyInterim
			}
			if code == http.StatusProcessing {
				progress()
			}
			return nil
		},
	}
	req.LeftNanos = remainingNanos(req.GetDeadlineNanos())
	pc := p.peer(address)
	resp, err := p.call(httptrace.WithClientTrace(ctx, trace), pc, address, req)
	if errors.Is(err, errBusy) {
		return &wirepb.CallResponse{Id: req.GetId(), Outcome: wirepb.Outcome_OUTCOME_REFUSED, Reason: wirepb.Reason_REASON_MEMORY}, nil
	}
	if err != nil {
		return nil, oops.With("step", "call", "peer", address).Wrap(err)
	}
	return replaceMalformed(resp), nil
}

func (p *Pool) call(ctx context.Context, pc *peerConn, address string, req *wirepb.CallRequest) (*wirepb.CallResponse, error) {
	if pc.usesFrames() {
		resp, err := p.exchange(ctx, pc.transport, "http://"+address+callPath, req, req.GetBody())
		if !errors.Is(err, errNoFrames) {
			return resp, err
		}
		pc.connectUntil.Store(mono.Now().Add(frameRetryInterval).UnixNano())
	}
	return pc.plain.Call(ctx, req)
}

// Resolve queries the outcome of a request over a new connection.
func (p *Pool) Resolve(ctx context.Context, address string, req *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	t := newTransport()
	t.DisableKeepAlives = true
	req.LeftNanos = remainingNanos(req.GetDeadlineNanos())
	resp, err := p.exchange(ctx, t, "http://"+address+resolvePath, req, nil)
	if errors.Is(err, errNoFrames) {
		resp, err = p.plainClient(t, address).Resolve(ctx, req)
	}
	if err != nil {
		return nil, oops.With("step", "resolve", "peer", address).Wrap(err)
	}
	return replaceMalformed(resp), nil
}

// replaceMalformed returns the response of an exit, with an unknown outcome in
// place of an upstream's response that is malformed. An exit of an earlier
// release doesn't check these.
func replaceMalformed(resp *wirepb.CallResponse) *wirepb.CallResponse {
	if resp.GetOutcome() != wirepb.Outcome_OUTCOME_RAN || isWellFormed(resp) {
		return resp
	}
	return &wirepb.CallResponse{Id: resp.GetId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: wirepb.Reason_REASON_BROKEN}
}

func isWellFormed(resp *wirepb.CallResponse) bool {
	isMalformed := func(h *wirepb.Header) bool { return reply.CheckFieldName(h.GetName()) != nil }
	return reply.CheckStatus(int(resp.GetStatus())) == nil && !slices.ContainsFunc(resp.GetHeaders(), isMalformed)
}

// CloseIdle closes the idle connections to a peer after one of its connections
// stopped responding: the cause often affects the other connections as well.
func (p *Pool) CloseIdle(address string) {
	p.peer(address).transport.CloseIdleConnections()
}

// Retain closes the idle connections to all peers that are not in used and
// removes these peers from the pool.
func (p *Pool) Retain(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pc := range p.peers {
		if !used[address] {
			pc.transport.CloseIdleConnections()
			delete(p.peers, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Retain(nil)
}
