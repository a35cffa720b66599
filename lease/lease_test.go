package lease_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/fakes"
	"github.com/cicadahall/cicadahall/lease"
	"github.com/cicadahall/cicadahall/store"
)

const (
	leaseLength = 10 * time.Second
	dataKey     = "data"
)

// The second contender acquires the lease after its expiry; the first can then no
// longer write.
func ExampleLease() {
	s := fakes.NewStore()
	now := time.Unix(0, 0)
	open := func(n ident.Node) *lease.Lease {
		return lease.New(lease.Options{
			Name: "report", Node: n, Start: 1, Length: 10 * time.Second,
			Table: s.Table(), Now: func() time.Time { return now },
		})
	}
	a, b := open("a"), open("b")
	ctx := context.Background()
	fmt.Println(a.Acquire(ctx), errors.Is(b.Acquire(ctx), lease.ErrHeld))
	fmt.Println(a.Guard(ctx, store.Write{Key: "data", Value: []byte("from a")}))
	now = now.Add(11 * time.Second)
	fmt.Println(b.Acquire(ctx), errors.Is(a.Guard(ctx, store.Write{Key: "data", ExpectedVersion: 1}), lease.ErrLost))
	// Output:
	// <nil> true
	// <nil>
	// <nil> true
}

// workload is three contenders for a lease over a store whose commits may be
// paused before they are sent, lost, or applied late.
type workload struct {
	fake        *fakes.Store
	fault       fakes.Fault
	slow        bool
	lateCommits [][]store.Write
	pause       func()
	now         time.Time
	rand        *rand.Rand
	holders     []*lease.Lease
	writes      int
	// effects counts the commits that set the data row to a value; guardErrors has
	// the error that Guard returned for the value.
	effects     map[string]int
	guardErrors map[string]error
	writeEpochs []lease.Epoch
	// acquiredEpochs has the epochs of the successful calls of Acquire, in order.
	acquiredEpochs []lease.Epoch
	// staleWrite describes a write that took effect under an epoch other than its
	// writer's; it is empty if there is none.
	staleWrite string
}

func newWorkload(t *rapid.T) *workload {
	w := &workload{fake: fakes.NewStore(), now: time.Unix(0, 0), effects: map[string]int{}, guardErrors: map[string]error{}}
	w.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	w.fake.SetFault(func() fakes.Fault { return w.fault })
	tab := w.fake.Table()
	tab.Commit = w.commit
	for i := range 3 {
		// Clocks differ by less than the clock bound of 500 ms.
		skew := time.Duration(w.rand.IntN(500)) * time.Millisecond
		w.holders = append(w.holders, lease.New(lease.Options{
			Name: "l", Node: ident.Node(rune('a' + i)), Start: 1, Length: leaseLength, Table: tab,
			Now: func() time.Time { return w.now.Add(skew) },
		}))
	}
	return w
}

// commit runs the pending pause, if any, and then commits, or keeps the commit
// for later if the store is slow.
func (w *workload) commit(ctx context.Context, ws []store.Write) store.Result {
	if p := w.pause; p != nil {
		w.pause = nil
		p()
	}
	if w.slow {
		w.lateCommits = append(w.lateCommits, ws)
		return store.Result{Outcome: store.Unknown, Err: context.DeadlineExceeded}
	}
	versionBefore := w.version(ctx, dataKey)
	r := w.fake.Table().Commit(ctx, ws)
	if w.version(ctx, dataKey) != versionBefore {
		v := string(ws[len(ws)-1].Value)
		w.effects[v]++
		var row struct{ Epoch int }
		if err := json.Unmarshal(w.readRow(ctx, "lease/l").Value, &row); err != nil || !strings.HasPrefix(v, fmt.Sprint(row.Epoch, " ")) {
			w.staleWrite = fmt.Sprintf("write %q under epoch %d: %v", v, row.Epoch, err)
		}
	}
	return r
}

// version returns a row's version. Faults of the store don't affect the read.
func (w *workload) version(ctx context.Context, key string) uint64 {
	return w.readRow(ctx, key).Version
}

// readRow returns a row. Faults of the store don't affect the read.
func (w *workload) readRow(ctx context.Context, key string) store.Row {
	f := w.fault
	w.fault = fakes.NoFault
	r, _ := w.fake.Table().Get(ctx, key)
	w.fault = f
	return r
}

func (w *workload) acquire(l *lease.Lease) bool {
	if l.Acquire(context.Background()) != nil {
		return false
	}
	e, _ := l.Epoch()
	w.acquiredEpochs = append(w.acquiredEpochs, e)
	return true
}

