package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/store"
)

var (
	// ErrNotHeld means that this node doesn't hold the lease.
	ErrNotHeld = errors.New("duty is not held by this node")
	// ErrConflict means that the lease is held, but the version of another row
	// differed from the expected one.
	ErrConflict = errors.New("row version differs from the expected version")
	// ErrUnknown means that it isn't known whether a commit took effect.
	ErrUnknown = errors.New("outcome of the commit is unknown")
)

const (
	// callDivisor sets the timeout of a call as a part of the lease, so that a
	// call that is lost leaves time for another one before the lease ends.
	callDivisor = 4
	// staggerDivisor sets the time that a candidate waits for each one ranked
	// before it, as a part of the lease.
	staggerDivisor = 10
	// firstCallDivisor delays the first call after a start, in which time the
	// members become known. Without it each node would rank itself first.
	firstCallDivisor = 2
)

// Duty is a task of one node at a time.
type Duty struct {
	// Name is part of the lease row's key.
	Name string
	// Run performs the task while the lease is held. It must return soon after
	// its context ends, and it may act only while Runner.Valid returns true.
	Run func(context.Context, *Runner)
}

// RunnerOptions configures a Runner. All fields are required.
type RunnerOptions struct {
	Node   ident.Node
	Start  ident.Start
	Length time.Duration
	Table  store.Table
	// Now is a clock that never steps.
	Now  func() time.Time
	Rand func() float64
	// Rank returns the number of candidates ranked before this node, or
	// NoCandidate.
	Rank func() int
	// OnAcquired and OnLost are called when Duty.Run is started and after it has
	// returned.
	OnAcquired func(Token)
	OnLost     func(Token)
	// OnError receives failures of the store.
	OnError func(error)
}

// Runner contends for the lease of one duty and runs the duty while it is held.
// It is safe for concurrent use.
type Runner struct {
	options RunnerOptions
	duty    Duty
	wake    chan struct{}

	// calls serializes the calls of the store: it holds a value during a call. It
	// is acquired before mu.
	calls chan struct{}
	mu    sync.Mutex
	lease *Lease
	// current is the running function of the duty, or nil.
	current *task
}

// RowPrefix precedes the name of a duty in the keys of its rows.
const RowPrefix = "duty/"

// NewRunner returns a Runner.
func NewRunner(d Duty, o RunnerOptions) *Runner {
	return &Runner{options: o, duty: d, wake: make(chan struct{}, 1), calls: make(chan struct{}, 1), lease: New(Options{
		Node: o.Node, Start: o.Start, Key: RowPrefix + d.Name, Length: o.Length,
		Stagger:   o.Length / staggerDivisor,
		FirstCall: o.Now().Add(o.Length / firstCallDivisor),
		Rand:      o.Rand,
	})}
}

// Valid returns the token and the time until which this node may act, if it holds
// the lease.
func (r *Runner) Valid() (Token, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Valid(r.options.Now())
}

// HeldFor returns how long ago this node acquired the lease.
func (r *Runner) HeldFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Now().Sub(r.lease.HeldSince())
}

// RecordHolder records a message of the holder that its lease is valid for
// remaining.
func (r *Runner) RecordHolder(remaining time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease.RecordHolder(remaining, r.options.Now())
}

// RecordRelease records a message of the holder that it has released the lease.
func (r *Runner) RecordRelease() {
	r.mu.Lock()
	r.lease.RecordRelease(r.options.Now())
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// task is one run of the duty's function.
type task struct {
	token  Token
	cancel context.CancelFunc
	done   chan struct{}
}

// Run contends for the lease until ctx ends. The lease is then left to expire
// unless Release is called.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next := r.step(ctx)
		r.updateTask(ctx)
		if _, until, ok := r.Valid(); ok {
			next = earlier(next, until)
		}
		timer := time.NewTimer(max(next.Sub(r.options.Now()), time.Millisecond))
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	r.endTask()
}

