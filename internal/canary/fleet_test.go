package canary_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/canary"
)

const (
	// storeReads is the number of reads per second that the platform serves; the
	// nodes may use half of it.
	storeReads = 2000
	// maxAdoption is the required bound on the time until all nodes have adopted a
	// configuration.
	maxAdoption = 15 * time.Second
)

// Guards against too many reads of the store by the largest system when all nodes
// start at once, at a new head and at the end of an outage, and against a slow
// configuration rollout.
func TestFleetReadsAndInForce(t *testing.T) {
	f := canary.NewFleet(seed)
	f.Publish("one")
	check := func(step string, d time.Duration) {
		maxReads, adopted := f.Run(d)
		t.Logf("%s: at most %d store reads in 1 s, adopted by all nodes after %v", step, maxReads, adopted)
		assert.Assert(t, maxReads <= storeReads/2, "%s: %d reads", step, maxReads)
		assert.Assert(t, adopted > 0 && adopted <= maxAdoption, "%s: adopted after %v", step, adopted)
	}
	check("start", 30*time.Second)
	f.Publish("two")
	check("new head", 30*time.Second)
	f.Down = true
	f.Run(time.Minute)
	f.Publish("three")
	f.Down = false
	check("after an outage", 30*time.Second)
}
