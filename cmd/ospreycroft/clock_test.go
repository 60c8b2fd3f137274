package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/clockstep"
	"ospreycroft/internal/lab/testbed"
)

// timeLeftField matches the time left, in milliseconds, among the fields of a command to a server.
var timeLeftField = regexp.MustCompile(`,d=(\d+),`)

// TestWallClockSteps: the wall clock steps while one request is in flight and before another one comes. The first gets
// its final answer by its deadline in real time, the server of the second is told the time that its client has left,
// both are counted in the window that was current before the step, and no connection is closed.
func TestWallClockSteps(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	for _, step := range []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			sameWindow := runClockStep(t, library, step)
			if !sameWindow { // the window may have ended regularly in between, but not twice within seconds
				sameWindow = runClockStep(t, library, step)
			}
			require.True(t, sameWindow)
		})
	}
}

// runClockStep runs one step, and tells whether both requests were counted in the same window.
func runClockStep(t *testing.T, library string, step time.Duration) (sameWindow bool) {
	t.Helper()
	const (
		timeout = 1200 * time.Millisecond
		slack   = 150 * time.Millisecond
	)
	clock, err := clockstep.New(library, filepath.Join(t.TempDir(), "clock"))
	require.NoError(t, err)
	log, readLog := logFile(t)
	server := testbed.Listen(t)
	h := startHarnessWithShim(t, server.Address, log, nil, clock.Environment()...)
	counter := h.counter.Accept(t)
	second := (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)

	sent := time.Now()
	h.client.Send(t, testbed.Request("out", "read", int(timeout.Milliseconds())))
	firstTally := strings.Fields(counter.ReadLine(t))
	counter.Send(t, "ok 1\r\n")
	require.Equal(t, "out", server.Accept(t).ReadCommand(t)[2])

	require.NoError(t, clock.Step(step))
	second.Send(t, testbed.Request("next", "read", int(timeout.Milliseconds())))
	secondTally := strings.Fields(counter.ReadLine(t))
	counter.Send(t, "ok 2\r\n")
	serverConn := server.Accept(t)
	words := serverConn.ReadCommand(t)
	require.Equal(t, "next", words[2])
	toldMs, err := strconv.Atoi(timeLeftField.FindStringSubmatch(words[3])[1])
	require.NoError(t, err)
	require.InDelta(t, timeout.Milliseconds(), toldMs, float64(slack.Milliseconds()))
	serverConn.SendServed(t, "value")
	require.Equal(t, "$value", second.ReadAnswer(t))

	require.Contains(t, h.client.ReadAnswer(t), "-BUSY")
	elapsed := time.Since(sent)
	require.Less(t, elapsed, timeout)
	require.Greater(t, elapsed, timeout-2*slack)
	second.ExpectNothing(t, slack)
	requireLogTime(t, h, readLog, time.Now().Add(step))
	return firstTally[1] == secondTally[1]
}

// requireLogTime makes the program log its trace, and fails the test unless the line's time is near want: the program's
// wall clock has stepped.
func requireLogTime(t *testing.T, h *programHarness, readLog func() string, want time.Time) {
	t.Helper()
	require.NoError(t, h.program.Process.Signal(syscall.SIGUSR1))
	var lines []string
	require.Eventually(t, func() bool {
		lines = strings.Split(strings.TrimSpace(readLog()), "\n")
		return strings.Contains(lines[len(lines)-1], "event=trace")
	}, testbed.Timeout, 10*time.Millisecond)
	logTime, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(lines[len(lines)-1])[0], "time="))
	require.NoError(t, err)
	require.WithinDuration(t, want, logTime, testbed.Timeout)
}

// useSteppedClock gives the programs that the test starts a wall clock that the test can step.
func useSteppedClock(t *testing.T, library string) *clockstep.Clock {
	t.Helper()
	clock, err := clockstep.New(library, filepath.Join(t.TempDir(), "clock"))
	require.NoError(t, err)
	for _, variable := range clock.Environment() {
		name, value, _ := strings.Cut(variable, "=")
		t.Setenv(name, value)
	}
	return clock
}

