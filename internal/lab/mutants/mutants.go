// Package mutants is a deliberately broken limiter for the lab's own tests. Its mode selects the fault, and the lab
// must detect each of them. It is never part of the real program.
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

// The modes. Except as stated, the mutant forwards requests to the servers in turn, applies no quota or ceiling, and
// uses neither the shared counter nor discovery.
const (
	// after a short wait without an answer it retries at the next server, even a non-idempotent request (breaks rule 2)
	RetryUnsafely  = "again"
	ExitAtOnce     = "drop"  // it exits at once on SIGTERM and loses the requests in flight (breaks rule 1)
	IgnoreList     = "deaf"  // it watches the endpoint list and ignores every change (breaks rule 3)
	PreferCold     = "cold"  // it forwards only to servers that the list gives a start time (breaks rule 4)
	ExceedCeiling  = "over"  // it accepts every request (breaks rule 5)
	Crash          = "crash" // it exits by itself after two seconds
	WaitForClients = "stay"  // on SIGTERM it does not exit while clients stay connected
	RejectAll      = "busy"  // it rejects every request (an outage)
	AnswerPingOnly = "mute"  // it answers PING and no request (lost requests, an outage)
	Late           = "late"  // it answers 100 ms after the request's deadline (late requests)
	Await          = "await" // it does not become ready before discovery has answered it
)

// NamePrefix is the prefix of the mutant's program name. The mode follows, as in "mutant-drop".
const NamePrefix = "mutant-"

// Mode returns the mode in the program name at the end of path, or "" if the program is no mutant.
func Mode(path string) string {
	base := path[strings.LastIndexByte(path, '/')+1:]
	if mode, is := strings.CutPrefix(base, NamePrefix); is {
		return mode
	}
	return ""
}

// Main runs the mutant with the configuration file that GW_CONFIG names. It returns only if it cannot start.
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
	if mode == PreferCold {
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
	if mode != ExitAtOnce {
		go exitAfterClients(l)
	}
	if mode == IgnoreList {
		go watchAndDiscard(config.Discovery, config.Known.Generation)
	}
	if mode == Await {
		awaitList(config.Discovery)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			select {} // the listener is closed on SIGTERM; exitAfterClients ends the process
		}
		clientConns.Add(1)
		go func() { defer clientConns.Done(); serve(c, servers, mode) }()
	}
}

// clientConns counts the open connections of clients.
var clientConns sync.WaitGroup

// exitAfterClients waits for SIGTERM, stops accepting connections, and exits once all clients have disconnected.
func exitAfterClients(listener net.Listener) {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	<-term
	_ = listener.Close()
	clientConns.Wait()
	os.Exit(0)
}

// watchAndDiscard watches the endpoint list and discards the answers.
func watchAndDiscard(discovery string, generation int64) {
	for {
		answer, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?from=%d&hold_ms=1000", discovery, generation))
		if err == nil {
			_ = answer.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitList waits until discovery has answered a request for the complete endpoint list.
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

// lateDelay is how long after a request's deadline the mutant in mode Late answers it.
const lateDelay = 100 * time.Millisecond

// clientTimeout is how long the client of a request waits for an answer, 0 if the request does not state it.
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

// nextServer counts requests, to spread them round-robin over the servers.
var nextServer atomic.Int64

// serve answers the commands of one client connection until it ends.
func serve(c net.Conn, servers []emulator.Instance, mode string) {
	defer func() { _ = c.Close() }()
	_ = emulator.ReadCommands(c, func(words [][]byte) bool {
		if string(words[0]) == "PING" {
			_, err := c.Write([]byte("+PONG\r\n"))
			return err == nil
		}
		switch mode {
		case RejectAll:
			_, err := c.Write([]byte("-BUSY 100\r\n"))
			return err == nil
		case AnswerPingOnly:
			return true
		case Late:
			time.Sleep(clientTimeout(words) + lateDelay)
			_, err := c.Write([]byte("-ERR late\r\n"))
			return err == nil
		}
		value, firstServer, attempts, wait := "-ERR no server\r\n", int(nextServer.Add(1)), 1, 2*time.Second
		if mode == RetryUnsafely {
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

// forward sends a request to a server on a new connection, and returns the server's value as a RESP bulk string. It
// returns false if no value arrives within wait.
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
		if v, used, perr := resp.ReadReply(received); perr == nil && used > 0 && len(v.List) > 0 {
			return string(resp.AppendBulk(nil, v.List[0].Text)), true
		} else if perr != nil || err != nil {
			return "", false
		}
	}
}
