package scale_test

import (
	"fmt"
	"testing"

	"github.com/cicadahall/cicadahall/internal/scale"
)

// sizes are the numbers of nodes in the table of docs/membership.md.
var sizes = []int{30, 100, 300, 1100}

// BenchmarkMembership measures the cost of membership for each scenario and size.
func BenchmarkMembership(b *testing.B) {
	for _, s := range scale.Scenarios {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%s/%d", s, n), func(b *testing.B) {
				var c scale.Cost
				for b.Loop() {
					c = scale.Membership(n, s)
				}
				b.ReportMetric(c.Sent, "msgs/node/s")
				b.ReportMetric(c.SentBytes+c.ReceivedBytes, "bytes/node/s")
				b.ReportMetric(c.Processor*1e6, "cpu-us/node/s")
				b.ReportMetric(float64(c.Heap), "heap-bytes/node")
				b.Log(c)
			})
		}
	}
}
