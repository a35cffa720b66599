// Package slope measures what each role of the system costs at several sizes,
// fits a straight line to the costs and writes the tables of docs/CAPACITY.md.
//
// Invariants: every figure of a table comes from a measurement of the same run
// at three sizes or more; a page whose markers or rows are incomplete is not
// written.
package slope

import (
	"errors"
	"math"

	"github.com/samber/oops"
)

// leastPoints is the smallest number of sizes that shows whether a cost is linear.
const leastPoints = 3

// ErrPoints reports measurements that no line can be fitted to.
var ErrPoints = errors.New("a line needs three different sizes or more")

// Point is one measurement.
type Point struct {
	Size float64
	Cost float64
}

// Line is the straight line with the least squares of the residuals.
type Line struct {
	Base  float64
	Slope float64
	// Residual is the root mean square of the residuals, with two degrees of
	// freedom taken by the line.
	Residual float64
}

// Fit fits a line to three points or more.
func Fit(points []Point) (Line, error) {
	sizes := map[float64]bool{}
	var x, y float64
	n := float64(len(points))
	for _, p := range points {
		if math.IsNaN(p.Cost) || math.IsInf(p.Cost, 0) {
			return Line{}, oops.In("slope").With("step", "fit", "size", p.Size).Wrap(ErrPoints)
		}
		sizes[p.Size] = true
		x += p.Size / n
		y += p.Cost / n
	}
	if len(sizes) < leastPoints {
		return Line{}, oops.In("slope").With("step", "fit", "sizes", len(sizes)).Wrap(ErrPoints)
	}
	var xx, xy, rest float64
	for _, p := range points {
		xx += (p.Size - x) * (p.Size - x)
		xy += (p.Size - x) * (p.Cost - y)
	}
	l := Line{Slope: xy / xx}
	l.Base = y - l.Slope*x
	for _, p := range points {
		d := p.Cost - l.At(p.Size)
		rest += d * d
	}
	l.Residual = math.Sqrt(rest / (n - 2))
	return l, nil
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// Error returns the residual relative to the cost at a size.
func (l Line) Error(size float64) float64 {
	at := math.Abs(l.At(size))
	if at == 0 {
		return 0
	}
	return l.Residual / at
}
