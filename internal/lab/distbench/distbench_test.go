package distbench

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/procfs"
)

// TestMain runs the test binary as a host of hollow limiters if the harness started it with HostVariable.
func TestMain(m *testing.M) {
	if os.Getenv(HostVariable) != "" {
		if err := HostMain(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestShortRun runs cases with a small fleet. It guards against changes that a limiter applies late or never, also when
// a relay is killed, and against partitions that let a change through. testlab distribution runs all cases at full
// size.
func TestShortRun(t *testing.T) {
	programs, err := Build(t.TempDir())
	require.NoError(t, err)
	report, err := Run(
		[]string{"calm", "zone", "killed", "restart", "changes", "cold"},
		true,
		Options{Programs: programs, HostCommand: []string{os.Args[0]}, Dir: t.TempDir(), Hollow: 40, Hosts: 2, Real: 1,
			RelaysInZone: 1, Entries: 90, Log: os.Stderr},
	)
	require.NoError(t, err)
	require.Empty(t, report.NotRun)
	require.NoError(t, report.WriteTable(os.Stderr))
	names := ""
	for _, c := range report.Cases {
		names += c.Name + "\n"
		require.Positive(t, c.Hollow.Samples, c.Name)
		require.Zero(t, c.Hollow.Late, c.Name)
		require.Zero(t, c.Real.Late, c.Name)
		require.Positive(t, c.Hollow.P50, c.Name)
	}
	require.Contains(t, names, "(0 had it before)")
	require.Len(t, report.Loads, 3)
	for _, l := range report.Loads[1:] { // the idle period may pass without any call
		for _, part := range []Load{l.Limiter, l.Real, l.Relay, l.Source} {
			require.Positive(t, part.BytesPerSecond, l.During)
			require.Positive(t, part.CorePercent, l.During)
		}
	}
	path, err := report.Save(t.TempDir())
	require.NoError(t, err)
	require.FileExists(t, path)
}

// TestApplyLog checks that a latency is taken from the first record, in order of arrival, of the version or a newer one
// at or after the publication.
func TestApplyLog(t *testing.T) {
	l, from := newApplyLog(), time.Unix(100, 0)
	version := func(n uint64) distribution.Version { return distribution.Version{Epoch: 1, Number: n} }
	add := func(limiter int, n uint64, after time.Duration) {
		l.add(appliedVersion{Limiter: limiter, Version: version(n), At: from.Add(after).UnixNano()})
	}
	add(1, 5, -time.Second) // of an earlier incarnation
	add(1, 4, time.Second)
	add(1, 6, 3*time.Second)
	add(2, 5, 2*time.Second)
	latency, found := l.applyLatency(1, version(5), from)
	require.True(t, found)
	require.Equal(t, 3*time.Second, latency)
	require.True(t, l.allApplied([]int{1, 2}, version(5), from))
	require.False(t, l.allApplied([]int{1, 2}, version(6), from))
	require.False(t, l.allApplied([]int{3}, version(1), from))
}

// TestSummarize checks that late samples and those never applied are counted, and that only applied samples enter the
// quantiles.
func TestSummarize(t *testing.T) {
	var latencies []time.Duration
	for i := 100; i > 0; i-- {
		latencies = append(latencies, time.Duration(i)*time.Second/5)
	}
	require.Equal(t,
		LatencySummary{Samples: 103, P50: 10, P99: 19.8, Max: 20, Late: 13, Never: 3}, summarize(latencies, 3))
	require.Equal(t, LatencySummary{Samples: 2, Late: 2, Never: 2}, summarize(nil, 2))
	require.Equal(t, LatencySummary{Samples: 1, P50: 1, P99: 1, Max: 1}, summarize([]time.Duration{time.Second}, 0))
}

// TestLoad checks that a process's usage is divided among its limiters, that the test's own usage can be read, and that
// reading that of a process that does not exist fails.
func TestLoad(t *testing.T) {
	at := time.Unix(0, 0)
	before := usage{at: at, cpuTime: time.Second, bytes: 1000}
	after := usage{at: at.Add(10 * time.Second), cpuTime: 2 * time.Second, bytes: 21000}
	require.Equal(t, Load{BytesPerSecond: 500, CorePercent: 2.5}, loadBetween(before, after, 4))
	own, err := readUsage(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, own.cpuTime)
	require.Positive(t, own.bytes)
	var failed *procfs.Error
	_, err = readUsage(-1)
	require.ErrorAs(t, err, &failed)
}

// TestUnknownCase checks that an unknown case name is an error whose hint lists the valid names.
func TestUnknownCase(t *testing.T) {
	f := &Fleet{}
	_, err := f.runCase("quiet", shortParameters)
	var unknown *UnknownCaseError
	require.ErrorAs(t, err, &unknown)
	require.Contains(t, unknown.Hint(), "calm")
}
