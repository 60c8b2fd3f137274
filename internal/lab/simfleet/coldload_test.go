package simfleet

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
)

// coldFleet is one row of the measurement: the number of limiters and servers, and the speed of the servers.
type coldFleet struct {
	limiters, servers int
	warmRate          float64 // requests per second of a warm server
	broken            []Broken
}

// coldSlots is the number of requests that a server of the measurement runs concurrently.
const coldSlots = 2

// burstLoadFactor is the load during the burst, as a multiple of the capacity of all servers when warm. Before the
// burst the load is 0.5 of that capacity.
const burstLoadFactor = 1.5

// The times of the experiment. Two servers crash. Each restarts at the same moment as a new server joins, and a burst
// covers all four starts.
const (
	coldCrash        = 2 * second
	coldBurst        = 3 * second
	coldReturn       = 3500 * second / 1000
	coldSecondReturn = 3700 * second / 1000
	coldEnd          = 12500 * second / 1000
)

// options returns the options of a row. It has enough customers that their quotas do not limit the burst.
func (c coldFleet) options(seed uint64) Options {
	o := DefaultOptions(seed, c.limiters, c.servers)
	for i := range o.Servers {
		o.Servers[i].Slots, o.Servers[i].ServiceTime = coldSlots, int64(coldSlots/c.warmRate*1e9)
	}
	capacity := c.warmRate * float64(c.servers)
	o.Load.Rate, o.Load.From, o.Load.Until = capacity/2, second, coldEnd
	o.Broken = c.broken
	const teamRate = 40 // rate of the plan "team" in DefaultSettings, in units per second
	customers := max(int(2*burstLoadFactor*capacity/teamRate), c.limiters/5)
	o.Load.Customers = nil
	for i := range customers {
		o.Load.Customers = append(o.Load.Customers, Customer{ID: fmt.Sprintf("%016x", 0xc0+i), Plan: "team", Share: 1,
			Limiters: 10, First: i * c.limiters / customers})
	}
	return o
}

// worstPeaks runs a row with one seed and returns the worst peaks of its cold starts.
func (c coldFleet) worstPeaks(t *testing.T, seed uint64) (all, notified ColdPeak) {
	t.Helper()
	f, err := New(c.options(seed))
	require.NoError(t, err)
	f.StartAll(0)
	f.At(coldCrash, func() { f.CrashServer("s0"); f.CrashServer("s1") })
	f.At(coldBurst, func() { f.SetRequestRate(burstLoadFactor * c.warmRate * float64(c.servers)) })
	f.At(coldReturn, func() { f.RestartServer("s0"); f.AddServer("s2", "new0") })
	f.At(coldSecondReturn, func() { f.RestartServer("s1"); f.AddServer("s3", "new1") })
	f.Run(coldEnd)
	require.Empty(t, f.faults)
	loads := f.ColdLoads()
	require.Len(t, loads, 4)
	for _, load := range loads {
		require.NotZero(t, load.Notified.Count,
			"seed %d: %s received no request from notified limiters", seed, load.Server)
		all, notified = all.Worse(load.All), notified.Worse(load.Notified)
	}
	return all, notified
}

// peakSummary summarizes the peaks of one kind over the seeds of a row.
type peakSummary struct {
	worst ColdPeak
	sum   float64 // sum of the ratios
	seeds int
}

func (s *peakSummary) add(p ColdPeak) {
	s.worst, s.sum, s.seeds = s.worst.Worse(p), s.sum+p.Ratio(), s.seeds+1
}

func (s *peakSummary) tableCells() string {
	return fmt.Sprintf(
		"%d of %.1f | %.1f | %.2f | %.2f",
		s.worst.Count,
		s.worst.Bound,
		s.worst.Margin(),
		s.worst.Ratio(),
		s.sum/float64(s.seeds),
	)
}

