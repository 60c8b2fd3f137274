package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

// setSocketOption applies set to the listening socket. Connections accepted from then on inherit the option.
func (p *Peer) setSocketOption(t testing.TB, set func(fd int) error) *Peer {
	t.Helper()
	raw, err := p.ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = set(int(fd)) }))
	require.NoError(t, err)
	return p
}

// listenSmallBuffer is Listen with a small receive buffer: the kernel accepts few bytes that the server does not read.
func listenSmallBuffer(t testing.TB) *Peer {
	limitBuffer := func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) }
	return Listen(t).setSocketOption(t, limitBuffer)
}

// shrinkPeerSendBuffer sets a small send buffer on the limiter's socket of this connection, so that the kernel takes
// few bytes at a time. The limiter's socket is found among this process's descriptors.
func (c *Conn) shrinkPeerSendBuffer(t testing.TB) {
	t.Helper()
	port := func(addr syscall.Sockaddr, err error) int {
		if inet, ok := addr.(*syscall.SockaddrInet4); err == nil && ok {
			return inet.Port
		}
		return 0
	}
	localPort, remotePort := c.TCP.LocalAddr().(*net.TCPAddr).Port, c.TCP.RemoteAddr().(*net.TCPAddr).Port
	for fd := range 1024 {
		if port(syscall.Getsockname(fd)) == remotePort && port(syscall.Getpeername(fd)) == localPort {
			require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1))
			return
		}
	}
	t.Fatal("no descriptor of this process is the limiter's socket")
}

// waitReadable waits until data has arrived on one of the connections and returns that connection.
func waitReadable(t testing.TB, conns ...*Conn) *Conn {
	t.Helper()
	for end := time.Now().Add(Timeout); time.Now().Before(end); {
		for _, c := range conns {
			_ = c.TCP.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.reader.Peek(1); err == nil {
				return c
			}
		}
	}
	t.Fatal("nothing has come")
	return nil
}

// listenBacklogged opens a server whose accept queue is full: the kernel drops further SYNs, which the client's kernel
// repeats a second later, so that connections are established only once accept was called. accept returns the limiter's
// next connection, or nil if none is established within the given time.
func listenBacklogged(t testing.TB) (p *Peer, accept func(within time.Duration) *Conn) {
	p = Listen(t).setSocketOption(t, func(fd int) error { return syscall.Listen(fd, 0) })
	fillers := map[string]bool{}
	for { // until a dial times out because the queue is full
		c, err := net.DialTimeout("tcp", p.Address, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
		fillers[c.LocalAddr().String()] = true
	}
	return p, func(within time.Duration) *Conn {
		_ = p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(within))
		for {
			c, err := p.ln.Accept()
			if err != nil {
				return nil
			}
			t.Cleanup(func() { _ = c.Close() })
			if !fillers[c.RemoteAddr().String()] {
				return &Conn{TCP: c.(*net.TCPConn), reader: bufio.NewReader(c)}
			}
		}
	}
}

// States of a TCP connection as in /proc/net/tcp; noConnection is the absence of one.
const (
	noConnection = ""
	synSent      = "02"
)

// waitForState waits until the kernel's table has a connection to the port of address to in the state want, or, with
// noConnection, has none in any state. With a non-empty from only connections from its port count.
func waitForState(t testing.TB, from, to, want string) {
	t.Helper()
	port := func(address string) string {
		var n int
		_, _ = fmt.Sscanf(address[strings.LastIndex(address, ":")+1:], "%d", &n)
		return fmt.Sprintf(":%04X", n)
	}
	require.Eventually(t, func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		for _, line := range strings.Split(string(table), "\n") {
			f := strings.Fields(line)
			if len(f) > 3 && (from == "" || strings.HasSuffix(f[1], port(from))) && strings.HasSuffix(f[2], port(to)) &&
				(want == noConnection || want == f[3]) {
				return want != noConnection
			}
		}
		return want == noConnection
	}, Timeout, 50*time.Millisecond) // reading the table takes long
}

// listEntry is a server in an endpoint list.
type listEntry struct {
	ID        string `json:"instanceId"`
	HostPort  string `json:"hostPort"`
	Zone      string `json:"zone"`
	Lifecycle string `json:"lifecycle"`
}

// fullList returns an endpoint list that replaces the previous one.
func fullList(generation int, entries ...listEntry) string {
	text, _ := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": entries})
	return string(text)
}

// discoveryStub stands in for discovery. conn holds the limiter's pending poll.
type discoveryStub struct {
	listener   *Peer
	conn       *Conn
	generation int
	lastAnswer string // the latest response with a list
}

// awaitPoll waits for the limiter's next poll, by which it has applied the latest list.
func (d *discoveryStub) awaitPoll(t testing.TB) {
	t.Helper()
	for {
		_ = d.conn.TCP.SetReadDeadline(time.Now().Add(Timeout))
		line, err := d.conn.reader.ReadString('\n')
		// on a loaded machine the limiter may have timed out and polls again on a new connection
		if err != nil {
			d.conn = d.listener.Accept(t)
			continue
		}
		for d.conn.ReadLine(t) != "" {
		}
		if strings.Contains(line, fmt.Sprintf("from=%d&", d.generation)) {
			return
		}
		d.conn.Send(t, d.lastAnswer)
	}
}

// publish answers the pending poll with a list of the given entries and waits until the limiter has applied it.
func (d *discoveryStub) publish(t testing.TB, entries ...listEntry) {
	t.Helper()
	d.generation++
	body := fullList(d.generation, entries...)
	d.lastAnswer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	d.conn.Send(t, d.lastAnswer)
	d.awaitPoll(t)
}

// attemptFixture is a limiter that initially knows the server s0 in zone a; the test publishes further servers.
// Requests of the class near are idempotent with a key that is deduplicated by the servers of one zone.
type attemptFixture struct {
	*Rig
	discovery *discoveryStub
	s0        *Peer
	client    *Conn
}

// newAttemptFixture starts a limiter whose classes keyed and near have the given deduplication window. change, if not
// nil, edits the configuration first.
func newAttemptFixture(t testing.TB, window time.Duration, change func(*settings.Config)) *attemptFixture {
	t.Helper()
	s := &attemptFixture{s0: Listen(t)}
	service := Listen(t)
	config := Config()
	config.Discovery, config.Known = service.Address, []byte(fullList(1, s.s0Entry()))
	config.Settings.DialTimeout = 8e9
	for name, scope := range map[string]choice.DeduplicationScope{"keyed": choice.ScopeAll, "near": choice.ScopeZone} {
		config.Settings.Classes[name] = &choice.Class{
			LatencyObjective:    60e9,
			Idempotency:         choice.IdempotentWithKey,
			DeduplicationScope:  scope,
			DeduplicationWindow: int64(window),
			PriorityWeight:      1,
		}
	}
	if change != nil {
		change(config)
	}
	s.Rig = Start(t, config)
	s.discovery = &discoveryStub{listener: service, conn: service.Accept(t), generation: 1}
	s.discovery.awaitPoll(t)
	s.client = s.Dial(t)
	return s
}

// s0Entry returns the list entry of s0 in service in zone a.
func (s *attemptFixture) s0Entry() listEntry { return listEntry{"s0", s.s0.Address, "a", "in_service"} }

// inService returns the list entry of a server in service.
func inService(id string, p *Peer, zone string) listEntry {
	return listEntry{id, p.Address, zone, "in_service"}
}

// startAttempt sends the request text, which s0 receives completely, and then publishes the servers in more. It returns
// the connection to s0.
func (s *attemptFixture) startAttempt(t testing.TB, text string, more ...listEntry) *Conn {
	t.Helper()
	s.client.Send(t, text)
	c := s.s0.Accept(t)
	c.ReadCommand(t)
	if len(more) > 0 {
		s.discovery.publish(t, append([]listEntry{s.s0Entry()}, more...)...)
	}
	return c
}

// largeRequest is Request with a body too large for a small buffer; class must not be read.
func largeRequest(id, class string, deadlineMillis int) string {
	return strings.Replace(Request(id, class, deadlineMillis), "$4\r\nBODY", "$60000\r\n"+strings.Repeat("b", 60000), 1)
}

