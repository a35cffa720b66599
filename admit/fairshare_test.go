package admit_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/admit"
	"github.com/cicadahall/cicadahall/ident"
)

const (
	workspaces = 82
	flooder    = workspaces - 1
	floodSlots = 6
	floodWork  = 60 * time.Millisecond
)

// workspaceKinds returns the requests of 82 workspaces at equal rates.
func workspaceKinds() []requestKind {
	kinds := make([]requestKind, workspaces)
	for i := range kinds {
		kinds[i] = requestKind{
			route: "read", workspace: ident.Workspace(fmt.Sprintf("w%d", i)), priority: 1, rate: 1,
			work: floodWork, objective: 300 * time.Millisecond, deadline: 1500 * time.Millisecond,
		}
	}
	return kinds
}

// floodArrivals returns the usual arrivals, and those with 49 times the usual rate
// of one workspace added from 10 to 20 s.
func floodArrivals(kinds []requestKind, load float64, seed uint64) (usual, flooded []arrival) {
	usual = poissonArrivals(kinds, floodSlots, load, 30*time.Second, seed)
	flood := poissonArrivals(kinds[flooder:], floodSlots, load*49/workspaces, 10*time.Second, seed+100)
	flooded = slices.Clone(usual)
	for _, a := range flood {
		flooded = append(flooded, arrival{kind: flooder, at: a.at + 10*time.Second})
	}
	slices.SortStableFunc(flooded, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return usual, flooded
}

// floodEffect is what the flood of one workspace does to the others.
type floodEffect struct {
	served, servedAlone int
	// prompt counts requests that start at most one service time later than
	// without the flood, delay is the sum of how much later all of them start.
	prompt int
	delay  time.Duration
	// starts counts all starts while the flood lasts, but for its first second.
	starts int
}

func measureFlood(t *testing.T, kinds []requestKind, load float64) floodEffect {
	type key struct {
		kind int
		at   time.Duration
	}
	var e floodEffect
	for seed := range uint64(5) {
		usual, flooded := floodArrivals(kinds, load, seed)
		alone := map[key]outcome{}
		for n, o := range runModel(newLeastCost, kinds, floodSlots, usual, false) {
			alone[key{usual[n].kind, usual[n].at}] = o
		}
		for n, o := range runModel(newLeastCost, kinds, floodSlots, flooded, false) {
			a := flooded[n]
			ends := o.starts + o.expiries
			if o.refused {
				ends++
			}
			assert.Equal(t, ends, 1, "a request ends exactly once")
			if o.startedAt >= 11*time.Second && o.startedAt < 20*time.Second {
				e.starts++
			}
			before := alone[key(a)]
			if a.kind == flooder {
				continue
			}
			e.served += o.starts
			e.servedAlone += before.starts
			if o.starts == 1 && before.starts == 1 {
				later := o.startedAt - before.startedAt
				e.delay += later
				if later <= floodWork {
					e.prompt++
				}
			}
		}
	}
	return e
}

// Guards against a workspace that floods a service and thereby delays or displaces
// the requests of the 81 others, and against requests that are lost or slots that
// stay free because of the sharing.
//
// All requests start later by about half a service time, because the flooder uses
// the slots that would be free. Some start later by more: while the 81 others
// have more requests than slots for a moment, the second request of a workspace
// waits for the first ones of the others.
func TestFloodOfOneWorkspace(t *testing.T) {
	const possible = int(9*time.Second/floodWork) * floodSlots * 5
	for _, load := range []float64{0.5, 0.6, 0.7, 0.8} {
		e := measureFlood(t, workspaceKinds(), load)
		shared := workspaceKinds()
		for i := range shared {
			shared[i].workspace = ""
		}
		unfair := measureFlood(t, shared, load)
		for _, m := range []struct {
			name string
			floodEffect
		}{{"fair", e}, {"without workspaces", unfair}} {
			t.Logf("load %.1f, %s: served %d, alone %d; %.3f within a service time, mean delay %v; %d of %d possible starts",
				load, m.name, m.served, m.servedAlone, float64(m.prompt)/float64(m.servedAlone), m.delay/time.Duration(m.servedAlone), m.starts, possible)
		}
		lost, unfairLost := e.servedAlone-e.served, unfair.servedAlone-unfair.served
		assert.Assert(t, lost <= unfairLost/10, "%d lost, without workspaces %d", lost, unfairLost)
		late, unfairLate := e.servedAlone-e.prompt, unfair.servedAlone-unfair.prompt
		assert.Assert(t, late <= unfairLate/4, "%d start late, without workspaces %d", late, unfairLate)
		assert.Assert(t, e.delay <= floodWork*time.Duration(e.servedAlone))
		assert.Assert(t, e.starts >= unfair.starts-possible/200, "%d starts, without workspaces %d", e.starts, unfair.starts)
	}
}

// Guards against a state that grows with the number of workspaces, and against a
// queue that no longer works when the bound is reached.
func TestManyWorkspaces(t *testing.T) {
	starts, expiries := 0, 0
	g := admit.NewSlotLimiter(admit.SlotLimiterOptions{
		Slots: 2, MaxQueued: 1200,
		Start:  func(admit.Request, time.Time) { starts++ },
		Expire: func(admit.Request, admit.Reason, time.Time) { expiries++ },
	})
	now, queued := trainSlotLimiter(g, 10*time.Millisecond), 0
	for n := range 10_000 {
		k := admit.Request{ID: id(n), Workspace: ident.Workspace(fmt.Sprintf("w%d", n)), Objective: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour), MayQueue: true}
		switch g.Offer(k, now).Verdict {
		case admit.Run:
			starts++
		case admit.Queue:
			queued++
		}
	}
	assert.Equal(t, queued-expiries, 1200)
	assert.Assert(t, g.Flows() <= 1024+1, "%d flows", g.Flows())
	g.Finish(id(0), admit.Broken, now)
	assert.Equal(t, starts, 3)
	g.Drain(now)
	assert.Equal(t, expiries, queued-1)
}

// Guards against a request that is refused because of the queued requests of
// another workspace, before which it would start.
func TestAdmissionBesideFlood(t *testing.T) {
	const slots = 4
	g, _, now := newBusySlotLimiter(slots, 12)
	offer := func(n int, w ident.Workspace, objective time.Duration) admit.Decision {
		k := ranked(n, 0, objective, now)
		k.Workspace = w
		return g.Offer(k, now)
	}
	for n := range 10 {
		assert.Equal(t, offer(n+1, "flood", time.Second).Verdict, admit.Queue)
	}
	flood, other := ranked(20, 0, time.Second, now), ranked(21, 0, time.Second, now)
	flood.Workspace, other.Workspace = "flood", "other"
	assert.Assert(t, g.EstimateWait(other) <= g.EstimateWait(flood)/2, "%v and %v", g.EstimateWait(other), g.EstimateWait(flood))
	// No request of 10 ms meets this objective.
	const missed = 5 * time.Millisecond
	assert.Equal(t, offer(30, "flood", missed).Reason, admit.Full)
	assert.Equal(t, offer(31, "other", missed).Verdict, admit.Queue)
}
