package fleet

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/control/intake"
	"github.com/cicadahall/cicadahall/internal/control/quota"
	"github.com/cicadahall/cicadahall/internal/wire/accept"
)

const (
	// connsDivisor sets the part of the process's memory for the connections of
	// callers and their incomplete heads: 311 of them at 184 MB and heads of
	// 16 KiB, or 1,870 idle ones.
	connsDivisor = 6
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// callersDivisor sets the part of the other descriptors for callers, and
	// peersDivisor that for connections from other nodes. The rest is for
	// connections to other nodes, the upstream and the store. With 4,100
	// descriptors both are 1,300, more than one for each of 1,100 nodes.
	callersDivisor, peersDivisor = 3, 3
	// maxControlConns bounds the connections of each other listener, which has
	// one client, and controlDivisor sets their part of few descriptors.
	maxControlConns, controlDivisor = 64, 24
	// maxCallerHeaderBytes bounds the limit of the configuration on heads.
	maxCallerHeaderBytes = 1 << 20
	// headSlack is what net/http allows beyond a limit on heads.
	headSlack = 4 << 10
)

// maxConns returns the greatest number of connections of a listener, 0 without
// a bound.
func (n *Node) maxConns(listener string) int {
	control := maxControlConns
	shared := 0
	if d := n.settings.Descriptors; d != nil {
		shared = *d - fileDescriptors
		control = min(control, shared/controlDivisor)
	}
	switch listener {
	case callersPort:
		return shared / callersDivisor
	case peersPort:
		return shared / peersDivisor
	default:
		return control
	}
}

// newGate returns the account of a listener's connections.
func (n *Node) newGate(listener, address string) *accept.Gate {
	account := intake.Options{MaxConns: n.maxConns(listener)}
	if listener == callersPort {
		account.MaxBytes = intake.Bytes(n.memory() / connsDivisor)
	}
	prefix := "connections." + listener + "."
	g := accept.New(accept.Options{
		Account:       account,
		Limits:        n.callerLimits,
		ReceiveBuffer: quota.ReceiveBuffer,
		Count:         func(name string) { n.counter(prefix + name).Inc(1) },
		Report: func(r accept.Reason, count int) {
			n.log.Emit(event.ConnectionsClosed, event.NewField(event.Address, address), event.NewField(event.Reason, string(r)), event.NewField(event.Count, count))
		},
	})
	for _, s := range intake.States() {
		metrics.NewRegisteredFunctionalGauge(prefix+s.String(), n.metrics, func() int64 { return int64(g.Conns(s)) })
	}
	metrics.NewRegisteredFunctionalGauge(prefix+"bytes", n.metrics, func() int64 { return int64(g.Bytes()) })
	return g
}

// callerLimits returns the limits of the configuration in force on what callers
// send, with defaults for those that it lacks.
func (n *Node) callerLimits() accept.Limits {
	l := accept.Limits{HeadBytes: maxHeaderBytes + headSlack, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, PaceBytes: accept.DefaultPaceBytes, PaceWindow: accept.DefaultPaceWindow}
	t := n.operator.table()
	if t == nil {
		return l
	}
	if t.Limits.MaxHeaderBytes > 0 {
		l.HeadBytes = min(t.Limits.MaxHeaderBytes, maxCallerHeaderBytes)
	}
	l.HeadTimeout = orDefault(t.Limits.HeaderTimeout, l.HeadTimeout)
	l.IdleTimeout = orDefault(t.Limits.IdleTimeout, l.IdleTimeout)
	return l
}

func orDefault(d, standard time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return standard
}
