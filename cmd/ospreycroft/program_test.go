package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/syscallshim"
	"ospreycroft/internal/lab/testbed"
)

// programHarness is a program under test, with a client of it and the test's own counters.
type programHarness struct {
	t                    *testing.T
	config               string // path of the configuration file
	program              *exec.Cmd
	exited               chan error
	client               *testbed.Conn
	counter, nextCounter *testbed.Peer // of the configuration at the start, and of the next one
}

// writeConfig writes the configuration file.
func (h *programHarness) writeConfig(listen, counter, server string) {
	h.t.Helper()
	known, _ := json.Marshal([]emulator.Instance{{ID: "s", HostPort: server, Lifecycle: "in_service", Weight: 1}})
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","counter":%q,"seed":"ff",
		"limits":{"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[{"name":"read","aim":2,"effect":"free","group":"all"}],
		"tariffs":[{"name":"plain","rate":50,"most-at-once":100}],
		"family-info":{"has-counter":true,"count-wait":2,"units-top":16,"trued-up":true},
		"contract":{"cold-from":0.3,"warm-within":10},"permissions":{"attempts-cap":3,"dial-timeout":1.5,"idle-close":15},
		"granularity":0.004}}`, listen, counter, known)
	require.NoError(h.t, os.WriteFile(h.config, []byte(config), 0o600))
}

// startHarness starts the program, with its log written to a file, and a client.
func startHarness(t *testing.T, server string, log *os.File) *programHarness {
	t.Helper()
	return startHarnessWithShim(t, server, log, nil)
}

// startHarnessWithShim is startHarness with decide applied to the program's system calls, nil to run it without the
// shim, and with additions to its environment.
func startHarnessWithShim(
	t *testing.T,
	server string,
	log *os.File,
	decide syscallshim.Decide,
	environment ...string,
) *programHarness {
	t.Helper()
	return startHarnessAndDo(t, server, log, decide, func(*exec.Cmd) {}, environment...)
}

// startHarnessAndDo is startHarnessWithShim with a function that is called as soon as the process has started.
func startHarnessAndDo(
	t *testing.T,
	server string,
	log *os.File,
	decide syscallshim.Decide,
	afterStart func(program *exec.Cmd),
	environment ...string,
) *programHarness {
	t.Helper()
	listen := testbed.ReservePort(t).Address()
	h := &programHarness{
		t:           t,
		config:      filepath.Join(t.TempDir(), "config.json"),
		exited:      make(chan error, 1),
		counter:     testbed.Listen(t),
		nextCounter: testbed.Listen(t),
	}
	h.writeConfig(listen, h.counter.Address, server)
	h.program = exec.Command(os.Args[0])
	h.program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+h.config)
	h.program.Env = append(h.program.Env, environment...)
	h.program.Stderr = log
	started := func() error { return nil }
	if decide != nil {
		var err error
		started, err = syscallshim.Command(h.program, os.Args[0], decide, &syscallshim.Counts{})
		require.NoError(t, err)
	}
	require.NoError(t, h.program.Start())
	require.NoError(t, started())
	afterStart(h.program)
	go func() { h.exited <- h.program.Wait() }()
	t.Cleanup(func() { _ = h.program.Process.Kill() })
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, testbed.Timeout, 20*time.Millisecond)
	h.client = (&testbed.Rig{Address: listen}).Dial(t)
	h.writeConfig(listen, h.nextCounter.Address, server) // for the next SIGHUP
	return h
}

// requireExit fails the test unless the program exits without an error within the timeout.
func (h *programHarness) requireExit(timeout time.Duration) {
	h.t.Helper()
	select {
	case err := <-h.exited:
		require.NoError(h.t, err)
	case <-time.After(timeout):
		h.t.Fatal("the program does not exit")
	}
}

// TestSignalsDuringShutdown: SIGTERM comes while a request is in one of its states, and another SIGTERM and two SIGHUPs
// follow. The request is served, its units are settled at the counter's new address, and the process exits without an
// error and in time.
func TestSignalsDuringShutdown(t *testing.T) {
	for _, state := range []string{"reserving", "dialling", "sent"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			server := testbed.Listen(t)
			if state == "dialling" {
				server = testbed.ListenFull(t)
			}
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			require.NoError(t, err)
			defer func() { _ = log.Close() }()
			h := startHarness(t, server.Address, log)
			awaitLogged := func(text string, times int) {
				t.Helper()
				require.Eventually(t, func() bool {
					all, err := os.ReadFile(log.Name())
					return err == nil && strings.Count(string(all), text) == times
				}, testbed.Timeout, time.Millisecond, text)
			}
			counterConn := h.counter.Accept(t)
			h.client.Send(t, testbed.Request("id", "read", 3000))
			require.Contains(t, counterConn.ReadLine(t), "tally ")
			var serverConn *testbed.Conn
			if state != "reserving" {
				counterConn.Send(t, "ok 1\r\n")
			}
			if state == "sent" {
				serverConn = server.Accept(t)
				serverConn.ReadCommand(t)
			}
			stopSent := time.Now()
			for i, next := range []struct {
				signal syscall.Signal
				log    string
				times  int
			}{
				{syscall.SIGTERM, "event=stopping", 1},
				{syscall.SIGTERM, "event=stopping", 1},
				{syscall.SIGHUP, "event=config-read", 1},
				{syscall.SIGHUP, "event=config-read", 2},
			} {
				require.NoError(t, h.program.Process.Signal(next.signal), i)
				awaitLogged(next.log, next.times)
			}
			time.Sleep(time.Until(stopSent.Add(900 * time.Millisecond))) // an idle limiter has exited by then
			if state == "reserving" {
				counterConn.Send(t, "ok 1\r\n")
			}
			if state == "dialling" {
				_ = server.Accept(t)
			}
			if serverConn == nil {
				serverConn = server.Accept(t)
				serverConn.ReadCommand(t)
			}
			serverConn.Send(t, "*3\r\n$5\r\nvalue\r\n$6\r\ncost=3\r\n$-1\r\n")
			require.Equal(t, "$value", h.client.ReadAnswer(t))
			counterConn = h.nextCounter.Accept(t)
			require.Contains(t, counterConn.ReadLine(t), "tally ")
			require.NoError(t, h.program.Process.Signal(syscall.SIGHUP)) // fails if the process has exited
			awaitLogged("event=config-read", 3)
			counterConn.Send(t, "ok 3\r\n")
			h.requireExit(time.Until(stopSent.Add(3700 * time.Millisecond)))
		})
	}
}

// TestTraceSignalsDuringStart: signals that request the trace come while the program starts, from when the Go runtime
// has installed its signal handlers, a millisecond after exec. The program starts, and logs a trace.
func TestTraceSignalsDuringStart(t *testing.T) {
	log, readLog := logFile(t)
	server := testbed.Listen(t)
	sendTraceSignals := func(program *exec.Cmd) {
		status := fmt.Sprintf("/proc/%d/status", program.Process.Pid)
		require.Eventually(t, func() bool {
			text, err := os.ReadFile(status)
			require.NoError(t, err)
			caught := regexp.MustCompile(`SigCgt:\s*([0-9a-f]+)`).FindSubmatch(text)
			mask, err := strconv.ParseUint(string(caught[1]), 16, 64)
			require.NoError(t, err)
			return mask&(1<<(syscall.SIGUSR1-1)) != 0
		}, testbed.Timeout, time.Millisecond/10)
		for range 100 {
			_ = program.Process.Signal(syscall.SIGUSR1)
			time.Sleep(time.Millisecond)
		}
	}
	h := startHarnessAndDo(t, server.Address, log, nil, sendTraceSignals)
	requireServed(t, h, server)
	require.Contains(t, readLog(), "event=trace")
}

// TestLogReaderCloses: the reader of the log exits before the program, as may happen when both are told to stop
// together. Accepted requests are still answered.
func TestLogReaderCloses(t *testing.T) {
	server := testbed.Listen(t)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	h := startHarness(t, server.Address, write)
	require.NoError(t, write.Close())
	counterConn := h.counter.Accept(t)
	h.client.Send(t, testbed.Request("id", "read", 3000))
	counterConn.ReadLine(t)
	counterConn.Send(t, "ok 1\r\n")
	serverConn := server.Accept(t)
	serverConn.ReadCommand(t)
	require.NoError(t, read.Close())
	require.NoError(t, h.program.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	serverConn.SendServed(t, "value")
	require.Equal(t, "$value", h.client.ReadAnswer(t))
	h.requireExit(testbed.Timeout)
}

// TestLogPipeFull guards against clients left without answers while servers and counter are well: the collector of the
// log had stopped reading, and the reducer's goroutine blocked in the write of its next line.
//
// The log is a pipe of the smallest size that is full before the program starts. The program becomes ready, serves and
// exits on SIGTERM, and goes on writing whole lines once the pipe is read.
func TestLogPipeFull(t *testing.T) {
	read, write, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = read.Close() }()
	defer func() { _ = write.Close() }()
	const pipeSize = 4096
	_, err = unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize)
	require.NoError(t, err)
	_, err = write.Write(append(bytes.Repeat([]byte("."), pipeSize-1), '\n'))
	require.NoError(t, err)
	server := testbed.Listen(t)
	h := startHarness(t, server.Address, write)
	requireServed(t, h, server)

	lines := bufio.NewScanner(read)
	for lines.Scan() && !strings.Contains(lines.Text(), "event=ready") {
		require.Regexp(t, `^(\.+|time=\S+ level=\w+ event=.*)$`, lines.Text())
	}
	require.Contains(t, lines.Text(), "event=ready")

	filler, err := unix.Open(
		fmt.Sprintf("/proc/self/fd/%d", write.Fd()),
		unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC,
		0,
	)
	require.NoError(t, err)
	defer func() { _ = unix.Close(filler) }()
	for err == nil { // the pipe is full again when the program exits
		_, err = unix.Write(filler, []byte("."))
	}
	require.ErrorIs(t, err, unix.EAGAIN)
	require.NoError(t, h.program.Process.Signal(syscall.SIGTERM))
	h.requireExit(testbed.Timeout)
}

// suspend stops the program and returns once all its threads are stopped.
func (h *programHarness) suspend() {
	h.t.Helper()
	suspend(h.t, h.program.Process)
}

// suspend stops a process and returns once all its threads are stopped, for which sending the signal alone does not
// wait.
func suspend(t *testing.T, process *os.Process) {
	t.Helper()
	require.NoError(t, process.Signal(syscall.SIGSTOP))
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", process.Pid)
	require.Eventually(t, func() bool {
		files, _ := filepath.Glob(tasks)
		return len(files) > 0 && !slices.ContainsFunc(files, func(file string) bool {
			text, _ := os.ReadFile(file)
			_, rest, _ := strings.Cut(string(text), ") ") // after the process's name
			return !strings.HasPrefix(rest, "T")
		})
	}, testbed.Timeout, time.Millisecond)
}
