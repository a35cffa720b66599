// Package chain tells the calls that an upstream makes while it runs a request
// from the requests of callers. Both reach the node beside the upstream at the same
// port, from the same address and without a mark.
//
// It answers the load in which services depend on each other: a run that waits
// for a call holds its slot, and if calls queue behind new requests, every slot of
// both services ends up with a run that waits.
//
// Invariants: the state is bounded by MaxRoutes; a wrong answer may change the
// order of requests, but no promise depends on it. A Detector is a pure state
// machine and not safe for concurrent use.
package chain

import (
	"math"
	"time"

	"github.com/cicadahall/cicadahall/ident"
)

const (
	// callBusyShare is the share of a route's calls that arrive while the upstream
	// runs a request. It is below 1, because a run may outlive its record at the
	// node, for example after its caller has left.
	callBusyShare = 0.98
	// minBusyShare bounds the evidence of one arrival: callers send requests in
	// groups, so that some find the upstream busy with another one of their group.
	minBusyShare = 0.3
	// maxBusyShare is the share of busy time beyond which arrivals are no evidence,
	// as requests and calls alike find the upstream busy.
	maxBusyShare = 0.95
	// callThreshold is the log-likelihood ratio from which a route counts as called:
	// about 1 in 150 routes of callers is then taken for one for a while.
	callThreshold = 5
	// maxRatio and minRatio bound the ratio, so that a route that changes is noticed
	// within some ten arrivals.
	maxRatio, minRatio = 10, -10
	// busyPeriod is the time over which the share of busy time is averaged.
	busyPeriod = 2 * time.Second
	// evidencePeriod is the least time between two arrivals on a route that count as
	// evidence of a call. Those of one busy period aren't independent.
	evidencePeriod = 150 * time.Millisecond
	// defaultMaxRoutes exceeds the routes of all deployments in use.
	defaultMaxRoutes = 4096
)

// Options configures a Detector.
type Options struct {
	// MaxRoutes bounds the routes that are remembered; 0 means 4,096.
	MaxRoutes int
}

// Detector learns which routes are called by the upstream beside the node. A call
// always finds the upstream busy with the request that makes it; a request of a
// caller finds it busy only as often as it is.
type Detector struct {
	options Options
	running int
	// busyShare is the average share of time in which the upstream runs requests.
	busyShare float64
	updatedAt time.Time
	routes    map[ident.Route]evidence
}

// evidence is what is known about one route.
type evidence struct {
	// ratio is the log-likelihood ratio of "called" to "not called".
	ratio float64
	// busyAt is the time of the latest arrival that counted as evidence of a call.
	busyAt time.Time
}

// New returns a Detector that takes no route for a called one.
func New(o Options) *Detector {
	if o.MaxRoutes <= 0 {
		o.MaxRoutes = defaultMaxRoutes
	}
	return &Detector{options: o, routes: map[ident.Route]evidence{}}
}

// RecordStart records that the upstream starts to run a request.
func (d *Detector) RecordStart(now time.Time) {
	d.advance(now)
	d.running++
}

// RecordEnd records the end of a run.
func (d *Detector) RecordEnd(now time.Time) {
	d.advance(now)
	d.running = max(0, d.running-1)
}

func (d *Detector) advance(now time.Time) {
	if d.updatedAt.IsZero() {
		d.updatedAt = now
	}
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	busy := 0.0
	if d.running > 0 {
		busy = 1
	}
	d.busyShare += (busy - d.busyShare) * (1 - math.Exp(-float64(elapsed)/float64(busyPeriod)))
	d.updatedAt = now
}

// RecordArrival records a request that has reached the node, and reports whether
// its route is one that the upstream calls.
func (d *Detector) RecordArrival(r ident.Route, now time.Time) bool {
	d.advance(now)
	e, known := d.routes[r]
	if !known && len(d.routes) >= d.options.MaxRoutes {
		d.forget()
	}
	share := max(minBusyShare, d.busyShare)
	switch {
	case share > maxBusyShare:
	case d.running == 0:
		e.ratio += math.Log((1 - callBusyShare) / (1 - share))
	case now.Sub(e.busyAt) >= evidencePeriod:
		e.ratio += math.Log(callBusyShare / share)
		e.busyAt = now
	}
	e.ratio = min(maxRatio, max(minRatio, e.ratio))
	d.routes[r] = e
	return e.ratio > callThreshold
}

// forget drops an arbitrary route, which is learned again when it is used.
func (d *Detector) forget() {
	for r := range d.routes {
		delete(d.routes, r)
		return
	}
}

// Routes returns the number of routes that are remembered.
func (d *Detector) Routes() int { return len(d.routes) }