// TestColdMargin measures how close cold servers come to the bound of rule 4 when the load of all limiters together has
// a burst, and guards against exceeding it by limiters that were notified of the start. It logs the rows of the table
// in docs/cold-margin.md.
func TestColdMargin(t *testing.T) {
	for _, c := range []coldFleet{
		{limiters: 20, servers: 10, warmRate: 20}, {limiters: 25, servers: 10, warmRate: 20},
		{limiters: 30, servers: 10, warmRate: 20},
		{limiters: 300, servers: 20, warmRate: 20},
		{limiters: 20, servers: 10, warmRate: 5}, {limiters: 25, servers: 10, warmRate: 5},
		{limiters: 30, servers: 10, warmRate: 5},
		{limiters: 300, servers: 40, warmRate: 5},
	} {
		t.Run(fmt.Sprintf("%d_limiters_%d_servers_of_%.0f", c.limiters, c.servers, c.warmRate), func(t *testing.T) {
			seeds := 10
			if testing.Short() && c.limiters == 300 {
				seeds = 2
			}
			var all, notified peakSummary
			for seed := 1; seed <= seeds; seed++ {
				allPeak, notifiedPeak := c.worstPeaks(t, uint64(seed))
				all.add(allPeak)
				notified.add(notifiedPeak)
				assert.Positive(
					t,
					notifiedPeak.Margin(),
					"seed %d: notified limiters sent %d requests in a window, the bound is %.1f",
					seed,
					notifiedPeak.Count,
					notifiedPeak.Bound,
				)
			}
			t.Logf(
				"| %d | %d | %.0f | %d | %s | %s |",
				c.limiters,
				c.servers,
				c.warmRate,
				seeds,
				all.tableCells(),
				notified.tableCells(),
			)
		})
	}
}

// TestColdMarginBroken checks that limiters that overload new servers exceed the bound of rule 4. The case of 20
// limiters and servers of 20 requests per second is not among the rows, since it stays within the bound
// (docs/cold-margin.md).
func TestColdMarginBroken(t *testing.T) {
	for _, c := range []coldFleet{{limiters: 30, servers: 10, warmRate: 5}, {limiters: 300, servers: 40, warmRate: 5},
		{limiters: 300, servers: 20, warmRate: 20}} {
		c.broken = []Broken{OverloadsNewServers}
		_, notified := c.worstPeaks(t, 1)
		assert.Negative(
			t,
			notified.Margin(),
			"%d limiters: notified limiters sent %d requests in a window, the bound is %.1f",
			c.limiters,
			notified.Count,
			notified.Bound,
		)
	}
}

// TestColdPeaks checks the measurement itself on attempts whose windows are known.
func TestColdPeaks(t *testing.T) {
	f, err := New(DefaultOptions(1, 2, 1)) // a server does 150 requests per second, a quarter of that when it starts
	require.NoError(t, err)
	f.At(10*second, func() { f.RestartServer("s0") })
	f.Run(10 * second)
	f.limiters[0].incarnations = []*incarnation{{until: never}}
	f.limiters[1].incarnations = []*incarnation{{until: never}}
	f.limiters[0].agentVersions = []versionMark{{firstVersion + 1, 11 * second}}
	for _, s := range []struct {
		at      int64
		limiter int
		times   int
	}{
		{9 * second, 0, 500}, // sent to the previous process
		{10500e6, 0, 4},      // not notified yet
		{11 * second, 0, 3},
		{11500e6, 1, 5}, // never notified
		{12 * second, 0, 2},
		// A window includes its end and excludes its beginning: the commands at 11 s have left it.
		{12500e6, 0, 4},
		{26 * second, 0, 500}, // warm
	} {
		for range s.times {
			f.attempts = append(f.attempts, observedAttempt{Attempt: history.Attempt{Server: "s0", At: s.at},
				limiter: s.limiter})
		}
	}
	loads := f.ColdLoads()
	require.Len(t, loads, 1)
	load := loads[0]
	bound := func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }
	n := 3 * 150 * 1.5
	assert.Equal(t, 18, load.Requests)
	assert.Equal(t, 12, load.All.Count)
	assert.Equal(t, 11500*second/1000, load.All.At)
	assert.InDelta(t, bound(n*(0.25+0.75*1.5/15)), load.All.Bound, 1e-9)
	assert.Equal(t, 6, load.Notified.Count)
	assert.Equal(t, 12500*second/1000, load.Notified.At)
	assert.InDelta(t, bound(n*(0.25+0.75*2.5/15))-6, load.Notified.Margin(), 1e-9)
}
