package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/internal/control/intake"
)

var start = time.Unix(1_000_000, 0)

// Guards against an account that exceeds a limit, that closes a running request, or
// that closes a connection with progress before one without.
func TestAccountStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := intake.Options{MaxConns: rapid.IntRange(1, 8).Draw(t, "conns"), MaxBytes: 100}
		a := intake.New(o)
		held := map[intake.ID]intake.State{}
		now := start
		for id := range intake.ID(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			bytes := intake.Bytes(rapid.IntRange(1, 40).Draw(t, "bytes"))
			other := intake.ID(rapid.Uint64Range(0, uint64(id)).Draw(t, "other"))
			var closed []intake.ID
			switch _, known := held[other]; {
			case !known:
				var added bool
				if closed, added = a.Add(id, bytes, now); added {
					held[id] = intake.Head
				}
			case rapid.Bool().Draw(t, "charge"):
				closed, _ = a.Charge(other, bytes, now)
			default:
				held[other] = rapid.SampledFrom(intake.States()).Draw(t, "state")
				a.SetState(other, held[other], now)
				a.Move(other, int(bytes), now)
			}
			for _, c := range closed {
				assert.Assert(t, held[c] != intake.Running, "a running request was closed")
				assert.Assert(t, c != other || held[other] == 0, "the connection that was charged was closed")
				assert.Assert(t, !a.Has(c))
				delete(held, c)
			}
			count := 0
			for _, s := range intake.States() {
				count += a.Count(s)
			}
			assert.Equal(t, count, len(held))
			assert.Assert(t, count <= o.MaxConns && a.Bytes() <= o.MaxBytes, "%d connections, %d bytes", count, a.Bytes())
		}
		for id := range held {
			a.Remove(id)
		}
		assert.Equal(t, a.Bytes(), intake.Bytes(0))
	})
}

// Guards against another order in which connections are closed than: incomplete
// ones, the slowest first, then idle ones, then those whose response may be on its
// way; and against one with a running request.
func TestOrderOfClosing(t *testing.T) {
	a := intake.New(intake.Options{MaxConns: 6})
	for id := range intake.ID(6) {
		_, added := a.Add(id, 1, start)
		assert.Assert(t, added)
	}
	a.SetState(0, intake.Running, start)
	a.SetState(1, intake.Lingering, start)
	a.SetState(2, intake.Idle, start)
	a.SetState(3, intake.Body, start)
	now := start.Add(5 * time.Second)
	a.Move(4, 10, now) // a head with some progress
	a.Move(3, 1_000_000, start)
	a.Move(5, 100_000, now)
	for id, want := range []intake.ID{4, 3, 5, 2, 1} {
		closed, added := a.Add(intake.ID(10+id), 1, now)
		assert.Assert(t, added)
		assert.DeepEqual(t, closed, []intake.ID{want})
		a.SetState(intake.ID(10+id), intake.Running, now)
	}
	_, added := a.Add(20, 1, now)
	assert.Assert(t, !added, "there is only room if a running request is closed")
	a.SetState(0, intake.Writing, now)
	_, added = a.Add(20, 1, now.Add(4*time.Second))
	assert.Assert(t, !added, "there is only room if a response that is being read is closed")
	closed, added := a.Add(20, 1, now.Add(5*time.Second))
	assert.Assert(t, added)
	assert.DeepEqual(t, closed, []intake.ID{0})
}

// Guards against a charge without effect that has closed other connections, or a
// connection that is closed for its own charge.
func TestChargeThatCannotFit(t *testing.T) {
	a := intake.New(intake.Options{MaxBytes: 10})
	for id := range intake.ID(3) {
		_, added := a.Add(id, 3, start)
		assert.Assert(t, added)
	}
	closed, charged := a.Charge(0, 11, start)
	assert.Assert(t, !charged && len(closed) == 0)
	closed, charged = a.Charge(0, 10, start)
	assert.Assert(t, charged)
	assert.Equal(t, len(closed), 2)
	assert.Assert(t, a.Has(0))
}

// Guards against a body that has stopped and keeps its memory while another one
// needs it, and against closing one that still arrives.
func TestStalledBodies(t *testing.T) {
	a := intake.New(intake.Options{})
	for id := range intake.ID(4) {
		a.Add(id, 1, start)
		a.SetBody(id, 100, start)
		a.Move(id, 10+int(id), start)
	}
	now := start.Add(3 * time.Second)
	a.Move(0, 1, now.Add(-time.Second))
	a.SetState(1, intake.Running, now)
	assert.DeepEqual(t, a.TakeStalled(1, 2*time.Second, now), []intake.ID{2})
	assert.DeepEqual(t, a.TakeStalled(1000, 2*time.Second, now), []intake.ID{3})
	assert.Equal(t, len(a.TakeStalled(1000, 2*time.Second, now)), 0)
	assert.Assert(t, a.Has(0) && a.Has(1))
}