// step performs the next call, if one is due, and returns when to look again.
func (r *Runner) step(ctx context.Context) time.Time {
	rank := r.options.Rank()
	r.calls <- struct{}{}
	defer func() { <-r.calls }()
	r.mu.Lock()
	now := r.options.Now()
	action := r.lease.Next(rank, now)
	r.mu.Unlock()
	switch action.Kind {
	case Read:
		r.read(ctx)
	case Commit:
		if _, err := r.commit(ctx, nil); err != nil && !errors.Is(err, ErrNotHeld) {
			r.options.OnError(err)
		}
	case Wait:
		// The rank may change before.
		return earlier(action.At, now.Add(r.options.Length/staggerDivisor))
	}
	return now
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updateTask ends the duty's function if its token is no longer valid, and starts
// it if the lease is held.
func (r *Runner) updateTask(ctx context.Context) {
	r.mu.Lock()
	token, _, valid := r.lease.Valid(r.options.Now())
	ends := r.current != nil && (!valid || r.current.token != token)
	r.mu.Unlock()
	if ends {
		r.endTask()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The lease may have been released meanwhile.
	token, _, valid = r.lease.Valid(r.options.Now())
	if r.current != nil || !valid {
		return
	}
	taskCtx, cancel := context.WithCancel(ctx)
	t := &task{token: token, cancel: cancel, done: make(chan struct{})}
	r.current = t
	go func() {
		defer close(t.done)
		r.options.OnAcquired(t.token)
		r.duty.Run(taskCtx, r)
		r.options.OnLost(t.token)
	}()
}

// endTask ends the duty's function, if it runs, and waits until it has returned.
func (r *Runner) endTask() {
	r.mu.Lock()
	t := r.current
	r.current = nil
	r.mu.Unlock()
	if t != nil {
		t.cancel()
		<-t.done
	}
}

// Commit writes rows under the lease, which it renews: either all writes take
// effect while this node holds the lease, or none. It returns the version of the
// rows, or 0 if the answer with the version was lost.
func (r *Runner) Commit(ctx context.Context, writes ...store.Write) (uint64, error) {
	r.calls <- struct{}{}
	defer func() { <-r.calls }()
	if _, _, ok := r.Valid(); !ok {
		return 0, ErrNotHeld
	}
	return r.commit(ctx, writes)
}

// commit acquires or renews the lease together with other writes. The caller must
// hold calls.
func (r *Runner) commit(ctx context.Context, writes []store.Write) (uint64, error) {
	r.mu.Lock()
	w, ok := r.lease.Prepare(r.options.Now())
	r.mu.Unlock()
	if !ok {
		r.read(ctx)
		return 0, ErrNotHeld
	}
	return r.send(ctx, w, writes)
}

// send commits a prepared write of the lease row and determines the outcome.
func (r *Runner) send(ctx context.Context, w store.Write, writes []store.Write) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, r.options.Length/callDivisor)
	defer cancel()
	res := r.options.Table.Commit(callCtx, append([]store.Write{w}, writes...))
	r.mu.Lock()
	r.lease.HandleCommit(res, r.options.Now())
	attempt := r.lease.attempt
	r.mu.Unlock()
	switch {
	case res.OK():
		return res.Version, nil
	case !res.Conflict && res.Outcome != store.Unknown:
		return 0, fmt.Errorf("commit of duty %s: %w", r.duty.Name, res.Err)
	}
	read := r.read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case read && r.lease.row.isCommit(attempt):
		return 0, nil
	case read && res.Conflict && r.lease.isOwn(r.lease.row):
		return 0, ErrConflict
	case res.Conflict:
		return 0, ErrNotHeld
	default:
		return 0, ErrUnknown
	}
}

// read reads the lease row and reports whether that succeeded. The caller must
// hold calls.
func (r *Runner) read(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, r.options.Length/callDivisor)
	defer cancel()
	sentAt := r.options.Now()
	row, res := r.options.Table.Get(callCtx, r.lease.options.Key)
	r.mu.Lock()
	err := r.lease.HandleRow(row, res, sentAt, r.options.Now())
	r.mu.Unlock()
	if err != nil {
		r.options.OnError(err)
	}
	return err == nil
}

// Release ends the lease for a planned stop. The duty isn't taken again by this
// process. It reports whether this node held the lease.
func (r *Runner) Release(ctx context.Context) bool {
	r.mu.Lock()
	_, _, held := r.lease.Valid(r.options.Now())
	r.lease.Stop()
	r.mu.Unlock()
	// A call with this token must not follow one of the next holder.
	r.endTask()
	r.calls <- struct{}{}
	defer func() { <-r.calls }()
	prepare := func() (store.Write, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.lease.PrepareRelease(r.options.Now())
	}
	w, ok := prepare()
	if !ok && held {
		// The version of the row isn't known after a lost answer.
		r.read(ctx)
		w, ok = prepare()
	}
	if !ok {
		return held
	}
	if _, err := r.send(ctx, w, nil); err != nil {
		r.options.OnError(err)
	}
	return held
}
