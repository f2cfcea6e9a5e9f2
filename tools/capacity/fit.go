package main

import "math"

// Fit is the least-squares line a + b*n.
type Fit struct {
	A float64 `json:"a"`
	B float64 `json:"b"`
	// Residual is the root mean square of the distances from the line, in the unit of
	// the values.
	Residual float64 `json:"residual"`
}

// fitLine returns the least-squares line through the points, which need at least two
// different sizes.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	b := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	fit := Fit{A: (sumY - b*sumX) / n, B: b}
	var squares float64
	for _, p := range points {
		d := p.Value - fit.A - fit.B*p.Size
		squares += d * d
	}
	fit.Residual = math.Sqrt(squares / n)
	return fit
}
