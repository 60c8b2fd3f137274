package scale

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFitLine checks the fit against a worked example: y = 2 + 3x with residuals of +1, -1, -1 and +1.
func TestFitLine(t *testing.T) {
	line, err := FitLine([]float64{0, 1, 2, 3}, []float64{3, 4, 7, 12})
	require.NoError(t, err)
	require.InDelta(t, 3, line.Slope, 1e-12)
	require.InDelta(t, 2, line.Intercept, 1e-12)
	require.InDelta(t, 1, line.Residual, 1e-12)
	require.InDelta(t, 1, line.Worst, 1e-12)
	require.InDelta(t, 0.632456, line.SlopeError, 1e-6) // sqrt(4 / 2 / 5)
	require.Equal(t, 4, line.Points)
	require.InDelta(t, 32, line.At(10), 1e-12)
}

// TestFitLineExact checks that a line through two points has no residual and a zero slope error.
func TestFitLineExact(t *testing.T) {
	line, err := FitLine([]float64{20, 8500}, []float64{1, 9})
	require.NoError(t, err)
	require.InDelta(t, 8.0/8480, line.Slope, 1e-12)
	require.InDelta(t, 0, line.Residual, 1e-12)
	require.Zero(t, line.SlopeError)
}

func TestFitLineRefuses(t *testing.T) {
	for name, points := range map[string][2][]float64{
		"none":         {{}, {}},
		"one":          {{1}, {1}},
		"one size":     {{5, 5, 5}, {1, 2, 3}},
		"y is missing": {{1, 2}, {1}},
	} {
		_, err := FitLine(points[0], points[1])
		var refused *FitError
		require.ErrorAs(t, err, &refused, name)
		require.NotEmpty(t, refused.Hint())
	}
}
