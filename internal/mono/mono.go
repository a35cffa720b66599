// Package mono provides a clock that never steps: the wall-clock time at the
// start of the process plus the monotonic time since then. Requests and their
// deadlines use it.
//
// Times returned by time.Now contain a wall-clock and a monotonic reading, and
// are compared by the monotonic one only if both times have it. A deadline from
// the network has none. After a step of the wall clock, the same two instants
// could therefore compare differently, and an expired fence could admit a
// request again.
package mono

import (
	"context"
	"time"
)

var processStart = time.Now()

// Now returns the current time. Both readings of two results differ by the
// monotonic time between them.
func Now() time.Time {
	return processStart.Add(time.Since(processStart))
}

// Until returns the time remaining until a deadline received from the network.
func Until(deadline time.Time) time.Duration {
	return deadline.Sub(Now())
}

// Sleep blocks for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
