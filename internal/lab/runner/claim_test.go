package runner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTwoRestartsOfOneProcess: SIGTERM and SIGKILL overlap on one limiter, and each of the two faults restarts it. One process
// follows the one that ended; a second one would find the address in use.
func TestTwoRestartsOfOneProcess(t *testing.T) {
	t.Parallel()
	const oneFault = `from = 2.0
until = 3.0
share = 0.1
every = 1.2
`
	const overlapping = `from = 2.0
until = 2.5

[[faults]]
kind = "kill"
target = "limiter:*"
from = 2.1
until = 2.5
`
	r, _ := play(t, smaller(t, example(t, "rolling", build(t), oneFault, overlapping), 2, 8))
	require.Len(t, r.Run.Processes, 4, "two limiters, each started twice")
	require.Empty(t, r.Failures)
}
