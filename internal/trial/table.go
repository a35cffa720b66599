package trial

import (
	"fmt"
	"io"
	"strings"

	"golang.org/x/sync/errgroup"
)

// All runs all options, at most workers at a time, and returns the results in
// the same order.
func All(options []Options, workers int) ([]Result, error) {
	results := make([]Result, len(options))
	var g errgroup.Group
	g.SetLimit(workers)
	for i, o := range options {
		g.Go(func() error {
			r, err := Run(o)
			results[i] = r
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("run trials: %w", err)
	}
	return results, nil
}

// Combine returns the options for all policies in all deployments and scenarios
// whose names contain service and scenario.
func Combine(service, scenario string, seed uint64, requests int) []Options {
	var all []Options
	for _, s := range Scenarios() {
		for _, d := range Deployments() {
			if !strings.Contains(d.Name, service) || !strings.Contains(s.Name, scenario) {
				continue
			}
			for _, p := range Policies() {
				all = append(all, Options{Deployment: d, Scenario: s, Policy: p, Seed: seed, Requests: requests})
			}
		}
	}
	return all
}

// WriteTable writes the results as a Markdown table.
func WriteTable(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| scenario | service | policy | p50 ms | p99 ms | p99.9 ms | refused % | unknown % | failed % | affected % | wasted % | messages | probes | over % |")
	fmt.Fprintln(w, "|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	const percent = 100
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %s | %s | %.1f | %.1f | %.1f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.1f | %.2f |\n",
			r.Scenario, r.Service, r.Policy, r.P50, r.P99, r.P999,
			percent*r.Refused, percent*r.Unknown, percent*r.Failed, percent*r.Affected, percent*r.Wasted,
			r.Messages, r.Probes, percent*r.Over)
	}
}
