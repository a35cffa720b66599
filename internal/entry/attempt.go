package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// progressLimit is how long a new request may go without the exit's
	// interim answer. It is above the slowest round trip between regions plus
	// a scheduling delay; a premature Resolve costs one message, no work.
	progressLimit = 150 * time.Millisecond
	// checkInterval is how long a running request may go without an answer
	// before its connection is checked, too.
	checkInterval = time.Second
	// resolveWait is how long the exit may wait for a running request.
	resolveWait = 300 * time.Millisecond
	// resolveLimit bounds the rest of one Resolve: connection and round trip.
	resolveLimit = 400 * time.Millisecond
	// resolvePause separates failed attempts to resolve.
	resolvePause = 100 * time.Millisecond
	// abortLimit bounds the message that stops an abandoned request.
	abortLimit = time.Second
)

// Peers is how an entry node reaches exit nodes. All fields are required.
type Peers struct {
	// Call sends a request over a pooled connection. It calls progress when
	// the exit confirms the arrival of the request.
	Call func(ctx context.Context, address string, q *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error)
	// Resolve asks over a new connection what became of a request.
	Resolve func(ctx context.Context, address string, q *wirepb.ResolveRequest) (*wirepb.CallResponse, error)
	// Distrust reports a silent connection to a peer.
	Distrust func(address string)
}

// reply is the end of a Call or of a Resolve.
type reply struct {
	answer *wirepb.CallResponse
	err    error
}

// remote is one attempt at a request on another node.
type remote struct {
	peers   Peers
	address string
	q       *wirepb.CallRequest
	// silent is called when the exit doesn't confirm a request in time, and
	// resolved when the exit has told the outcome of a request without answer.
	silent   func()
	resolved func(a *wirepb.CallResponse, took time.Duration)
}

// run sends the request and returns its outcome. It returns Unknown only if
// the exit node can't be asked or doesn't know the outcome itself.
func (m *remote) run(ctx context.Context) *wirepb.CallResponse {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	called := make(chan reply, 1)
	progress := make(chan struct{}, 1)
	go func() {
		a, err := m.peers.Call(callCtx, m.address, m.q, func() { signal(progress) })
		called <- reply{answer: a, err: err}
	}()
	return m.await(ctx, called, progress)
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// await returns the first definite outcome of the call or of a resolve.
func (m *remote) await(ctx context.Context, called <-chan reply, progress <-chan struct{}) *wirepb.CallResponse {
	check := time.NewTimer(progressLimit)
	defer check.Stop()
	confirmed := false
	var resolved chan *wirepb.CallResponse
	for {
		select {
		case r := <-called:
			if done := m.judge(r); done != nil {
				return done
			}
			called = nil
			if resolved == nil {
				return m.resolve(ctx)
			}
		case r := <-resolved:
			return r
		case <-progress:
			confirmed = true
			check.Reset(checkInterval)
		case <-check.C:
			if !confirmed {
				m.silent()
				m.peers.Distrust(m.address)
			}
			resolved = make(chan *wirepb.CallResponse, 1)
			go func() { resolved <- m.resolve(ctx) }()
		case <-ctx.Done():
			m.abandon(ctx)
			return m.unknown(wirepb.Reason_REASON_LATE)
		}
	}
}

// judge returns the outcome that a finished call proves, or nil if the exit
// has to be asked.
func (m *remote) judge(r reply) *wirepb.CallResponse {
	switch {
	case r.err == nil && bytes.Equal(r.answer.GetId(), m.q.GetId()):
		return r.answer
	case neverSent(r.err):
		return &wirepb.CallResponse{
			Id:      m.q.GetId(),
			Outcome: wirepb.Outcome_OUTCOME_REFUSED,
			Reason:  wirepb.Reason_REASON_DOWN,
		}
	default:
		return nil
	}
}

// neverSent reports whether no connection was made, so that no byte was sent.
func neverSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// resolve asks until the outcome is definite. The exit answers that a request
// still runs after a bounded wait, so a missing answer means that the exit is
// out of reach. A request that may run twice isn't worth waiting for that.
func (m *remote) resolve(ctx context.Context) *wirepb.CallResponse {
	began := time.Now()
	for ctx.Err() == nil {
		a, err := m.ask(ctx)
		if err == nil && a.GetReason() == wirepb.Reason_REASON_RUNNING {
			continue
		}
		if err == nil && bytes.Equal(a.GetId(), m.q.GetId()) {
			m.resolved(a, time.Since(began))
			return a
		}
		if m.q.GetIdempotent() || neverSent(err) {
			return m.unknown(wirepb.Reason_REASON_LOST)
		}
		mono.Sleep(ctx, resolvePause)
	}
	return m.unknown(wirepb.Reason_REASON_LATE)
}

func (m *remote) ask(ctx context.Context) (*wirepb.CallResponse, error) {
	limited, cancel := context.WithTimeout(ctx, resolveWait+resolveLimit)
	defer cancel()
	return m.peers.Resolve(limited, m.address, &wirepb.ResolveRequest{
		Id:            m.q.GetId(),
		Start:         m.q.GetStart(),
		WaitNanos:     int64(resolveWait),
		DeadlineNanos: m.q.GetDeadlineNanos(),
	})
}

// abandon tells the exit that nobody waits for the request any more. The
// request's own context has ended, so the message gets a time limit of its own.
func (m *remote) abandon(ctx context.Context) {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortLimit)
	go func() {
		defer cancel()
		_, _ = m.peers.Resolve(limited, m.address, &wirepb.ResolveRequest{
			Id:    m.q.GetId(),
			Start: m.q.GetStart(),
			Abort: true,
		})
	}()
}

func (m *remote) unknown(r wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: m.q.GetId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: r}
}
