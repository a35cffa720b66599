package fleet

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/conns"
	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/platform"
)

const (
	// probeInterval is the time between two health checks. The slowness of an
	// instance lasts for about half a second and its report costs a request's
	// fraction; 30 ms and 100 ms served equally many in a trial.
	probeInterval = 75 * time.Millisecond
	// probeLimit bounds one health check, which the upstream answers at once.
	probeLimit = 300 * time.Millisecond
	// lostProbes in a row without a connection mean that the upstream is down.
	lostProbes = 2
	// goneKept bounds the identities of upstreams that have left.
	goneKept = 64
)

// identity is one start of an upstream.
type identity struct {
	instance string
	born     int64
}

// start is the identity as the exit's number.
func (i identity) start() ident.Start {
	h := fnv.New64a()
	_, _ = h.Write([]byte(i.instance + "/" + strconv.FormatInt(i.born, 10))) // never fails
	return ident.Start(h.Sum64() | 1)
}

// upstream follows the upstream beside the node: what it announces, what its
// health checks tell, and the requests that the exit sends to it.
type upstream struct {
	n    *Node
	pool *conns.Pool
	// probes has connections of its own, so that no late answer to a request
	// is taken for that of a health check.
	probes *conns.Pool

	mu       sync.Mutex
	present  identity
	sequence int64
	heardAt  time.Time
	// beats counts the heartbeats that were accepted since the start.
	beats int
	// pending is a heartbeat that wasn't trusted.
	pending *platform.Beat
	gone    []identity
	misses  int
}

func newUpstream(n *Node) *upstream {
	dialed := func() { n.counter("upstream.connections").Inc(1) }
	return &upstream{
		n:      n,
		pool:   conns.New(conns.Options{Body: maxBody, Dialed: dialed}),
		probes: conns.New(conns.Options{Body: maxProbe, Dialed: dialed}),
	}
}

// maxProbe bounds the body of a health check's answer in bytes.
const maxProbe = 64 << 10

var (
	errOtherAddress = errors.New("heartbeat of an upstream at another address than the one beside this node")
	errGone         = errors.New("heartbeat of an upstream that has left")
	errFirst        = errors.New("first heartbeat since the start isn't confirmed by the health check")
	errOld          = errors.New("heartbeat is older than one before it")
)

// heard takes a heartbeat. It returns an error for a beat that changes nothing.
func (u *upstream) heard(b platform.Beat) error {
	err := u.judge(b)
	if errors.Is(err, errOld) {
		// A late beat of the present upstream is acknowledged; it says nothing new.
		return nil
	}
	if err != nil {
		u.n.log.Emit(event.BeatRejected, event.F(event.Instance, b.Instance), event.F(event.Address, b.Address), event.F(event.Error, err))
		return err
	}
	if !b.Draining && !u.trusted(b) {
		u.n.log.Emit(event.BeatRejected, event.F(event.Instance, b.Instance), event.F(event.Address, b.Address), event.F(event.Error, errFirst))
		u.mu.Lock()
		u.pending = &b
		u.mu.Unlock()
		return nil
	}
	u.accept(b)
	return nil
}

// accept passes a heartbeat on to the exit.
func (u *upstream) accept(b platform.Beat) {
	u.mu.Lock()
	u.pending = nil
	u.mu.Unlock()
	id := identity{b.Instance, b.Born}
	u.n.exit.Announce(exit.Upstream{
		Service:  b.Service,
		Version:  b.Version,
		Slots:    b.Slots,
		Instance: b.Instance,
		Address:  b.Address,
		Start:    id.start(),
	})
	u.n.orders.pace()
	if b.Cold > 0 {
		u.n.exit.Report(b.Instance, admit.Report{Warmth: true, Cold: b.Cold})
	}
	if b.Draining && !u.n.exit.Upstream().Draining {
		u.n.exit.DrainUpstream()
	}
}

