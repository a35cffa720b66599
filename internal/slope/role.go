package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// The system of design section 1.3 in two years, and what it implies.
const (
	members  = 1100
	services = 170
	calls    = 82000
	levels   = 19
	domains  = 7
	changes  = 1300
	// callsPerNode is what each entry and each exit handles in a second.
	callsPerNode = float64(calls) / members
	// perService is the mean number of members of one service, rounded up.
	perService = (members + services - 1) / services
	// workKeys are the callers and routes that one exit counts separately:
	// three routes, each called by five services.
	workKeys = 15
	routes   = 3
	day      = 24 * 60 * 60
	seed     = 20261204
)

// sizes are the numbers of members at which the machines are measured.
var sizes = []int{30, 100, 300, members}

// quickMost is the largest size of the membership scenarios with events unless
// the run is whole: at 1,100 members they take most of the time of a run.
const quickMost = 600

// Options tell where real processes are started.
type Options struct {
	// Whole measures all membership scenarios at the full size.
	Whole bool
	// Bin is the directory of the program cicadahall.
	Bin string
	// Dir receives settings and logs of the processes.
	Dir string
}

// Role is a part of a node whose cost has a table on the page.
type Role struct {
	Name string
	// Rows are the names of the figures in the order of the table.
	Rows    []string
	Measure func(context.Context, Options) ([]Series, error)
}

// Roles lists the roles in the order of the page.
func Roles() []Role {
	return []Role{
		{Name: "entry", Rows: entryRows, Measure: measureEntry},
		{Name: "exit", Rows: exitRows, Measure: measureExit},
		{Name: "member", Rows: memberRows(), Measure: measureMember},
		{Name: "config", Rows: configRows, Measure: measureConfig},
		{Name: "move", Rows: moveRows, Measure: measureMove},
		{Name: "work", Rows: workRows, Measure: measureWork},
		{Name: "platform", Rows: platformRows, Measure: measurePlatform},
		{Name: "event", Rows: eventRows, Measure: measureEvent},
		{Name: "process", Rows: processRows, Measure: measureProcess},
	}
}

// board collects the points of several series.
type board struct {
	series []Series
	index  map[string]int
}

// define adds an empty series.
func (b *board) define(s Series) {
	if b.index == nil {
		b.index = map[string]int{}
	}
	b.index[s.Name] = len(b.series)
	b.series = append(b.series, s)
}

// add adds a point to a defined series.
func (b *board) add(name string, size int, cost float64) {
	s := &b.series[b.index[name]]
	s.Points = append(s.Points, Point{Size: float64(size), Cost: cost})
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// leastBusy is long against the resolution of the processor time.
const leastBusy = 100 * time.Millisecond

// microseconds returns the processor time of one call of f.
func microseconds(f func()) float64 {
	f()
	runtime.GC()
	begin, n := processorTime(), 0
	for busy := time.Duration(0); busy < leastBusy; busy = processorTime() - begin {
		for range 16 {
			f()
		}
		n += 16
	}
	return float64(processorTime()-begin) / float64(time.Microsecond) / float64(n)
}

// heapOf returns the bytes that the result of f keeps allocated.
func heapOf(f func() any) float64 {
	before := heapBytes()
	v := f()
	after := heapBytes()
	runtime.KeepAlive(v)
	return max(0, after-before)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
