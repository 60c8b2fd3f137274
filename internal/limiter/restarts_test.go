package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnitsSentWithCounterDown: each life that the counter has not answered in sends one largest request, here a unit,
// and what its slice has filled by since it began, here 5 units a second: whole units alone are sent.
func TestUnitsSentWithCounterDown(t *testing.T) {
	const rate, burst, spread = 10, 40, 4
	for _, c := range []struct {
		restarts int64
		units    int
	}{{1, 1 + 4}, {2, 2 * (1 + 2)}, {5, 5 * (1 + 0)}, {10, 10 * (1 + 0)}} {
		require.Equal(t, c.units, unitsSentWithRestarts(rate, burst, spread, 0, c.restarts), "%d lives", c.restarts)
	}
}
