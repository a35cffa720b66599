package main

import (
	"fmt"
	"time"
)

// rollMoveOptions has two machines with the old version of a service and one with
// the new version.
var rollMoveOptions = fleetOptions{
	machines: 3, service: "bookings", slots: 9, work: 2850 * time.Millisecond, spread: 0.03,
	versions: []string{"v1", "v1", "v2"},
}

const (
	rollGap      = time.Second
	rolloutOrder = `{"service":"bookings","target":"v2","duration_s":16}`
	// lateWork is the time after SIGTERM from which a request that is still being
	// worked on may be cut: the last sixth of the grace period.
	lateWork = grace * 5 / 6
)

// playRollMove stops and starts the machines in turn while a new version of the
// service is brought in.
func playRollMove(f *fleet, trouble bool) ([]string, error) {
	l := f.startLoad(8, 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		f.store.Put("op", "rollout/bookings", rolloutOrder)
		f.record("the operator orders a rollout: %s", rolloutOrder)
	}
	time.Sleep(3 * time.Second)
	for _, m := range f.machines {
		m.terminate()
		time.Sleep(rollGap)
	}
	time.Sleep(grace + 2*time.Second)
	f.record("status of the rollout: %q", f.store.Value("status", "rollout/bookings"))
	return cutRequests(f, l.end()), nil
}

// cutRequests lists the requests whose connection ended without an answer after
// the SIGTERM of their machine although they had been passed on to a worker.
func cutRequests(f *fleet, requests []request) []string {
	var out []string
	for _, r := range requests {
		runs := f.runsOf(r.id)
		ended := r.answered.Sub(r.machine.terminated)
		if !r.closed || len(runs) == 0 || ended < 0 || ended >= lateWork || r.answered.Sub(r.sent) >= routeTimeout {
			continue
		}
		out = append(out, fmt.Sprintf("LOST: request %s, sent at %s to %s, ran at %s; %.2f s after the SIGTERM of its machine the connection ended without an answer",
			r.id, f.since(r.sent), r.machine.name, runs[0].worker, ended.Seconds()))
	}
	return out
}
