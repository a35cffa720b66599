package node

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/internal/call"
	"github.com/cicadahall/cicadahall/internal/exit"
)

// register adds the gauges that are read when metrics are collected.
func (n *Node) register() {
	gauge := func(name string, read func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, n.metrics, read)
	}
	gauge("exit.running", func() int64 { return int64(n.exit.Running()) })
	gauge("exit.queued", func() int64 { return int64(n.exit.Load().GetQueued()) })
	gauge("exit.limit", func() int64 { return int64(n.exit.Load().GetLimit()) })
	gauge("exit.service.nanoseconds", func() int64 { return n.exit.Load().GetServiceNanos() })
	gauge("config.revision", func() int64 { return int64(n.conf.force().Revision) })
	gauge("members", func() int64 { return int64(n.roster.size()) })
}

// measure counts one request that has ended at the exit.
func (n *Node) measure(x exit.Run) {
	metrics.GetOrRegisterCounter("exit.requests."+string(call.OutcomeOf(x.Outcome)), n.metrics).Inc(1)
	if x.Failed {
		metrics.GetOrRegisterCounter("exit.requests.failed", n.metrics).Inc(1)
	}
	metrics.GetOrRegisterCounter("exit.busy.nanoseconds", n.metrics).Inc(int64(x.Busy))
}
