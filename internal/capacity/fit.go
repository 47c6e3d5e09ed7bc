package capacity

import "math"

// Point is the value of a series at one size of the fleet.
type Point struct {
	// NodeCount is the number of nodes.
	NodeCount int
	// Value is the value in the unit of the series.
	Value float64
}

// Line is the straight line with the value Intercept + Slope*x at x.
type Line struct {
	Intercept, Slope float64
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLinear returns the least-squares line over the number of nodes. It is zero
// without points, and flat if all points have the same number of nodes.
func FitLinear(points []Point) Line { return fit(points, func(n int) float64 { return float64(n) }) }

// FitLogarithmic is like FitLinear, but over the binary logarithm of the number of
// nodes.
func FitLogarithmic(points []Point) Line {
	return fit(points, func(n int) float64 { return log2(float64(n)) })
}

// fit returns the least-squares line over x of the number of nodes.
func fit(points []Point, x func(int) float64) Line {
	if len(points) == 0 {
		return Line{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += x(p.NodeCount) / float64(len(points))
		meanY += p.Value / float64(len(points))
	}
	var xy, xx float64
	for _, p := range points {
		dx := x(p.NodeCount) - meanX
		xy += dx * (p.Value - meanY)
		xx += dx * dx
	}
	if xx == 0 {
		return Line{Intercept: meanY}
	}
	slope := xy / xx
	return Line{Intercept: meanY - slope*meanX, Slope: slope}
}

func log2(x float64) float64 { return math.Log2(x) }
