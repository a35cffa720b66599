package scale

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/member"
)

// Scenario names the events that occur while the cost is measurePeriod.
type Scenario string

const (
	// Idle means that nothing changes.
	Idle Scenario = "idle"
	// Restarts means 220 announced restarts a day.
	Restarts Scenario = "restarts"
	// Changes means 1,300 configuration changes a day.
	Changes Scenario = "changes"
	// PartitionHeal means the time after a partition of the regions that lasted
	// 10 minutes.
	PartitionHeal Scenario = "heal"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Idle, Restarts, Changes, PartitionHeal}

const (
	day           = 24 * time.Hour
	restartPeriod = day / 220
	changePeriod  = day / 1300
	partition     = 10 * time.Minute
	// warmUp is the time before the measurement, in which probing reaches its
	// steady rate.
	warmUp = 30 * time.Second
	// measurePeriod is the virtual time over which the cost is measurePeriod.
	measurePeriod = 10 * time.Minute
	// downtime is the time from the end of a process to its restart.
	downtime = 5 * time.Second
	// seed is the seed of all measurements.
	seed = 20261204
)

// Cost is the result of one measurement. Fields without another unit are means
// per node and second; bytes include IP, UDP and HTTP headers.
type Cost struct {
	Size             int
	Scenario         Scenario
	Sent             float64 // messages
	Received         float64 // messages
	SentBytes        float64
	ReceivedBytes    float64
	CallBytes        float64       // of anti-entropy calls, part of SentBytes and ReceivedBytes
	PeakBytes        int           // sent and received; maximum of all nodes and seconds
	MaxNodeBytes     float64       // mean of sent and received bytes per second; maximum of all nodes
	Processor        float64       // share of one core
	Heap             int           // bytes per node at the end
	ConvergenceTime  time.Duration // PartitionHeal only: from the end of the partition until Converged reports true
	FalseUnreachable int           // reports of a running member as unreachable
}

// String returns one line of the table in docs/membership.md.
func (c Cost) String() string {
	return fmt.Sprintf("%5d %-9s msgs %.2f/%.2f bytes %.0f/%.0f call %.0f worst %.0f peak %d cpu %.4f%% heap %d settle %v false %d",
		c.Size, c.Scenario, c.Sent, c.Received, c.SentBytes, c.ReceivedBytes, c.CallBytes,
		c.MaxNodeBytes, c.PeakBytes, 100*c.Processor, c.Heap, c.ConvergenceTime.Round(time.Second), c.FalseUnreachable)
}

// Membership measures the cost of membership with size nodes.
func Membership(size int, s Scenario) Cost {
	before := heapBytes()
	n := NewNetwork(size, seed)
	n.StartAll()
	n.Run(warmUp)
	cost := Cost{Size: size, Scenario: s}
	switch s {
	case Restarts:
		n.restarts()
	case Changes:
		n.changes()
	case PartitionHeal:
		n.Faults.Partitioned = func(a, b *Host) bool { return a.Region() != b.Region() }
		n.Run(partition)
		n.Faults.Partitioned = nil
	}
	n.measure(&cost)
	cost.Heap = (heapBytes() - before) / size
	runtime.KeepAlive(n)
	return cost
}

// restarts restarts random hosts, one at a time. Each announces that it leaves.
func (n *Network) restarts() {
	n.After(restartPeriod/4, func() {
		h := n.Hosts[n.random.IntN(len(n.Hosts))]
		h.Machine.Leave(n.Now())
		n.After(2*time.Second, func() { n.Kill(h) })
		n.After(2*time.Second+downtime, func() { n.Start(h) })
		n.After(restartPeriod*3/4, n.restarts)
	})
}

// changes publishes one configuration after the other, each at a random host.
func (n *Network) changes() {
	revision := ident.Revision(0)
	var publish func()
	publish = func() {
		revision++
		h := n.Hosts[n.random.IntN(len(n.Hosts))]
		h.Machine.SetHead(member.Head{
			Revision: revision,
			Digest:   ident.Digest(fmt.Sprintf("%064x", revision)),
			Change:   ident.Change(fmt.Sprintf("change-%020d", revision)),
		})
		n.After(changePeriod, publish)
	}
	n.After(changePeriod/2, publish)
}

// measure runs the measurement in steps of a second and sets the rates in c.
func (n *Network) measure(c *Cost) {
	start := n.Now()
	before := make([]Traffic, len(n.Hosts))
	last := make([]int, len(n.Hosts))
	for i, h := range n.Hosts {
		before[i] = h.Traffic
		last[i] = h.Traffic.SentBytes + h.Traffic.ReceivedBytes
		h.OnChange = func(r member.Record) {
			if r.State == member.Unreachable && n.host(r.Node).Running() {
				c.FalseUnreachable++
			}
		}
	}
	var processor time.Duration
	for n.Now().Sub(start) < measurePeriod {
		t := processorTime()
		n.Run(time.Second)
		processor += processorTime() - t
		for i, h := range n.Hosts {
			total := h.Traffic.SentBytes + h.Traffic.ReceivedBytes
			c.PeakBytes = max(c.PeakBytes, total-last[i])
			last[i] = total
		}
		if c.Scenario == PartitionHeal && c.ConvergenceTime == 0 && n.Converged() {
			c.ConvergenceTime = n.Now().Sub(start)
		}
	}
	seconds := measurePeriod.Seconds()
	nodeSeconds := seconds * float64(len(n.Hosts))
	for i, h := range n.Hosts {
		t, b := h.Traffic, before[i]
		c.Sent += float64(t.Sent-b.Sent) / nodeSeconds
		c.Received += float64(t.Received-b.Received) / nodeSeconds
		c.SentBytes += float64(t.SentBytes-b.SentBytes) / nodeSeconds
		c.ReceivedBytes += float64(t.ReceivedBytes-b.ReceivedBytes) / nodeSeconds
		c.CallBytes += float64(t.CallBytes-b.CallBytes) / nodeSeconds
		c.MaxNodeBytes = max(c.MaxNodeBytes, float64(t.SentBytes+t.ReceivedBytes-b.SentBytes-b.ReceivedBytes)/seconds)
	}
	c.Processor = processor.Seconds() / nodeSeconds
}

func (n *Network) host(node ident.Node) *Host {
	for _, h := range n.Hosts {
		if h.record.Node == node {
			return h
		}
	}
	return nil
}

// processorTime returns the user and system time of this process, including
// garbage collection.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the heap in use after a garbage collection, in bytes.
func heapBytes() int {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}
