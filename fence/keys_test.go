package fence_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
)

const keyRetention = fence.MaxTimeout + fence.ClockBound

// Guards against a key that runs twice across restarts and changes of its home.
// All members apply each membership change at once, and a request may reach any
// member. A key may run again only after keyRetention since its last run ended.
func TestKeysRunOnce(t *testing.T) {
	nodes := []ident.Node{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		// The nodes start long enough ago to have the history of all keys.
		now := epoch.Add(-2 * keyRetention)
		members := nodes
		tables := map[ident.Node]*fence.Keys[string]{}
		restart := func(n ident.Node) {
			tables[n] = fence.NewKeys(fence.KeyOptions[string]{Self: n, Entries: 2, Bytes: 1}, members, now)
		}
		for _, n := range nodes {
			restart(n)
		}
		now = epoch
		lastEnd := map[string]time.Time{}
		node := rapid.SampledFrom(nodes)
		key := rapid.SampledFrom([]string{"k1", "k2", "k3"})
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				k := key.Draw(t, "key")
				n, _ := fence.Home(k, members)
				if rapid.IntRange(0, 3).Draw(t, "astray") == 0 {
					n = node.Draw(t, "node")
				}
				if tables[n].Begin(k, now).Kind != fence.KeyRun {
					return
				}
				if last, ok := lastEnd[k]; ok {
					assert.Assert(t, now.After(last.Add(keyRetention)), "key %s ran again at %s", k, n)
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "run")) * time.Second)
				if rapid.IntRange(0, 3).Draw(t, "refuse") == 0 {
					tables[n].Finish(k, fence.Answer[string]{State: fence.Refused}, now)
					return
				}
				tables[n].Finish(k, ranAnswer("x"), now)
				lastEnd[k] = now
			},
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "whether") == 0 {
					restart(node.Draw(t, "node"))
				}
			},
			"members": func(*rapid.T) {
				n := rapid.IntRange(1, 3).Draw(t, "count")
				members = rapid.Permutation(nodes).Draw(t, "members")[:n]
				for _, m := range nodes {
					tables[m].SetMembers(members, now)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 30, 30, 300}).Draw(t, "step")) * time.Second)
			},
		})
	})
}

// Guards against a stored answer that isn't returned, a refused key that can't
// be retried, and a key that runs after a restart although its history is
// missing.
func TestKeysScenario(t *testing.T) {
	k := fence.NewKeys(fence.KeyOptions[string]{Self: "a"}, []ident.Node{"a"}, epoch)
	assert.Equal(t, k.Begin("order", epoch.Add(keyRetention)).Kind, fence.KeyUnknown)
	now := epoch.Add(keyRetention + 1)
	assert.Equal(t, k.Begin("order", now).Kind, fence.KeyRun)
	assert.Equal(t, k.Begin("order", now).Kind, fence.KeyRunning)
	assert.Assert(t, k.Finish("order", fence.Answer[string]{State: fence.Refused}, now))
	assert.Equal(t, k.Begin("order", now).Kind, fence.KeyRun)
	assert.Assert(t, k.Finish("order", ranAnswer("booked"), now))
	v := k.Begin("order", now.Add(keyRetention))
	assert.Assert(t, v.Kind == fence.KeyFinished && v.Stored && v.Answer.Value == "booked")
	assert.Equal(t, k.Begin("order", now.Add(keyRetention+1)).Kind, fence.KeyRun)
}

// Guards against a member that leaves and thereby moves keys of other members,
// and against a member that gets far more than its share of the keys.
func TestHomeMovesFewKeys(t *testing.T) {
	members := []ident.Node{"a", "b", "c", "d", "e"}
	count := map[ident.Node]int{}
	for i := range 5000 {
		key := fmt.Sprintf("key-%d", i)
		before, _ := fence.Home(key, members)
		after, _ := fence.Home(key, members[:4])
		count[before]++
		assert.Assert(t, before == after || before == "e")
	}
	for _, m := range members {
		assert.Assert(t, count[m] > 800 && count[m] < 1200, "%s: %d", m, count[m])
	}
	_, ok := fence.Home("key", nil)
	assert.Assert(t, !ok)
}
