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

// histogramSampleSize bounds the memory of a latency histogram to 128 values of
// 8 bytes.
const histogramSampleSize = 128

func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// histogram adds a duration to a histogram of milliseconds, which keeps a
// uniform sample.
func (n *Node) histogram(name string, d time.Duration) {
	h := n.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// countStoreCall counts calls to the store by path and status; status 0 means
// no response.
func (n *Node) countStoreCall(path string, status int) {
	name := strings.ReplaceAll(strings.Trim(path, "/"), "/", ".")
	n.counter("store." + name + "." + strconv.Itoa(status)).Inc(1)
}

// reportDroppedLines counts dropped log lines. The queue calls it during a write
// by event.Log.Emit, which holds the lock of the log, so the event must be
// emitted from another goroutine.
func (n *Node) reportDroppedLines(count int) {
	n.counter("log.dropped").Inc(int64(count))
	go n.log.Emit(event.LinesDropped, event.NewField(event.Count, count))
}

// countRun counts a request that has ended at the exit.
func (n *Node) countRun(r exit.RequestResult) {
	n.counter("exit.requests." + string(call.OutcomeOf(r.Outcome))).Inc(1)
	if r.Failed {
		n.counter("exit.requests.failed").Inc(1)
	}
	if r.SlotTime > 0 {
		n.histogram("exit.busy.milliseconds", r.SlotTime)
	}
}
