// Package peer carries calls between nodes over connect-go. Every peer has a
// transport of its own, so that what is learned about one connection to a
// peer can be applied to the idle ones, and no two calls share a connection.
package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// dialLimit bounds the time to open a connection to a peer. Three times
	// the slowest round trip between regions leaves room for one lost SYN.
	dialLimit = 1500 * time.Millisecond
	// idleLimit closes idle connections before a device on the path forgets
	// them, after which they would be silent. A connection takes about 30 KB at
	// both ends, a new one a round trip.
	idleLimit = 3 * time.Second
	// maxIdle bounds the idle connections to one peer.
	maxIdle = 8
	// bufferSize is the size in bytes of each of a connection's two buffers,
	// which most messages fit.
	bufferSize = 2 << 10
	// compressFrom is the size in bytes from which control messages are
	// compressed. Below it gzip saves less than its own frame.
	compressFrom = 512
	// messageSlack is added to the body limit for the rest of a message.
	messageSlack = 256 << 10
)

// Options configure a Pool.
type Options struct {
	// Body bounds the body of one request or answer in bytes.
	Body int64
}

// Pool holds the connections to all peers. It is safe for concurrent use.
type Pool struct {
	o     Options
	mu    sync.Mutex
	links map[string]*link
}

// link is the connections to one peer.
type link struct {
	transport *http.Transport
	// control compresses what it sends: half of the bytes that a node needs for
	// control are work counts. Requests are sent plain, for their latency.
	control wirepb.PeerClient
	plain   wirepb.PeerClient
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	return &Pool{o: o, links: map[string]*link{}}
}

// client returns a client over a transport.
func (p *Pool) client(t *http.Transport, address string, more ...connect.ClientOption) wirepb.PeerClient {
	more = append(more, connect.WithReadMaxBytes(int(p.o.Body)+messageSlack))
	return wirepb.NewPeerClient(&http.Client{Transport: t}, "http://"+address, more...)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdle,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return conns.Dial(ctx, network, address, dialLimit)
}

// left is the time until a deadline on the clock of this process. Deadlines
// don't cross the network, because the clocks of instances differ and step.
func left(deadline int64) int64 {
	return int64(mono.Until(time.Unix(0, deadline)))
}

// Client returns the client for control messages over the pooled connections
// to a peer.
func (p *Pool) Client(address string) wirepb.PeerClient {
	return p.link(address).control
}

func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		t := newTransport()
		l = &link{
			transport: t,
			control: p.client(t, address,
				connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
				connect.WithSendCompression(gzipName),
				connect.WithCompressMinBytes(compressFrom)),
			plain: p.client(t, address),
		}
		p.links[address] = l
	}
	return l
}

// Call sends one request to the exit node at address. It calls progress when
// the exit confirms that the request's headers have arrived, which proves that
// the connection isn't silent.
func (p *Pool) Call(ctx context.Context, address string, q *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error) {
	t := &httptrace.ClientTrace{
		Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
			if code == http.StatusProcessing {
				progress()
			}
			return nil
		},
	}
	q.LeftNanos = left(q.GetDeadlineNanos())
	r, err := p.link(address).plain.Call(httptrace.WithClientTrace(ctx, t), q)
	if err != nil {
		return nil, oops.With("step", "call", "peer", address).Wrap(err)
	}
	return r, nil
}

// Resolve asks over a new connection what became of a request.
func (p *Pool) Resolve(ctx context.Context, address string, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error) {
	t := newTransport()
	t.DisableKeepAlives = true
	q.LeftNanos = left(q.GetDeadlineNanos())
	r, err := p.client(t, address).Resolve(ctx, q)
	if err != nil {
		return nil, oops.With("step", "resolve", "peer", address).Wrap(err)
	}
	return r, nil
}

// Distrust closes the idle connections to a peer after one of them was
// silent: what made one silent has often made the others silent, too.
func (p *Pool) Distrust(address string) {
	p.link(address).transport.CloseIdleConnections()
}

// Forget drops the connections to peers that aren't in use any more.
func (p *Pool) Forget(used map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.links {
		if !used[a] {
			l.transport.CloseIdleConnections()
			delete(p.links, a)
		}
	}
}

// Close drops all idle connections.
func (p *Pool) Close() {
	p.Forget(nil)
}
