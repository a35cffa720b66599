package super_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/super"
)

// Guards against goroutines that are left after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errBroken = errors.New("broken")

// journal records events and state changes of children in order.
type journal struct {
	mu    sync.Mutex
	lines []string
	t     testing.TB
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, fmt.Sprintf(format, args...))
}

func (j *journal) emit(c event.Code, fields ...event.Field) {
	r := event.Record{Code: c, Fields: fields}
	assert.Check(j.t, r.Check())
	j.add("%v %s %s", c, r.Value(event.Child), r.Value(event.Count))
}

func (j *journal) count(line string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, l := range j.lines {
		if l == line {
			n++
		}
	}
	return n
}

// steady returns a child that becomes ready after a delay and returns the same
// delay after its context has ended.
func (j *journal) steady(name string, delay time.Duration) super.Child {
	return super.Child{Name: name, Run: func(ctx context.Context, ready func()) error {
		time.Sleep(delay)
		j.add("%s ready", name)
		ready()
		<-ctx.Done()
		time.Sleep(delay)
		j.add("%s closed", name)
		return ctx.Err()
	}}
}

// failing returns a child that becomes ready immediately and ends in each run with
// fail() after the given time.
func failing(name string, after time.Duration, fail func() error) super.Child {
	return super.Child{Name: name, Run: func(ctx context.Context, ready func()) error {
		ready()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(after):
			return fail()
		}
	}}
}

func ExampleNew() {
	listener := super.Child{Name: "listener", Run: func(ctx context.Context, ready func()) error {
		fmt.Println("listening")
		ready()
		<-ctx.Done()
		fmt.Println("closed")
		return nil
	}}
	s := super.New(super.Options{Children: []super.Child{listener}})
	<-s.Ready()
	fmt.Println(s.Close())
	// Output:
	// listening
	// closed
	// <nil>
}

// Guards against a child that starts before those it depends on are ready, or that
// is still running when they stop.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal{t: t}
		s := super.New(super.Options{Children: []super.Child{
			j.steady("a", time.Second), j.steady("b", 0), j.steady("c", time.Millisecond),
		}})
		<-s.Ready()
		assert.NilError(t, s.Close())
		assert.NilError(t, s.Close())
		assert.DeepEqual(t, j.lines, []string{"a ready", "b ready", "c ready", "c closed", "b closed", "a closed"})
	})
}

// Guards against a failed child that isn't restarted, or whose failure restarts
// other children: for an error, a return without error, and a panic.
func TestRestart(t *testing.T) {
	for name, fail := range map[string]func() error{
		"error": func() error { return errBroken },
		"end":   func() error { return nil },
		"panic": func() error { panic("broken") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &journal{t: t}
				s := super.New(super.Options{MaxRestarts: 2, RestartWindow: time.Minute, Emit: j.emit, Children: []super.Child{
					j.steady("a", 0), failing("b", time.Hour, fail),
				}})
				time.Sleep(3*time.Hour + time.Minute)
				assert.NilError(t, s.Close())
				assert.Equal(t, j.count("child-started b "), 4)
				assert.Equal(t, j.count("child-restarted b 1"), 3)
				assert.Equal(t, j.count("child-started a "), 1)
			})
		})
	}
}

// Guards against a node that continues to run without a permanently failing child,
// and against a Close that doesn't return the cause.
func TestGivesUp(t *testing.T) {
	for _, c := range []struct{ fail, want error }{
		{errBroken, errBroken},
		{nil, super.ErrUnexpectedReturn},
		{context.Canceled, context.Canceled}, // from a context of the child itself
	} {
		synctest.Test(t, func(t *testing.T) {
			j := &journal{t: t}
			s := super.New(super.Options{MaxRestarts: 2, RestartWindow: time.Minute, Emit: j.emit, Children: []super.Child{
				j.steady("a", 0), failing("b", time.Second, func() error { return c.fail }),
			}})
			<-s.Done()
			assert.ErrorIs(t, s.Close(), c.want)
			assert.ErrorContains(t, s.Close(), "child b")
			assert.Equal(t, j.count("child-gave-up b 3"), 1)
			assert.Equal(t, j.count("child-started b "), 3)
			assert.Equal(t, j.count("a closed"), 1)
		})
	}
}

