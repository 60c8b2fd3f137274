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

// TestMain runs the program itself in place of the tests where OSPREYCROFT_IS_THE_PROGRAM is set, so that tests can
// start the test binary as the program.
func TestMain(m *testing.M) {
	syscallshim.LaunchIfRequested()
	if os.Getenv("OSPREYCROFT_IS_THE_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

// request returns a request with a timeout in milliseconds.
func request(id string, timeoutMs int) []byte {
	return resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id),
		fmt.Appendf(nil, "c=c,t=p,d=%d,units=1,spread=1,first=0", timeoutMs))
}

// defaultClass is the class of the requests, without a deadline.
const defaultClass = `{"name":"c","aim":2,"effect":"free","group":"all"}`

// startProgram starts the program and waits until it accepts connections.
func startProgram(
	t *testing.T,
	discovery string,
	servers ...emulator.Instance,
) (address string, program *exec.Cmd, exited chan error, log *strings.Builder) {
	t.Helper()
	return startProgramWithShim(t, nil, defaultClass, discovery, servers...)
}

// startProgramWithShim is startProgram with decide applied to the program's system calls, nil to run it without the
// shim, and with the settings of the requests' class.
func startProgramWithShim(
	t *testing.T,
	decide syscallshim.Decide,
	class, discovery string,
	servers ...emulator.Instance,
) (address string, program *exec.Cmd, exited chan error, log *strings.Builder) {
	t.Helper()
	address = testbed.ReservePort(t).Address()
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
	exited = make(chan error, 1)
	go func() { exited <- program.Wait() }()
	t.Cleanup(func() { _ = program.Process.Kill() })
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return address, program, exited, log
		} else if time.Since(start) > 5*time.Second {
			t.Fatal(err)
		}
	}
}

// TestStopUnderLoad stops the program under clients that keep their connections open and always have a request in
// flight. The program answers what it has forwarded and exits before it may be killed, and clients that connect in the
// first half second are served.
func TestStopUnderLoad(t *testing.T) {
	all, entries := make([]*countingServer, 24), make([]emulator.Instance, 24)
	for i := range all {
		all[i] = startSlowServer(t, fmt.Sprint("s", i))
		entries[i] = all[i].Instance
	}
	address, program, exited, log := startProgram(t, "127.0.0.1:1", entries...)
	clients := make([]loadgen.PersistentClient, 8)
	var running sync.WaitGroup
	startClient := func(i int, firstDelay time.Duration) {
		clients[i] = loadgen.PersistentClient{
			Name:          fmt.Sprint("caller", i),
			FirstDelay:    firstDelay,
			SecondDelay:   70 * time.Millisecond,
			AnswerTimeout: 8 * time.Second,
		}
		running.Go(func() { clients[i].Run(address, func(id string) []byte { return request(id, 2000) }) })
	}
	for i := range 5 {
		startClient(i, 0)
	}
	time.Sleep(700 * time.Millisecond)
	stopSent := time.Now()
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	time.Sleep(300 * time.Millisecond)
	startClient(5, 0)
	startClient(6, 100*time.Millisecond)
	startClient(7, time.Second) // on a connection that has been open for a second
	select {
	case err := <-exited:
		if took := time.Since(stopSent); err != nil || took > 3700*time.Millisecond {
			t.Errorf("the program exited after %v, error %v\n%s", took, err, log)
		} else {
			t.Logf("the program exited after %v", took)
		}
	case <-time.After(8 * time.Second):
		t.Errorf("the program does not exit")
		_ = program.Process.Kill()
	}
	running.Wait()
	for i, c := range clients {
		for _, id := range c.Unanswered {
			for _, s := range all {
				assert.Zero(t, s.timesReceived(id), "%s was forwarded and has no answer", id)
			}
		}
		assert.True(t, i >= 7 || c.Succeeded != 0, "%s: %d answers, none served", c.Name, c.Answered)
		t.Logf("%s: %d answered, %d served, %d without an answer", c.Name, c.Answered, c.Succeeded, len(c.Unanswered))
	}
}

// TestStopBeforeEarliestKill: the kill comes as early as it may, the longest deadline plus 0.7 s after SIGTERM, while a
// server hangs and clients send on open connections. By then the program has exited, and every request that it
// forwarded, also to the hanging server, has its final answer.
//
// A client must be served only if one of its requests has reached a server that answers: at the start both requests
// that it keeps in flight may be at the hanging server, and then all its answers are failures.
func TestStopBeforeEarliestKill(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			stopBeforeKill(t, deadline)
		})
	}
}

