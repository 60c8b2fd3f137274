package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/loadgen"
	"ospreycroft/internal/lab/syscallshim"
	"ospreycroft/internal/lab/testbed"
	"ospreycroft/internal/resp"
)

// TestMain lets the tests start the program itself: the test's own file, told so.
func TestMain(m *testing.M) {
	syscallshim.LaunchIfAsked()
	if os.Getenv("OSPREYCROFT_IS_THE_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

// request is one that may take so many milliseconds.
func request(id string, left int) []byte {
	return resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id),
		fmt.Appendf(nil, "c=c,t=p,d=%d,units=1,spread=1,first=0", left))
}

// anyClass is the class of the requests, with no deadline told.
const anyClass = `{"name":"c","aim":2,"effect":"free","group":"all"}`

// start starts the program and waits until it listens.
func start(
	t *testing.T,
	discovery string,
	servers ...emulator.Instance,
) (address string, program *exec.Cmd, ended chan error, log *strings.Builder) {
	t.Helper()
	return startUnder(t, nil, anyClass, discovery, servers...)
}

// startUnder does so with the program's system calls decided on, nil for none, and the settings of the requests' class.
func startUnder(
	t *testing.T,
	decide syscallshim.Decide,
	class, discovery string,
	servers ...emulator.Instance,
) (address string, program *exec.Cmd, ended chan error, log *strings.Builder) {
	t.Helper()
	address = testbed.KeepPort(t).Address()
	path := filepath.Join(t.TempDir(), "config.json")
	known, err := json.Marshal(servers)
	require.NoError(t, err)
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[%s],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, address, discovery, known, class)
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	program = exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+path)
	log = &strings.Builder{}
	program.Stderr = log
	started := func() error { return nil }
	if decide != nil {
		started, err = syscallshim.Command(program, os.Args[0], decide, &syscallshim.Counts{})
		require.NoError(t, err)
	}
	require.NoError(t, program.Start())
	require.NoError(t, started())
	ended = make(chan error, 1)
	go func() { ended <- program.Wait() }()
	t.Cleanup(func() { _ = program.Process.Kill() })
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return address, program, ended, log
		} else if time.Since(start) > 5*time.Second {
			t.Fatal(err)
		}
	}
}

// TestStopUnderLoad ends a real process under clients that never let go. What it has sent on it answers, it ends
// before it may be killed, and who comes in the first half second is served.
func TestStopUnderLoad(t *testing.T) {
	all, entries := make([]*countingServer, 24), make([]emulator.Instance, 24)
	for i := range all {
		all[i] = startSlow(t, fmt.Sprint("s", i))
		entries[i] = all[i].Instance
	}
	address, program, ended, log := start(t, "127.0.0.1:1", entries...)
	callers := make([]loadgen.Holder, 8)
	var running sync.WaitGroup
	call := func(i int, first time.Duration) {
		callers[i] = loadgen.Holder{
			Name:    fmt.Sprint("caller", i),
			First:   first,
			Second:  70 * time.Millisecond,
			Patient: 8 * time.Second,
		}
		running.Go(func() { callers[i].Run(address, func(id string) []byte { return request(id, 2000) }) })
	}
	for i := range 5 {
		call(i, 0)
	}
	time.Sleep(700 * time.Millisecond)
	asked := time.Now()
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	call(5, 0)
	call(6, 100*time.Millisecond)
	call(7, time.Second) // on a connection that it has had for long
	select {
	case err := <-ended:
		if took := time.Since(asked); err != nil || took > 3700*time.Millisecond {
			t.Errorf("it ended after %v, error %v\n%s", took, err, log)
		} else {
			t.Logf("it ended after %v", took)
		}
	case <-time.After(8 * time.Second):
		t.Errorf("it does not end")
		_ = program.Process.Kill()
	}
	running.Wait()
	for i, c := range callers {
		for _, id := range c.Lost {
			for _, s := range all {
				assert.Zero(t, s.times(id), "%s was sent on and has no answer", id)
			}
		}
		assert.True(t, i >= 7 || c.Served != 0, "%s: %d answers, none served", c.Name, c.Answered)
		t.Logf("%s: %d answered, %d served, %d crossed", c.Name, c.Answered, c.Served, len(c.Lost))
	}
}

// TestStopBeforeEarliestKill: the kill comes as early as it may, at the longest deadline and 0.7 s after SIGTERM, while a server hangs
// and clients send on open connections. The program has ended by then, and what it sent on, also to the server that hangs, has its
// final answer. A client is served as soon as one of its requests has reached a server that answers: at the start both requests
// that it keeps open may be with the server that hangs, which leaves it with failures alone.
func TestStopBeforeEarliestKill(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			stopBeforeKill(t, deadline)
		})
	}
}