// confirm looks at a heartbeat that wasn't trusted again: what was missing may
// have been the configuration, which names the health check.
func (u *upstream) confirm() {
	u.mu.Lock()
	b := u.pending
	u.mu.Unlock()
	if b == nil || !u.trusted(*b) {
		return
	}
	u.mu.Lock()
	present := u.pending == b
	u.mu.Unlock()
	if present {
		u.accept(*b)
	}
}

// trusted reports whether a beat shows that the upstream takes requests. The
// first one after a start of this process may be a late one of an upstream
// whose leaving the process before has acknowledged: it counts only if the
// upstream's health check confirms it, or else with the next beat.
func (u *upstream) trusted(b platform.Beat) bool {
	u.mu.Lock()
	known := u.beats > 1
	u.mu.Unlock()
	t := u.n.orders.table()
	if known || t == nil {
		return known
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	h, err := platform.Probe(ctx, u.probes, b.Address, t.Services[b.Service].Health)
	return err == nil && h.Well && (h.Instance == "" || h.Instance == b.Instance)
}

// judge orders beats: those of the present start by their sequence, other
// starts by their birth. A beat of an upstream that has left never counts.
func (u *upstream) judge(b platform.Beat) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b.Address != u.n.settings.Upstream {
		return errOtherAddress
	}
	id := identity{b.Instance, b.Born}
	now := time.Now()
	for _, g := range u.gone {
		if g == id || g.instance == id.instance && id.born <= g.born {
			return errGone
		}
	}
	if id == u.present {
		if b.Sequence <= u.sequence {
			return errOld
		}
	} else if u.present.instance != "" && b.Born < u.present.born && now.Sub(u.heardAt) < staleBeats*u.n.settings.Heartbeat {
		return errGone
	}
	if id != u.present {
		u.pool.Forget()
		u.probes.Forget()
	}
	u.present, u.sequence, u.heardAt = id, b.Sequence, now
	u.beats++
	return nil
}

// staleBeats is the number of heartbeats after which an upstream that looks
// younger by the time of day is believed to have been replaced by one that
// looks older: the time of day steps.
const staleBeats = 3

// leave remembers a start of an upstream that has left; it is called with the
// lock held.
func (u *upstream) leave(id identity) {
	u.gone = append(u.gone, id)
	if len(u.gone) > goneKept {
		u.gone = u.gone[1:]
	}
}

// left takes the message that an upstream leaves for good. Without its time of
// birth, all starts of the instance up to now have left.
func (u *upstream) left(instance string, born int64) error {
	u.mu.Lock()
	present := u.present.instance == instance && (born == 0 || born == u.present.born)
	if born == 0 {
		born = time.Now().UnixMilli()
	}
	u.leave(identity{instance, born})
	u.pending = nil
	u.mu.Unlock()
	if present && !u.n.exit.Upstream().Draining {
		u.n.exit.DrainUpstream()
	}
	return nil
}

// send is the exit's Send.
func (u *upstream) send(ctx context.Context, x exit.Upstream, q *wirepb.CallRequest) *wirepb.CallResponse {
	h := http.Header{}
	call.Restore(h, q.GetHeaders())
	host := h.Get("Host")
	h.Del("Host")
	r := platform.Send(ctx, u.pool, x.Address, platform.Outgoing{
		Method:     q.GetMethod(),
		Path:       q.GetPath(),
		Host:       host,
		Header:     h,
		Body:       q.GetBody(),
		Left:       mono.Until(time.Unix(0, q.GetDeadlineNanos())),
		Instance:   x.Instance,
		Caller:     q.GetCaller(),
		Repeatable: q.GetIdempotent(),
	})
	if r.Load.Known {
		u.n.exit.Report(x.Instance, admit.Report{Slow: r.Load.Slow})
	}
	a := u.answer(ctx, x, q, r)
	u.n.log.Emit(event.RequestRun,
		event.F(event.Request, call.RequestID(q.GetId())),
		event.F(event.Route, q.GetRoute()),
		event.F(event.Instance, x.Instance),
		event.F(event.Outcome, call.OutcomeOf(a.GetOutcome())),
		event.F(event.Reason, call.ReasonOf(a.GetReason())),
		event.F(event.Status, r.Status),
		event.F(event.Error, r.Err))
	return a
}

