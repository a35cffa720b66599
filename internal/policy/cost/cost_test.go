package cost_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/policy/cost"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a refusal of a request that can still meet its objective in
// favor of one that can't, and of an urgent request in favor of a less urgent
// one; equal requests must not displace each other.
func TestRefusal(t *testing.T) {
	const work = 100 * time.Millisecond
	request := func(priority int, objective time.Duration) cost.Request {
		return cost.Request{Priority: priority, Objective: start.Add(objective), Work: work}
	}
	ascending := []cost.Loss{
		cost.Request{Priority: 2, Work: work}.Refusal(start),
		request(1, work-1).Refusal(start),
		request(0, work-1).Refusal(start),
		request(1, work).Refusal(start),
		request(0, time.Second).Refusal(start),
	}
	for i, l := range ascending {
		for j, o := range ascending {
			assert.Equal(t, l.Less(o), i < j, "%d and %d", i, j)
		}
	}
}