// requirePartialCommand fails the test unless the server has received a part of a largeRequest, but not all of it.
func requirePartialCommand(t testing.TB, c *Conn) {
	t.Helper()
	text, _ := c.ReadToEnd(t)
	require.NotEmpty(t, text)
	require.Less(t, len(text), 60000, "the command was completed")
}

// TestConnectionEstablishedLate checks that events between the dial and the establishment of a connection, which takes
// a second, count for the attempt that waits for it: whether it may be sent is decided when it is written.
func TestConnectionEstablishedLate(t *testing.T) {
	// retries has the first attempt, at s0, end so that it may have run.
	retries := func(class string, deadlineMillis int) func(*testing.T, *attemptFixture, listEntry) {
		return func(t *testing.T, s *attemptFixture, last listEntry) {
			s.startAttempt(t, Request("id", class, deadlineMillis), last).Reset()
		}
	}
	firstAttempt := func(class string, deadlineMillis int) func(*testing.T, *attemptFixture, listEntry) {
		return func(t *testing.T, s *attemptFixture, last listEntry) {
			s.discovery.publish(t, last)
			s.client.Send(t, Request("id", class, deadlineMillis))
		}
	}
	clientResets := func(t *testing.T, s *attemptFixture, _ listEntry) { s.client.Reset() }
	serverDrains := func(t *testing.T, s *attemptFixture, last listEntry) {
		last.Lifecycle = "terminating"
		s.discovery.publish(t, last)
	}
	const window = 1500 * time.Millisecond
	windowPasses := func(*testing.T, *attemptFixture, listEntry) { time.Sleep(window) }
	zoneChanges := func(t *testing.T, s *attemptFixture, last listEntry) {
		last.Zone = "b"
		s.discovery.publish(t, s.s0Entry(), last)
	}
	for name, c := range map[string]struct {
		start, event func(*testing.T, *attemptFixture, listEntry)
		window       time.Duration
		answer       string // the client's answer where nothing is written to the server
		notConnected bool   // the connection is not established any more
	}{
		"no event":        {start: firstAttempt("write", 20000)},
		"no event, retry": {start: retries("near", 20000), window: time.Minute},
		"deadline passes": {start: firstAttempt("write", 500), answer: "-", notConnected: true},
		"deadline passes, keyed": {
			start:        retries("near", 700),
			window:       time.Minute,
			answer:       "-ERR written off",
			notConnected: true,
		},
		"deduplication window ends": {start: retries("keyed", 20000), window: window, event: windowPasses, answer: "-BUSY"},
		"client disconnects":        {start: firstAttempt("write", 20000), event: clientResets},
		"server drains": {
			start:        firstAttempt("write", 20000),
			event:        serverDrains,
			answer:       "-BUSY",
			notConnected: true,
		},
		"server changes zone": {
			start:  retries("near", 20000),
			window: time.Minute,
			event:  zoneChanges,
			answer: "-ERR written off",
		},
		"server changes zone, all zones deduplicate": {
			start:  retries("keyed", 20000),
			window: time.Minute,
			event:  zoneChanges,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newAttemptFixture(t, c.window, nil)
			server, accept := listenBacklogged(t)
			last := inService("s1", server, "a")
			c.start(t, s, last)
			if !c.notConnected || c.event != nil { // otherwise the deadline ends the attempt
				waitForState(t, "", server.Address, synSent)
			}
			if c.event != nil {
				c.event(t, s, last)
			}
			if c.notConnected {
				require.Contains(t, s.client.ReadAnswer(t), c.answer)
				require.Nil(t, accept(1200*time.Millisecond), "the limiter has opened a connection")
				return
			}
			conn := accept(Timeout)
			require.NotNil(t, conn)
			switch {
			case name == "client disconnects":
				conn.ExpectNothing(t, 100*time.Millisecond)
			case c.answer != "": // the attempt was not sent, and there is no further one
				require.Contains(t, s.client.ReadAnswer(t), c.answer)
				conn.ExpectNothing(t, 20*time.Millisecond)
			default:
				var left int
				words := conn.ReadCommand(t)
				_, err := fmt.Sscanf(words[3][strings.Index(words[3], "d="):], "d=%d", &left)
				require.NoError(t, err)
				require.LessOrEqual(t, left, 19000, "remaining time")
				conn.SendServed(t, "value")
				require.Equal(t, "$value", s.client.ReadAnswer(t))
			}
		})
	}
}

