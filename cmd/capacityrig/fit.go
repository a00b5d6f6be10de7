package main

import "gonum.org/v1/gonum/stat"

// line is a straight line through measured points.
type line struct {
	intercept, slope float64
	r2               float64 // share of the variance that the line explains
}

// fit returns the least-squares line through the points.
func fit(xs, ys []float64) line {
	a, b := stat.LinearRegression(xs, ys, nil, false)
	return line{intercept: a, slope: b, r2: stat.RSquared(xs, ys, nil, a, b)}
}
