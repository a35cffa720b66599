// Package mono is the clock of requests: the wall-clock time at the start of
// the process plus the monotonic time since then. It never steps.
//
// time.Now carries two clocks, and compares by the monotonic one only if both
// times have it. A deadline from the network has none, so that a step of the
// wall clock would order the same two moments in two ways, and an expired
// fence could admit a request again.
package mono

import (
	"context"
	"time"
)

var began = time.Now()

// Now returns the current time. Two results differ by the monotonic time
// between them, in both clocks that a time.Time carries.
func Now() time.Time {
	return began.Add(time.Since(began))
}

// Until returns the time left until a deadline from the network.
func Until(deadline time.Time) time.Duration {
	return deadline.Sub(Now())
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
