package scale

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// shortReport runs one experiment in its short form and returns its report.
func shortReport(t *testing.T, name string) *Report {
	t.Helper()
	if testing.Short() {
		t.Skip("starts limiter processes")
	}
	t.Parallel() // the test waits nearly all of the time
	options := Options{Short: true, Out: t.TempDir(), Program: program, Host: []string{os.Args[0]}, Log: io.Discard}
	report, err := Run([]string{name}, options)
	require.NoError(t, err)
	require.NoError(t, report.Save(filepath.Join(options.Out, "scale.json")))
	return report
}

// shortSeries runs one experiment in its short form and returns its series, keyed by the quantity and what it is
// measured over.
func shortSeries(t *testing.T, name string) map[string]Series {
	t.Helper()
	byQuantity := map[string]Series{}
	for _, s := range shortReport(t, name).Series {
		require.NotEmpty(t, s.Points, s.Quantity)
		byQuantity[strings.TrimSpace(s.Quantity+" "+s.Over)] = s
	}
	return byQuantity
}

// median returns a series' median at one of its sizes, given by its index.
func median(t *testing.T, byQuantity map[string]Series, quantity string, size int) float64 {
	t.Helper()
	s, ok := byQuantity[quantity]
	require.True(t, ok, "no %q", quantity)
	require.Greater(t, len(s.Points), size, quantity)
	return s.Points[size].Median()
}

func TestIdle(t *testing.T) {
	found := shortSeries(t, "idle")
	for _, over := range []string{"servers", "customers seen"} {
		require.Greater(t, median(t, found, "processor time "+over, 0), 0.0)
		require.Greater(
			t,
			median(t, found, "resident memory "+over, 1),
			median(t, found, "resident memory "+over, 0),
			over,
		)
	}
}

// TestHollowLimiterMatchesReal checks that a hollow limiter calls discovery and the counter about as often as a real
// one. The short windows allow a factor of two.
func TestHollowLimiterMatchesReal(t *testing.T) {
	found := map[string]Point{} // figures of the fleet of five limiters
	for _, s := range shortReport(t, "alike").Series {
		if s.Over == "limiters" {
			found[s.Experiment+": "+s.Quantity] = s.Points[1]
		}
	}
	for _, quantity := range []string{"control messages", "control bytes"} {
		real, ok := found["alike, one real: "+quantity]
		require.True(t, ok, quantity)
		hollow, ok := found["alike, one hollow: "+quantity]
		require.True(t, ok, quantity)
		require.Greater(t, real.Max(), 0.0, quantity)
		require.Less(t, hollow.Min(), 2*real.Max(), quantity)
		require.Greater(t, hollow.Max(), real.Min()/2, quantity)
	}
}

// TestList checks that a change costs bytes for each server if discovery answers with the whole list, and does not if
// it answers with the changed entry alone.
func TestList(t *testing.T) {
	found := shortSeries(t, "list")
	wholeList, ok := found["bytes of one change, told by the whole list servers"]
	require.True(t, ok)
	require.InDelta(t, 150, wholeList.Line.Slope, 30)
	changedEntry, ok := found["bytes of one change, told by the changed entry alone servers"]
	require.True(t, ok)
	require.InDelta(t, 0, changedEntry.Line.Slope, 0.5)
	require.Less(t, changedEntry.Points[1].Median(), 1000.0)
}

// TestFleet checks that the calls of a fleet of limiters to discovery are counted.
func TestFleet(t *testing.T) {
	byQuantity := shortSeries(t, "fleet")
	calls, ok := byQuantity["calls to discovery, all limiters limiters"]
	require.True(t, ok)
	require.Greater(t, calls.Points[1].Max(), 0.0)
}

func TestWorst(t *testing.T) {
	found := shortSeries(t, "worst")
	quarter := median(t, found, shareName(4)+" come back: bytes for one limiter", 0)
	half := median(t, found, shareName(2)+" come back: bytes for one limiter", 0)
	require.InDelta(t, 2, half/quarter, 0.3)
	withoutList := median(t, found, "all limiters restarted from no list: bytes to and from discovery", 0)
	withList := median(
		t,
		found,
		"all limiters restarted from the list of their configurations: bytes to and from discovery",
		0,
	)
	require.Greater(t, withoutList, 10*withList)
}

func TestRequest(t *testing.T) {
	found := shortSeries(t, "request")
	require.Greater(t, median(t, found, "processor time of a request servers", 0), 0.0)
}

// TestCounter checks that a call's cost is measured, and that a limiter calls the counter for fewer requests while
// the counter is busy.
func TestCounter(t *testing.T) {
	found := shortSeries(t, "counter")
	require.Greater(t, median(t, found, "processor time of a call at one stand-in", 0), 0.0)
	busy := median(t, found, "calls for a request while the counter is busy", 0)
	require.Less(t, busy, 0.9)
}

func TestRenew(t *testing.T) {
	found := shortSeries(t, "renew")
	require.Greater(t, median(t, found, "processor time of a renewed configuration servers", 1), 0.0)
}

// TestLatency checks that the requests are matched with their calls at the counter, which are found by the name that
// choice.go computes.
func TestLatency(t *testing.T) {
	found := shortSeries(t, "latency")
	added := median(t, found, "added, median requests/s", 0)
	require.Greater(t, added, median(t, found, partNames[toCounter]+", median requests/s", 0))
	require.Less(t, found["requests left out requests/s"].Points[0].Min(), 25.0)
}

func TestLatencySizes(t *testing.T) {
	found := shortSeries(t, "latency-sizes")
	require.Contains(t, found, "added, p99 servers")
	require.Contains(t, found, "added, p99 customers")
}

func TestProfile(t *testing.T) {
	if testing.Short() {
		t.Skip("starts limiter processes")
	}
	out := t.TempDir()
	_, err := Run(
		[]string{"profile"},
		Options{Short: true, Out: out, Program: program, Host: []string{os.Args[0]}, Log: io.Discard},
	)
	require.NoError(t, err)
	for _, part := range []string{"idle", "changes"} {
		info, err := os.Stat(filepath.Join(out, "profile-"+part+".pprof"))
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
}

func TestUnknownExperiment(t *testing.T) {
	_, err := Run([]string{"nothing"}, Options{Out: t.TempDir(), Log: io.Discard})
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	require.Contains(t, unknown.Hint(), "idle")
}

// TestMemoryLimit checks that a fleet which may exceed the machine's memory is not started.
func TestMemoryLimit(t *testing.T) {
	h := &Harness{options: Options{Out: t.TempDir(), Log: io.Discard, Host: []string{"/nowhere"}}}
	_, err := h.startHollowLimiters(&standIns{list: newInstances(Servers, []string{"127.0.0.1:1"})}, 0, 2000, nil)
	var short *MemoryError
	require.ErrorAs(t, err, &short)
	require.NotEmpty(t, short.Hint())
}

// TestProgramMissing checks that a program that does not start, or exits before it is ready, is reported with the
// path of its log.
func TestProgramMissing(t *testing.T) {
	for _, program := range []string{"/nowhere", "/bin/false"} {
		options := Options{Short: true, Out: t.TempDir(), Program: program, Log: io.Discard}
		_, err := Run([]string{"renew"}, options)
		var missing *StartError
		require.ErrorAs(t, err, &missing, program)
		require.Contains(t, missing.Hint(), options.Out)
	}
}
