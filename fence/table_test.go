package fence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
)

const start ident.Start = 7

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func table(entries, bytes int) *fence.Table[string] {
	return fence.New(fence.Options[string]{
		Start: start, Entries: entries, Bytes: bytes,
		Size: func(s string) int { return len(s) },
	})
}

func ranAnswer(s string) fence.Answer[string] {
	return fence.Answer[string]{State: fence.Ran, Value: s}
}

// Guards against a second run, a false report of not run, a state lost with its
// dropped answer, an early expiry, an eviction from a full table, and a clock
// that goes back. Copies of a few requests arrive in any order and at any time.
func TestTableRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			tab      = table(rapid.IntRange(1, 4).Draw(t, "entries"), 8)
			now      = epoch
			deadline = map[ident.Request]time.Time{}
			runs     = map[ident.Request]int{}
			notRun   = map[ident.Request]bool{}
			running  = map[ident.Request]bool{}
		)
		checkVerdict := func(id ident.Request, v fence.Verdict[string]) {
			if v.NotRun() {
				assert.Equal(t, runs[id], 0, "reported as not run after a run")
				notRun[id] = true
			}
		}
		drawRequest := func() (ident.Request, time.Time) {
			id := ident.NewRequest(rapid.Uint64Range(0, 5).Draw(t, "id"), 0)
			if _, ok := deadline[id]; !ok {
				deadline[id] = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "left")) * time.Millisecond)
			}
			return id, deadline[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				id, d := drawRequest()
				v := tab.Begin(id, start, d, now)
				checkVerdict(id, v)
				if v.Kind == fence.Run {
					runs[id]++
					running[id] = true
					assert.Equal(t, runs[id], 1, "ran twice")
					assert.Assert(t, !notRun[id], "ran after it was reported as not run")
				}
			},
			"cancel": func(*rapid.T) {
				id, d := drawRequest()
				checkVerdict(id, tab.Cancel(id, start, d, now))
			},
			"finish": func(*rapid.T) {
				id, _ := drawRequest()
				a := ranAnswer(rapid.SampledFrom([]string{"", "four", "more than eight"}).Draw(t, "answer"))
				assert.Equal(t, tab.Finish(id, a, now), running[id])
				delete(running, id)
			},
			"refuse": func(*rapid.T) {
				id, _ := drawRequest()
				if tab.Finish(id, fence.Answer[string]{State: fence.Refused}, now) {
					runs[id] = 0
					notRun[id] = true
					delete(running, id)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-300, 2500).Draw(t, "step")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				assert.Assert(t, tab.Bytes() <= 8)
				assert.Assert(t, tab.Len() <= 4)
			},
		})
	})
}

// Guards against a fence that is removed before its deadline plus the clock
// bound: a copy that is late by less than the bound would run again.
func TestTableKeepsFenceThroughClockBound(t *testing.T) {
	tab := table(8, 8)
	id, d := ident.NewRequest(1, 1), epoch.Add(time.Second)
	assert.Equal(t, tab.Begin(id, start, d, epoch).Kind, fence.Run)
	tab.Finish(id, ranAnswer("x"), epoch)
	lastMoment := d.Add(fence.ClockBound)
	assert.Equal(t, tab.Begin(id, start, d, lastMoment).Kind, fence.DuplicateFinished)
	tab.Expire(lastMoment.Add(1))
	assert.Equal(t, tab.Len(), 0)
	v := tab.Begin(id, start, d, lastMoment.Add(1))
	assert.Equal(t, v.Kind, fence.Expired)
	assert.Assert(t, !v.NotRun(), "an expired request was reported as not run")
}

// Guards against the eviction of an unexpired fence from a full table, and
// against a request that runs after it was refused or cancelled while the table
// was full.
func TestTableFull(t *testing.T) {
	tab := table(1, 8)
	d := epoch.Add(time.Second)
	first, second, third := ident.NewRequest(1, 1), ident.NewRequest(2, 2), ident.NewRequest(3, 3)
	assert.Equal(t, tab.Begin(first, start, d, epoch).Kind, fence.Run)
	late := epoch.Add(3 * time.Second)
	assert.Equal(t, tab.Begin(second, start, late, epoch).Kind, fence.Full)
	assert.Equal(t, tab.Cancel(third, start, late, epoch).Kind, fence.CancelledFirst)
	assert.Equal(t, tab.Begin(first, start, d, epoch).Kind, fence.DuplicateRunning)
	tab.Finish(first, ranAnswer("x"), epoch)
	afterExpiry := epoch.Add(2 * time.Second)
	assert.Equal(t, tab.Begin(second, start, late, afterExpiry).Kind, fence.DuplicateRefused)
	assert.Equal(t, tab.Begin(third, start, late, afterExpiry).Kind, fence.DuplicateRefused)
	assert.Equal(t, tab.Begin(ident.NewRequest(4, 4), start, late, afterExpiry).Kind, fence.Run)
}

