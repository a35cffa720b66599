package canary_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/canary"
)

const (
	// storeReads is the platform's read rate; the nodes may use half of it.
	storeReads = 2000
	// inForce is P10's bound at full size.
	inForce = 15 * time.Second
)

// Guards against read storms on the store at full size (all nodes start at
// once, a new head, the end of an outage) and against slow rollout (P10).
func TestFleetReadsAndInForce(t *testing.T) {
	f := canary.NewFleet(seed)
	f.Publish("one")
	check := func(step string, d time.Duration) {
		most, all := f.Run(d)
		t.Logf("%s: at most %d store reads in 1 s, in force everywhere after %v", step, most, all)
		assert.Assert(t, most <= storeReads/2, "%s: %d reads", step, most)
		assert.Assert(t, all > 0 && all <= inForce, "%s: in force after %v", step, all)
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
