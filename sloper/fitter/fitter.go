// Package fitter fits a line to measured points by least squares.
package fitter

import "math"

// Point is a measured cost at one input size.
type Point struct{ Size, Cost float64 }

// Line is cost = Intercept + Slope*size.
type Line struct {
	Intercept, Slope float64
	// MaxRelativeError is the largest absolute residual divided by the largest
	// absolute cost.
	MaxRelativeError float64
}

// Fit returns the least-squares line through points. If all sizes are equal,
// the slope is 0.
func Fit(points []Point) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Cost
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Cost
	}
	var l Line
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		l.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	l.Intercept = (sumY - l.Slope*sumX) / max(n, 1)
	var maxCost float64
	for _, p := range points {
		maxCost = max(maxCost, math.Abs(p.Cost))
		l.MaxRelativeError = max(l.MaxRelativeError, math.Abs(p.Cost-l.At(p.Size)))
	}
	if maxCost > 0 {
		l.MaxRelativeError /= maxCost
	}
	return l
}

// At returns the cost that the line predicts for size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }
