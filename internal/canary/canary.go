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

// Result is what one move led to.
type Result struct {
	Setup
	// Done tells that the new version got all requests before the deadline.
	Done bool
	// Stopped tells that the new version was stopped.
	Stopped bool
	// Shown tells that the fault affected at least one request.
	Shown bool
	// Clear is the time from the first affected response, at which the fault
	// shows, to the last new request on the new version.
	Clear time.Duration
	// Bad counts requests on the new version from the fault's begin, Late
	// those that began more than 2 s after the fault showed.
	Bad, Late int
	// Requests is the expected number of requests of the whole move.
	Requests float64
}

// BadShare returns the requests on a bad version as a share of all requests
// of the move's time.
func (r Result) BadShare() float64 {
	return float64(r.Bad) / r.Requests
}

// Contender names a way to run a move.
type Contender string

// The contenders.
const (
	Mover     Contender = "mover"
	Threshold Contender = "threshold"
)

// latePromise is P4's limit for requests on a version after its fault shows.
const latePromise = 2 * time.Second

// run is one move in progress.
type run struct {
	w       *world
	c       contender
	res     Result
	pending []request
	keys    *rand.Rand
	shownAt time.Duration
}

// Run runs one move with one contender.
func Run(s Setup, name Contender) Result {
	w := newWorld(s)
	r := &run{w: w, c: newThreshold(w), keys: rand.New(rand.NewPCG(s.Seed, 3))}
	if name == Mover {
		r.c = newCluster(w)
	}
	r.res = Result{Setup: s, Requests: s.Rate * s.Length.Seconds()}
	next := time.Duration(0)
	// Ten seconds after the deadline let the last nodes read the row.
	for at := time.Duration(0); at < s.Length+10*time.Second; at += step {
		for ; next < at+step; next += time.Duration(w.rand.ExpFloat64() / s.Rate * float64(time.Second)) {
			r.request(next)
		}
		r.deliver(at + step)
		now := w.begin.Add(at + step)
		r.c.tick(now)
		if r.c.stopped(now) {
			r.res.Stopped = true
			break
		}
		if r.c.finished(now) {
			r.res.Done = at+step < s.Length
			break
		}
	}
	r.res.Shown = w.shown
	return r.res
}

func (r *run) request(at time.Duration) {
	v, share := r.c.route(r.keys.Uint64(), r.w.begin.Add(at))
	shown := r.w.shown
	q := r.w.serve(at, v, share)
	if r.w.shown && !shown {
		r.shownAt = q.end
	}
	r.pending = append(r.pending, q)
	if v == newVersion && r.w.shown {
		r.res.Bad++
		r.res.Clear = max(0, at-r.shownAt)
		if r.res.Clear > latePromise {
			r.res.Late++
		}
	}
}

// deliver reports the requests that ended before a time, in that order.
func (r *run) deliver(until time.Duration) {
	slices.SortFunc(r.pending, func(a, b request) int { return int(a.end - b.end) })
	n := 0
	for n < len(r.pending) && r.pending[n].end < until {
		r.c.observe(r.pending[n].sample, r.w.begin.Add(r.pending[n].end))
		n++
	}
	r.pending = r.pending[n:]
}

// RunAll runs the setups in parallel on at most workers goroutines.
func RunAll(setups []Setup, name Contender, workers int) []Result {
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

// Row sums up the results of one kind.
type Row struct {
	Kind                  Kind
	Moves, Done, Stopped  int
	Shown, LateRequests   int
	MeanBad, MostBad      float64
	HalfClear, MostClear  time.Duration
	WithinPromise, Missed int
}

// Sum sums up results of one kind.
func Sum(results []Result) Row {
	row := Row{Kind: results[0].Kind, Moves: len(results)}
	var clear []time.Duration
	for _, r := range results {
		row.Done += count(r.Done)
		row.Stopped += count(r.Stopped)
		row.Missed += count(r.Shown && !r.Stopped)
		row.WithinPromise += count(r.Shown && r.Clear <= latePromise)
		row.LateRequests += r.Late
		row.MeanBad += r.BadShare() / float64(len(results))
		row.MostBad = max(row.MostBad, r.BadShare())
		if r.Shown {
			row.Shown++
			clear = append(clear, r.Clear)
		}
	}
	if len(clear) > 0 {
		slices.Sort(clear)
		row.HalfClear = clear[len(clear)/2]
		row.MostClear = clear[len(clear)-1]
	}
	return row
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Write prints rows as a table. "bad" is the share of the move's requests on
// a bad version, "clear" the time from the first affected response to the last
// request on the new version.
func Write(out io.Writer, name Contender, rate float64, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s at %.0f/s\tmoves\tdone\tstopped\tmissed\tbad mean\tbad most\tclear median\tclear most\twithin 2 s\n", name, rate)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f %%\t%.3f %%\t%.2f s\t%.2f s\t%d\n", r.Kind, r.Moves, r.Done, r.Stopped,
			r.Missed, 100*r.MeanBad, 100*r.MostBad, r.HalfClear.Seconds(), r.MostClear.Seconds(), r.WithinPromise)
	}
	return w.Flush()
}