// stopBeforeKill runs TestStopBeforeEarliestKill with one longest deadline.
func stopBeforeKill(t *testing.T, deadline time.Duration) {
	t.Helper()
	killAfter := deadline + 700*time.Millisecond
	hangs := startHangingServer(t, "hangs")
	all, entries := []*countingServer{hangs}, []emulator.Instance{hangs.Instance}
	for i := range 7 {
		answering := startSlowServer(t, fmt.Sprint("answers", i))
		all, entries = append(all, answering), append(entries, answering.Instance)
	}
	class := fmt.Sprintf(`{"name":"c","aim":0.2,"deadline":%v,"effect":"free","group":"all"}`, deadline.Seconds())
	address, program, exited, log := startProgramWithShim(t, nil, class, "127.0.0.1:1", entries...)
	clients := make([]loadgen.PersistentClient, 12)
	var running sync.WaitGroup
	for i := range clients {
		clients[i] = loadgen.PersistentClient{
			Name:          fmt.Sprint("caller", i),
			SecondDelay:   40 * time.Millisecond,
			AnswerTimeout: 8 * time.Second,
		}
		running.Go(func() {
			clients[i].Run(address, func(id string) []byte { return request(id, int(deadline.Milliseconds())) })
		})
	}
	time.Sleep(time.Second)
	stopSent := time.Now()
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-exited:
		require.NoError(t, err, log)
		t.Logf("the program exited after %v, %d requests hung", time.Since(stopSent), hangs.requestCount())
	case <-time.After(killAfter):
		_ = program.Process.Kill()
		require.Error(t, <-exited)
		t.Errorf("the program has not exited by the earliest kill\n%s", log)
	}
	running.Wait()
	require.Positive(t, hangs.requestCount())
	for _, c := range clients {
		assert.Positive(t, c.Answered, c.Name)
		if sent := c.Answered + len(c.Unanswered); reachedAny(all[1:], c.Name, sent) {
			assert.Positive(t, c.Succeeded, c.Name)
		} else {
			t.Logf("%s: of its %d requests, all that were forwarded went to the hanging server", c.Name, sent)
		}
		for _, id := range c.Unanswered {
			for _, s := range all {
				assert.Zero(t, s.timesReceived(id), "%s was forwarded and has no answer", id)
			}
		}
	}
}

// reachedAny tells whether any of a client's requests, numbered from 1 to requests, has reached one of the servers.
func reachedAny(servers []*countingServer, client string, requests int) bool {
	for n := 1; n <= requests; n++ {
		for _, s := range servers {
			if s.timesReceived(fmt.Sprint(client, "-", n)) > 0 {
				return true
			}
		}
	}
	return false
}

// TestListChangeWhileSuspended suspends the program while requests come and, after them, its endpoint list changes.
// When it resumes it reads the requests first; it still sends nothing to the draining server, and serves them
// elsewhere.
func TestListChangeWhileSuspended(t *testing.T) {
	draining, staying := startSlowServer(t, "drains"), startSlowServer(t, "stays")
	drainingEntry, stayingEntry := draining.Instance, staying.Instance
	list, err := emulator.NewDiscovery(history.NewClock(), &history.Recorder{}, nil, 1)
	require.NoError(t, err)
	require.NoError(t, list.Start())
	defer list.Close()
	list.Set(drainingEntry)
	list.Set(stayingEntry)
	address, program, _, log := startProgram(t, list.Address(0), drainingEntry, stayingEntry)
	conns := make([]net.Conn, 8)
	for i := range conns {
		conns[i], err = net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conns[i].Close() }()
	}
	time.Sleep(300 * time.Millisecond)
	for i, c := range conns[:2] { // so that there is an idle connection to each server
		_, _ = c.Write(request(fmt.Sprint("early-", i), 9000))
	}
	buffer := make([]byte, 1024)
	for i, c := range conns[:2] {
		n, err := c.Read(buffer)
		require.True(t, err == nil && buffer[0] == '$', "request %d: %q, error %v", i, buffer[:n], err)
	}
	require.Equal(t, []int{1, 1}, []int{draining.requestCount(), staying.requestCount()})
	time.Sleep(20 * time.Millisecond)
	suspend(t, program.Process)
	time.Sleep(10 * time.Millisecond)
	for i, c := range conns {
		_, _ = c.Write(request(fmt.Sprint("job-", i), 9000))
	}
	time.Sleep(100 * time.Millisecond)
	drainingEntry.Lifecycle = "terminating"
	list.Set(drainingEntry)
	time.Sleep(900 * time.Millisecond)
	_ = program.Process.Signal(syscall.SIGCONT)
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NoError(t, err, "request %d: %q", i, line)
	}
	assert.Equal(t, 1, draining.requestCount(), "the draining server got more than the early request\n%s", log)
	assert.Greater(t, staying.requestCount(), 1, "%s", log)
}