// stopBeforeKill plays it with a longest deadline.
func stopBeforeKill(t *testing.T, deadline time.Duration) {
	t.Helper()
	kill := deadline + 700*time.Millisecond
	hangs := startHanging(t, "hangs")
	all, entries := []*countingServer{hangs}, []emulator.Instance{hangs.Instance}
	for i := range 7 {
		answers := startSlow(t, fmt.Sprint("answers", i))
		all, entries = append(all, answers), append(entries, answers.Instance)
	}
	class := fmt.Sprintf(`{"name":"c","aim":0.2,"deadline":%v,"effect":"free","group":"all"}`, deadline.Seconds())
	address, program, ended, log := startUnder(t, nil, class, "127.0.0.1:1", entries...)
	callers := make([]loadgen.Holder, 12)
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = loadgen.Holder{Name: fmt.Sprint("caller", i), Second: 40 * time.Millisecond, Patient: 8 * time.Second}
		running.Go(func() {
			callers[i].Run(address, func(id string) []byte { return request(id, int(deadline.Milliseconds())) })
		})
	}
	time.Sleep(time.Second)
	asked := time.Now()
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-ended:
		require.NoError(t, err, log)
		t.Logf("it ended after %v, %d requests hung", time.Since(asked), hangs.total())
	case <-time.After(kill):
		_ = program.Process.Kill()
		require.Error(t, <-ended)
		t.Errorf("it has not ended when the kill may come\n%s", log)
	}
	running.Wait()
	require.Positive(t, hangs.total())
	for _, c := range callers {
		assert.Positive(t, c.Answered, c.Name)
		if sent := c.Answered + len(c.Lost); reachedAny(all[1:], c.Name, sent) {
			assert.Positive(t, c.Served, c.Name)
		} else {
			t.Logf("%s: the server that hangs has had all that was sent on of its %d requests", c.Name, sent)
		}
		for _, id := range c.Lost {
			for _, s := range all {
				assert.Zero(t, s.times(id), "%s was sent on and has no answer", id)
			}
		}
	}
}

// reachedAny tells whether one of a client's requests, of which there are so many, has reached one of the servers.
func reachedAny(servers []*countingServer, client string, requests int) bool {
	for n := 1; n <= requests; n++ {
		for _, s := range servers {
			if s.times(fmt.Sprint(client, "-", n)) > 0 {
				return true
			}
		}
	}
	return false
}

// TestWoken stops a real process while requests come and its list changes behind them: woken, it sends nothing to the
// server that drains, though it reads the requests first, and serves them elsewhere.
func TestWoken(t *testing.T) {
	drains, stays := startSlow(t, "drains"), startSlow(t, "stays")
	leaving, staying := drains.Instance, stays.Instance
	list, err := emulator.NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	require.NoError(t, list.Start())
	defer list.Close()
	list.Set(leaving)
	list.Set(staying)
	address, program, _, log := start(t, list.Address(0), leaving, staying)
	conns := make([]net.Conn, 8)
	for i := range conns {
		conns[i], err = net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conns[i].Close() }()
	}
	time.Sleep(300 * time.Millisecond)
	for i, c := range conns[:2] { // so that a connection to each server rests
		_, _ = c.Write(request(fmt.Sprint("early-", i), 9000))
	}
	early := make([]byte, 1024)
	for i, c := range conns[:2] {
		n, err := c.Read(early)
		require.True(t, err == nil && early[0] == '$', "request %d: %q, error %v", i, early[:n], err)
	}
	require.Equal(t, []int{1, 1}, []int{drains.total(), stays.total()})
	time.Sleep(20 * time.Millisecond)
	suspend(t, program.Process)
	time.Sleep(10 * time.Millisecond)
	for i, c := range conns {
		_, _ = c.Write(request(fmt.Sprint("job-", i), 9000))
	}
	time.Sleep(100 * time.Millisecond)
	leaving.Lifecycle = "terminating"
	list.Set(leaving)
	time.Sleep(900 * time.Millisecond)
	_ = program.Process.Signal(syscall.SIGCONT)
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NoError(t, err, "request %d: %q", i, line)
	}
	assert.Equal(t, 1, drains.total(), "the one that drains got more than the early request\n%s", log)
	assert.Greater(t, stays.total(), 1, "%s", log)
}
