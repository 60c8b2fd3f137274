package simdistribution

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/distribution"
)

// seedCount returns how many seeds each scenario runs with: 1, or the value of DISTRIBUTION_RUNS.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("DISTRIBUTION_RUNS")); err == nil {
		return n
	}
	return 1
}

// TestScenarios checks that in each scenario with 550 limiters every change is in force by the deadline and a
// limiter's traffic stays below 29 kB/s.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			for seed := range uint64(seedCount()) {
				options := DefaultOptions()
				options.Seed = seed + 1
				r, err := Run(options, s)
				require.NoError(t, err)
				t.Log(r)
				if s.Name == "zone cut (those inside it)" { // the zone stays isolated until the end of the run
					require.Equal(t, r.Limiters, r.Never)
					continue
				}
				require.Zero(t, r.Late, "pairs of limiter and change not in force after 18 s")
				require.Less(t, r.BytesPerSecond, 29e3)
			}
		})
	}
}

// TestSourceOverview checks that the source knows from the relays' summaries alone, one per relay and second, at how
// many limiters a version is in force and which relays are silent, also while a region is isolated and after it is
// healed.
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

// TestSameSeedSameReport guards against results that depend on a wall clock or on the order of a map: two runs with
// the same seed must give the same report.
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