// guard makes a guarded write of the writer's epoch to the data row, in one of
// five calls with a wrong expected version.
func (w *workload) guard(l *lease.Lease) {
	e, _ := l.Epoch()
	w.writes++
	v := fmt.Sprintf("%d %d", e, w.writes)
	stale := uint64(w.rand.IntN(5) / 4)
	err := l.Guard(context.Background(), store.Write{
		Key: dataKey, Value: []byte(v), ExpectedVersion: w.version(context.Background(), dataKey) + stale,
	})
	w.guardErrors[v] = err
}

// check verifies that the errors of Guard match the effects of the writes, that
// epochs increase, and that there is at most one holder.
func (w *workload) check(t *rapid.T) {
	for v, err := range w.guardErrors {
		n := w.effects[v]
		switch {
		case err == nil && n != 1:
			t.Fatalf("write %q reported as successful took effect %d times", v, n)
		case err != nil && !errors.Is(err, lease.ErrUnknown) && n != 0:
			t.Fatalf("write %q took effect although Guard returned %v", v, err)
		}
	}
	var e lease.Epoch
	if r := w.readRow(context.Background(), dataKey); r.Version > 0 {
		_, err := fmt.Sscan(string(r.Value), &e)
		assert.NilError(t, err)
		if n := len(w.writeEpochs); n > 0 && e < w.writeEpochs[n-1] {
			t.Fatalf("epoch %d wrote after epoch %d", e, w.writeEpochs[n-1])
		}
		w.writeEpochs = append(w.writeEpochs, e)
	}
	assert.Equal(t, w.staleWrite, "")
	for i := 1; i < len(w.acquiredEpochs); i++ {
		assert.Assert(t, w.acquiredEpochs[i] > w.acquiredEpochs[i-1], "epochs %v", w.acquiredEpochs)
	}
	held := 0
	for _, l := range w.holders {
		if _, ok := l.Epoch(); ok {
			held++
		}
	}
	assert.Assert(t, held <= 1, "%d holders at once", held)
}

// Guards against a write by a holder that was paused past its expiry, against two
// holders at once while clocks differ by less than the clock bound, and against
// wrong outcomes of guarded writes after lost answers and late commits.
func TestLeaseStateMachine(t *testing.T) {
	effectCount := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(t)
		ctx := context.Background()
		drawHolder := func(t *rapid.T) *lease.Lease { return w.holders[rapid.IntRange(0, 2).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) { w.acquire(drawHolder(t)) },
			"renew":   func(t *rapid.T) { _ = drawHolder(t).Renew(ctx) },
			"release": func(t *rapid.T) { _ = drawHolder(t).Release(ctx) },
			"guard":   func(t *rapid.T) { w.guard(drawHolder(t)) },
			"paused": func(t *rapid.T) {
				other := drawHolder(t)
				l := drawHolder(t)
				if l == other {
					t.Skip("one holder can't both pause and acquire")
				}
				w.pause = func() {
					w.now = w.now.Add(leaseLength + time.Duration(w.rand.IntN(2000))*time.Millisecond)
					if w.acquire(other) && w.rand.IntN(2) == 0 {
						w.guard(other)
					}
				}
				w.guard(l)
				w.pause = nil
			},
			"overtake": func(t *rapid.T) {
				l := drawHolder(t)
				w.slow = true
				w.guard(l)
				w.slow = false
				w.applyLate()
				w.guard(l)
			},
			"wait": func(t *rapid.T) { w.now = w.now.Add(time.Duration(w.rand.IntN(8000)) * time.Millisecond) },
			// Acquires near the expiry, about which clocks differ by less than
			// 500 ms.
			"edge": func(t *rapid.T) {
				w.acquire(drawHolder(t))
				w.now = w.now.Add(leaseLength - time.Duration(w.rand.IntN(500))*time.Millisecond)
				w.acquire(drawHolder(t))
			},
			"fault": func(t *rapid.T) { w.fault = fakes.Fault(w.rand.IntN(4)); w.slow = w.rand.IntN(3) == 0 },
			"heal":  func(t *rapid.T) { w.fault, w.slow = fakes.NoFault, false },
			"land":  func(t *rapid.T) { w.applyLate() },
			"":      w.check,
		})
		w.applyLate()
		w.check(t)
		for _, n := range w.effects {
			effectCount += n
		}
	})
	assert.Assert(t, effectCount > 0, "no guarded write took effect")
}

// applyLate applies the commits that were kept while the store was slow.
func (w *workload) applyLate() {
	lateCommits, slow, fault := w.lateCommits, w.slow, w.fault
	w.lateCommits, w.slow, w.fault = nil, false, fakes.NoFault
	for _, ws := range lateCommits {
		w.commit(context.Background(), ws)
	}
	w.slow, w.fault = slow, fault
}
