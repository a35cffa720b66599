package fleet

import (
	"sync"

	"github.com/cicadahall/cicadahall/internal/exit"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/policy/chain"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/route"
)

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

// isCall records a request on a route and reports whether it is a call.
func (cd *callDetector) isCall(rule route.Rule) bool {
	if cd.node.settings.Calls != spec.CallsFirst {
		return false
	}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if !cd.detector.RecordArrival(rule.Name, mono.Now()) {
		return false
	}
	cd.node.counter("front.calls").Inc(1)
	return true
}
