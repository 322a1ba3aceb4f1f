package bench

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points.
type Fit struct {
	// Intercept and Slope are those of y = Intercept + Slope * x.
	Intercept, Slope float64
	// Residual is the largest distance of a point from the line, as a share of
	// the largest y.
	Residual float64
}

// NewFit returns the least-squares line through the points, at least two of which
// differ in x.
func NewFit(xs, ys []float64) Fit {
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	var largest, distance float64
	for i, x := range xs {
		largest = max(largest, math.Abs(ys[i]))
		distance = max(distance, math.Abs(ys[i]-f.At(x)))
	}
	if largest > 0 {
		f.Residual = distance / largest
	}
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 {
	return f.Intercept + f.Slope*x
}
