// Package super runs the parts of a node as supervised children.
//
// Invariants: a child starts only after all children before it are ready, and
// is told to stop only after all children after it have stopped. A child that
// fails starts again, unless it has failed too often; then all children close.
// Close returns only after every child has returned.
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
	// defaultLimit and defaultWindow allow for a fault that passes, such as an
	// address that is still in use, but end a node that can't work.
	defaultLimit  = 5
	defaultWindow = time.Minute
	// defaultPause keeps a child that fails at once from using a core.
	defaultPause = 100 * time.Millisecond
)

// ErrEnded reports a child that returned without an error although it wasn't
// told to stop. It counts as a failure.
var ErrEnded = errors.New("child ended without being told to stop")

// Child is one part of a node.
type Child struct {
	Name string
	// Run works until ctx ends and then releases everything it holds. It calls
	// ready once the children after it may start; further calls do nothing.
	// A panic counts as an error.
	Run func(ctx context.Context, ready func()) error
}

// Options configure a Supervisor. Zero values of Limit, Window and Pause mean
// 5 restarts within 1 minute, 100 ms apart.
type Options struct {
	Children []Child
	Limit    int
	Window   time.Duration
	Pause    time.Duration
	// Now is the clock of the restart limit; nil means time.Now.
	Now func() time.Time
	// Emit records events. It must be safe for concurrent use; nil drops them.
	Emit func(c event.Code, fields ...event.Field)
}

// Supervisor starts, restarts and closes children.
type Supervisor struct {
	o     Options
	slots []*slot
	stop  chan struct{} // closed by Close and by a child that gives up
	ready chan struct{} // closed when all children are ready
	done  chan struct{} // closed when all children have returned

	mu   sync.Mutex
	errs []error
	once sync.Once
}

// slot is the state of one child.
type slot struct {
	Child
	ctx    context.Context
	cancel context.CancelFunc
	ready  chan struct{}
	done   chan struct{}
	once   sync.Once
}

// New starts the children in order. It returns at once; Ready tells when all
// of them are ready.
func New(o Options) *Supervisor {
	o.setDefaults()
	s := &Supervisor{
		o:     o,
		stop:  make(chan struct{}),
		ready: make(chan struct{}),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		s.start()
		<-s.stop
		s.closeSlots()
	}()
	return s
}

func (o *Options) setDefaults() {
	if o.Limit <= 0 {
		o.Limit = defaultLimit
	}
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.Pause <= 0 {
		o.Pause = defaultPause
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
// error of the child that gave up, and errors of children that did not stop
// cleanly. It may be called more than once.
func (s *Supervisor) Close() error {
	s.halt()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Join(s.errs...)
}

func (s *Supervisor) halt() {
	s.once.Do(func() { close(s.stop) })
}

// start starts the children one after the other until one gives up.
func (s *Supervisor) start() {
	for _, c := range s.o.Children {
		select {
		case <-s.stop:
			return
		default:
		}
		t := &slot{Child: c, ready: make(chan struct{}), done: make(chan struct{})}
		t.ctx, t.cancel = context.WithCancel(context.Background())
		s.slots = append(s.slots, t)
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

func (s *Supervisor) closeSlots() {
	for i := len(s.slots) - 1; i >= 0; i-- {
		s.slots[i].cancel()
		<-s.slots[i].done
	}
}

// supervise runs a child until it is told to stop or has failed too often.
func (s *Supervisor) supervise(t *slot) {
	w := Window{Limit: s.o.Limit, Length: s.o.Window}
	name := event.F(event.Child, t.Name)
	for {
		s.o.Emit(event.ChildStarted, name)
		err := t.run()
		if t.ctx.Err() != nil {
			s.keep(t, err)
			return
		}
		count, again := w.Fail(s.o.Now())
		fields := []event.Field{name, event.F(event.Error, err), event.F(event.Count, count)}
		if !again {
			s.o.Emit(event.ChildGaveUp, fields...)
			s.keep(t, err)
			s.halt()
			return
		}
		s.o.Emit(event.ChildRestarted, fields...)
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(s.o.Pause):
		}
	}
}

// keep stores an error for Close. A child that was told to stop may end with
// the error of its context or without one.
func (s *Supervisor) keep(t *slot, err error) {
	told := t.ctx.Err() != nil
	if told && (errors.Is(err, context.Canceled) || errors.Is(err, ErrEnded)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, oops.Wrapf(err, "child %s", t.Name))
}

// run calls the child once and turns a panic into an error.
func (t *slot) run() (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = newPanicError(v)
		}
	}()
	err = t.Run(t.ctx, func() { t.once.Do(func() { close(t.ready) }) })
	if err == nil {
		return ErrEnded
	}
	return err
}

// PanicError is the failure of a child that has panicked.
type PanicError struct {
	Value any
	Place string // function and line of the panic
}

// Error states the value and the place of the panic.
func (e PanicError) Error() string {
	return fmt.Sprintf("panic in %s: %v", e.Place, e.Value)
}
