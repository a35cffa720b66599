package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// Size and load of the system that the node is designed for, expected in two
// years, and values derived from them.
const (
	memberCount    = 1100
	serviceCount   = 170
	callsPerSecond = 82000
	callLevels     = 19
	domainCount    = 7
	changesPerDay  = 1300
	// callsPerNode is the number of calls per second of each entry and each exit.
	callsPerNode = float64(callsPerSecond) / memberCount
	// membersPerService is the mean number of members of one service, rounded
	// up.
	membersPerService = (memberCount + serviceCount - 1) / serviceCount
	// workKeys is the number of pairs of caller and route that one exit counts
	// separately: three routes, each called by five services.
	workKeys         = 15
	routesPerService = 3
	secondsPerDay    = 24 * 60 * 60
	seed             = 20261204
)

// memberCounts lists the numbers of members at which the state machines are
// measured.
var memberCounts = []int{30, 100, 300, memberCount}

// reducedMembers is the largest number of members in the membership scenarios
// other than idle unless Options.FullSize is set: at 1,100 members they take
// most of the time of a run.
const reducedMembers = 600

// Options configure a measurement.
type Options struct {
	// FullSize selects the full size for all membership scenarios.
	FullSize bool
	// Bin is the directory of the executable cicadahall.
	Bin string
	// Dir is the directory for the settings files of the node processes.
	Dir string
}

// Role is a part of a node whose costs have their own table on the page.
type Role struct {
	Name string
	// Rows are the names of the costs in the order of the table.
	Rows    []string
	Measure func(context.Context, Options) ([]Series, error)
}

// Roles returns the roles in the order of the page.
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

// seriesBuilder collects the points of several series.
type seriesBuilder struct {
	series []Series
	index  map[string]int
}

// define adds s, to which add then adds points.
func (b *seriesBuilder) define(s Series) {
	if b.index == nil {
		b.index = map[string]int{}
	}
	b.index[s.Name] = len(b.series)
	b.series = append(b.series, s)
}

// add adds a point to the series name, which must be defined.
func (b *seriesBuilder) add(name string, size int, cost float64) {
	s := &b.series[b.index[name]]
	s.Points = append(s.Points, Point{Size: float64(size), Cost: cost})
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// minProcessorTime is the shortest measurement, long compared with the
// resolution of the processor time.
const minProcessorTime = 100 * time.Millisecond

// microsecondsPerCall returns the mean processor time of one call of f in µs.
func microsecondsPerCall(f func()) float64 {
	f()
	runtime.GC()
	start, n := processorTime(), 0
	for busy := time.Duration(0); busy < minProcessorTime; busy = processorTime() - start {
		for range 16 {
			f()
		}
		n += 16
	}
	return float64(processorTime()-start) / float64(time.Microsecond) / float64(n)
}

// retainedHeap returns the bytes of heap that the result of f retains.
func retainedHeap(f func() any) float64 {
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
