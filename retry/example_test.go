package retry_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cicadahall/cicadahall/retry"
)

// A non-idempotent request on a silent connection is resolved, proved not to
// have run, and sent to another member.
func ExamplePlan_Next() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	budget := retry.NewBudget(retry.BudgetOptions{})
	plan := retry.New(retry.Chain{Attempts: 3, Timeout: 2 * time.Second}, budget, now)

	fmt.Println(plan.Next(retry.Unknown, retry.NoAnswer, false, now).Kind)
	fmt.Println(plan.Next(retry.NotRun, retry.Cancelled, false, now).Kind)
	fmt.Println(plan.Next(retry.Ran, retry.None, false, now).Kind)
	// Output:
	// resolve
	// elsewhere
	// deliver
}

func ExampleParseChain() {
	h := http.Header{}
	h.Set(retry.TimeoutHeader, "1500ms")
	c, err := retry.ParseChain(h)
	fmt.Println(c.Attempts, c.Depth, c.Timeout, err)
	h.Set(retry.DepthHeader, "20")
	_, err = retry.ParseChain(h)
	fmt.Println(err != nil)
	// Output:
	// 3 0 1.5s <nil>
	// true
}

func ExampleHedgeDelay() {
	var d retry.HedgeDelay
	for range 50 {
		d.Observe(10 * time.Millisecond)
	}
	after, ok := d.Value()
	fmt.Println(after.Round(time.Millisecond), ok)
	// Output: 10ms true
}
