package main

import (
	"fmt"
	"time"
)

var lateBeatsOptions = fleetOptions{machines: 4, service: "bookings", slots: 6, work: 100 * time.Millisecond}

const (
	// afterLeave is how long the leaving worker goes on serving after its
	// departure was acknowledged.
	afterLeave = 12 * time.Second
	// beatDelay is by how much the last heartbeats of the worker are late.
	beatDelay = 4300 * time.Millisecond
	// observe is how long a machine must have been in touch again before its
	// requests are counted.
	observe = 500 * time.Millisecond
)

// playLateBeats lets a worker leave with its node's acknowledgement. The last two
// heartbeats before that arrive late, after the node has been killed and started
// again.
func playLateBeats(f *fleet, trouble bool) ([]string, error) {
	l := f.startLoad(3, 120*time.Millisecond)
	time.Sleep(2 * time.Second)
	m := f.machines[0]
	w := m.worker
	if trouble {
		m.beats.setDelay(beatDelay)
	}
	w.awaitBeats(2)
	ack, err := w.leave()
	if err != nil {
		return nil, err
	}
	f.record("worker %s has left, acknowledged by %s", w.id, m.name)
	lastDisruption := ack
	if trouble {
		time.Sleep(100 * time.Millisecond)
		m.kill()
		time.Sleep(restartDelay)
		lastDisruption = time.Now()
	}
	time.Sleep(time.Until(ack.Add(afterLeave)))
	f.record("worker %s ends", w.id)
	w.stop()
	time.Sleep(time.Second)
	return lateRuns(f, l.end(), w.id, ack, lastDisruption), nil
}

// lateRuns lists the requests that reached the worker after its departure, sent
// by clients later than the bound and while all machines were in touch.
func lateRuns(f *fleet, requests []request, worker string, ack, lastDisruption time.Time) []string {
	countFrom := ack.Add(drainLimit)
	if t := lastDisruption.Add(contact + observe); t.After(countFrom) {
		countFrom = t
	}
	var out []string
	lost := 0
	for _, r := range requests {
		for _, e := range f.runsOf(r.id) {
			if e.worker != worker || !r.sent.After(countFrom) {
				continue
			}
			out = append(out, fmt.Sprintf("DRAIN: request %s, sent at %s to %s, ran at %s %.1f s after its departure was acknowledged; answered %d",
				r.id, f.since(r.sent), r.machine.name, worker, e.at.Sub(ack).Seconds(), r.status))
			if r.unsafe && r.status != 200 {
				lost++
			}
		}
	}
	f.record("%d requests ran late; %d unsafe ones of them were not answered with success", len(out), lost)
	return out
}
