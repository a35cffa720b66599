package node

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/exit"
)

// registerGauges adds the gauges that are read when metrics are collected.
func (n *Node) registerGauges() {
	gauge := func(name string, read func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, n.metrics, read)
	}
	gauge("exit.running", func() int64 { return int64(n.exit.Running()) })
	gauge("exit.queued", func() int64 { return int64(n.exit.Load().GetQueued()) })
	gauge("exit.limit", func() int64 { return int64(n.exit.Load().GetLimit()) })
	gauge("exit.service.nanoseconds", func() int64 { return n.exit.Load().GetServiceNanos() })
	gauge("config.revision", func() int64 { return int64(n.configuration.activeHead().Revision) })
	gauge("members", func() int64 { return int64(n.roster.countExpected()) })
}

// countRequest updates the request counters for one request that has ended at
// the exit.
func (n *Node) countRequest(x exit.RequestResult) {
	metrics.GetOrRegisterCounter("exit.requests."+string(call.OutcomeOf(x.Outcome)), n.metrics).Inc(1)
	if x.Failed {
		metrics.GetOrRegisterCounter("exit.requests.failed", n.metrics).Inc(1)
	}
	metrics.GetOrRegisterCounter("exit.busy.nanoseconds", n.metrics).Inc(int64(x.SlotTime))
}
