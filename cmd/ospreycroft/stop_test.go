package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
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
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[%s]},
		"settings":{"balancers":1,"classes":[{"name":"c","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, address, strings.Join(servers, ","))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+path)
	log := &strings.Builder{}
	program.Stderr = log
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- program.Wait() }()
	defer func() { _ = program.Process.Kill() }()
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			break
		} else if time.Since(start) > 5*time.Second {
			t.Fatal(err)
		}
	}
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