// TestSnapshotUsedAfterClockStep: the wall clock steps by far more than a snapshot's maximum age while the limiter is
// down. The snapshot is only seconds old, and is used.
func TestSnapshotUsedAfterClockStep(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			clock := useSteppedClock(t, library)
			_, snapshots := enableSnapshots(t)
			first := startDiscovery(t, "first")
			_, program, ended, _ := startProgram(t, first.Address(0), first.server.Instance)
			require.Eventually(t, func() bool {
				_, err := os.Stat(snapshots)
				return err == nil
			}, testbed.Timeout, 10*time.Millisecond)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)

			require.NoError(t, clock.Step(step))
			_, program, ended, log := startProgram(t, first.Address(0), first.server.Instance)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)
			require.Regexp(t, `event=snapshot-read generation=\d+ servers=1 age_s=\d `, log.String())
		})
	}
}

// TestServersChangeAfterClockStep: after a step of the wall clock, one server starts draining and a fresh one is added.
// No request goes to the draining server once its grace has passed, and the fresh server warms up slowly: without slow
// start it would get half of the requests beside one warm server.
func TestServersChangeAfterClockStep(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	const (
		clients       = 4
		grace         = time.Second // far longer than the new list takes to arrive
		measurePeriod = 1500 * time.Millisecond
		// maximum share of the requests; 0.3 to 0.4 of the warm server's rate are 0.23 to 0.29 of all
		coldShare = 0.33
	)
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			clock := useSteppedClock(t, library)
			discovery := startDiscovery(t, "drains")
			draining, staying, fresh := discovery.server,
				startCountingServer(t, "stays"), startCountingServer(t, "fresh")
			discovery.Set(staying.Instance)
			address, _, _, log := startProgram(t, discovery.Address(0), draining.Instance, staying.Instance)
			stop := startClients(t, address, clients)
			require.Eventually(
				t,
				func() bool { return draining.requestCount() > 0 && staying.requestCount() > 0 },
				eventTimeout,
				10*time.Millisecond,
				log,
			)

			require.NoError(t, clock.Step(step))
			drainingEntry, freshEntry := draining.Instance, fresh.Instance
			drainingEntry.Lifecycle = "terminating"
			freshEntry.StartedMs = time.Now().UnixMilli()
			discovery.Set(drainingEntry)
			discovery.Set(freshEntry)
			require.Eventually(t, func() bool { return fresh.requestCount() > 0 }, eventTimeout, time.Millisecond, log)
			freshBefore, stayingBefore := fresh.requestCount(), staying.requestCount()
			time.Sleep(grace)
			drainingBefore := draining.requestCount()
			time.Sleep(measurePeriod - grace)
			toFresh, toStaying := fresh.requestCount()-freshBefore, staying.requestCount()-stayingBefore
			stop()
			require.Equal(t, drainingBefore, draining.requestCount(), "requests went to the draining server")
			require.Positive(t, toStaying)
			share := float64(toFresh) / float64(toFresh+toStaying)
			t.Logf("%d requests to the fresh server, %d to the warm one", toFresh, toStaying)
			require.Less(t, share, coldShare)
		})
	}
}

// startClients starts clients that each send one request after another until they are stopped.
func startClients(t *testing.T, address string, count int) (stop func()) {
	t.Helper()
	var stopping atomic.Bool
	var running sync.WaitGroup
	for i := range count {
		conn := (&testbed.Rig{Address: address}).Dial(t)
		running.Go(func() {
			for n := 0; !stopping.Load(); n++ {
				conn.Send(t, string(request(fmt.Sprintf("caller-%d-%d", i, n), 2000)))
				conn.ReadAnswer(t)
			}
		})
	}
	return func() {
		stopping.Store(true)
		running.Wait()
	}
}
