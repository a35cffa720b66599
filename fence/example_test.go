package fence_test

import (
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
)

// The cancel arrives before its request, which is then refused.
func ExampleTable_Cancel() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	deadline := now.Add(2 * time.Second)
	table := fence.New(fence.Options[string]{Start: 7})
	id := ident.NewRequest(1, 2)

	v := table.Cancel(id, 7, deadline, now)
	fmt.Println(v.Kind, v.NotRun())
	v = table.Begin(id, 7, deadline, now.Add(time.Second))
	fmt.Println(v.Kind, v.NotRun())
	// Output:
	// cancelled true
	// cancelled true
}

// A duplicate of a request that ran gets the stored answer.
func ExampleTable_Begin() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	deadline := now.Add(2 * time.Second)
	table := fence.New(fence.Options[string]{Start: 7})
	id := ident.NewRequest(1, 2)

	fmt.Println(table.Begin(id, 7, deadline, now).Kind)
	table.Finish(id, fence.Answer[string]{State: fence.Ran, Value: "booked"}, now)
	v := table.Begin(id, 7, deadline, now)
	fmt.Println(v.Kind, v.Stored, v.Answer.Value)
	// Output:
	// run
	// duplicate-finished true booked
}

// The home of a key doesn't depend on the order of the members.
func ExampleHome() {
	members := []ident.Node{"counter-1", "counter-2", "counter-3"}
	home, _ := fence.Home("order-17", members)
	same, _ := fence.Home("order-17", []ident.Node{"counter-3", "counter-1", "counter-2"})
	fmt.Println(home == same)
	// Output: true
}