// answer turns the end of an exchange into the answer to the entry.
func (u *upstream) answer(ctx context.Context, x exit.Upstream, q *wirepb.CallRequest, r platform.Reply) *wirepb.CallResponse {
	a := &wirepb.CallResponse{Id: q.GetId(), Outcome: wirepb.Outcome_OUTCOME_REFUSED}
	switch r.Ending {
	case platform.Answered:
		platform.StripInner(r.Header)
		a.Outcome = wirepb.Outcome_OUTCOME_RAN
		a.Status = int32(r.Status)
		a.Headers = call.Strip(r.Header)
		a.Body = r.Body
	case platform.Shed:
		a.Reason = wirepb.Reason_REASON_SHED
	case platform.Misdirected, platform.Unreached:
		a.Reason = wirepb.Reason_REASON_DOWN
		if ctx.Err() == nil {
			u.lost(x, "request")
		}
	default:
		a.Outcome = wirepb.Outcome_OUTCOME_UNKNOWN
		a.Reason = exit.BrokenBy(ctx)
	}
	return a
}

// lost withdraws an upstream that takes no connections or isn't there any
// more. A heartbeat or a health check brings it back.
func (u *upstream) lost(x exit.Upstream, found string) {
	if now := u.n.exit.Upstream(); !now.Ready || now.Start != x.Start {
		return
	}
	u.n.log.Emit(event.UpstreamLost, event.F(event.Instance, x.Instance), event.F(event.Address, x.Address), event.F(event.Reason, found))
	u.n.exit.WithdrawUpstream()
}

// Run asks the upstream for its health until ctx ends.
func (u *upstream) Run(ctx context.Context, ready func()) error {
	ready()
	interval := probeInterval
	if p := u.n.settings.Probes; p > 0 {
		interval = max(interval, time.Duration(probeMargin*float64(time.Second)/p))
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	defer u.pool.Close()
	defer u.probes.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			u.confirm()
			u.probe(ctx)
		}
	}
}

// probeMargin keeps the rate of health checks below its bound.
const probeMargin = 1.5

func (u *upstream) probe(ctx context.Context) {
	t := u.n.orders.table()
	x := u.n.exit.Upstream()
	if t == nil || x.Instance == "" || x.Draining || u.n.settings.Probes <= 0 {
		return
	}
	s, ok := t.Services[x.Service]
	if !ok || s.Health == "" {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	h, err := platform.Probe(limited, u.probes, x.Address, s.Health)
	u.n.counter("upstream.probes").Inc(1)
	if err != nil {
		u.missed(x, err)
		return
	}
	u.misses = 0
	if h.Instance != "" && h.Instance != x.Instance {
		return
	}
	if !x.Ready {
		u.found(x)
	}
	u.n.exit.Report(x.Instance, admit.Report{
		Slow:    h.Load.Slow,
		Counted: h.Load.Known,
		Busy:    h.Load.Running + h.Load.Waiting,
		Warmth:  true,
		Cold:    h.Load.Cold,
	})
}

// missed counts health checks without a connection. Other failures show a
// full or slow upstream, of which requests tell more.
func (u *upstream) missed(x exit.Upstream, err error) {
	if f := (*conns.Failure)(nil); !errors.As(err, &f) || f.Sent {
		return
	}
	u.misses++
	if u.misses == lostProbes {
		u.lost(x, "health check")
	}
}

// found brings back an upstream that was withdrawn and answers again.
func (u *upstream) found(x exit.Upstream) {
	u.mu.Lock()
	present := identity{x.Instance, u.present.born}.start() == x.Start
	u.mu.Unlock()
	if !present || x.Draining {
		return
	}
	u.n.log.Emit(event.UpstreamFound, event.F(event.Instance, x.Instance), event.F(event.Address, x.Address))
	u.n.exit.Announce(x)
}
