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
	fmt.Println(b.Acquire(ctx), errors.Is(a.Guard(ctx, store.Write{Key: "data", Expect: 1}), lease.ErrLost))
	// Output:
	// <nil> true
	// <nil>
	// <nil> true
}

// world is racing holders over a store whose commits may be paused before
// they are sent, lost, or land late.
type world struct {
	fake    *fakes.Store
	fault   fakes.Fault
	slow    bool
	late    [][]store.Write
	pause   func()
	now     time.Time
	rand    *rand.Rand
	holders []*lease.Lease
	writes  int
	// effects counts the commits that set the data row to a value; outcome
	// holds what Guard returned for it.
	effects map[string]int
	outcome map[string]error
	epochs  []lease.Epoch
	// taken holds the epochs of successful calls of Acquire, in order.
	taken []lease.Epoch
	// stale describes a write that took effect under another epoch.
	stale string
}

func newWorld(t *rapid.T) *world {
	w := &world{fake: fakes.NewStore(), now: time.Unix(0, 0), effects: map[string]int{}, outcome: map[string]error{}}
	w.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	w.fake.SetFault(func() fakes.Fault { return w.fault })
	tab := w.fake.Table()
	tab.Commit = w.commit
	for i := range 3 {
		// Clocks differ by up to the bound of 500 ms.
		skew := time.Duration(w.rand.IntN(500)) * time.Millisecond
		w.holders = append(w.holders, lease.New(lease.Options{
			Name: "l", Node: ident.Node(rune('a' + i)), Start: 1, Length: leaseLength, Table: tab,
			Now: func() time.Time { return w.now.Add(skew) },
		}))
	}
	return w
}

func (w *world) commit(ctx context.Context, ws []store.Write) store.Result {
	if p := w.pause; p != nil {
		w.pause = nil
		p()
	}
	if w.slow {
		w.late = append(w.late, ws)
		return store.Result{Outcome: store.Unknown, Err: context.DeadlineExceeded}
	}
	before := w.version(ctx, dataKey)
	r := w.fake.Table().Commit(ctx, ws)
	if w.version(ctx, dataKey) != before {
		v := string(ws[len(ws)-1].Value)
		w.effects[v]++
		var row struct{ Epoch int }
		if err := json.Unmarshal(w.raw(ctx, "lease/l").Value, &row); err != nil || !strings.HasPrefix(v, fmt.Sprint(row.Epoch, " ")) {
			w.stale = fmt.Sprintf("write %q under epoch %d: %v", v, row.Epoch, err)
		}
	}
	return r
}

// version reads a row's version past all faults.
func (w *world) version(ctx context.Context, key string) uint64 {
	return w.raw(ctx, key).Version
}

func (w *world) raw(ctx context.Context, key string) store.Row {
	f := w.fault
	w.fault = fakes.None
	r, _ := w.fake.Table().Get(ctx, key)
	w.fault = f
	return r
}

func (w *world) acquire(l *lease.Lease) bool {
	if l.Acquire(context.Background()) != nil {
		return false
	}
	e, _ := l.Epoch()
	w.taken = append(w.taken, e)
	return true
}

// guard writes the writer's epoch into the data row.
func (w *world) guard(l *lease.Lease) {
	e, _ := l.Epoch()
	w.writes++
	v := fmt.Sprintf("%d %d", e, w.writes)
	stale := uint64(w.rand.IntN(5) / 4)
	err := l.Guard(context.Background(), store.Write{
		Key: dataKey, Value: []byte(v), Expect: w.version(context.Background(), dataKey) + stale,
	})
	w.outcome[v] = err
}

func (w *world) check(t *rapid.T) {
	for v, err := range w.outcome {
		n := w.effects[v]
		switch {
		case err == nil && n != 1:
			t.Fatalf("write %q reported done took effect %d times", v, n)
		case err != nil && !errors.Is(err, lease.ErrUnknown) && n != 0:
			t.Fatalf("write %q reported %v took effect", v, err)
		}
	}
	var e lease.Epoch
	if r := w.raw(context.Background(), dataKey); r.Version > 0 {
		_, err := fmt.Sscan(string(r.Value), &e)
		assert.NilError(t, err)
		if n := len(w.epochs); n > 0 && e < w.epochs[n-1] {
			t.Fatalf("epoch %d wrote after epoch %d", e, w.epochs[n-1])
		}
		w.epochs = append(w.epochs, e)
	}
	assert.Equal(t, w.stale, "")
	for i := 1; i < len(w.taken); i++ {
		assert.Assert(t, w.taken[i] > w.taken[i-1], "epochs %v", w.taken)
	}
	held := 0
	for _, l := range w.holders {
		if _, ok := l.Epoch(); ok {
			held++
		}
	}
	assert.Assert(t, held <= 1, "%d holders at once", held)
}

// Guards against a holder that was paused past its expiry and still writes,
// against two holders at once within the clock bound, and against false
// reports of a guarded write after lost answers and late commits.
func TestLeaseStateMachine(t *testing.T) {
	wrote := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		ctx := context.Background()
		pick := func(t *rapid.T) *lease.Lease { return w.holders[rapid.IntRange(0, 2).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) { w.acquire(pick(t)) },
			"renew":   func(t *rapid.T) { _ = pick(t).Renew(ctx) },
			"release": func(t *rapid.T) { _ = pick(t).Release(ctx) },
			"guard":   func(t *rapid.T) { w.guard(pick(t)) },
			"paused": func(t *rapid.T) {
				other := pick(t)
				l := pick(t)
				if l == other {
					t.Skip("a holder can't overtake itself")
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
				l := pick(t)
				w.slow = true
				w.guard(l)
				w.slow = false
				w.land()
				w.guard(l)
			},
			"wait": func(t *rapid.T) { w.now = w.now.Add(time.Duration(w.rand.IntN(8000)) * time.Millisecond) },
			// Clocks disagree about the expiry for up to 500 ms.
			"edge": func(t *rapid.T) {
				w.acquire(pick(t))
				w.now = w.now.Add(leaseLength - time.Duration(w.rand.IntN(500))*time.Millisecond)
				w.acquire(pick(t))
			},
			"fault": func(t *rapid.T) { w.fault = fakes.Fault(w.rand.IntN(4)); w.slow = w.rand.IntN(3) == 0 },
			"heal":  func(t *rapid.T) { w.fault, w.slow = fakes.None, false },
			"land":  func(t *rapid.T) { w.land() },
			"":      w.check,
		})
		w.land()
		w.check(t)
		for _, n := range w.effects {
			wrote += n
		}
	})
	assert.Assert(t, wrote > 0, "no guarded write took effect")
}

// land applies the commits that a slow store still holds.
func (w *world) land() {
	late, slow, fault := w.late, w.slow, w.fault
	w.late, w.slow, w.fault = nil, false, fakes.None
	for _, ws := range late {
		w.commit(context.Background(), ws)
	}
	w.slow, w.fault = slow, fault
}
