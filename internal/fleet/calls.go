package fleet

import (
	"sync"

	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/policy/chain"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/route"
)

// callPriority goes before the priorities of all routes. A call that waits holds
// the slot of the run that makes it, and a call that fails wastes what that run
// has cost.
const callPriority = -1

// callDetector recognizes the calls of the upstream beside the node.
type callDetector struct {
	node     *Node
	mu       sync.Mutex
	detector *chain.Detector
}

func newCallDetector(node *Node) *callDetector {
	return &callDetector{node: node, detector: chain.New(chain.Options{})}
}

func (cd *callDetector) recordStart() {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.detector.RecordStart(mono.Now())
}

func (cd *callDetector) recordEnd(r exit.RequestResult) {
	if r.SlotTime <= 0 {
		return // it hasn't run
	}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.detector.RecordEnd(mono.Now())
}

// priority returns the rank of a request on a route.
func (cd *callDetector) priority(rule route.Rule, rank int) int {
	if cd.node.settings.Calls != spec.CallsFirst {
		return rank
	}
	cd.mu.Lock()
	called := cd.detector.RecordArrival(rule.Name, mono.Now())
	cd.mu.Unlock()
	if !called {
		return rank
	}
	cd.node.counter("front.calls").Inc(1)
	return callPriority
}
