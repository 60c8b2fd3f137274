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

// ending is a program with a counter, of which the test holds the other ends.
type ending struct {
	t              *testing.T
	config         string // its file
	program        *exec.Cmd
	ended          chan error
	client         *testbed.Conn
	counter, moved *testbed.Peer // where the counter is, and where the next configuration puts it
}

// configure writes the configuration.
func (e *ending) configure(listen, counter, server string) {
	e.t.Helper()
	known, _ := json.Marshal([]emulator.Instance{{ID: "s", HostPort: server, Lifecycle: "in_service", Weight: 1}})
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","counter":%q,"seed":"ff",
		"limits":{"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[{"name":"read","aim":2,"effect":"free","group":"all"}],
		"tariffs":[{"name":"plain","rate":50,"most-at-once":100}],
		"family-info":{"has-counter":true,"count-wait":2,"units-top":16,"trued-up":true},
		"contract":{"cold-from":0.3,"warm-within":10},"permissions":{"attempts-cap":3,"dial-timeout":1.5,"idle-close":15},
		"granularity":0.004}}`, listen, counter, known)
	require.NoError(e.t, os.WriteFile(e.config, []byte(config), 0o600))
}

// begin starts the program, with its log to a file, and a client.
func begin(t *testing.T, server string, log *os.File) *ending {
	t.Helper()
	return beginUnder(t, server, log, nil)
}

// beginUnder does so with the program's system calls decided on, nil for none, and with more in its environment.
func beginUnder(t *testing.T, server string, log *os.File, decide syscallshim.Decide, environment ...string) *ending {
	t.Helper()
	return beginWhile(t, server, log, decide, func(*exec.Cmd) {}, environment...)
}

// beginWhile does so, and something else as soon as the program's process is there.
func beginWhile(
	t *testing.T,
	server string,
	log *os.File,
	decide syscallshim.Decide,
	meanwhile func(program *exec.Cmd),
	environment ...string,
) *ending {
	t.Helper()
	listen := testbed.KeepPort(t).Address()
	e := &ending{
		t:       t,
		config:  filepath.Join(t.TempDir(), "config.json"),
		ended:   make(chan error, 1),
		counter: testbed.Listen(t),
		moved:   testbed.Listen(t),
	}
	e.configure(listen, e.counter.Address, server)
	e.program = exec.Command(os.Args[0])
	e.program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+e.config)
	e.program.Env = append(e.program.Env, environment...)
	e.program.Stderr = log
	started := func() error { return nil }
	if decide != nil {
		var err error
		started, err = syscallshim.Command(e.program, os.Args[0], decide, &syscallshim.Counts{})
		require.NoError(t, err)
	}
	require.NoError(t, e.program.Start())
	require.NoError(t, started())
	meanwhile(e.program)
	go func() { e.ended <- e.program.Wait() }()
	t.Cleanup(func() { _ = e.program.Process.Kill() })
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, testbed.Patience, 20*time.Millisecond)
	e.client = (&testbed.Rig{Address: listen}).Dial(t)
	e.configure(listen, e.moved.Address, server) // what SIGHUP brings
	return e
}

// ends fails the test unless the program ends in order.
func (e *ending) ends(within time.Duration) {
	e.t.Helper()
	select {
	case err := <-e.ended:
		require.NoError(e.t, err)
	case <-time.After(within):
		e.t.Fatal("it does not end")
	}
}

// TestSignalsAsItEnds: SIGTERM finds a request in each state, and SIGTERM again and SIGHUP twice come behind it. The
// request is served, its units are settled, at the counter's new place, and the process ends in order and in time.
func TestSignalsAsItEnds(t *testing.T) {
	for _, state := range []string{"reserving", "dialling", "sent"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			server := testbed.Listen(t)
			if state == "dialling" {
				server = testbed.Full(t)
			}
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			require.NoError(t, err)
			defer func() { _ = log.Close() }()
			e := begin(t, server.Address, log)
			logged := func(text string, times int) {
				t.Helper()
				require.Eventually(t, func() bool {
					all, err := os.ReadFile(log.Name())
					return err == nil && strings.Count(string(all), text) == times
				}, testbed.Patience, time.Millisecond, text)
			}
			line := e.counter.Accept(t)
			e.client.Say(t, testbed.Request("id", "read", 3000))
			require.Contains(t, line.Line(t), "tally ")
			var c *testbed.Conn
			if state != "reserving" {
				line.Say(t, "ok 1\r\n")
			}
			if state == "sent" {
				c = server.Accept(t)
				c.Command(t)
			}
			asked := time.Now()
			for i, next := range []struct {
				signal syscall.Signal
				log    string
				times  int
			}{{syscall.SIGTERM, "event=stopping", 1}, {syscall.SIGTERM, "event=stopping", 1}, {syscall.SIGHUP, "event=config-read", 1},
				{syscall.SIGHUP, "event=config-read", 2}} {
				require.NoError(t, e.program.Process.Signal(next.signal), i)
				logged(next.log, next.times)
			}
			time.Sleep(time.Until(asked.Add(900 * time.Millisecond))) // one that owes nothing has ended by then
			if state == "reserving" {
				line.Say(t, "ok 1\r\n")
			}
			if state == "dialling" {
				_ = server.Accept(t)
			}
			if c == nil {
				c = server.Accept(t)
				c.Command(t)
			}
			c.Say(t, "*3\r\n$5\r\nvalue\r\n$6\r\ncost=3\r\n$-1\r\n")
			require.Equal(t, "$value", e.client.Answer(t))
			line = e.moved.Accept(t)
			require.Contains(t, line.Line(t), "tally ")
			require.NoError(t, e.program.Process.Signal(syscall.SIGHUP)) // it has not ended
			logged("event=config-read", 3)
			line.Say(t, "ok 3\r\n")
			e.ends(time.Until(asked.Add(3700 * time.Millisecond)))
		})
	}
}

// TestTraceAskedForAsItStarts: signals that ask for the trace come while the program starts, from when the Go runtime has taken
// signals over, a millisecond behind exec. It starts, and logs a trace.
func TestTraceAskedForAsItStarts(t *testing.T) {
	log, read := logFile(t)
	server := testbed.Listen(t)
	asking := func(program *exec.Cmd) {
		status := fmt.Sprintf("/proc/%d/status", program.Process.Pid)
		require.Eventually(t, func() bool {
			text, err := os.ReadFile(status)
			require.NoError(t, err)
			caught := regexp.MustCompile(`SigCgt:\s*([0-9a-f]+)`).FindSubmatch(text)
			mask, err := strconv.ParseUint(string(caught[1]), 16, 64)
			require.NoError(t, err)
			return mask&(1<<(syscall.SIGUSR1-1)) != 0
		}, testbed.Patience, time.Millisecond/10)
		for range 100 {
			_ = program.Process.Signal(syscall.SIGUSR1)
			time.Sleep(time.Millisecond)
		}
	}
	e := beginWhile(t, server.Address, log, nil, asking)
	serveOne(t, e, server)
	require.Contains(t, read(), "event=trace")
}

// TestLogBreaksOff: who reads the log may end first, where both are told to end together. What was taken is answered
// all the same.
func TestLogBreaksOff(t *testing.T) {
	server := testbed.Listen(t)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	e := begin(t, server.Address, write)
	require.NoError(t, write.Close())
	line := e.counter.Accept(t)
	e.client.Say(t, testbed.Request("id", "read", 3000))
	line.Line(t)
	line.Say(t, "ok 1\r\n")
	c := server.Accept(t)
	c.Command(t)
	require.NoError(t, read.Close())
	require.NoError(t, e.program.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	c.Serve(t, "value")
	require.Equal(t, "$value", e.client.Answer(t))
	e.ends(testbed.Patience)
}

// TestLogIsNotRead: clients were left without answers, though servers and counter were well: whoever collects the log had
// stopped reading, and the goroutine that does everything else stood still in the write of its next line.
//
// The log is a pipe of the smallest size, full before the program starts. The program must become ready, serve, end in order
// at SIGTERM, and write on where it was, in whole lines, once the pipe is read.
func TestLogIsNotRead(t *testing.T) {
	read, write, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = read.Close() }()
	defer func() { _ = write.Close() }()
	const smallest = 4096
	_, err = unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, smallest)
	require.NoError(t, err)
	_, err = write.Write(append(bytes.Repeat([]byte("."), smallest-1), '\n'))
	require.NoError(t, err)
	server := testbed.Listen(t)
	e := begin(t, server.Address, write)
	serveOne(t, e, server)

	lines := bufio.NewScanner(read)
	for lines.Scan() && !strings.Contains(lines.Text(), "event=ready") {
		require.Regexp(t, `^(\.+|time=\S+ level=\w+ event=.*)$`, lines.Text())
	}
	require.Contains(t, lines.Text(), "event=ready")

	filler, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", write.Fd()), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	require.NoError(t, err)
	defer func() { _ = unix.Close(filler) }()
	for err == nil { // it is full again as the program ends
		_, err = unix.Write(filler, []byte("."))
	}
	require.ErrorIs(t, err, unix.EAGAIN)
	require.NoError(t, e.program.Process.Signal(syscall.SIGTERM))
	e.ends(testbed.Patience)
}

// suspend stops the program and returns once all of its threads stand still.
func (e *ending) suspend() {
	e.t.Helper()
	suspend(e.t, e.program.Process)
}

// suspend stops a process and returns once all of its threads stand still, which the signal alone does not wait for.
func suspend(t *testing.T, process *os.Process) {
	t.Helper()
	require.NoError(t, process.Signal(syscall.SIGSTOP))
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", process.Pid)
	require.Eventually(t, func() bool {
		files, _ := filepath.Glob(tasks)
		return len(files) > 0 && !slices.ContainsFunc(files, func(file string) bool {
			text, _ := os.ReadFile(file)
			_, rest, _ := strings.Cut(string(text), ") ") // behind the name
			return !strings.HasPrefix(rest, "T")
		})
	}, testbed.Patience, time.Millisecond)
}
