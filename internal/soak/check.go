package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// drainBound, applyBound, evacuateBound and backSlack are the users' bounds
	// for a leaving upstream, a configuration, an evacuated domain and a
	// configuration that goes back.
	drainBound    = 2 * time.Second
	applyBound    = 2 * time.Second
	evacuateBound = 5 * time.Second
	backSlack     = 250 * time.Millisecond
	// recoverBound is the time after all faults in which all nodes serve again.
	recoverBound = 15 * time.Second
	// settle is the time without faults before and after those of a run.
	settle = time.Second
)

// Report is what a run has shown.
type Report struct {
	Asked, Served, Refused, Failed int
	Faults                         int
	// Broken lists the promises that were not kept.
	Broken []string
}

// Play runs a system under faults that follow from the seed, and checks what
// was seen.
func Play(o Options) (Report, error) {
	s, err := start(o)
	if err != nil {
		if s != nil {
			s.close()
		}
		return Report{}, err
	}
	defer s.close()
	random := rand.New(rand.NewPCG(o.Seed, 0))
	ctx, stop := context.WithCancel(context.Background())
	callers := s.load(ctx, random)
	time.Sleep(settle)
	s.harm(random, o.Length)
	s.recovers()
	time.Sleep(settle)
	stop()
	callers.Wait()
	for _, n := range s.nodes {
		s.present(n)
	}
	return s.verdict(), nil
}

// recovers waits until all nodes serve again.
func (s *system) recovers() {
	for end := time.Now().Add(recoverBound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.serves() {
			return
		}
	}
	s.record.breaks(fmt.Sprintf("RECOVER: a node does not serve %v after the last fault", recoverBound))
}

// verdict checks all requests against what the upstreams have run.
func (s *system) verdict() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.record
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Faults: len(r.spans)}
	known := map[string]bool{}
	for _, a := range r.asks {
		known[a.id] = true
		out.count(a)
		r.broken = append(r.broken, s.judge(a)...)
	}
	for id := range s.runs {
		if !known[id] {
			r.broken = append(r.broken, fmt.Sprintf("UNASKED: %s ran, which no caller sent", id))
		}
	}
	r.broken = append(r.broken, r.regressions()...)
	out.Broken = r.broken
	return out
}

func (o *Report) count(a ask) {
	o.Asked++
	switch {
	case a.status == http.StatusOK && a.whole:
		o.Served++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		o.Refused++
	default:
		o.Failed++
	}
}

// judge lists the promises that one request shows broken.
func (s *system) judge(a ask) []string {
	var out []string
	breaks := func(format string, more ...any) {
		out = append(out, fmt.Sprintf("%s (request %s at %s, sent %s, answered %s with %d)",
			fmt.Sprintf(format, more...), a.id, a.node.name, clock(a.sent), clock(a.ended), a.status))
	}
	runs := s.runs[a.id]
	if a.once && len(runs) > 1 {
		breaks("TWICE: ran %d times", len(runs))
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if a.once && refused && len(runs) > 0 {
		breaks("REFUSED: ran at %s", runs[0].instance)
	}
	if a.status == http.StatusOK && a.whole && !a.right() {
		breaks("MIXED: answer %q", a.body)
	}
	if a.route != "" && a.status == http.StatusNotFound && s.record.due(a) {
		breaks("CONFIG: %s is not in force", a.route)
	}
	if a.dialed && !a.whole && len(runs) > 0 && a.ended.Sub(a.sent) < callLimit && s.record.planned(a.sent, a.ended) {
		breaks("LOST: cut at planned work")
	}
	for _, x := range runs {
		if why := s.forbidden(a, x); why != "" {
			breaks("%s at %s, %s", why, x.instance, clock(x.at))
		}
	}
	return out
}

// clock prints a time as logs do.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// due reports whether the route of a request has to be known to its node.
func (r *record) due(a ask) bool {
	for _, c := range r.changes {
		if c.route == a.route {
			return a.sent.After(c.accepted.Add(applyBound)) && r.calm(a.node, a.sent, a.ended)
		}
	}
	return false
}

// forbidden returns the promise that an execution breaks, or nothing.
func (s *system) forbidden(a ask, x run) string {
	r := &s.record
	if !r.calm(a.node, a.sent, x.at) || !r.calm(x.node, a.sent, x.at) {
		return ""
	}
	if left, ok := s.left[x.instance]; ok && x.at.After(left.Add(drainBound)) {
		return "DRAIN: run after the upstream left"
	}
	for _, e := range r.evacuations {
		if e.domain == x.node.domain && x.at.After(e.accepted.Add(evacuateBound)) && x.at.Before(e.withdrawn) {
			return "EVAC: run in an evacuated domain"
		}
	}
	return ""
}

// regressions lists routes that a start of a node has served and then not known.
func (r *record) regressions() []string {
	type place struct {
		node  *node
		start int64
		route string
	}
	served := map[place]time.Time{}
	for _, a := range r.asks {
		p := place{a.node, a.start, a.route}
		if first, ok := served[p]; a.route != "" && a.status == http.StatusOK && (!ok || a.ended.Before(first)) {
			served[p] = a.ended
		}
	}
	var out []string
	for _, a := range r.asks {
		first, ok := served[place{a.node, a.start, a.route}]
		if ok && a.status == http.StatusNotFound && a.sent.After(first.Add(backSlack)) {
			out = append(out, fmt.Sprintf("CONFIG: %s forgot %s at %s (request %s)", a.node.name, a.route, clock(a.sent), a.id))
		}
	}
	return out
}
