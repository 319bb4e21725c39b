// Package fitter fits a line to measured points by least squares.
package fitter

import "math"

// Point is a measurement: a size and what it cost.
type Point struct{ Size, Cost float64 }

// Line is cost = Base + PerUnit*size.
type Line struct {
	Intercept, Slope float64
	// MaxRelativeError is the largest distance of a point from the line, as a share of
	// the largest cost.
	MaxRelativeError float64
}

// Fit returns the line with the least squares of distances.
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
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		l.Slope = (n*sumXY - sumX*sumY) / spread
	}
	l.Intercept = (sumY - l.Slope*sumX) / max(n, 1)
	var largest float64
	for _, p := range points {
		largest = max(largest, math.Abs(p.Cost))
		l.MaxRelativeError = max(l.MaxRelativeError, math.Abs(p.Cost-l.At(p.Size)))
	}
	if largest > 0 {
		l.MaxRelativeError /= largest
	}
	return l
}

// At returns the line's cost at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }
