package choice

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExponential(t *testing.T) {
	for x := -745.0; x < 709; x += 0.37 {
		want := math.Exp(x)
		require.LessOrEqual(t, math.Abs(exponential(x)-want), 2*(math.Nextafter(want, math.Inf(1))-want), x)
	}
	require.Equal(t, 1.0, exponential(0))
	require.Equal(t, 0.0, exponential(math.Inf(-1)))
	require.Equal(t, math.Inf(1), exponential(710))
	require.True(t, math.IsNaN(exponential(math.NaN())))
}
