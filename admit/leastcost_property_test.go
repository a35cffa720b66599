package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
)

// randomLoad is a load of one upstream.
type randomLoad struct {
	slots    int
	kinds    []requestKind
	arrivals []arrival
}

// drawLoad draws two to four kinds with callers that allow for a queue: an
// objective of at least objectiveWorks times the work of the longest kind. If valued
// is set, urgent kinds are worth more per slot time.
func drawLoad(t *rapid.T, minLoad, maxLoad float64, valued bool) randomLoad {
	const objectiveWorks = 2
	l := randomLoad{slots: rapid.IntRange(2, 8).Draw(t, "slots")}
	longest := time.Duration(0)
	var works, priorities []int
	for range rapid.IntRange(2, 4).Draw(t, "kinds") {
		works = append(works, rapid.IntRange(5, 200).Draw(t, "work"))
		priorities = append(priorities, rapid.IntRange(0, 2).Draw(t, "priority"))
	}
	// Short requests are the more urgent ones, which makes them worth more per slot
	// time.
	if valued {
		slices.Sort(works)
		slices.Sort(priorities)
	}
	for i := range works {
		work := time.Duration(works[i]) * time.Millisecond
		longest = max(longest, work)
		l.kinds = append(l.kinds, requestKind{
			name: fmt.Sprintf("kind %d", i), route: ident.Route(fmt.Sprintf("r%d", i)), work: work,
			priority: priorities[i], rate: rapid.Float64Range(1, 50).Draw(t, "rate"),
		})
	}
	for i := range l.kinds {
		k := &l.kinds[i]
		k.objective = longest * time.Duration(rapid.IntRange(objectiveWorks*10, 80).Draw(t, "objective")) / 10
		k.deadline = k.objective * time.Duration(rapid.IntRange(10, 50).Draw(t, "deadline")) / 10
	}
	load := rapid.Float64Range(minLoad, maxLoad).Draw(t, "load")
	l.arrivals = poissonArrivals(l.kinds, l.slots, load, 10*time.Second, rapid.Uint64().Draw(t, "seed"))
	return l
}

func (l randomLoad) run(create newPolicy, resend bool) []outcome {
	return runModel(create, l.kinds, l.slots, l.arrivals, resend)
}

// Guards against a request that is delayed or refused although there is room for
// all.
func TestRoomForAllIsFirstComeFirstServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t, 0.05, 0.9, false)
		// A slot more than run at any time.
		l.slots = 1 + len(l.arrivals)
		peak := 0
		outcomes := l.run(newReference(false), false)
		for n := range outcomes {
			running := 0
			for m := range outcomes {
				if outcomes[m].startedAt <= outcomes[n].startedAt && outcomes[n].startedAt < outcomes[m].startedAt+l.kinds[l.arrivals[m].kind].work {
					running++
				}
			}
			peak = max(peak, running)
		}
		l.slots = max(1, peak)
		first := l.run(newReference(false), false)
		for n, o := range l.run(newLeastCost, false) {
			assert.Equal(t, o, first[n])
		}
	})
}

// Guards against a queued request that is started and expired or neither, over
// random loads.
func TestModelEndsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t, 0.5, 2, false)
		for n, o := range l.run(newLeastCost, false) {
			ends := o.starts + o.expiries
			if o.refused {
				ends++
			}
			assert.Equal(t, ends, 1, "request %d: %+v", n, o)
		}
	})
}

// Guards against an urgent kind that is served at a smaller share than a less
// urgent one, beyond one queue's worth of requests.
func TestUrgentKindsAreServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t, 0.5, 2, false)
		served, offered := make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
		for n, o := range l.run(newLeastCost, false) {
			offered[l.arrivals[n].kind]++
			served[l.arrivals[n].kind] += float64(o.starts)
		}
		queue := float64(3 * l.slots)
		for i, k := range l.kinds {
			for j, less := range l.kinds {
				patient := k.objective-k.work >= less.objective-less.work && k.deadline-k.work >= less.deadline-less.work
				if k.priority < less.priority && patient && offered[i] > 0 && offered[j] > 0 {
					assert.Assert(t, (served[j]-queue)/offered[j] <= (served[i]+queue)/offered[i],
						"%+v: %v of %v, %+v: %v of %v, %d slots", k, served[i], offered[i], less, served[j], offered[j], l.slots)
				}
			}
		}
	})
}

// Guards against an order that earns less than first come, first served or than
// priority alone, over many loads in which urgent requests are worth at least as much
// per slot time as less urgent ones, and over many loads of any kind.
func TestValueOnRandomLoads(t *testing.T) {
	for _, valued := range []bool{true, false} {
		t.Run(fmt.Sprintf("valued=%t", valued), func(t *testing.T) {
			// Sums of the value per load, as shares of the value of least cost.
			sums, worse, worst, loads := [2]float64{}, [2]int{}, [2]float64{}, 0
			rapid.Check(t, func(t *rapid.T) {
				l := drawLoad(t, 0.5, 2, valued)
				value := func(create newPolicy) float64 {
					sum := 0.0
					for _, o := range l.run(create, false) {
						sum += o.value
					}
					return sum
				}
				own := value(newLeastCost)
				loads++
				for i, p := range modelPolicies[:2] {
					other := value(p.create)
					sums[i] += other / own
					if own < other-weight(0) {
						worse[i]++
						worst[i] = max(worst[i], (other-own)/other)
					}
				}
			})
			for i, p := range modelPolicies[:2] {
				t.Logf("%s earns %.3f of least cost on %d loads; more by over one request on %d, at most by %.3f", p.name, sums[i]/float64(loads), loads, worse[i], worst[i])
				if sums[i] > float64(loads) {
					t.Errorf("%s earns more", p.name)
				}
			}
		})
	}
}

// Guards against an order that on any load earns less than first come, first served
// or than priority alone by more than the value of one request, if urgent requests
// are worth at least as much per slot time as less urgent ones.
func TestValueOfEachLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t, 0.5, 2, true)
		values := map[string]float64{}
		for _, p := range modelPolicies {
			for _, o := range l.run(p.create, false) {
				values[p.name] += o.value
			}
		}
		for _, p := range modelPolicies[:2] {
			assert.Assert(t, values["least cost"] >= values[p.name]-weight(0), "least cost earns %.1f, %s %.1f", values["least cost"], p.name, values[p.name])
		}
	})
}

// Guards against a caller that gains by sending each refused request again at once.
func TestResendingGainsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t, 0.9, 2, false)
		once := l.run(newLeastCost, false)
		for n, o := range l.run(newLeastCost, true) {
			assert.Equal(t, o.starts, once[n].starts, "request %d", n)
			assert.Equal(t, o.startedAt, once[n].startedAt, "request %d", n)
		}
	})
}
