package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ospreycroft/internal/resp"
)

// TestMain lets the tests start the program itself: the test's own file, told so.
func TestMain(m *testing.M) {
	if os.Getenv("OSPREYCROFT_IS_THE_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

// servant is a server that takes 150 ms for each job and notes what has reached it.
type servant struct {
	mutex sync.Mutex
	ran   map[string]bool
}

func (s *servant) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			var held []byte
			buffer := make([]byte, 4096)
			for {
				n, err := c.Read(buffer)
				if err != nil {
					return
				}
				held = append(held, buffer[:n]...)
				for {
					words, used, err := resp.ReadCommand(held, nil)
					if err != nil || used == 0 {
						break
					}
					s.mutex.Lock()
					s.ran[string(words[2])] = true
					s.mutex.Unlock()
					held = held[used:]
					time.Sleep(150 * time.Millisecond)
					_, _ = io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
				}
			}
		}()
	}
}

// caller keeps two jobs open on each of its connections for as long as that stays open.
type caller struct {
	name             string
	answered, served int
	lost             []string // sent and without an answer when the connection ended
}

func (c *caller) run(address string, first time.Duration) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(first)
	var open []string
	n := 0
	send := func() {
		n++
		id := fmt.Sprint(c.name, "-", n)
		open = append(open, id)
		_, _ = conn.Write(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id),
			[]byte("c=c,t=p,d=2000,units=1,spread=1,first=0")))
	}
	send()
	time.Sleep(70 * time.Millisecond) // so that one is always open
	send()
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			c.lost = open
			return
		}
		if strings.HasPrefix(line, "$") {
			if _, err = in.ReadString('\n'); err != nil {
				c.lost = open
				return
			}
			c.served++
		}
		c.answered++
		open = open[1:]
		send()
	}
}

// start starts the program and waits until it listens.
func start(t *testing.T, discovery, servers string) (address string, program *exec.Cmd, ended chan error, log *strings.Builder) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = free.Addr().String()
	_ = free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[%s]},
		"settings":{"balancers":1,"classes":[{"name":"c","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, address, discovery, servers)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	program = exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+path)
	log = &strings.Builder{}
	program.Stderr = log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
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

// TestStopUnderLoad ends a real process under clients that never let go. What it has sent on it answers, it ends before it may
// be killed, and who comes in the first half second is served.
func TestStopUnderLoad(t *testing.T) {
	s := &servant{ran: map[string]bool{}}
	var servers []string
	for i := range 24 {
		server, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		go s.serve(server)
		servers = append(servers, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"lifecycle":"in_service"}`, i, server.Addr()))
	}
	address, program, ended, log := start(t, "127.0.0.1:1", strings.Join(servers, ","))
	callers := make([]caller, 8)
	var all sync.WaitGroup
	call := func(i int, first time.Duration) {
		callers[i].name = fmt.Sprint("caller", i)
		all.Add(1)
		go func() {
			defer all.Done()
			callers[i].run(address, first)
		}()
	}
	for i := range 5 {
		call(i, 0)
	}
	time.Sleep(700 * time.Millisecond)
	asked := time.Now()
	if err := program.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
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
	all.Wait()
	for i, c := range callers {
		for _, id := range c.lost {
			if s.ran[id] {
				t.Errorf("%s was sent on and has no answer", id)
			}
		}
		if i < 7 && c.served == 0 {
			t.Errorf("%s: %d answers, none served", c.name, c.answered)
		}
		t.Logf("%s: %d answered, %d served, %d crossed", c.name, c.answered, c.served, len(c.lost))
	}
}

// TestWoken stops a real process while jobs come and its list changes behind them: woken, it sends nothing to the server that
// drains, though it reads the jobs first, and serves them elsewhere.
func TestWoken(t *testing.T) {
	names, ran := []string{"drains", "stays"}, map[string]*servant{}
	var entries []string
	for _, name := range names {
		server, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		ran[name] = &servant{ran: map[string]bool{}}
		go ran[name].serve(server)
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":"in_service"}`, name, server.Addr()))
	}
	changed := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
		news, wait := q.URL.Query().Get("from") == "1", changed
		if !news { // it has been told
			wait = nil
		}
		select {
		case <-wait:
		case <-time.After(time.Duration(hold) * time.Millisecond):
			news = false
		}
		if news {
			_, _ = fmt.Fprintf(w, `{"generation":2,"instances":[%s]}`, strings.Replace(entries[0], "in_service", "terminating", 1))
		} else {
			_, _ = fmt.Fprintf(w, `{"generation":%s,"instances":[]}`, q.URL.Query().Get("from"))
		}
	}))
	defer agent.Close()
	address, program, _, log := start(t, strings.TrimPrefix(agent.URL, "http://"), strings.Join(entries, ","))
	conns := make([]net.Conn, 8)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", address); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conns[i].Close() }()
	}
	send := func(c net.Conn, id string) {
		_, _ = c.Write(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("00000000000000ff"), []byte(id),
			[]byte("c=c,t=p,d=9000,units=1,spread=1,first=0")))
	}
	time.Sleep(300 * time.Millisecond)
	early := make([]byte, 1024)
	for i, c := range conns[:2] { // so that a connection to each server rests
		send(c, fmt.Sprint("early-", i))
	}
	for i, c := range conns[:2] {
		if n, err := c.Read(early); err != nil || early[0] != '$' {
			t.Fatalf("job %d: %q, error %v", i, early[:n], err)
		}
	}
	for _, name := range names {
		ran[name].mutex.Lock()
		if len(ran[name].ran) != 1 {
			t.Fatalf("%s: %v", name, ran[name].ran)
		}
		ran[name].ran = map[string]bool{}
		ran[name].mutex.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
	_ = program.Process.Signal(syscall.SIGSTOP)
	for begun := time.Now(); ; time.Sleep(time.Millisecond) { // all its threads stand still
		state, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", program.Process.Pid))
		if err != nil || time.Since(begun) > 5*time.Second {
			t.Fatalf("it does not stop: %s, error %v", state, err)
		}
		if strings.Contains(string(state), ") T ") {
			break
		}
	}
	time.Sleep(10 * time.Millisecond)
	for i, c := range conns {
		send(c, fmt.Sprint("job-", i))
	}
	time.Sleep(100 * time.Millisecond)
	close(changed)
	time.Sleep(900 * time.Millisecond)
	_ = program.Process.Signal(syscall.SIGCONT)
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			t.Errorf("job %d: %q, error %v", i, line, err)
		}
	}
	for _, name := range names {
		s := ran[name]
		s.mutex.Lock()
		if n := len(s.ran); (n > 0) != (name == "stays") {
			t.Errorf("the one that %s got %d jobs\n%s", name, n, log)
		}
		s.mutex.Unlock()
	}
}