// Guards against a request that the overflow filter refused as a false positive
// and that runs once the id that caused the false positive has expired.
func TestTableFullFalsePositive(t *testing.T) {
	tab := table(1, 8)
	id := func(n uint64) ident.Request { return ident.NewRequest(n, 0) }
	soon, late := epoch.Add(time.Millisecond), epoch.Add(time.Second)
	tab.Cancel(id(1), start, soon, epoch)
	assert.Equal(t, tab.Begin(id(2), start, soon, epoch).Kind, fence.Full)
	assert.Equal(t, tab.Begin(id(0), start, late, epoch).Kind, fence.DuplicateRefused)
	after := soon.Add(fence.ClockBound + 1)
	assert.Equal(t, tab.Begin(id(0), start, late, after).Kind, fence.DuplicateRefused)
}

// Guards against a message to an earlier process start that runs, or that is
// reported as not run although it may have run under the earlier start.
func TestTableWrongStart(t *testing.T) {
	tab := table(8, 8)
	for _, s := range []ident.Start{0, start + 1} {
		v := tab.Begin(ident.NewRequest(1, 1), s, epoch.Add(time.Second), epoch)
		assert.Equal(t, v.Kind, fence.WrongStart)
		assert.Assert(t, !v.NotRun())
	}
}

// Guards against a finished request for which Done isn't called or whose answer
// is dropped before Done, and against newer answers dropped before older ones.
func TestTableDoneAndOldestDropped(t *testing.T) {
	var tab *fence.Table[string]
	var answers []string
	tab = fence.New(fence.Options[string]{
		Start: start, Bytes: 8, Size: func(s string) int { return len(s) },
		Done: func(id ident.Request) {
			a, stored := tab.Lookup(id)
			assert.Assert(t, stored)
			answers = append(answers, a.Value)
		},
	})
	want := []string{"aaaa", "bbbb", "cccc", "longer than all"}
	for i, s := range want {
		id := ident.NewRequest(uint64(i), 1)
		tab.Begin(id, start, epoch.Add(time.Second), epoch)
		tab.Finish(id, ranAnswer(s), epoch)
		if i == 2 {
			_, stored := tab.Lookup(ident.NewRequest(0, 1))
			assert.Assert(t, !stored)
			_, stored = tab.Lookup(ident.NewRequest(1, 1))
			assert.Assert(t, stored)
		}
	}
	assert.DeepEqual(t, answers, want)
	a, stored := tab.Lookup(ident.NewRequest(3, 1))
	assert.Assert(t, !stored && a.State == fence.Ran)
}

// Guards against a request that is reported as not run although NoTombstone
// kept Cancel from recording a tombstone for it.
func TestTableNoMark(t *testing.T) {
	tab := fence.New(fence.Options[string]{Start: start, NoTombstone: true})
	id, d := ident.NewRequest(1, 1), epoch.Add(time.Second)
	v := tab.Cancel(id, start, d, epoch)
	assert.Equal(t, v.Kind, fence.NoRecord)
	assert.Assert(t, !v.NotRun())
	assert.Equal(t, tab.Begin(id, start, d, epoch).Kind, fence.Run)
}

// Guards against an invalid deadline that keeps a fence for hours.
func TestTableRefusesFarDeadline(t *testing.T) {
	tab := table(8, 8)
	far := epoch.Add(fence.MaxTimeout + fence.ClockBound + 1)
	assert.Equal(t, tab.Begin(ident.NewRequest(1, 1), start, far, epoch).Kind, fence.Expired)
	assert.Equal(t, tab.Len(), 0)
}

func BenchmarkBeginFinish(b *testing.B) {
	b.ReportAllocs()
	tab := fence.New(fence.Options[string]{Start: start, Entries: 1 << 14})
	now := epoch
	i := uint64(0)
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		id := ident.NewRequest(i, i*0x9e3779b97f4a7c15)
		tab.Begin(id, start, now.Add(10*time.Second), now)
		tab.Finish(id, ranAnswer("answer"), now)
	}
}
