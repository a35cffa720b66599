package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// configTime is config_apply_ms on gwely-glan.
	configTime = 2 * time.Second
	// collectionWork and collectionDeadline are those of collection-log.
	collectionWork     = 210 * time.Millisecond
	collectionDeadline = 1500 * time.Millisecond
	// awayShare is the share of platform_down with how = "nodes".
	awayShare = 0.35
)

var errNoPoll = errors.New("no node waits for changes of the store, or too many do")

// playTurnedAway moves a route to another service while the store turns away the
// machines that wait for its changes, and serves the others.
func playTurnedAway(r *record, trouble bool) (int, error) {
	s, err := newSystem(r)
	if err != nil {
		return 0, err
	}
	defer s.close()
	o := workerOptions{slots: slots, work: func(string) time.Duration { return collectionWork }}
	for i := range 14 {
		service := []string{"weighbridge", "yardview"}[i%2]
		if _, err := s.add([]string{"cymru-a", "cymru-b", "cymru-c"}[i%3], service, o); err != nil {
			return 0, err
		}
	}
	services := []string{"weighbridge", "yardview"}
	route := func(service string) []rule {
		return []rule{{"collection-log", "/collections/", "unsafe", service, 600 * time.Millisecond, collectionDeadline}}
	}
	if err := s.start(configuration(5, services, route("weighbridge"))); err != nil {
		return 0, err
	}
	c := newClient(r)
	broken := 0
	for round := range turnedAwayRounds {
		// The rounds fall on different moments of the nodes' polls.
		time.Sleep(roundPause + time.Duration(round)*pollTime/turnedAwayRounds)
		n, err := s.playRound(c, trouble, round, route)
		if err != nil {
			return 0, err
		}
		broken += n
	}
	return broken, nil
}

const (
	turnedAwayRounds = 5
	// roundPause lets the machines be in touch again: it exceeds contact_ms.
	roundPause = 6 * time.Second
	// roundTime is how long the store turns machines away.
	roundTime = 5 * time.Second
	// pollTime is the wait of a node's call for changes.
	pollTime = 2 * time.Second
)

// playRound plays one change of the configuration and returns the number of requests
// that were handled as only the previous one allows.
func (s *system) playRound(c *client, trouble bool, round int, route func(string) []rule) (int, error) {
	services := []string{"weighbridge", "yardview"}
	old, next := services[round%2], services[(round+1)%2]
	served, err := s.turnAway(trouble)
	if err != nil {
		return 0, err
	}
	time.Sleep(60 * time.Millisecond)
	version := 7 + 2*round
	s.store.Put("op", "config", configuration(version, services, route(next)))
	acknowledged := time.Now()
	s.record.add("the store acknowledges configuration r%d, which moves /collections/ to %s", version, next)
	sent := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; time.Since(acknowledged) < roundTime; i++ {
		m := served[i%len(served)]
		wg.Go(func() {
			a := c.send(m, http.MethodPost, "/collections/x", collectionDeadline)
			mu.Lock()
			defer mu.Unlock()
			sent[a.id] = a.sent
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	for _, m := range s.machines {
		m.front.takeBack()
	}
	broken := 0
	for _, m := range s.machines {
		if m.service != old {
			continue
		}
		for _, a := range m.worker.arrivals() {
			if late := sent[a.id].Sub(acknowledged); late > configTime {
				broken++
				s.record.add("%s was sent %v after the acknowledgement and run by %s", a.id, late, old)
			}
		}
	}
	return broken, nil
}

// turnAway lets the store turn away the machines that wait for its changes, and
// returns the others. Without the disruption it returns the same machines.
func (s *system) turnAway(trouble bool) ([]*machine, error) {
	var away, served []*machine
	for range 20 {
		away, served = nil, nil
		for _, m := range s.machines {
			if m.front.isPolled() {
				away = append(away, m)
			} else {
				served = append(served, m)
			}
		}
		if len(away) > 0 && float64(len(away)) <= awayShare*float64(len(s.machines)) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(away) == 0 || float64(len(away)) > awayShare*float64(len(s.machines)) {
		return nil, fmt.Errorf("%w: %d", errNoPoll, len(away))
	}
	for _, m := range away {
		if trouble {
			s.record.add("the store turns %s away with 429", m.name)
			m.front.turnAway()
		}
	}
	return served, nil
}
