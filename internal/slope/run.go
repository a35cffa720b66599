package slope

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

const (
	// These tables need a run of all roles.
	budgetTable  = "budget"
	proposeTable = "proposed"
	machineTable = "machine"
)

// Measure measures the named roles, or all of them, and returns their costs.
func Measure(ctx context.Context, o Options, names []string, progress func(string)) (Costs, error) {
	costs := Costs{}
	known := map[string]bool{}
	for _, r := range Roles() {
		known[r.Name] = true
		if len(names) > 0 && !slices.Contains(names, r.Name) {
			continue
		}
		began := time.Now()
		series, err := r.Measure(ctx, o)
		if err != nil {
			return nil, oops.In("slope").With("step", "measure", "role", r.Name).Wrap(err)
		}
		costs[r.Name] = series
		progress(fmt.Sprintf("%s: %v", r.Name, time.Since(began).Round(100*time.Millisecond)))
	}
	for _, n := range names {
		if !known[n] {
			return nil, oops.In("slope").With("step", "measure", "role", n).Errorf("there is no role %q", n)
		}
	}
	return costs, nil
}

// Tables writes the tables of the measured roles and, if all roles were
// measured, the summary and the line on the machine.
func Tables(c Costs, machine string) (map[string]string, error) {
	tables := map[string]string{}
	for _, r := range Roles() {
		series, ok := c[r.Name]
		if !ok {
			continue
		}
		t, err := Table(r.Name, r.Rows, series)
		if err != nil {
			return nil, err
		}
		tables[r.Name] = t
	}
	if len(tables) < len(Roles()) {
		return tables, nil
	}
	summary, err := Budget(Needs(), c)
	if err != nil {
		return nil, err
	}
	proposed, err := Budget(Proposed(), c)
	if err != nil {
		return nil, err
	}
	tables[budgetTable] = summary
	tables[proposeTable] = proposed
	tables[machineTable] = machine + "\n"
	return tables, nil
}

// Machine describes this machine, the date and the program's Go release.
func Machine(now time.Time) string {
	model := "unknown processor"
	info, _ := os.ReadFile("/proc/cpuinfo")
	for _, line := range strings.Split(string(info), "\n") {
		name, value, ok := strings.Cut(line, ":")
		if ok && strings.TrimSpace(name) == "model name" {
			model = strings.TrimSpace(value)
			break
		}
	}
	return fmt.Sprintf("Measured on %s: %s, %d cores, %s on %s/%s.",
		now.Format(time.DateOnly), model, runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
