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
	// Names of the tables that are generated only if all roles were measured.
	budgetTable   = "budget"
	proposedTable = "proposed"
	machineTable  = "machine"
)

// Measure measures the named roles, or all roles if there are no names, and
// returns their costs. It calls progress after each role with the time that the
// role took. An unknown role is an error.
func Measure(ctx context.Context, o Options, roleNames []string, progress func(string)) (Costs, error) {
	costs := Costs{}
	knownRoles := map[string]bool{}
	for _, r := range Roles() {
		knownRoles[r.Name] = true
		if len(roleNames) > 0 && !slices.Contains(roleNames, r.Name) {
			continue
		}
		start := time.Now()
		series, err := r.Measure(ctx, o)
		if err != nil {
			return nil, oops.In("slope").With("step", "measure", "role", r.Name).Wrap(err)
		}
		costs[r.Name] = series
		progress(fmt.Sprintf("%s: %v", r.Name, time.Since(start).Round(100*time.Millisecond)))
	}
	for _, n := range roleNames {
		if !knownRoles[n] {
			return nil, oops.In("slope").With("step", "measure", "role", n).Errorf("unknown role %q", n)
		}
	}
	return costs, nil
}

// Tables returns the tables of the measured roles by name. If all roles were
// measured, it adds the summary of the budgets, that of the proposed changes,
// and the line that describes the machine.
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
	summary, err := Budget(Demands(), c)
	if err != nil {
		return nil, err
	}
	proposed, err := Budget(ProposedDemands(), c)
	if err != nil {
		return nil, err
	}
	tables[budgetTable] = summary
	tables[proposedTable] = proposed
	tables[machineTable] = machine + "\n"
	return tables, nil
}

// Machine returns a sentence with the date, the processor and operating system
// of this machine, and the Go release of the program.
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
