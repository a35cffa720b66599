package cost_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/ident"
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

// Guards against an order in which a less urgent request or one that misses its
// objective goes first, in which a short request with little slack waits behind a
// long one that loses nothing, and in which a request that has waited for long
// never moves up.
func TestRank(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	request := func(priority int, work, objective time.Duration) cost.Request {
		return cost.Request{Priority: priority, Arrived: start, Deadline: start.Add(10 * time.Second), Objective: start.Add(objective), Work: work}
	}
	aged := func(r cost.Request) cost.Request {
		r.Arrived, r.Deadline = start.Add(-2*time.Second), start.Add(time.Second)
		return r
	}
	earlier := request(0, time.Second, 500*time.Millisecond)
	earlier.Deadline = start.Add(2 * time.Second)
	order := []cost.Request{
		aged(request(0, 100*time.Millisecond, time.Second)),
		aged(request(1, 100*time.Millisecond, 200*time.Millisecond)),
		request(0, 100*time.Millisecond, 200*time.Millisecond),
		request(0, 400*time.Millisecond, 500*time.Millisecond),
		request(0, 100*time.Millisecond, time.Second),
		aged(request(0, time.Second, 500*time.Millisecond)),
		request(1, 100*time.Millisecond, 200*time.Millisecond),
		request(2, 100*time.Millisecond, 200*time.Millisecond),
		earlier,
		request(0, time.Second, 500*time.Millisecond),
		request(1, time.Second, 500*time.Millisecond),
	}
	// The first two have the level of the most urgent priority or a higher one.
	for i, r := range order {
		for j, o := range order {
			if i < j && i != 1 {
				assert.Assert(t, r.Rank(start, serviceTime).Before(o.Rank(start, serviceTime)), "%d before %d", i, j)
				assert.Assert(t, !o.Rank(start, serviceTime).Before(r.Rank(start, serviceTime)), "%d before %d", j, i)
			}
		}
	}
	assert.Assert(t, order[1].Rank(start, serviceTime) == order[2].Rank(start, serviceTime), "moved up by exactly one priority")
}

// Guards against a workspace that gets more than an equal share of the work while
// another one waits, against credit for idle time, and against a request without a
// workspace that is treated as one of its own.
func TestFairShare(t *testing.T) {
	const work = 10 * time.Millisecond
	s := cost.NewFairShare(3)
	a, b := s.Join(1, "a", work), s.Join(1, "b", 4*work)
	assert.Assert(t, a.Tag() == b.Tag())
	a.Start(work)
	assert.Assert(t, a.Tag() > b.Tag())
	b.Start(4 * work)
	for range 3 {
		assert.Assert(t, a.Tag() < b.Tag())
		a.Start(work)
	}
	assert.Equal(t, a.Tag(), b.Tag())
	assert.Equal(t, s.Join(1, "", work), s.Join(1, "", work))
	idle, _, _ := s.Peek(1, "later")
	assert.Equal(t, idle, a.Tag()-work, "starts at the tag of the latest start")
	other, _, _ := s.Peek(0, "a")
	assert.Equal(t, other, time.Duration(0), "priorities don't affect each other")
}

// Guards against a state that grows with the number of workspaces, and against a
// dropped flow that still has requests queued.
func TestFairShareIsBounded(t *testing.T) {
	const limit = 100
	s := cost.NewFairShare(limit)
	queued := s.Join(0, "queued", time.Second)
	for n := range 10_000 {
		f := s.Join(0, ident.Workspace(strconv.Itoa(n)), time.Second)
		f.Start(time.Second)
		f.Leave(time.Second)
		assert.Assert(t, s.Len() <= limit)
	}
	assert.Equal(t, s.Join(0, "queued", time.Second), queued)
	for n := range 10_000 {
		s.Join(n%2, ident.Workspace(strconv.Itoa(n)), time.Second)
		assert.Assert(t, s.Len() <= limit+2)
	}
	assert.Equal(t, s.Join(0, "new", time.Second), s.Join(0, "", time.Second), "further workspaces share a flow")
	s.Reset()
	assert.Equal(t, s.Len(), 0)
}
