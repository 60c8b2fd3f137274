package scale

import (
	"fmt"
	"math"
)

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept float64 `json:"intercept"` // y at x = 0
	Slope     float64 `json:"slope"`     // change of y per unit of x
	// SlopeError is the standard error of Slope; 0 for two points, which always lie on the line.
	SlopeError float64 `json:"slope_error"`
	Residual   float64 `json:"residual"` // root mean square distance of y from the line
	Worst      float64 `json:"worst"`    // largest distance of y from the line
	Points     int     `json:"points"`
}

// At returns the line's y at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitError reports points through which no line can be fitted.
type FitError struct{ Why string }

// Error describes why no line can be fitted.
func (e *FitError) Error() string { return "cannot fit a line: " + e.Why }

// Hint names the remedy.
func (e *FitError) Hint() string { return "measure at two different sizes at least" }

// FitLine fits a line through the points (x[i], y[i]) by least squares. Its error is a *FitError.
func FitLine(x, y []float64) (Line, error) {
	if len(x) != len(y) {
		return Line{}, &FitError{fmt.Sprintf("%d x values and %d y values", len(x), len(y))}
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
