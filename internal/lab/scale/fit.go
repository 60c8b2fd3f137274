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
	var squares, products float64
	for i := range x {
		squares += (x[i] - meanX) * (x[i] - meanX)
		products += (x[i] - meanX) * (y[i] - meanY)
	}
	if len(x) < 2 || squares == 0 {
		return Line{}, &FitError{"all points have the same x"}
	}
	line := Line{Slope: products / squares, Points: len(x)}
	line.Intercept = meanY - line.Slope*meanX
	var rest float64
	for i := range x {
		distance := y[i] - line.At(x[i])
		rest += distance * distance
		line.Worst = math.Max(line.Worst, math.Abs(distance))
	}
	line.Residual = math.Sqrt(rest / n)
	if len(x) > 2 {
		line.SlopeError = math.Sqrt(rest / (n - 2) / squares)
	}
	return line, nil
}
