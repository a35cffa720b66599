package super_test

import (
	"context"
	"errors"
	"fmt"
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

// Guards against goroutines that remain after Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errBroken = errors.New("broken")

// journal records what happens, in order.
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

func (j *journal) has(line string) int {
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

// steady is a child that is ready after a delay and stops after another one.
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

// failing is a child that becomes ready and fails after a time each run.
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

// Guards against a child that starts before those it depends on are ready, or
// that outlives them.
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

// Guards against a failed child that stays down or takes its neighbours with
// it, for each way to fail.
func TestRestart(t *testing.T) {
	for name, fail := range map[string]func() error{
		"error": func() error { return errBroken },
		"end":   func() error { return nil },
		"panic": func() error { panic("broken") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &journal{t: t}
				s := super.New(super.Options{Limit: 2, Window: time.Minute, Emit: j.emit, Children: []super.Child{
					j.steady("a", 0), failing("b", time.Hour, fail),
				}})
				time.Sleep(3*time.Hour + time.Minute)
				assert.NilError(t, s.Close())
				assert.Equal(t, j.has("child-started b "), 4)
				assert.Equal(t, j.has("child-restarted b 1"), 3)
				assert.Equal(t, j.has("child-started a "), 1)
			})
		})
	}
}

// Guards against a node that goes on without a part that can't work, and
// against a lost cause.
func TestGivesUp(t *testing.T) {
	for _, c := range []struct{ fail, want error }{
		{errBroken, errBroken},
		{nil, super.ErrEnded},
		{context.Canceled, context.Canceled}, // of a context of its own
	} {
		synctest.Test(t, func(t *testing.T) {
			j := &journal{t: t}
			s := super.New(super.Options{Limit: 2, Window: time.Minute, Emit: j.emit, Children: []super.Child{
				j.steady("a", 0), failing("b", time.Second, func() error { return c.fail }),
			}})
			<-s.Done()
			assert.ErrorIs(t, s.Close(), c.want)
			assert.ErrorContains(t, s.Close(), "child b")
			assert.Equal(t, j.has("child-gave-up b 3"), 1)
			assert.Equal(t, j.has("child-started b "), 3)
			assert.Equal(t, j.has("a closed"), 1)
		})
	}
}

// Guards against a supervisor that hangs while a child never becomes ready, and
// against later children that start nevertheless.
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

// Guards against a failure during the shutdown that nobody learns of.
func TestCloseReportsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := super.New(super.Options{Children: []super.Child{{Name: "a", Run: func(ctx context.Context, ready func()) error {
			ready()
			<-ctx.Done()
			return errors.New((*journal)(nil).lines[0]) // a nil pointer, raised by the runtime
		}}}})
		<-s.Ready()
		err := s.Close()
		var p super.PanicError
		assert.Assert(t, errors.As(err, &p), "%v", err)
		assert.Assert(t, strings.Contains(p.Place, "TestCloseReportsFailures"), p.Place)
	})
}

// Guards against a Close that waits for the pause between two runs.
func TestCloseDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := super.New(super.Options{Pause: time.Hour, Children: []super.Child{
			failing("a", time.Second, func() error { return errBroken }),
		}})
		time.Sleep(time.Minute)
		begin := time.Now()
		assert.NilError(t, s.Close())
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

// Guards against failures that count forever or not long enough.
func TestWindow(t *testing.T) {
	begin := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	w := super.Window{Limit: 2, Length: time.Minute}
	for _, c := range []struct {
		second int
		count  int
		again  bool
	}{
		{0, 1, true},
		{30, 2, true},
		{59, 3, false},
		{60, 3, false},
		{120, 1, true},
	} {
		count, again := w.Fail(begin.Add(time.Duration(c.second) * time.Second))
		assert.Equal(t, count, c.count, "second %d", c.second)
		assert.Equal(t, again, c.again, "second %d", c.second)
	}
}
