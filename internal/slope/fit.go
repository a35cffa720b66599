// Package slope measures the costs of each role of a node at several sizes of
// the system, fits a straight line to each cost, and generates the tables of
// docs/CAPACITY.md.
//
// Invariants: all figures of a table are measured in one run, at three sizes or
// more; a page with incomplete markers or a table with incomplete rows is an
// error.
package slope

import (
	"errors"
	"math"

	"github.com/samber/oops"
)

// minSizes is the smallest number of different sizes that shows whether a cost
// is linear.
const minSizes = 3

// ErrPoints reports measurements that a line can't be fitted to: fewer than
// three different sizes, or a cost that isn't finite.
var ErrPoints = errors.New("a line fit needs finite costs at three or more different sizes")

// Point is a cost measured at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a straight line fitted by least squares.
type Line struct {
	Base  float64
	Slope float64
	// Residual is the standard error of the fit: the root of the sum of squared
	// residuals divided by the number of points less two.
	Residual float64
}

// Fit fits a line to points of at least three different sizes. Otherwise, or if
// a cost isn't finite, the error is ErrPoints.
func Fit(points []Point) (Line, error) {
	sizes := map[float64]bool{}
	var meanSize, meanCost float64
	n := float64(len(points))
	for _, p := range points {
		if math.IsNaN(p.Cost) || math.IsInf(p.Cost, 0) {
			return Line{}, oops.In("slope").With("step", "fit", "size", p.Size).Wrap(ErrPoints)
		}
		sizes[p.Size] = true
		meanSize += p.Size / n
		meanCost += p.Cost / n
	}
	if len(sizes) < minSizes {
		return Line{}, oops.In("slope").With("step", "fit", "sizes", len(sizes)).Wrap(ErrPoints)
	}
	var xx, xy, sumSquares float64
	for _, p := range points {
		xx += (p.Size - meanSize) * (p.Size - meanSize)
		xy += (p.Size - meanSize) * (p.Cost - meanCost)
	}
	l := Line{Slope: xy / xx}
	l.Base = meanCost - l.Slope*meanSize
	for _, p := range points {
		d := p.Cost - l.At(p.Size)
		sumSquares += d * d
	}
	l.Residual = math.Sqrt(sumSquares / (n - 2))
	return l, nil
}

// At returns the fitted cost at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// RelativeError returns the residual relative to the fitted cost at a size, or
// 0 if that cost is 0.
func (l Line) RelativeError(size float64) float64 {
	at := math.Abs(l.At(size))
	if at == 0 {
		return 0
	}
	return l.Residual / at
}
