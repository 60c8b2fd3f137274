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

// timeTold is the time that a command tells its server, of the command's fields.
var timeTold = regexp.MustCompile(`,d=(\d+),`)

// TestWallClockSteps: the wall clock steps while one request is out and before another comes. The first gets its final answer at
// its deadline by real time, the server of the second is told what its client has left, both are counted in the windows that
// were named before, and no connection is closed.
func TestWallClockSteps(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	for _, step := range []time.Duration{time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			sameWindow := playClockStep(t, library, step)
			if !sameWindow { // it may have ended in order just then, but does not twice within seconds
				sameWindow = playClockStep(t, library, step)
			}
			require.True(t, sameWindow)
		})
	}
}

// playClockStep plays one step, and tells whether both requests are counted in the same window.
func playClockStep(t *testing.T, library string, step time.Duration) (sameWindow bool) {
	t.Helper()
	const (
		timeout = 1200 * time.Millisecond
		slack   = 150 * time.Millisecond
	)
	clock, err := clockstep.New(library, filepath.Join(t.TempDir(), "clock"))
	require.NoError(t, err)
	log, read := logFile(t)
	server := testbed.Listen(t)
	e := beginUnder(t, server.Address, log, nil, clock.Environment()...)
	counter := e.counter.Accept(t)
	second := (&testbed.Rig{Address: e.client.TCP.RemoteAddr().String()}).Dial(t)

	sent := time.Now()
	e.client.Say(t, testbed.Request("out", "read", int(timeout.Milliseconds())))
	before := strings.Fields(counter.Line(t))
	counter.Say(t, "ok 1\r\n")
	require.Equal(t, "out", server.Accept(t).Command(t)[2])

	require.NoError(t, clock.Step(step))
	second.Say(t, testbed.Request("next", "read", int(timeout.Milliseconds())))
	behind := strings.Fields(counter.Line(t))
	counter.Say(t, "ok 2\r\n")
	serving := server.Accept(t)
	words := serving.Command(t)
	require.Equal(t, "next", words[2])
	told, err := strconv.Atoi(timeTold.FindStringSubmatch(words[3])[1])
	require.NoError(t, err)
	require.InDelta(t, timeout.Milliseconds(), told, float64(slack.Milliseconds()))
	serving.Serve(t, "value")
	require.Equal(t, "$value", second.Answer(t))

	require.Contains(t, e.client.Answer(t), "-BUSY")
	took := time.Since(sent)
	require.Less(t, took, timeout)
	require.Greater(t, took, timeout-2*slack)
	second.Quiet(t, slack)
	requireStamped(t, e, read, time.Now().Add(step))
	return before[1] == behind[1]
}

// requireStamped has the program log, and fails the test unless its wall clock reads so: that it has stepped.
func requireStamped(t *testing.T, e *ending, read func() string, want time.Time) {
	t.Helper()
	require.NoError(t, e.program.Process.Signal(syscall.SIGUSR1))
	var lines []string
	require.Eventually(t, func() bool {
		lines = strings.Split(strings.TrimSpace(read()), "\n")
		return strings.Contains(lines[len(lines)-1], "event=trace")
	}, testbed.Patience, 10*time.Millisecond)
	stamp, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(lines[len(lines)-1])[0], "time="))
	require.NoError(t, err)
	require.WithinDuration(t, want, stamp, testbed.Patience)
}

// stepClocks gives the programs that the test starts a wall clock that steps when the test says so.
func stepClocks(t *testing.T, library string) *clockstep.Clock {
	t.Helper()
	clock, err := clockstep.New(library, filepath.Join(t.TempDir(), "clock"))
	require.NoError(t, err)
	for _, variable := range clock.Environment() {
		name, value, _ := strings.Cut(variable, "=")
		t.Setenv(name, value)
	}
	return clock
}

// TestSnapshotOutlivesClockStep: the wall clock steps by far more than a snapshot may be old while the limiter is down. The snapshot
// is seconds old all the same, and is used.
func TestSnapshotOutlivesClockStep(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			clock := stepClocks(t, library)
			_, snapshots := keepSnapshots(t)
			first := startPlace(t, "first")
			_, program, ended, _ := start(t, first.Address(0), first.server.Instance)
			require.Eventually(t, func() bool {
				_, err := os.Stat(snapshots)
				return err == nil
			}, testbed.Patience, 10*time.Millisecond)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)

			require.NoError(t, clock.Step(step))
			_, program, ended, log := start(t, first.Address(0), first.server.Instance)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)
			require.Regexp(t, `event=snapshot-read generation=\d+ servers=1 age_s=\d `, log.String())
		})
	}
}

// TestServersChangeBehindClockStep: the wall clock has stepped under a limiter, and then a server drains and a fresh one
// comes. Nothing goes to the one that drains once its grace is over, and the fresh one is warmed up slowly: with one warm
// server beside it, it would else get half of the requests.
func TestServersChangeBehindClockStep(t *testing.T) {
	library, err := clockstep.Build(t.TempDir())
	require.NoError(t, err)
	const (
		callers   = 4
		grace     = time.Second // far longer than the news takes
		counting  = 1500 * time.Millisecond
		coldShare = 0.33 // of the requests, at most; 0.3 to 0.4 of the warm one's pace are 0.23 to 0.29 of all
	)
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			clock := stepClocks(t, library)
			place := startPlace(t, "drains")
			drains, stays, fresh := place.server, startCounting(t, "stays"), startCounting(t, "fresh")
			place.Set(stays.Instance)
			address, _, _, log := start(t, place.Address(0), drains.Instance, stays.Instance)
			stop := startCallers(t, address, callers)
			require.Eventually(t, func() bool { return drains.total() > 0 && stays.total() > 0 }, soon, 10*time.Millisecond, log)

			require.NoError(t, clock.Step(step))
			leaving, coming := drains.Instance, fresh.Instance
			leaving.Lifecycle = "terminating"
			coming.StartedMs = time.Now().UnixMilli()
			place.Set(leaving)
			place.Set(coming)
			require.Eventually(t, func() bool { return fresh.total() > 0 }, soon, time.Millisecond, log)
			freshBefore, staysBefore := fresh.total(), stays.total()
			time.Sleep(grace)
			drained := drains.total()
			time.Sleep(counting - grace)
			toFresh, toStays := fresh.total()-freshBefore, stays.total()-staysBefore
			stop()
			require.Equal(t, drained, drains.total(), "requests went to the server that drains")
			require.Positive(t, toStays)
			share := float64(toFresh) / float64(toFresh+toStays)
			t.Logf("%d requests to the fresh server, %d to the warm one", toFresh, toStays)
			require.Less(t, share, coldShare)
		})
	}
}

// startCallers has clients send one request after the other until they are stopped.
func startCallers(t *testing.T, address string, callers int) (stop func()) {
	t.Helper()
	var stopping atomic.Bool
	var running sync.WaitGroup
	for i := range callers {
		conn := (&testbed.Rig{Address: address}).Dial(t)
		running.Go(func() {
			for n := 0; !stopping.Load(); n++ {
				conn.Say(t, string(request(fmt.Sprintf("caller-%d-%d", i, n), 2000)))
				conn.Answer(t)
			}
		})
	}
	return func() {
		stopping.Store(true)
		running.Wait()
	}
}
