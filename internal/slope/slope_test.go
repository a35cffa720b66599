package slope_test

import (
	"math"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/internal/slope"
)

// Guards against a wrong slope, base or residual of a fit.
func TestFitKnownLine(t *testing.T) {
	l, err := slope.Fit([]slope.Point{{30, 61}, {100, 199}, {300, 601}, {1100, 2201}})
	assert.NilError(t, err)
	// Calculated by hand: the means are 382.5 and 765.5, the sums of products
	// 725,675 and 1,451,915.
	assert.Assert(t, math.Abs(l.Slope-1451915.0/725675) < 1e-9, "slope %v", l.Slope)
	assert.Assert(t, math.Abs(l.Base-(765.5-382.5*l.Slope)) < 1e-9, "base %v", l.Base)
	assert.Assert(t, l.Residual > 0 && l.Residual < 2, "residual %v", l.Residual)
	assert.Assert(t, l.RelativeError(1100) < 0.001, "error %v", l.RelativeError(1100))
}

// Guards against a fit that doesn't recover an exact line, and against a small
// residual for a cost that isn't linear.
func TestFitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(-1e6, 1e6).Draw(t, "base")
		gradient := rapid.Float64Range(-1e4, 1e4).Draw(t, "slope")
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 2000), 3, 6, rapid.ID[int]).Draw(t, "sizes")
		curvature := rapid.Float64Range(1, 10).Draw(t, "bend")
		var straight, bent []slope.Point
		for _, n := range sizes {
			x := float64(n)
			straight = append(straight, slope.Point{Size: x, Cost: base + gradient*x})
			bent = append(bent, slope.Point{Size: x, Cost: base + gradient*x + curvature*x*x})
		}
		l, err := slope.Fit(straight)
		assert.NilError(t, err)
		scale := math.Abs(base) + 2000*math.Abs(gradient) + 1
		assert.Assert(t, math.Abs(l.At(1000)-base-1000*gradient) < 1e-6*scale)
		assert.Assert(t, l.Residual < 1e-6*scale)
		l, err = slope.Fit(bent)
		assert.NilError(t, err)
		assert.Assert(t, l.Residual > 0.1*curvature, "residual %v", l.Residual)
	})
}

// Guards against a line fitted to too few sizes or to a cost that isn't finite.
func TestFitRefuses(t *testing.T) {
	for _, bad := range [][]slope.Point{
		nil,
		{{1, 1}, {2, 2}},
		{{1, 1}, {2, 2}, {2, 3}},
		{{1, 1}, {2, math.NaN()}, {3, 3}},
		{{1, 1}, {2, math.Inf(1)}, {3, 3}},
	} {
		_, err := slope.Fit(bad)
		assert.ErrorIs(t, err, slope.ErrPoints)
	}
}

const page = "text\n<!-- table:a -->\nold\n<!-- end:a -->\nmiddle\n<!-- table:b -->\n<!-- end:b -->\nend\n"

// Guards against the loss of text outside the markers, and against a second run
// that changes the page again.
func TestFillKeepsText(t *testing.T) {
	tables := map[string]string{"a": "| 1 |\n", "b": "| 2 |"}
	want := "text\n<!-- table:a -->\n| 1 |\n<!-- end:a -->\nmiddle\n<!-- table:b -->\n| 2 |\n<!-- end:b -->\nend\n"
	for _, from := range []string{page, want} {
		got, err := slope.Fill(from, tables, false)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	got, err := slope.Fill(page, map[string]string{"b": "| 2 |"}, true)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got, "old") && strings.Contains(got, "| 2 |"))
}

// Guards against a page that keeps outdated figures without an error because a
// marker is missing, malformed, repeated or nested.
func TestFillBrokenMarkers(t *testing.T) {
	tables := map[string]string{"a": "1", "b": "2"}
	for name, broken := range map[string]string{
		"no begin":     strings.Replace(page, "<!-- table:a -->", "", 1),
		"no end":       strings.Replace(page, "<!-- end:a -->", "", 1),
		"no last end":  strings.Replace(page, "<!-- end:b -->", "", 1),
		"broken begin": strings.Replace(page, "<!-- table:a -->", "<!-- table:a", 1),
		"other name":   strings.Replace(page, "table:a", "table:c", 1),
		"other end":    strings.Replace(page, "end:a", "end:c", 1),
		"twice":        page + page,
		"extra":        page + "<!-- table:c -->\n<!-- end:c -->\n",
		"none":         "text\n",
	} {
		_, err := slope.Fill(broken, tables, false)
		assert.ErrorIs(t, err, slope.ErrMarker, name)
	}
}

