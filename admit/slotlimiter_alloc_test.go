package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

// offerWhileBusy returns a function that offers a request to a SlotLimiter with a
// queue of two requests and ends the one that runs longest.
func offerWhileBusy(slots int, workspaces []ident.Workspace) func() {
	var running []ident.Request
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots:  ident.Slots(slots),
		Start:  func(k admit.Request, _ time.Time) { running = append(running, k.ID) },
		Expire: func(admit.Request, admit.Reason, time.Time) {},
	})
	now, n := trainSlotLimiter(g, 10*time.Millisecond), 0
	offer := func() {
		n++
		k := ranked(n, n%3, time.Second, now)
		k.Workspace = workspaces[n%len(workspaces)]
		if g.Offer(k, now).Verdict == admit.Run {
			running = append(running, k.ID)
		}
	}
	for range slots + 2 {
		offer()
	}
	return func() {
		now = now.Add(10 * time.Millisecond / time.Duration(slots))
		offer()
		id := running[0]
		copy(running, running[1:])
		running = running[:len(running)-1]
		g.Finish(id, admit.Done, now)
	}
}

// Guards against an allocation for each request that waits for a slot.
func TestQueuedPathDoesNotAllocate(t *testing.T) {
	for _, workspaces := range [][]ident.Workspace{{""}, {"a", "b", "c", "d"}} {
		step := offerWhileBusy(6, workspaces)
		assert.Equal(t, testing.AllocsPerRun(1000, step), 0.0)
	}
}

func BenchmarkQueued6Slots(b *testing.B) {
	step := offerWhileBusy(6, []ident.Workspace{""})
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
