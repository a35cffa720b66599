// Package accept accepts the connections of an HTTP server under an account of
// package intake. It bounds the heads, the pace of bodies and the time in which a
// connection closes.
//
// Invariants: net/http gets a head only when it is complete and within its limit;
// a connection that is closed for another one is closed before that one is served;
// the state of a connection changes to running only while it is in the account.
package accept

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/internal/control/intake"
)

const (
	// connBytes is the charge of a connection: 11.4 KB were measured with 4,300
	// connections, for a goroutine's stack and the buffers of net/http.
	connBytes intake.Bytes = 16 << 10
	// lineBytes is the charge of a field of a complete head: net/http stores its
	// name, its value and their entry in a map.
	lineBytes intake.Bytes = 512
)

// Reason says why a connection was closed or refused.
type Reason string

// Reasons.
const (
	Full       Reason = "account full"
	HeadSize   Reason = "head size"
	EmptyLines Reason = "empty lines"
	Framing    Reason = "framing"
	HeadLate   Reason = "head late"
	BodyPace   Reason = "body pace"
)

// Limits are the limits on what one connection sends.
type Limits struct {
	// HeadBytes is the size limit of a head without its final empty line.
	HeadBytes int
	// HeadTimeout is the time for a head from its first byte, or from the start
	// of the connection.
	HeadTimeout time.Duration
	// IdleTimeout is the time that a connection may stay idle.
	IdleTimeout time.Duration
	// PaceBytes must arrive of an incomplete body in each PaceWindow, which first
	// begins HeadTimeout after the body.
	PaceBytes  int
	PaceWindow time.Duration
}

// DefaultPaceBytes and DefaultPaceWindow are the least pace of bodies. A caller on
// a link of 10 Mbit/s that is narrowed 30 times and shared by 100 connections sends
// 417 bytes/s, which is 4,170 bytes in that time and two packets of 1,460 bytes at
// least.
const (
	DefaultPaceBytes  = 320
	DefaultPaceWindow = 10 * time.Second
)

// Options configures a Gate. All functions are required.
type Options struct {
	Account intake.Options
	// Limits returns the limits in force.
	Limits func() Limits
	// ReceiveBuffer is the size of the receive buffer of a connection. It counts
	// while a head is incomplete, and later with the memory of the request.
	ReceiveBuffer intake.Bytes
	// Count counts accepted, refused and evicted connections.
	Count func(name string)
	// Report is called at most once per second and reason, with the number of
	// connections since the previous call.
	Report func(reason Reason, count int)
}

// Gate is the account of a listener's connections. It is safe for concurrent use.
type Gate struct {
	options Options

	mu      sync.Mutex
	account *intake.Account
	lastID  intake.ID
	conns   map[intake.ID]*net.TCPConn
	// active counts the connections between the start of a request and the end
	// of its response, as net/http reports them.
	active  int
	reports map[Reason]int
}

// New returns a gate without connections.
func New(o Options) *Gate {
	return &Gate{options: o, account: intake.New(o.Account), conns: map[intake.ID]*net.TCPConn{}, reports: map[Reason]int{}}
}

// Listen wraps a listener. Its connections must be served by a server whose
// ConnState function is g.RecordState and which sets no timeouts for reads.
func (g *Gate) Listen(l net.Listener) net.Listener { return listener{Listener: l, gate: g} }

// Busy returns the number of connections on which a request is being read, run or
// answered, or the last response may still be on its way. A response is written to
// its connection only after its handler has returned.
func (g *Gate) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active + g.account.Count(intake.Lingering)
}

// Conns returns the number of connections in a state.
func (g *Gate) Conns(s intake.State) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Count(s)
}

// Bytes returns the charged bytes.
func (g *Gate) Bytes() intake.Bytes {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Bytes()
}

// RecordState is the ConnState function of the server.
func (g *Gate) RecordState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(acceptedConn); ok {
		c.recordState(s)
	}
}