func series(name string) slope.Series {
	return slope.Series{
		Name: name, Unit: "B", SizeUnit: "members", FullSize: 1100, Mechanism: "gossip",
		Points: []slope.Point{{30, 1030}, {100, 1100}, {300, 1300}},
	}
}

// Guards against a table that lacks a row, and against a row measured at too few
// sizes.
func TestTableRows(t *testing.T) {
	text, err := slope.Table("member", []string{"one", "two"}, []slope.Series{series("two"), series("one")})
	assert.NilError(t, err)
	want := "| one | 1,030 / 1,100 / 1,300 B at 30 / 100 / 300 members | 1 per member | 1,000 | 0.0 % | **2,100 B** at 1,100 members | gossip |"
	assert.Equal(t, strings.Split(text, "\n")[2], want)
	for _, bad := range [][]slope.Series{
		{series("one")},
		{series("one"), series("one")},
		{series("one"), series("three")},
		{series("one"), series("two"), series("three")},
	} {
		_, err := slope.Table("member", []string{"one", "two"}, bad)
		assert.ErrorIs(t, err, slope.ErrRow)
	}
	short := series("one")
	short.Points = short.Points[:2]
	_, err = slope.Table("member", []string{"one"}, []slope.Series{short})
	assert.ErrorIs(t, err, slope.ErrPoints)
}

// costs returns a series for each row of each role.
func costs() slope.Costs {
	c := slope.Costs{}
	for _, r := range slope.Roles() {
		for _, n := range r.Rows {
			c[r.Name] = append(c[r.Name], series(n))
		}
	}
	return c
}

// Guards against a sum over a cost that no role measures, against a wrong sum,
// and against a demand above its budget that is reported as fitting.
func TestBudget(t *testing.T) {
	demand := slope.Demand{
		Budget: "network", Unit: "B/s", Allowed: 5000, Situation: "steady",
		Terms: []slope.Term{{Role: "a", Row: "one", Factor: 2}, {Role: "a", Row: "one", Factor: 0.5, BaseOnly: true}, {Row: "rest", Factor: 300}},
	}
	c := slope.Costs{"a": {series("one")}}
	text, err := slope.Budget([]slope.Demand{demand}, c)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "| network | steady | 5,000 B/s | 5,000 B/s | yes | a, one: 4,200 |"), text)
	demand.Terms[2].Factor = 301
	text, err = slope.Budget([]slope.Demand{demand}, c)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "| **no** |"), text)
	demand.Terms[0].Row = "two"
	_, err = slope.Budget([]slope.Demand{demand}, c)
	assert.ErrorIs(t, err, slope.ErrRow)
}

// Guards against a capacity page in the repository that lacks a table or a row,
// a budget that refers to a row that isn't measured, and a demand without terms.
func TestPageInTree(t *testing.T) {
	tables, err := slope.Tables(costs(), "Measured on a test.")
	assert.NilError(t, err)
	body, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	_, err = slope.Fill(string(body), tables, false)
	assert.NilError(t, err)
	for _, r := range slope.Roles() {
		for _, n := range r.Rows {
			assert.Assert(t, strings.Contains(string(body), "| "+n+" |"), "%s: the page has no row %q: run make capacity", r.Name, n)
		}
	}
	for _, n := range append(slope.Demands(), slope.ProposedDemands()...) {
		assert.Assert(t, len(n.Terms) > 0, n.Situation)
	}
}

// Guards against numbers whose order of magnitude changes when they are
// formatted.
func TestNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 1: "1", 0.5: "0.5", 0.01667: "0.0167", 0.00012345: "1.23e-04", 12.345: "12.3", 999.6: "1,000", 999.4: "999",
		1030: "1,030", 123456: "123,000", 21400000: "21,400,000", -1234: "-1,230", -0.5: "-0.5",
	} {
		assert.Equal(t, slope.FormatNumber(v), want)
	}
}
