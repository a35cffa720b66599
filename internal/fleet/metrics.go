package fleet

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/exit"
)

// sampleSize bounds the memory of a latency histogram: 128 values of 8 bytes.
const sampleSize = 128

func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// histogram keeps the latest values of a duration, in milliseconds.
func (n *Node) histogram(name string, d time.Duration) {
	h := n.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// countStore counts the calls of the store; status 0 is a call without answer.
func (n *Node) countStore(path string, status int) {
	n.counter("store.calls." + strconv.Itoa(status)).Inc(1)
	_ = path // the paths are few and known by their order in the log
}

// countRun counts a request that has ended at the exit.
func (n *Node) countRun(r exit.Run) {
	n.counter("exit.requests." + string(call.OutcomeOf(r.Outcome))).Inc(1)
	if r.Failed {
		n.counter("exit.requests.failed").Inc(1)
	}
	if r.Busy > 0 {
		n.histogram("exit.busy.milliseconds", r.Busy)
	}
}
