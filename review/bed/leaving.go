package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of cyfrif and audit-export on gwely-glan.
const (
	// slots is the number of slots of all workers.
	slots          = 6
	exportWork     = 640 * time.Millisecond
	exportDeadline = 5 * time.Second
	exportTimeout  = 3 * time.Second
	// longExportWork is a run below the longest one of audit-export, 3.8 s.
	longExportWork = 2700 * time.Millisecond
	// lostAnswers of the slots runs lose their answers: a third, where answer_lost
	// allows 0.4.
	lostAnswers = slots / 3
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// playLeaving lets a worker leave while it runs safe requests. The answers of some are
// lost: their connections are reset.
func playLeaving(r *record, trouble bool) (int, error) {
	s, err := newSystem(r)
	if err != nil {
		return 0, err
	}
	defer s.close()
	var long atomic.Bool
	var ended atomic.Int64
	loses := func() bool { return trouble && long.Load() && ended.Add(1) <= lostAnswers }
	o := workerOptions{slots: slots, losesAnswer: loses, work: func(string) time.Duration {
		if long.Load() {
			return longExportWork
		}
		return exportWork
	}}
	other := workerOptions{slots: slots, work: func(string) time.Duration { return exportWork }}
	leaving, err := s.add("cymru-a", "cyfrif", o)
	if err != nil {
		return 0, err
	}
	for _, zone := range []string{"cymru-b", "cymru-c"} {
		if _, err := s.add(zone, "cyfrif", other); err != nil {
			return 0, err
		}
	}
	if err := s.start(configuration(5, []string{"cyfrif"}, []rule{
		{"audit-export", "/exports/", "safe", "cyfrif", 1500 * time.Millisecond, exportTimeout},
	})); err != nil {
		return 0, err
	}
	c := newClient(r)
	send := func(n int) *sync.WaitGroup {
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() { c.send(leaving, http.MethodGet, "/exports/x", exportDeadline) })
		}
		return &wg
	}
	// These fill all slots. The node keeps the connections to its worker after them.
	send(len(s.machines) * slots).Wait()
	long.Store(true)
	running := send(slots)
	time.Sleep(150 * time.Millisecond)
	acknowledged, err := leaving.worker.leave()
	running.Wait()
	if err != nil {
		return 0, err
	}
	broken := 0
	for _, a := range leaving.worker.arrivals() {
		if late := a.at.Sub(acknowledged); late > drainTime {
			broken++
			r.add("%s reached the leaving worker %v after the acknowledgement", a.id, late)
		}
	}
	return broken, nil
}
