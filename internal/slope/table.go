package slope

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/samber/oops"
)

// ErrRow reports a table without one of its rows.
var ErrRow = errors.New("a row of the table is missing")

// Series is one cost of a role, measured at several sizes.
type Series struct {
	Name string
	Unit string
	// By names what the cost grows with.
	By string
	// Size is what By amounts to in the system of design section 1.3.
	Size   float64
	Points []Point
	// Carrier is the mechanism that bounds the cost.
	Carrier string
}

// Costs are the measured series of all roles, by role.
type Costs map[string][]Series

// line returns the line of one series and its full size.
func (c Costs) line(role, name string) (Line, float64, error) {
	for _, s := range c[role] {
		if s.Name == name {
			l, err := Fit(s.Points)
			return l, s.Size, err
		}
	}
	return Line{}, 0, oops.In("slope").With("step", "sum", "role", role).Wrapf(ErrRow, "%s: %s", role, name)
}

// Table writes the series of one role. All names must be there, in any order
// and without others, so that a figure can't vanish from the page.
func Table(role string, names []string, series []Series) (string, error) {
	byName := map[string]Series{}
	for _, s := range series {
		byName[s.Name] = s
	}
	if len(byName) != len(names) || len(series) != len(names) {
		return "", rowError(role, fmt.Sprintf("%d rows instead of %d", len(series), len(names)))
	}
	var b strings.Builder
	b.WriteString("| figure | measured | slope | base | fit error | at full size | carried by |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, n := range names {
		s, ok := byName[n]
		if !ok {
			return "", rowError(role, n)
		}
		l, err := Fit(s.Points)
		if err != nil {
			return "", oops.In("slope").With("step", "table", "role", role).Wrapf(err, "%s", n)
		}
		fmt.Fprintf(&b, "| %s | %s | %s per %s | %s | %.1f %% | **%s %s** at %s %s | %s |\n",
			s.Name, measured(s), Number(l.Slope), one(s.By), Number(l.Base), 100*l.Error(s.Size),
			Number(l.At(s.Size)), s.Unit, whole(s.Size), s.By, s.Carrier)
	}
	fmt.Fprintf(&b, "\nCommand: `make capacity ROLE=%s`\n", role)
	return b.String(), nil
}

func rowError(role, row string) error {
	return oops.In("slope").With("step", "table", "role", role).Wrapf(ErrRow, "%s: %s", role, row)
}

// one returns the singular of a plural in -s.
func one(plural string) string {
	return strings.TrimSuffix(plural, "s")
}

func measured(s Series) string {
	var costs, sizes []string
	for _, p := range s.Points {
		costs = append(costs, Number(p.Cost))
		sizes = append(sizes, whole(p.Size))
	}
	return fmt.Sprintf("%s %s at %s %s", strings.Join(costs, " / "), s.Unit, strings.Join(sizes, " / "), s.By)
}

// Number writes a figure with three significant digits and groups of thousands.
func Number(v float64) string {
	a := math.Abs(v)
	switch {
	case a == 0:
		return "0"
	case a < 0.001:
		return fmt.Sprintf("%.2e", v)
	case a < 999.5:
		digits := max(0, 2-int(math.Floor(math.Log10(a))))
		text := fmt.Sprintf("%.*f", digits, v)
		if strings.Contains(text, ".") {
			text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
		}
		return text
	}
	step := math.Pow(10, math.Floor(math.Log10(max(a, 1000)))-2)
	text := whole(math.Round(a/step) * step)
	if v < 0 {
		return "-" + text
	}
	return text
}

// whole writes a positive number without fraction and with groups of thousands.
func whole(v float64) string {
	text := fmt.Sprintf("%.0f", v)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}
