package scale

import (
	"fmt"
	"math"
)

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept float64 `json:"intercept"` // y at x = 0
	Slope     float64 `json:"slope"`     // y for each x
	// SlopeError is the standard error of Slope; 0 where two points leave none to be told.
	SlopeError float64 `json:"slope_error"`
	Residual   float64 `json:"residual"` // root of the mean square distance of y from the line
	Worst      float64 `json:"worst"`    // largest distance of y from the line
	Points     int     `json:"points"`
}

// At is the line's y at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitError is for points through which no line goes.
type FitError struct{ Why string }

// Error says what happened.
func (e *FitError) Error() string { return "no line: " + e.Why }

// Hint says what to do about it.
func (e *FitError) Hint() string { return "measure at two sizes at least" }

// FitLine fits a line through the points (x[i], y[i]) by least squares; the error is a *FitError.
func FitLine(x, y []float64) (Line, error) {
	if len(x) != len(y) {
		return Line{}, &FitError{fmt.Sprintf("%d x and %d y", len(x), len(y))}
	}
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
	}
	meanX := sumX / n
	meanY := sumY / n
	var sumXX, sumXY float64
	for i := range x {
		sumXX += (x[i] - meanX) * (x[i] - meanX)
		sumXY += (x[i] - meanX) * (y[i] - meanY)
	}
	if len(x) < 2 || sumXX == 0 {
		return Line{}, &FitError{"all points have the same x"}
	}
	line := Line{Slope: sumXY / sumXX, Points: len(x)}
	line.Intercept = meanY - line.Slope*meanX
	var squaredResiduals float64
	for i := range x {
		residual := y[i] - line.At(x[i])
		squaredResiduals += residual * residual
		line.Worst = math.Max(line.Worst, math.Abs(residual))
	}
	line.Residual = math.Sqrt(squaredResiduals / n)
	if len(x) > 2 {
		line.SlopeError = math.Sqrt(squaredResiduals / (n - 2) / sumXX)
	}
	return line, nil
}
