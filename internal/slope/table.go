package slope

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/samber/oops"
)

// ErrRow reports series that don't match the rows of a table: a row is missing,
// repeated or unknown.
var ErrRow = errors.New("rows of the table don't match the measured series")

// Series is one cost of a role, measured at several sizes of the system.
type Series struct {
	Name string
	Unit string
	// SizeUnit is the plural name of what the cost grows with, such as members.
	SizeUnit string
	// FullSize is the number of SizeUnit in the system that the node is designed
	// for.
	FullSize float64
	Points   []Point
	// Mechanism describes what bounds the cost.
	Mechanism string
}

// Costs holds the measured series by role.
type Costs map[string][]Series

// fitLine returns the fitted line of one series and its full size. If the series
// is missing, the error is ErrRow.
func (c Costs) fitLine(role, name string) (Line, float64, error) {
	for _, s := range c[role] {
		if s.Name == name {
			l, err := Fit(s.Points)
			return l, s.FullSize, err
		}
	}
	return Line{}, 0, oops.In("slope").With("step", "sum", "role", role).Wrapf(ErrRow, "%s: %s", role, name)
}

// Table returns the Markdown table of the series of one role. The series must
// match rowNames exactly, in any order, so that no figure disappears from the
// page unnoticed; otherwise the error is ErrRow. A series without a fitted line
// gives ErrPoints.
func Table(role string, rowNames []string, series []Series) (string, error) {
	byName := map[string]Series{}
	for _, s := range series {
		byName[s.Name] = s
	}
	if len(byName) != len(rowNames) || len(series) != len(rowNames) {
		return "", rowError(role, fmt.Sprintf("%d rows instead of %d", len(series), len(rowNames)))
	}
	var b strings.Builder
	b.WriteString("| figure | measured | slope | base | fit error | at full size | carried by |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, n := range rowNames {
		s, ok := byName[n]
		if !ok {
			return "", rowError(role, n)
		}
		l, err := Fit(s.Points)
		if err != nil {
			return "", oops.In("slope").With("step", "table", "role", role).Wrapf(err, "%s", n)
		}
		fmt.Fprintf(&b, "| %s | %s | %s per %s | %s | %.1f %% | **%s %s** at %s %s | %s |\n",
			s.Name, formatPoints(s), FormatNumber(l.Slope), singular(s.SizeUnit), FormatNumber(l.Base), 100*l.RelativeError(s.FullSize),
			FormatNumber(l.At(s.FullSize)), s.Unit, formatWhole(s.FullSize), s.SizeUnit, s.Mechanism)
	}
	fmt.Fprintf(&b, "\nCommand: `make capacity ROLE=%s`\n", role)
	return b.String(), nil
}

func rowError(role, row string) error {
	return oops.In("slope").With("step", "table", "role", role).Wrapf(ErrRow, "%s: %s", role, row)
}

// singular returns the singular of a plural that ends in s.
func singular(plural string) string {
	return strings.TrimSuffix(plural, "s")
}

func formatPoints(s Series) string {
	var costTexts, sizeTexts []string
	for _, p := range s.Points {
		costTexts = append(costTexts, FormatNumber(p.Cost))
		sizeTexts = append(sizeTexts, formatWhole(p.Size))
	}
	return fmt.Sprintf("%s %s at %s %s", strings.Join(costTexts, " / "), s.Unit, strings.Join(sizeTexts, " / "), s.SizeUnit)
}

// FormatNumber formats a number with three significant digits and commas between
// groups of thousands.
func FormatNumber(v float64) string {
	abs := math.Abs(v)
	switch {
	case abs == 0:
		return "0"
	case abs < 0.001:
		return fmt.Sprintf("%.2e", v)
	case abs < 999.5:
		digits := max(0, 2-int(math.Floor(math.Log10(abs))))
		text := fmt.Sprintf("%.*f", digits, v)
		if strings.Contains(text, ".") {
			text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
		}
		return text
	}
	step := math.Pow(10, math.Floor(math.Log10(max(abs, 1000)))-2)
	text := formatWhole(math.Round(abs/step) * step)
	if v < 0 {
		return "-" + text
	}
	return text
}

// formatWhole formats a number that isn't negative without a fraction and with
// commas between groups of thousands.
func formatWhole(v float64) string {
	text := fmt.Sprintf("%.0f", v)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}
