package runner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOverlappingRestartsStartOneProcess sends one limiter SIGTERM and SIGKILL in overlapping faults, each of which
// restarts it. Only one new process may be started: a second one would find the address in use.
func TestOverlappingRestartsStartOneProcess(t *testing.T) {
	t.Parallel()
	const termFault = `from = 2.0
until = 3.0
share = 0.1
every = 1.2
`
	const overlappingFaults = `from = 2.0
until = 2.5

[[faults]]
kind = "kill"
target = "limiter:*"
from = 2.1
until = 2.5
`
	r, _ := runPassing(t, resize(t, loadExample(t, "rolling", buildLimiter(t), termFault, overlappingFaults), 2, 8))
	require.Len(t, r.Run.Processes, 4, "two limiters, each started twice")
	require.Empty(t, r.Failures)
}
