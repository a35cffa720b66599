// Package super runs the components of a node as supervised children.
//
// Invariants: a child starts only after all children before it are ready, and is
// stopped only after all children after it have returned. A child that fails is
// restarted, unless it has failed too often; then BeforeStop is called and all
// children are stopped. Close returns only after every child has returned.
package super

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/event"
)

const (
	// defaultMaxRestarts and defaultRestartWindow tolerate a transient failure,
	// such as an address that is still in use, but stop a node whose child fails
	// permanently.
	defaultMaxRestarts   = 5
	defaultRestartWindow = time.Minute
	// defaultRestartDelay keeps a child that fails immediately after each start
	// from using a whole core.
	defaultRestartDelay = 100 * time.Millisecond
)

// ErrUnexpectedReturn reports a child that returned without an error before its
// context ended. It counts as a failure.
var ErrUnexpectedReturn = errors.New("child returned before its context was canceled")

// Child is one component of a node.
type Child struct {
	Name string
	// Run runs the component until ctx ends and then releases its resources. It
	// calls ready when the children after it may start; further calls have no
	// effect. A panic counts as an error.
	Run func(ctx context.Context, ready func()) error
}

// Options configure a Supervisor. Zero values of MaxRestarts, RestartWindow and
// RestartDelay mean 5 restarts within 1 minute, each 100 ms after the failure.
type Options struct {
	Children      []Child
	MaxRestarts   int
	RestartWindow time.Duration
	RestartDelay  time.Duration
	// BeforeStop is called after a child has failed too often and before the
	// others are stopped, so that they can finish their work; may be nil.
	BeforeStop func()
	// Now is the clock of the restart limit; nil means time.Now.
	Now func() time.Time
	// Emit records events. It must be safe for concurrent use; if it is nil,
	// events are dropped.
	Emit func(c event.Code, fields ...event.Field)
}

// Supervisor starts, restarts and stops children.
type Supervisor struct {
	options  Options
	children []*childState
	stop     chan struct{} // closed by Close and when a child has failed too often
	failed   chan struct{} // closed before stop if a child has failed too often
	ready    chan struct{} // closed when all children are ready
	done     chan struct{} // closed when all children have returned

	mu   sync.Mutex
	errs []error
	once sync.Once
}

// childState is the state of one child.
type childState struct {
	Child
	ctx    context.Context
	cancel context.CancelFunc
	ready  chan struct{}
	done   chan struct{}
	once   sync.Once
}

// New starts the children in order. It returns immediately; Ready reports when
// all of them are ready.
func New(o Options) *Supervisor {
	o.setDefaults()
	s := &Supervisor{
		options: o,
		stop:    make(chan struct{}),
		failed:  make(chan struct{}),
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.start()
		<-s.stop
		select {
		case <-s.failed:
			s.options.BeforeStop()
		default:
		}
		s.stopChildren()
	}()
	return s
}

func (o *Options) setDefaults() {
	if o.MaxRestarts <= 0 {
		o.MaxRestarts = defaultMaxRestarts
	}
	if o.RestartWindow <= 0 {
		o.RestartWindow = defaultRestartWindow
	}
	if o.RestartDelay <= 0 {
		o.RestartDelay = defaultRestartDelay
	}
	if o.BeforeStop == nil {
		o.BeforeStop = func() {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Emit == nil {
		o.Emit = func(event.Code, ...event.Field) {}
	}
}

// Ready is closed when all children are ready.
func (s *Supervisor) Ready() <-chan struct{} { return s.ready }

// Done is closed when all children have returned, after Close or after a child
// has failed too often.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Close stops the children in reverse order and waits for each. It returns the
// error of a child that failed too often, joined with the errors of children that
// did not stop cleanly. It may be called more than once.
func (s *Supervisor) Close() error {
	s.once.Do(func() { close(s.stop) })
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Join(s.errs...)
}

// start starts the children one after the other until a stop is requested.
func (s *Supervisor) start() {
	for _, c := range s.options.Children {
		select {
		case <-s.stop:
			return
		default:
		}
		t := &childState{Child: c, ready: make(chan struct{}), done: make(chan struct{})}
		t.ctx, t.cancel = context.WithCancel(context.Background())
		s.children = append(s.children, t)
		go func() {
			defer close(t.done)
			s.supervise(t)
		}()
		select {
		case <-t.ready:
		case <-s.stop:
			return
		}
	}
	close(s.ready)
}

func (s *Supervisor) stopChildren() {
	for i := len(s.children) - 1; i >= 0; i-- {
		s.children[i].cancel()
		<-s.children[i].done
	}
}

// supervise runs a child until its context ends or it has failed too often.
func (s *Supervisor) supervise(t *childState) {
	limit := RestartLimit{MaxRestarts: s.options.MaxRestarts, Window: s.options.RestartWindow}
	name := event.NewField(event.Child, t.Name)
	for {
		s.options.Emit(event.ChildStarted, name)
		err := t.runOnce()
		if t.ctx.Err() != nil {
			s.recordError(t, err)
			return
		}
		count, restart := limit.RecordFailure(s.options.Now())
		fields := []event.Field{name, event.NewField(event.Error, err), event.NewField(event.Count, count)}
		if !restart {
			s.options.Emit(event.ChildGaveUp, fields...)
			s.recordError(t, err)
			s.once.Do(func() {
				close(s.failed)
				close(s.stop)
			})
			return
		}
		s.options.Emit(event.ChildRestarted, fields...)
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(s.options.RestartDelay):
		}
	}
}

// recordError records an error that Close returns. A child whose context has
// ended may return the error of the context or none.
func (s *Supervisor) recordError(t *childState, err error) {
	stopped := t.ctx.Err() != nil
	if stopped && (errors.Is(err, context.Canceled) || errors.Is(err, ErrUnexpectedReturn)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, oops.Wrapf(err, "child %s", t.Name))
}

// runOnce calls Run once and converts a panic into an error.
func (t *childState) runOnce() (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = newPanicError(v)
		}
	}()
	err = t.Run(t.ctx, func() { t.once.Do(func() { close(t.ready) }) })
	if err == nil {
		return ErrUnexpectedReturn
	}
	return err
}

// PanicError is the error of a child that has panicked.
type PanicError struct {
	Value    any
	Location string // function and line of the panic
}

// Error returns a message with the value and the location of the panic.
func (e PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v", e.Location, e.Value)
}
