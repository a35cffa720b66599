package duty_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/control/duty"
	"github.com/cicadahall/cicadahall/store"
)

// sharedRows is a table for several runners. Each call takes 4 ms.
type sharedRows struct {
	mu   sync.Mutex
	rows rows
	// lostAnswers is the number of the next commits whose answers are lost.
	lostAnswers int
	calls       int
}

func newSharedRows() *sharedRows {
	return &sharedRows{rows: rows{now: time.Now, byKey: map[string]store.Row{}}}
}

func (s *sharedRows) table() store.Table {
	return store.Table{
		Get: func(_ context.Context, k string) (store.Row, store.Result) {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			return s.rows.get(k)
		},
		Commit: func(_ context.Context, writes []store.Write) store.Result {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			r := s.rows.commit(writes)
			if s.lostAnswers > 0 {
				s.lostAnswers--
				return store.Result{Outcome: store.Unknown, Err: errTest}
			}
			return r
		},
	}
}

func newRunner(s *sharedRows, n ident.Node, rank int, run func(context.Context, *duty.Runner)) *duty.Runner {
	return duty.NewRunner(duty.Duty{Name: "test", Run: run}, duty.RunnerOptions{
		Node: n, Start: 1, Length: length, Table: s.table(), Now: time.Now, Rand: rand.Float64,
		Rank:       func() int { return rank },
		OnAcquired: func(duty.Token) {}, OnLost: func(duty.Token) {}, OnError: func(error) {},
	})
}

// Guards against a hand-over that lets the next holder act before the duty of the
// previous one has returned.
func TestReleaseWaitsForTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedRows()
		var mu sync.Mutex
		var active, most int
		run := func(ctx context.Context, _ *duty.Runner) {
			mu.Lock()
			active++
			most = max(most, active)
			mu.Unlock()
			<-ctx.Done()
			time.Sleep(300 * time.Millisecond) // a call that ends late
			mu.Lock()
			active--
			mu.Unlock()
		}
		a, b := newRunner(s, "a", 0, run), newRunner(s, "b", 1, run)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		wg.Go(func() { b.Run(ctx) })
		time.Sleep(2 * length)
		first, _, ok := a.Valid()
		assert.Assert(t, ok)
		assert.Assert(t, a.Release(t.Context()))
		b.RecordRelease()
		time.Sleep(length / 2)
		second, _, ok := b.Valid()
		assert.Assert(t, ok && second == first+1)
		cancel()
		wg.Wait()
		assert.Equal(t, most, 1)
	})
}

// Guards against a guarded write that takes effect without the lease, or whose lost
// answer is taken for a failure, and against calls of the store beyond one renewal
// in half a lease.
func TestCommitUnderLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedRows()
		idle := func(ctx context.Context, _ *duty.Runner) { <-ctx.Done() }
		a := newRunner(s, "a", 0, idle)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { a.Run(ctx) })
		write := store.Write{Key: "data", Value: []byte("x")}
		_, err := a.Commit(ctx, write)
		assert.Assert(t, errors.Is(err, duty.ErrNotHeld), "%v", err)
		time.Sleep(length)
		version, err := a.Commit(ctx, write)
		assert.NilError(t, err)
		_, err = a.Commit(ctx, write)
		assert.Assert(t, errors.Is(err, duty.ErrConflict), "%v", err)
		s.mu.Lock()
		s.lostAnswers = 1
		s.mu.Unlock()
		_, err = a.Commit(ctx, store.Write{Key: "data", Value: []byte("y"), ExpectedVersion: version})
		assert.NilError(t, err)
		s.mu.Lock()
		assert.Equal(t, string(s.rows.byKey["data"].Value), "y")
		before := s.calls
		s.mu.Unlock()
		time.Sleep(20 * length)
		s.mu.Lock()
		calls := s.calls - before
		s.mu.Unlock()
		assert.Assert(t, calls <= 40, "%d calls in 20 leases", calls)
		cancel()
		wg.Wait()
		assert.Assert(t, a.Release(t.Context()))
		_, err = a.Commit(t.Context(), write)
		assert.Assert(t, errors.Is(err, duty.ErrNotHeld), "%v", err)
	})
}