// Guards against children that are stopped with their work in progress because
// another one has failed too often.
func TestBeforeStopPrecedesStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal{t: t}
		s := super.New(super.Options{
			MaxRestarts: 1, RestartWindow: time.Minute, Emit: j.emit,
			Children: []super.Child{j.steady("a", 0), failing("b", time.Second, func() error { return errBroken })},
			BeforeStop: func() {
				time.Sleep(time.Second)
				j.add("drained")
			},
		})
		<-s.Done()
		assert.ErrorIs(t, s.Close(), errBroken)
		assert.Assert(t, slices.Index(j.lines, "drained") >= 0)
		assert.Assert(t, slices.Index(j.lines, "drained") < slices.Index(j.lines, "a closed"), "%q", j.lines)
	})
}

// Guards against a drain that Close starts a second time, although its caller has
// drained.
func TestCloseSkipsBeforeStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal{t: t}
		s := super.New(super.Options{
			Children:   []super.Child{j.steady("a", 0)},
			BeforeStop: func() { j.add("drained") },
		})
		<-s.Ready()
		assert.NilError(t, s.Close())
		assert.Equal(t, slices.Index(j.lines, "drained"), -1)
	})
}

// Guards against a Close that blocks while a child never becomes ready, and
// against children after it that start nevertheless.
func TestCloseWhileStarting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := &journal{t: t}
		stuck := super.Child{Name: "b", Run: func(ctx context.Context, _ func()) error {
			<-ctx.Done()
			return ctx.Err()
		}}
		s := super.New(super.Options{Children: []super.Child{j.steady("a", 0), stuck, j.steady("c", 0)}})
		time.Sleep(time.Hour)
		select {
		case <-s.Ready():
			t.Error("ready although b is not")
		default:
		}
		assert.NilError(t, s.Close())
		assert.DeepEqual(t, j.lines, []string{"a ready", "a closed"})
	})
}

// Guards against a failure during shutdown that Close doesn't return.
func TestCloseReportsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := super.New(super.Options{Children: []super.Child{{Name: "a", Run: func(ctx context.Context, ready func()) error {
			ready()
			<-ctx.Done()
			return errors.New((*journal)(nil).lines[0]) // nil pointer dereference, so that the runtime panics
		}}}})
		<-s.Ready()
		err := s.Close()
		var p super.PanicError
		assert.Assert(t, errors.As(err, &p), "%v", err)
		assert.Assert(t, strings.Contains(p.Location, "TestCloseReportsFailures"), p.Location)
	})
}

// Guards against a Close that waits for the delay before a restart.
func TestCloseDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := super.New(super.Options{RestartDelay: time.Hour, Children: []super.Child{
			failing("a", time.Second, func() error { return errBroken }),
		}})
		time.Sleep(time.Minute)
		begin := time.Now()
		assert.NilError(t, s.Close())
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

// Guards against failures that count longer or shorter than the window.
func TestWindow(t *testing.T) {
	begin := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	limit := super.RestartLimit{MaxRestarts: 2, Window: time.Minute}
	for _, c := range []struct {
		second  int
		count   int
		restart bool
	}{
		{0, 1, true},
		{30, 2, true},
		{59, 3, false},
		{60, 3, false},
		{120, 1, true},
	} {
		count, restart := limit.RecordFailure(begin.Add(time.Duration(c.second) * time.Second))
		assert.Equal(t, count, c.count, "second %d", c.second)
		assert.Equal(t, restart, c.restart, "second %d", c.second)
	}
}
