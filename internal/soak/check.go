package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// These are the required time limits. An upstream that has left gets no
	// requests after drainLimit, an acknowledged configuration is in force
	// after applyLimit, an evacuated domain gets no requests after
	// evacuateLimit, and a node that has served a route must not answer 404 for
	// it more than regressionSlack later.
	drainLimit      = 2 * time.Second
	applyLimit      = 2 * time.Second
	evacuateLimit   = 5 * time.Second
	regressionSlack = 250 * time.Millisecond
	// recoverLimit is the time after the last fault within which all nodes must
	// serve again.
	recoverLimit = 15 * time.Second
	// faultFreeTime is the time without faults at the start and at the end of
	// a run.
	faultFreeTime = time.Second
)

// Report is the result of a run: the number of requests by outcome, the number of
// faults, and the violations.
type Report struct {
	Sent, Served, Refused, Failed int
	Faults                        int
	// Violations lists the violated requirements, one text each.
	Violations []string
}

// Run runs a system under load and under faults whose sequence is determined by
// the seed, and checks the requirements.
func Run(o Options) (Report, error) {
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
	callers := s.startLoad(ctx, random)
	time.Sleep(faultFreeTime)
	s.injectFaults(random, o.Length)
	s.awaitRecovery()
	time.Sleep(faultFreeTime)
	stop()
	callers.Wait()
	for _, n := range s.nodes {
		s.checkRunning(n)
	}
	return s.evaluate(), nil
}

// awaitRecovery waits until all nodes serve again. It is a violation if they
// don't within recoverLimit.
func (s *system) awaitRecovery() {
	for end := time.Now().Add(recoverLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.allServe() {
			return
		}
	}
	s.record.addViolation(fmt.Sprintf("RECOVER: not all nodes served within %v after the last fault", recoverLimit))
}

// evaluate checks all requests against the executions at the upstreams.
func (s *system) evaluate() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.record
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Faults: len(r.spans)}
	sent := map[string]bool{}
	for _, req := range r.requests {
		sent[req.id] = true
		report.count(req)
		r.violations = append(r.violations, s.violations(req)...)
	}
	for id := range s.runs {
		if !sent[id] {
			r.violations = append(r.violations, fmt.Sprintf("UNASKED: request %s ran, but no caller sent it", id))
		}
	}
	r.violations = append(r.violations, r.routeRegressions()...)
	report.Violations = r.violations
	return report
}

func (r *Report) count(req request) {
	r.Sent++
	switch {
	case req.status == http.StatusOK && req.complete:
		r.Served++
	case req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests:
		r.Refused++
	default:
		r.Failed++
	}
}

// violations lists the requirements that one request violates.
func (s *system) violations(req request) []string {
	var out []string
	violate := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("%s (request %s at %s, sent %s, completed %s with status %d)",
			fmt.Sprintf(format, args...), req.id, req.node.name, formatTime(req.sent), formatTime(req.completed), req.status))
	}
	runs := s.runs[req.id]
	if req.atMostOnce && len(runs) > 1 {
		violate("TWICE: at-most-once request ran %d times", len(runs))
	}
	refused := req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests
	if req.atMostOnce && refused && len(runs) > 0 {
		violate("REFUSED: refused request ran at %s", runs[0].instance)
	}
	if req.status == http.StatusOK && req.complete && !req.correct() {
		violate("MIXED: response body %q is not that of the request", req.body)
	}
	if req.route != "" && req.status == http.StatusNotFound && s.record.routeRequired(req) {
		violate("CONFIG: route %s is not in force", req.route)
	}
	if req.connected && !req.complete && len(runs) > 0 && req.completed.Sub(req.sent) < requestTimeout && s.record.onlyPlanned(req.sent, req.completed) {
		violate("LOST: response lost during planned work")
	}
	for _, rn := range runs {
		if violation := s.runViolation(req, rn); violation != "" {
			violate("%s at %s, %s", violation, rn.instance, formatTime(rn.at))
		}
	}
	return out
}

// formatTime formats a time as in the logs of nodes.
func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// routeRequired reports whether the node of a request must have its route in
// force: the store acknowledged the route more than applyLimit before, and no
// fault affected the node.
func (r *record) routeRequired(req request) bool {
	for _, c := range r.changes {
		if c.route == req.route {
			return req.sent.After(c.acknowledged.Add(applyLimit)) && r.quiet(req.node, req.sent, req.completed)
		}
	}
	return false
}

// runViolation returns the requirement that an execution violates, or "".
func (s *system) runViolation(req request, rn run) string {
	r := &s.record
	if !r.quiet(req.node, req.sent, rn.at) || !r.quiet(rn.node, req.sent, rn.at) {
		return ""
	}
	if leftAt, ok := s.leftAt[rn.instance]; ok && rn.at.After(leftAt.Add(drainLimit)) {
		return "DRAIN: ran after the upstream left"
	}
	for _, e := range r.evacuations {
		if e.domain == rn.node.domain && rn.at.After(e.acknowledged.Add(evacuateLimit)) && rn.at.Before(e.withdrawn) {
			return "EVAC: ran in an evacuated domain"
		}
	}
	return ""
}

// routeRegressions lists the routes that a node process has served and later
// answered with 404.
func (r *record) routeRegressions() []string {
	type nodeRoute struct {
		node  *node
		start int64
		route string
	}
	served := map[nodeRoute]time.Time{}
	for _, rq := range r.requests {
		p := nodeRoute{rq.node, rq.nodeStart, rq.route}
		if firstServed, ok := served[p]; rq.route != "" && rq.status == http.StatusOK && (!ok || rq.completed.Before(firstServed)) {
			served[p] = rq.completed
		}
	}
	var out []string
	for _, rq := range r.requests {
		firstServed, ok := served[nodeRoute{rq.node, rq.nodeStart, rq.route}]
		if ok && rq.status == http.StatusNotFound && rq.sent.After(firstServed.Add(regressionSlack)) {
			out = append(out, fmt.Sprintf("CONFIG: %s no longer serves %s at %s (request %s)", rq.node.name, rq.route, formatTime(rq.sent), rq.id))
		}
	}
	return out
}
