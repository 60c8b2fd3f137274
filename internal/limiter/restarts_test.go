package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnitsSentWithCounterDown: an incarnation that the counter has not answered sends one request of the largest size,
// here 1 unit, plus the refill of its part of the quota since its start, here 5 units per second, in whole units.
func TestUnitsSentWithCounterDown(t *testing.T) {
	const rate, burst, spread = 10, 40, 4
	for _, c := range []struct {
		restarts int64
		units    int
	}{{1, 1 + 4}, {2, 2 * (1 + 2)}, {5, 5 * (1 + 0)}, {10, 10 * (1 + 0)}} {
		require.Equal(t, c.units, unitsSentWithRestarts(rate, burst, spread, 0, c.restarts), "%d restarts", c.restarts)
	}
}
