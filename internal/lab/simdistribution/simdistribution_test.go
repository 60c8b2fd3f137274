package simdistribution

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/distribution"
)

// seedCount is how many seeds each scenario is played with; DISTRIBUTION_RUNS sets it for a longer run.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("DISTRIBUTION_RUNS")); err == nil {
		return n
	}
	return 1
}

// TestScenarios plays what can happen to 550 limiters and holds the time until a change is in force against the
// deadline.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			for seed := range uint64(seedCount()) {
				options := DefaultOptions()
				options.Seed = seed + 1
				r, err := Run(options, s)
				require.NoError(t, err)
				t.Log(r)
				if s.Name == "zone cut (those inside it)" { // it is cut for good
					require.Equal(t, r.Limiters, r.Never)
					continue
				}
				require.Zero(t, r.Late, "not in force 18 s after")
				require.Less(t, r.BytesPerSecond, 29e3)
			}
		})
	}
}

// TestSourceOverview: the source reads one message a relay and second, and tells from them where a version is in
// force.
func TestSourceOverview(t *testing.T) {
	f, err := New(DefaultOptions())
	require.NoError(t, err)
	f.Run(settleTime)
	version, err := f.Publish()
	require.NoError(t, err)
	f.Run(3 * second)
	inForce, limiters := f.source.Overview(f.queue.now).InForce(version)
	require.Equal(t, 550, limiters)
	require.Equal(t, 550, inForce)
	f.IsolateRegion(1)
	version, err = f.Publish()
	require.NoError(t, err)
	f.Run(3 * second)
	inForce, limiters = f.source.Overview(f.queue.now).InForce(version)
	require.Equal(t, 550, limiters)
	require.InDelta(t, 550*2/3, inForce, 2)
	f.Run(20 * second)
	require.Equal(t, []string{"relay-2", "relay-3"}, f.source.Overview(f.queue.now).Silent)
	unconfirmed := 0
	for _, n := range f.limiters {
		status := n.poller.Status(f.queue.now)
		require.Equal(t, n.region == 1, status.Condition == distribution.Unconfirmed, "%s: %+v", n.name, status)
		if n.region == 1 {
			unconfirmed++
			require.NotZero(t, n.poller.State().Len())
			require.Greater(t, status.Age, 20*second)
		}
	}
	require.InDelta(t, 550/3, unconfirmed, 2)
	f.IsolateRegion(-1)
	f.Run(20 * second)
	for _, n := range f.limiters {
		require.Equal(t, distribution.Current, n.poller.Status(f.queue.now).Condition, n.name)
	}
	inForce, limiters = f.source.Overview(f.queue.now).InForce(version)
	require.Equal(t, 550, inForce)
	require.GreaterOrEqual(t, limiters, 550)
	require.LessOrEqual(t, float64(f.summaries)/seconds(f.queue.now), 6.1)
}

// TestSameSeedSameReport: nothing depends on a wall clock or on the order of a map.
func TestSameSeedSameReport(t *testing.T) {
	options := DefaultOptions()
	options.Limiters, options.Entries = 60, 100
	for _, s := range Scenarios() {
		first, err := Run(options, s)
		require.NoError(t, err)
		again, err := Run(options, s)
		require.NoError(t, err)
		require.Equal(t, first, again)
	}
}