// TestAbandonedCommandNotCompleted checks that a command which the local kernel has taken completely, but the server's
// kernel has not, is not completed at the server once its request has ended.
func TestAbandonedCommandNotCompleted(t *testing.T) {
	server := listenSmallBuffer(t)
	s := newAttemptFixture(t, time.Second, func(c *settings.Config) {
		c.Known = []byte(fullList(1, inService("s0", server, "a")))
	})
	s.client.Send(t, largeRequest("id", "write", 400))
	c := server.Accept(t)
	require.Equal(t, "-ERR written off", s.client.ReadAnswer(t))
	waitForState(t, c.TCP.RemoteAddr().String(), server.Address, noConnection) // the limiter has closed it
	requirePartialCommand(t, c)
}

// TestWindowEndsDuringWrite checks that a retry with an idempotency key, of which the kernel has taken only a part, is
// not completed after the deduplication window has ended, although its request still has time left.
func TestWindowEndsDuringWrite(t *testing.T) {
	servers := []*Peer{listenSmallBuffer(t), listenSmallBuffer(t)}
	s := newAttemptFixture(t, 2*time.Second, func(c *settings.Config) {
		c.Known = []byte(fullList(1, inService("s0", servers[0], "a"), inService("s1", servers[1], "a")))
	})
	var conns []*Conn // at least one connection to each server, with small send buffers
	for connected := map[*Peer]bool{}; len(connected) < 2; {
		s.client.Send(t, Request(fmt.Sprint("id-", len(conns)), "read", 20000))
		for n := len(conns); len(conns) == n; {
			for _, p := range servers {
				_ = p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
				if c, err := p.ln.Accept(); err == nil {
					t.Cleanup(func() { _ = c.Close() })
					conns, connected[p] = append(conns, &Conn{TCP: c.(*net.TCPConn), reader: bufio.NewReader(c)}), true
				}
			}
		}
	}
	for _, c := range conns {
		c.ReadCommand(t)
		c.SendServed(t, "value")
		require.Equal(t, "$value", s.client.ReadAnswer(t))
		c.shrinkPeerSendBuffer(t)
	}
	time.Sleep(50 * time.Millisecond) // the connections become idle
	s.client.Send(t, largeRequest("id", "keyed", 30000))
	first := waitReadable(t, conns...)
	first.ReadCommand(t)
	first.Reset()
	second := waitReadable(t, slices.DeleteFunc(conns, func(c *Conn) bool { return c == first })...)
	require.Regexp(t, "^-BUSY", s.client.ReadAnswer(t))
	requirePartialCommand(t, second)
}

// TestRejectedAttemptIgnoresWindow checks that a rejected attempt, which has not run, starts no deduplication window:
// the retry may follow although the window's length has passed since.
func TestRejectedAttemptIgnoresWindow(t *testing.T) {
	s := newAttemptFixture(t, 100*time.Millisecond, nil)
	server := Listen(t)
	first := s.startAttempt(t, Request("id", "keyed", 5000), inService("s1", server, "b"))
	time.Sleep(150 * time.Millisecond)
	first.Send(t, "-BUSY\r\n")
	c := server.Accept(t)
	c.ReadCommand(t)
	c.SendServed(t, "value")
	require.Equal(t, "$value", s.client.ReadAnswer(t))
}

// TestServerChangesZone checks that a retry stays within the zone in which the previous attempt may have run, even if
// the server of that attempt has changed its zone since.
func TestServerChangesZone(t *testing.T) {
	s := newAttemptFixture(t, 5*time.Second, nil)
	server := Listen(t)
	first := s.startAttempt(t, Request("id", "near", 5000))
	s.discovery.publish(t, inService("s0", s.s0, "b"), inService("s1", server, "b"))
	first.Reset()
	require.Equal(t, "-ERR written off", s.client.ReadAnswer(t))
	c := server.Accept(t)
	c.ExpectNothing(t, 50*time.Millisecond)
}
