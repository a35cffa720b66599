package stand

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// NodeMemory is the memory of a node in bytes that the capacity page plans with.
const NodeMemory = 128_000_000

// PeakHeap returns the largest size of the heap in bytes while f runs.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	peak := make(chan uint64)
	go func() {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		var largest uint64
		for {
			metrics.Read(sample)
			largest = max(largest, sample[0].Value.Uint64())
			select {
			case <-done:
				peak <- largest
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	return <-peak
}
