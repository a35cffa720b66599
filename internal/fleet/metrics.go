package fleet

import (
	"strconv"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
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

// countStore counts the calls of the store by path and status; status 0 is a
// call without answer.
func (n *Node) countStore(path string, status int) {
	name := strings.ReplaceAll(strings.Trim(path, "/"), "/", ".")
	n.counter("store." + name + "." + strconv.Itoa(status)).Inc(1)
}

// dropped counts log lines that were dropped. The log that has dropped them
// holds its lock, so that the event is emitted by another goroutine.
func (n *Node) dropped(lines int) {
	n.counter("log.dropped").Inc(int64(lines))
	go n.log.Emit(event.LinesDropped, event.F(event.Count, lines))
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
