package canary

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"
)

// Result is the result of one move.
type Result struct {
	Setup
	// Done reports whether the new version got all requests before the deadline.
	Done bool
	// Stopped reports whether the new version was stopped.
	Stopped bool
	// FaultSeen reports whether the fault affected at least one request.
	FaultSeen bool
	// TimeToStop is the time from the end of the first affected request to the
	// beginning of the last request on the new version.
	TimeToStop time.Duration
	// Bad counts the requests on the new version since the first affected
	// request, Late those that began more than maxTimeToStop after its end.
	Bad, Late int
	// Requests is the expected number of requests from the beginning of the move
	// to its deadline.
	Requests float64
}

// BadShare returns Bad as a share of the expected requests.
func (r Result) BadShare() float64 {
	return float64(r.Bad) / r.Requests
}

// ControllerName names an implementation that controls a move.
type ControllerName string

// The controllers. Threshold is the baseline.
const (
	Mover     ControllerName = "mover"
	Threshold ControllerName = "threshold"
)

// maxTimeToStop is the required bound on TimeToStop for a fault at the target
// share.
const maxTimeToStop = 2 * time.Second

// run is one move in progress.
type run struct {
	world      *world
	controller controller
	result     Result
	// pending holds the requests that haven't ended.
	pending []request
	// keys draws the routing keys of requests.
	keys *rand.Rand
	// faultSeenAt is the end of the first affected request, from the beginning of
	// the move.
	faultSeenAt time.Duration
}

// Run runs one move with the named controller.
func Run(s Setup, name ControllerName) Result {
	w := newWorld(s)
	r := &run{world: w, controller: newThreshold(w), keys: rand.New(rand.NewPCG(s.Seed, 3))}
	if name == Mover {
		r.controller = newCluster(w)
	}
	r.result = Result{Setup: s, Requests: s.Rate * s.Length.Seconds()}
	next := time.Duration(0)
	// The run ends 10 s after the deadline, so that all nodes can read the
	// outcome from the store.
	for at := time.Duration(0); at < s.Length+10*time.Second; at += step {
		for ; next < at+step; next += time.Duration(w.rand.ExpFloat64() / s.Rate * float64(time.Second)) {
			r.request(next)
		}
		r.deliver(at + step)
		now := w.begin.Add(at + step)
		r.controller.tick(now)
		if r.controller.stopped(now) {
			r.result.Stopped = true
			break
		}
		if r.controller.finished(now) {
			r.result.Done = at+step < s.Length
			break
		}
	}
	r.result.FaultSeen = w.faultSeen
	return r.result
}

// request routes a request and adds its result to the pending ones.
func (r *run) request(at time.Duration) {
	v, share := r.controller.route(r.keys.Uint64(), r.world.begin.Add(at))
	faultSeen := r.world.faultSeen
	q := r.world.serve(at, v, share)
	if r.world.faultSeen && !faultSeen {
		r.faultSeenAt = q.end
	}
	r.pending = append(r.pending, q)
	if v == newVersion && r.world.faultSeen {
		r.result.Bad++
		r.result.TimeToStop = max(0, at-r.faultSeenAt)
		if r.result.TimeToStop > maxTimeToStop {
			r.result.Late++
		}
	}
}

// deliver passes the requests that ended before a time to the controller, in the
// order of their ends.
func (r *run) deliver(until time.Duration) {
	slices.SortFunc(r.pending, func(a, b request) int { return int(a.end - b.end) })
	n := 0
	for n < len(r.pending) && r.pending[n].end < until {
		r.controller.observe(r.pending[n].sample, r.world.begin.Add(r.pending[n].end))
		n++
	}
	r.pending = r.pending[n:]
}

// RunAll runs the setups in parallel on at most workers goroutines.
func RunAll(setups []Setup, name ControllerName, workers int) []Result {
	out := make([]Result, len(setups))
	var wg sync.WaitGroup
	for k := range workers {
		wg.Go(func() {
			for i := k; i < len(setups); i += workers {
				out[i] = Run(setups[i], name)
			}
		})
	}
	wg.Wait()
	return out
}

// Row aggregates the results of one kind.
type Row struct {
	Kind                            Kind
	Moves, Done, Stopped            int
	FaultSeen, LateRequests         int
	MeanBadShare, MaxBadShare       float64
	MedianTimeToStop, MaxTimeToStop time.Duration
	WithinLimit, Missed             int
}

// Sum aggregates results of one kind.
func Sum(results []Result) Row {
	row := Row{Kind: results[0].Kind, Moves: len(results)}
	var times []time.Duration
	for _, r := range results {
		row.Done += count(r.Done)
		row.Stopped += count(r.Stopped)
		row.Missed += count(r.FaultSeen && !r.Stopped)
		row.WithinLimit += count(r.FaultSeen && r.TimeToStop <= maxTimeToStop)
		row.LateRequests += r.Late
		row.MeanBadShare += r.BadShare() / float64(len(results))
		row.MaxBadShare = max(row.MaxBadShare, r.BadShare())
		if r.FaultSeen {
			row.FaultSeen++
			times = append(times, r.TimeToStop)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		row.MedianTimeToStop = times[len(times)/2]
		row.MaxTimeToStop = times[len(times)-1]
	}
	return row
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Write writes rows as a table. The column "bad" is Result.BadShare, "clear" is
// Result.TimeToStop, and "within 2 s" counts the moves whose fault was seen and
// whose TimeToStop is at most 2 s.
func Write(out io.Writer, name ControllerName, rate float64, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s at %.0f/s\tmoves\tdone\tstopped\tmissed\tbad mean\tbad most\tclear median\tclear most\twithin 2 s\n", name, rate)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f %%\t%.3f %%\t%.2f s\t%.2f s\t%d\n", r.Kind, r.Moves, r.Done, r.Stopped,
			r.Missed, 100*r.MeanBadShare, 100*r.MaxBadShare, r.MedianTimeToStop.Seconds(), r.MaxTimeToStop.Seconds(), r.WithinLimit)
	}
	return w.Flush()
}
