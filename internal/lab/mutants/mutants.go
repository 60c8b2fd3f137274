// Package mutants is a deliberately broken limiter for the lab's own tests: what it does wrong is its mode. It forwards
// every request to a server, and it is never part of the real program. The lab must find each of its faults.
package mutants

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/resp"
)

// The modes. Each also does what all do: it asks neither the counter nor discovery, and keeps to no quota or ceiling.
const (
	// no answer within a short wait: the request goes to the next server, non-idempotent or not (rule 2)
	Again = "again"
	Drop  = "drop"  // it ends at SIGTERM at once, with all that it holds (rule 1)
	Deaf  = "deaf"  // it has the list's changes told to it and takes none in (rule 3)
	Cold  = "cold"  // it prefers servers that have just been started (rule 4)
	Over  = "over"  // it takes whatever comes (rule 5)
	Crash = "crash" // it ends by itself after two seconds
	Stay  = "stay"  // it does not end at SIGTERM while clients hold on to it
	Busy  = "busy"  // it turns every request away (an outage)
	Mute  = "mute"  // it answers PING and nothing else (lost requests, an outage)
	Late  = "late"  // it answers 100 ms after a request's time is up (late requests)
	Await = "await" // it is not ready before discovery has answered it
)

// Name is how a program must be named to be this one in a mode, such as "mutant-drop".
const Name = "mutant-"

// Mode is the mode that a program's path names, "" where it is another program.
func Mode(path string) string {
	base := path[strings.LastIndexByte(path, '/')+1:]
	if mode, is := strings.CutPrefix(base, Name); is {
		return mode
	}
	return ""
}

// Main runs the stand-in with the configuration GW_CONFIG names, until it is killed.
func Main(mode string) error {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Listen    string        `json:"listen"`
		Discovery string        `json:"discovery"`
		Known     emulator.List `json:"known"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	servers := config.Known.Instances
	if mode == Cold {
		var cold []emulator.Instance
		for _, s := range servers {
			if s.StartedMs > 0 {
				cold = append(cold, s)
			}
		}
		servers = cold
	}
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	if mode == Crash {
		time.AfterFunc(2*time.Second, func() { os.Exit(3) })
	}
	if mode != Drop {
		go exitAfterClients(l)
	}
	if mode == Deaf {
		go watchAndDiscard(config.Discovery, config.Known.Generation)
	}
	if mode == Await {
		awaitList(config.Discovery)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			select {} // it is leaving
		}
		clientConns.Add(1)
		go func() { defer clientConns.Done(); serve(c, servers, mode) }()
	}
}

// clientConns are the connections of clients.
var clientConns sync.WaitGroup

// exitAfterClients ends the program on SIGTERM once all clients have gone.
func exitAfterClients(listener net.Listener) {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	<-term
	_ = listener.Close()
	clientConns.Wait()
	os.Exit(0)
}

// watchAndDiscard watches the list and forgets what it is told.
func watchAndDiscard(discovery string, generation int64) {
	for {
		answer, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=1000", discovery, generation))
		if err == nil {
			_ = answer.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitList waits until discovery has given its whole list.
func awaitList(discovery string) {
	for {
		answer, err := http.Get("http://" + discovery + "/discovery/hosts")
		if err == nil {
			_ = answer.Body.Close()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// lateDelay is how long after a request's time is up a limiter of mode Late answers it.
const lateDelay = 100 * time.Millisecond

// clientTimeout is how long a request's client waits, 0 where the request tells none.
func clientTimeout(words [][]byte) time.Duration {
	if len(words) < 4 {
		return 0
	}
	for part := range strings.SplitSeq(string(words[3]), ",") {
		if text, is := strings.CutPrefix(part, "d="); is {
			ms, _ := strconv.Atoi(text)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// nextServer deals requests round the servers.
var nextServer atomic.Int64

func serve(c net.Conn, servers []emulator.Instance, mode string) {
	defer func() { _ = c.Close() }()
	_ = emulator.Commands(c, func(words [][]byte) bool {
		if string(words[0]) == "PING" {
			_, err := c.Write([]byte("+PONG\r\n"))
			return err == nil
		}
		switch mode {
		case Busy:
			_, err := c.Write([]byte("-BUSY 100\r\n"))
			return err == nil
		case Mute:
			return true
		case Late:
			time.Sleep(clientTimeout(words) + lateDelay)
			_, err := c.Write([]byte("-ERR late\r\n"))
			return err == nil
		}
		value, firstServer, attempts, wait := "-ERR no server\r\n", int(nextServer.Add(1)), 1, 2*time.Second
		if mode == Again {
			attempts = 3
			wait = 300 * time.Millisecond
		}
		for attempt := range attempts {
			server := servers[(firstServer+attempt)%len(servers)]
			if v, ok := forward(server.HostPort, words, wait); ok {
				value = v
				break
			}
		}
		_, err := c.Write([]byte(value))
		return err == nil
	})
}

func forward(address string, words [][]byte, wait time.Duration) (string, bool) {
	conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return "", false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write(resp.AppendCommand(nil, words...)); err != nil {
		return "", false
	}
	buf := make([]byte, 4096)
	var received []byte
	for {
		n, err := conn.Read(buf)
		received = append(received, buf[:n]...)
		if v, used, perr := resp.ReadAnswer(received); perr == nil && used > 0 && len(v.List) > 0 {
			return string(resp.AppendBulk(nil, v.List[0].Text)), true
		} else if perr != nil || err != nil {
			return "", false
		}
	}
}