// acceptedConn is a conn or a plainConn.
type acceptedConn interface {
	setID(id intake.ID)
	recordState(s http.ConnState)
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection for which there is room.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		tcp, ok := nc.(*net.TCPConn)
		if err != nil || !ok {
			return nc, err
		}
		limits := l.gate.options.Limits()
		c := &conn{TCPConn: tcp, gate: l.gate}
		c.deadlines.own = time.Now().Add(limits.HeadTimeout)
		if l.gate.add(c, tcp, l.gate.headCharge(limits)) {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// add adds a connection and reports whether there is room for it.
func (g *Gate) add(c acceptedConn, tcp *net.TCPConn, bytes intake.Bytes) bool {
	g.mu.Lock()
	g.lastID++
	c.setID(g.lastID)
	closed, added := g.account.Add(g.lastID, bytes, time.Now())
	if added {
		g.conns[g.lastID] = tcp
	}
	evicted := g.take(closed)
	g.mu.Unlock()
	g.closeAll(evicted)
	if !added {
		g.note("refused", Full)
		return false
	}
	g.options.Count("accepted")
	return true
}

// headCharge is the most that a connection costs until a head is complete. The
// receive buffer isn't resized between heads and bodies: with 16 KiB for heads, 4 of
// 60 bodies of 64 MiB on a kept connection stood still for 9 s, since the system
// drops what arrives beyond a buffer that has shrunk.
func (g *Gate) headCharge(l Limits) intake.Bytes {
	return connBytes + g.options.ReceiveBuffer + intake.Bytes(l.HeadBytes)
}

// take removes connections that the account has removed. The caller must hold mu
// and close them.
func (g *Gate) take(closed []intake.ID) []*net.TCPConn {
	var evicted []*net.TCPConn
	for _, id := range closed {
		evicted = append(evicted, g.conns[id])
		delete(g.conns, id)
	}
	return evicted
}

// closeAll closes connections at once. What the system still sends of a response
// is delivered unless the caller has sent more meanwhile.
func (g *Gate) closeAll(evicted []*net.TCPConn) {
	for _, c := range evicted {
		_ = c.Close()
		g.note("evicted", Full)
	}
}

// charge sets the charge of a connection and reports whether there is room for it.
func (g *Gate) charge(id intake.ID, bytes intake.Bytes) bool {
	g.mu.Lock()
	closed, charged := g.account.Charge(id, bytes, time.Now())
	evicted := g.take(closed)
	g.mu.Unlock()
	g.closeAll(evicted)
	return charged
}

// move records n bytes and, if change is set, a new state. It reports whether
// the connection is still in the account.
func (g *Gate) move(id intake.ID, n int, change bool, s intake.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.account.Move(id, n, now)
	if change {
		g.account.SetState(id, s, now)
	}
	return g.account.Has(id)
}

func (g *Gate) setBody(id intake.ID, length intake.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.SetBody(id, length, time.Now())
}

// CloseStalled closes connections with incomplete bodies that have received nothing
// for the time of a head, the slowest first, until their bodies occupy the given
// bytes. It reports whether there were any.
func (g *Gate) CloseStalled(bytes intake.Bytes) bool {
	stalled := g.options.Limits().HeadTimeout
	g.mu.Lock()
	evicted := g.take(g.account.TakeStalled(bytes, stalled, time.Now()))
	g.mu.Unlock()
	g.closeAll(evicted)
	return len(evicted) > 0
}

// startWriting records that a response is being written, unless a request is still
// incomplete.
func (g *Gate) startWriting(id intake.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.account.State(id) == intake.Running {
		g.account.SetState(id, intake.Writing, time.Now())
	}
}

func (g *Gate) remove(id intake.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Remove(id)
	delete(g.conns, id)
}

// reportInterval is the shortest time between two reports of a reason.
const reportInterval = time.Second

// note counts a connection and reports its reason, at once or together with others
// at the end of reportInterval.
func (g *Gate) note(name string, r Reason) {
	g.options.Count(name)
	g.mu.Lock()
	_, waiting := g.reports[r]
	if waiting {
		g.reports[r]++
	} else {
		g.reports[r] = 0
	}
	g.mu.Unlock()
	if !waiting {
		g.options.Report(r, 1)
		time.AfterFunc(reportInterval, func() { g.flush(r) })
	}
}

func (g *Gate) flush(r Reason) {
	g.mu.Lock()
	count := g.reports[r]
	if count == 0 {
		delete(g.reports, r)
	} else {
		g.reports[r] = 0
	}
	g.mu.Unlock()
	if count > 0 {
		g.options.Report(r, count)
		time.AfterFunc(reportInterval, func() { g.flush(r) })
	}
}
