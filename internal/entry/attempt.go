package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// confirmTimeout is how long the entry waits for the exit's interim
	// response to a new request. It exceeds the slowest round trip between
	// regions plus a scheduling delay; a premature Resolve costs one message
	// and no execution.
	confirmTimeout = 150 * time.Millisecond
	// checkInterval is how long the entry waits for the response to a confirmed
	// request before it checks the connection.
	checkInterval = time.Second
	// resolveWait is how long a Resolve may block at the exit while the request
	// is running.
	resolveWait = 300 * time.Millisecond
	// resolveTimeout bounds the rest of one Resolve: connecting and the round
	// trip.
	resolveTimeout = 400 * time.Millisecond
	// resolveBackoff is the delay between failed Resolve calls.
	resolveBackoff = 100 * time.Millisecond
	// abortTimeout bounds the message that aborts an abandoned request.
	abortTimeout = time.Second
)

// Peers calls the exits of other nodes. All fields are required.
type Peers struct {
	// Call sends a request over a pooled connection. It calls progress when the
	// exit confirms that the request has arrived.
	Call func(ctx context.Context, address string, req *wirepb.CallRequest, progress func()) (*wirepb.CallResponse, error)
	// Resolve queries the outcome of a request over a new connection.
	Resolve func(ctx context.Context, address string, req *wirepb.ResolveRequest) (*wirepb.CallResponse, error)
	// CloseIdle reports that a connection to a peer did not respond.
	CloseIdle func(address string)
}

// callResult is the result of a Call.
type callResult struct {
	response *wirepb.CallResponse
	err      error
}

// remoteCall is one copy of a request sent to another node.
type remoteCall struct {
	peers   Peers
	address string
	request *wirepb.CallRequest
	// onUnconfirmed is called when the exit does not confirm the request in time.
	// onResolved is called when a Resolve returned the outcome of a request
	// that got no response.
	onUnconfirmed func()
	onResolved    func(resp *wirepb.CallResponse, elapsed time.Duration)
}

// run sends the request and returns its outcome. The outcome is Unknown only if
// the exit cannot be reached or does not know it either.
func (c *remoteCall) run(ctx context.Context) *wirepb.CallResponse {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 1)
	progress := make(chan struct{}, 1)
	go func() {
		resp, err := c.peers.Call(callCtx, c.address, c.request, func() { notify(progress) })
		results <- callResult{response: resp, err: err}
	}()
	return c.await(ctx, results, progress)
}

func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// await returns the first definite outcome of the Call or of a Resolve.
func (c *remoteCall) await(ctx context.Context, results <-chan callResult, progress <-chan struct{}) *wirepb.CallResponse {
	checkTimer := time.NewTimer(confirmTimeout)
	defer checkTimer.Stop()
	confirmed := false
	var resolved chan *wirepb.CallResponse
	for {
		select {
		case r := <-results:
			if outcome := c.definiteOutcome(r); outcome != nil {
				return outcome
			}
			results = nil
			if resolved == nil {
				return c.resolve(ctx)
			}
		case outcome := <-resolved:
			return outcome
		case <-progress:
			confirmed = true
			checkTimer.Reset(checkInterval)
		case <-checkTimer.C:
			if !confirmed {
				c.onUnconfirmed()
				c.peers.CloseIdle(c.address)
			}
			resolved = make(chan *wirepb.CallResponse, 1)
			go func() { resolved <- c.resolve(ctx) }()
		case <-ctx.Done():
			c.abandon(ctx)
			return c.unknown(wirepb.Reason_REASON_LATE)
		}
	}
}

// definiteOutcome returns the outcome that a finished Call proves, or nil if
// the exit must be queried.
func (c *remoteCall) definiteOutcome(r callResult) *wirepb.CallResponse {
	switch {
	case r.err == nil && bytes.Equal(r.response.GetId(), c.request.GetId()):
		return r.response
	case errors.Is(r.err, quota.ErrTooLarge):
		// The exit has answered, and this node can never store the response.
		return c.unknown(wirepb.Reason_REASON_MEMORY)
	case neverSent(r.err):
		return &wirepb.CallResponse{
			Id:      c.request.GetId(),
			Outcome: wirepb.Outcome_OUTCOME_REFUSED,
			Reason:  wirepb.Reason_REASON_DOWN,
		}
	default:
		return nil
	}
}

// neverSent reports whether the connection could not be established, so that no
// byte was sent.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// resolve queries the exit until the outcome is definite. The exit reports a
// running request after a bounded wait, so a missing response means that the
// exit is unreachable. For an idempotent request, resolve then returns at once,
// because the request can be sent elsewhere.
func (c *remoteCall) resolve(ctx context.Context) *wirepb.CallResponse {
	start := time.Now()
	for ctx.Err() == nil {
		resp, err := c.query(ctx)
		if err == nil && resp.GetReason() == wirepb.Reason_REASON_RUNNING {
			continue
		}
		if err == nil && bytes.Equal(resp.GetId(), c.request.GetId()) {
			c.onResolved(resp, time.Since(start))
			return resp
		}
		if c.request.GetIdempotent() || neverSent(err) {
			return c.unknown(wirepb.Reason_REASON_LOST)
		}
		mono.Sleep(ctx, resolveBackoff)
	}
	return c.unknown(wirepb.Reason_REASON_LATE)
}

func (c *remoteCall) query(ctx context.Context) (*wirepb.CallResponse, error) {
	queryCtx, cancel := context.WithTimeout(ctx, resolveWait+resolveTimeout)
	defer cancel()
	return c.peers.Resolve(queryCtx, c.address, &wirepb.ResolveRequest{
		Id:            c.request.GetId(),
		Start:         c.request.GetStart(),
		WaitNanos:     int64(resolveWait),
		DeadlineNanos: c.request.GetDeadlineNanos(),
	})
}

// abandon notifies the exit that no caller waits for the request any more. The
// request's own context has ended, so the message has a separate timeout.
func (c *remoteCall) abandon(ctx context.Context) {
	abortCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	go func() {
		defer cancel()
		_, _ = c.peers.Resolve(abortCtx, c.address, &wirepb.ResolveRequest{
			Id:    c.request.GetId(),
			Start: c.request.GetStart(),
			Abort: true,
		})
	}()
}

func (c *remoteCall) unknown(reason wirepb.Reason) *wirepb.CallResponse {
	return &wirepb.CallResponse{Id: c.request.GetId(), Outcome: wirepb.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
