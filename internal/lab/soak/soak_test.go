package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/flood"
	"ospreycroft/internal/lab/syscallshim"
)

// TestMain lets the test binary serve as the launcher of the system call shim and as the sender of floods.
func TestMain(m *testing.M) {
	syscallshim.LaunchIfRequested()
	flood.SendIfRequested()
	os.Exit(m.Run())
}

// ciSeeds are the seeds that CI runs. Between them they have failing system calls, clock steps, disk faults, idle
// clients, leaving, pipelining and flooding clients, and a quiet period.
var ciSeeds = []uint64{5, 17, 59, 120}

// ciSeconds is the duration of the load of each seed in CI, seconds.
const ciSeconds = 7

// TestSoak runs the CI seeds one after the other against the real limiter program. It guards against any finding: a
// broken rule, a failed process, too much memory or a failure in a log.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ospreycroft")
	output, err := exec.Command(
		"go", "build", "-ldflags=-linkmode=external", "-o", program, "ospreycroft/cmd/ospreycroft").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, seed := range ciSeeds {
		report, err := Run(seed, Options{Program: program, Launcher: os.Args[0], Length: ciSeconds, Dir: t.TempDir()})
		require.NoError(t, err)
		var text strings.Builder
		report.Write(&text)
		t.Log(text.String())
		require.Empty(t, report.Findings)
		require.NotEmpty(t, report.Result.Run.Requests)
	}
}

// TestDrawIsDeterministic checks that a seed draws the same scenario each time, so that a failed seed can be run again,
// and that the CI seeds cover every kind of condition.
func TestDrawIsDeterministic(t *testing.T) {
	var systemCalls, steps, disk, idleClients, leavingClients, pipeliningClients, floodingClients, quiet bool
	for _, seed := range ciSeeds {
		first, err := Draw(seed, ciSeconds, "program", 0)
		require.NoError(t, err)
		second, err := Draw(seed, ciSeconds, "program", 0)
		require.NoError(t, err)
		require.Equal(t, first, second)
		systemCalls = systemCalls || first.SystemCallFaultShare > 0
		steps = steps || first.ClockSteps
		disk = disk || first.DiskFaults
		idleClients = idleClients || first.IdleClients > 0
		leavingClients = leavingClients || first.LeavingClients > 0
		pipeliningClients = pipeliningClients || first.PipeliningClients > 0
		floodingClients = floodingClients || first.FloodingClients > 0
		quiet = quiet || first.Quiet
	}
	require.Equal(t, []bool{true, true, true, true, true, true, true, true},
		[]bool{systemCalls, steps, disk, idleClients, leavingClients, pipeliningClients, floodingClients, quiet})
}

// TestDrawnExperimentsAreValid guards against seeds whose experiment is rejected by its own validation, also for a
// fleet of a given size.
func TestDrawnExperimentsAreValid(t *testing.T) {
	for seed := range uint64(300) {
		_, err := Draw(seed, 12, "program", 0)
		require.NoError(t, err)
		fleet, err := Draw(seed, 12, "program", 40)
		require.NoError(t, err)
		require.Equal(t, 40, fleet.Experiment.Limiters.Count)
	}
}

// TestMemoryFindings checks that memory above the limit is a finding, and that the meter measures a process only while
// it runs its program.
func TestMemoryFindings(t *testing.T) {
	require.Empty(t, memoryFindings(64<<20, 64))
	require.Equal(t, []Finding{{What: "memory", Detail: "a limiter held 65 MB"}}, memoryFindings(65<<20, 64))
	sleeper := exec.Command("sleep", "60")
	require.NoError(t, sleeper.Start())
	t.Cleanup(func() {
		_ = sleeper.Process.Kill()
		_ = sleeper.Wait()
	})
	var other, same memoryMeter
	other.add(sleeper, os.Args[0])
	other.sample()
	require.Zero(t, other.peak(), "measured a process that runs another program")
	same.add(sleeper, sleeper.Path)
	require.Eventually(t, func() bool { same.sample(); return same.peak() > 0 }, 5*time.Second, time.Millisecond)
}

// TestReadLogsFindsFailures checks that log lines with a panic or a fatal error are findings, and that others are not.
func TestReadLogsFindsFailures(t *testing.T) {
	dir := t.TempDir()
	text := "time=x level=INFO event=started name=n0\ntime=x level=ERROR event=panic error=y\nfatal error: all goroutines are asleep\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "n0.log"), []byte(text), 0o600))
	findings := (&seedRun{dir: dir}).readLogs()
	require.Len(t, findings, 2)
}

// TestDiskFaultsAffectOnlyTheDirectory guards against disk faults that hit files outside the failing directory, such as
// logs.
func TestDiskFaultsAffectOnlyTheDirectory(t *testing.T) {
	dir := t.TempDir()
	inside, err := os.Create(filepath.Join(dir, "n0.snapshot.new"))
	require.NoError(t, err)
	defer func() { _ = inside.Close() }()
	outside, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = outside.Close() }()
	scenario, err := Draw(1, ciSeconds, "program", 0)
	require.NoError(t, err)
	scenario.DiskFaults = true
	p := &seedRun{scenario: scenario, dir: dir, limiterPorts: map[int]bool{}}
	require.NoError(t, p.prepare())
	p.faults.failingDir = dir
	p.faults.faultShare = 0
	write := func(file *os.File) syscallshim.Decision {
		return p.faults.decide(syscallshim.Call{
			PID: os.Getpid(), Number: unix.SYS_WRITE, Args: [6]uint64{uint64(file.Fd()), 0, 10},
		})
	}
	require.Zero(t, write(inside))
	p.faults.diskFails.Store(true)
	require.Contains(t, []unix.Errno{unix.ENOSPC, unix.EIO}, write(inside).Errno)
	require.Zero(t, write(outside))
}
