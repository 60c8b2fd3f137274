package slowstart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBudget(t *testing.T) {
	for expected, want := range map[float64]float64{0: 3, 16: 31, 25: 43, 36: 50, 100: 122} {
		require.InDelta(t, want, Budget(expected), 1e-9, "%v", expected)
	}
}
