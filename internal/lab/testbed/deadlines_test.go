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

// setSocketOption sets one of a listener's; connections accepted from then on have it.
func (p *Peer) setSocketOption(t testing.TB, set func(fd int) error) *Peer {
	t.Helper()
	raw, err := p.ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = set(int(fd)) }))
	require.NoError(t, err)
	return p
}

// listenSmallBuffer is a server whose machine takes few bytes that it does not read.
func listenSmallBuffer(t testing.TB) *Peer {
	limitBuffer := func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) }
	return Listen(t).setSocketOption(t, limitBuffer)
}

// shrinkPeerSendBuffer has the limiter's kernel take few bytes at a time on a connection: the limiter's end is in this process, too.
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
	t.Fatal("the limiter's end is not here")
}

// waitReadable waits until something has come on one of the connections.
func waitReadable(t testing.TB, conns ...*Conn) *Conn {
	t.Helper()
	for end := time.Now().Add(Patience); time.Now().Before(end); {
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

// listenBacklogged is a server to which connections come up only once next was called: its queue of connections is full, and the
// kernel drops what asks for one more, which asks again a second later. next gives the limiter's, nil if none comes up
// within a time.
func listenBacklogged(t testing.TB) (p *Peer, accept func(within time.Duration) *Conn) {
	p = Listen(t).setSocketOption(t, func(fd int) error { return syscall.Listen(fd, 0) })
	fillers := map[string]bool{}
	for { // until one does not come up
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

// states of a connection, as the kernel writes them.
const (
	noConnection = ""
	synSent      = "02"
)

// waitForState waits until the kernel's table has a connection to a port, from another one where that is given, in a waitForState;
// or none in any.
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
	}, Patience, 50*time.Millisecond) // the table is long to read
}

// listEntry is a server in a list.
type listEntry struct {
	ID        string `json:"instanceId"`
	HostPort  string `json:"hostPort"`
	Zone      string `json:"zone"`
	Lifecycle string `json:"lifecycle"`
}

func fullList(generation int, entries ...listEntry) string {
	text, _ := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": entries})
	return string(text)
}

// discoveryStub is the list service, with the limiter's watch open.
type discoveryStub struct {
	listener   *Peer
	conn       *Conn
	generation int
	lastAnswer string // the latest
}

// awaitPoll waits for the next call: what was told before has been applied.
func (d *discoveryStub) awaitPoll(t testing.TB) {
	t.Helper()
	for {
		_ = d.conn.TCP.SetReadDeadline(time.Now().Add(Patience))
		line, err := d.conn.reader.ReadString('\n')
		// on a machine with much to do the limiter may have given its connection up, and asks on another one
		if err != nil {
			d.conn = d.listener.Accept(t)
			continue
		}
		for d.conn.Line(t) != "" {
		}
		if strings.Contains(line, fmt.Sprintf("from=%d&", d.generation)) {
			return
		}
		d.conn.Say(t, d.lastAnswer)
	}
}

func (d *discoveryStub) publish(t testing.TB, entries ...listEntry) {
	t.Helper()
	d.generation++
	body := fullList(d.generation, entries...)
	d.lastAnswer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	d.conn.Say(t, d.lastAnswer)
	d.awaitPoll(t)
}

// attemptFixture is a limiter that knows the server s0 in zone a, and more as the test tells it. Requests of the class near are
// keyed, and the servers of one zone drop their repeats.
type attemptFixture struct {
	*Rig
	discovery *discoveryStub
	s0        *Peer
	client    *Conn
}

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

func (s *attemptFixture) s0Entry() listEntry { return listEntry{"s0", s.s0.Address, "a", "in_service"} }

func inService(id string, p *Peer, zone string) listEntry {
	return listEntry{id, p.Address, zone, "in_service"}
}

// startAttempt sends a request that s0 gets whole; more servers are known from then on.
func (s *attemptFixture) startAttempt(t testing.TB, text string, more ...listEntry) *Conn {
	t.Helper()
	s.client.Say(t, text)
	c := s.s0.Accept(t)
	c.Command(t)
	if len(more) > 0 {
		s.discovery.publish(t, append([]listEntry{s.s0Entry()}, more...)...)
	}
	return c
}

// largeRequest is a request that no small buffer holds.
func largeRequest(id, class string, deadlineMillis int) string {
	return strings.Replace(Request(id, class, deadlineMillis), "$4\r\nBODY", "$60000\r\n"+strings.Repeat("b", 60000), 1)
}

// requirePartialCommand checks that what a server got is a requirePartialCommand of a command only.
func requirePartialCommand(t testing.TB, c *Conn) {
	t.Helper()
	text, _ := c.Rest(t)
	require.NotEmpty(t, text)
	require.Less(t, len(text), 60000, "the command has become whole")
}

// TestConnectionEstablishedLate: a connection comes up a second after it was asked for, and what has happened meanwhile counts for the
// attempt that waits for it: it is judged when it is written.
func TestConnectionEstablishedLate(t *testing.T) {
	retries := func(class string, deadlineMillis int) func(*testing.T, *attemptFixture, listEntry) { // the first attempt, at s0, may have run
		return func(t *testing.T, s *attemptFixture, last listEntry) {
			s.startAttempt(t, Request("id", class, deadlineMillis), last).Reset()
		}
	}
	firstAttempt := func(class string, deadlineMillis int) func(*testing.T, *attemptFixture, listEntry) {
		return func(t *testing.T, s *attemptFixture, last listEntry) {
			s.discovery.publish(t, last)
			s.client.Say(t, Request("id", class, deadlineMillis))
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
		answer       string // the client's, where nothing is written
		notConnected bool   // the connection does not come up any more
	}{
		"nothing":                {start: firstAttempt("write", 20000)},
		"nothing, a repeat":      {start: retries("near", 20000), window: time.Minute},
		"its deadline":           {start: firstAttempt("write", 500), answer: "-", notConnected: true},
		"its deadline, keyed":    {start: retries("near", 700), window: time.Minute, answer: "-ERR written off", notConnected: true},
		"the end of a window":    {start: retries("keyed", 20000), window: window, event: windowPasses, answer: "-BUSY"},
		"its client leaves":      {start: firstAttempt("write", 20000), event: clientResets},
		"its server drains":      {start: firstAttempt("write", 20000), event: serverDrains, answer: "-BUSY", notConnected: true},
		"its server is moved":    {start: retries("near", 20000), window: time.Minute, event: zoneChanges, answer: "-ERR written off"},
		"moved, and all drop it": {start: retries("keyed", 20000), window: time.Minute, event: zoneChanges},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newAttemptFixture(t, c.window, nil)
			server, accept := listenBacklogged(t)
			last := inService("s1", server, "a")
			c.start(t, s, last)
			if !c.notConnected || c.event != nil { // else it ends by itself
				waitForState(t, "", server.Address, synSent)
			}
			if c.event != nil {
				c.event(t, s, last)
			}
			if c.notConnected {
				require.Contains(t, s.client.Answer(t), c.answer)
				require.Nil(t, accept(1200*time.Millisecond), "the limiter has opened a connection")
				return
			}
			conn := accept(Patience)
			require.NotNil(t, conn)
			switch {
			case name == "its client leaves":
				conn.Quiet(t, 100*time.Millisecond)
			case c.answer != "": // the attempt was judged, and it was the last
				require.Contains(t, s.client.Answer(t), c.answer)
				conn.Quiet(t, 20*time.Millisecond)
			default:
				var left int
				words := conn.Command(t)
				_, err := fmt.Sscanf(words[3][strings.Index(words[3], "d="):], "d=%d", &left)
				require.NoError(t, err)
				require.LessOrEqual(t, left, 19000, "the time that is left")
				conn.Serve(t, "value")
				require.Equal(t, "$value", s.client.Answer(t))
			}
		})
	}
}

// TestAbandonedCommandNotCompleted: a command that the kernel took whole and the server's machine did not is not completed once its request
// has ended.
func TestAbandonedCommandNotCompleted(t *testing.T) {
	server := listenSmallBuffer(t)
	s := newAttemptFixture(t, time.Second, func(c *settings.Config) { c.Known = []byte(fullList(1, inService("s0", server, "a"))) })
	s.client.Say(t, largeRequest("id", "write", 400))
	c := server.Accept(t)
	require.Equal(t, "-ERR written off", s.client.Answer(t))
	waitForState(t, c.TCP.RemoteAddr().String(), server.Address, noConnection) // the limiter has closed it
	requirePartialCommand(t, c)
}

// TestWindowEndsDuringWrite: a keyed repeat of which the kernel has only a part is not completed past the window, though
// its request lives.
func TestWindowEndsDuringWrite(t *testing.T) {
	servers := []*Peer{listenSmallBuffer(t), listenSmallBuffer(t)}
	s := newAttemptFixture(t, 2*time.Second, func(c *settings.Config) {
		c.Known = []byte(fullList(1, inService("s0", servers[0], "a"), inService("s1", servers[1], "a")))
	})
	var conns []*Conn // an open connection at least to each server, squeezed
	for connected := map[*Peer]bool{}; len(connected) < 2; {
		s.client.Say(t, Request(fmt.Sprint("id-", len(conns)), "read", 20000))
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
		c.Command(t)
		c.Serve(t, "value")
		require.Equal(t, "$value", s.client.Answer(t))
		c.shrinkPeerSendBuffer(t)
	}
	time.Sleep(50 * time.Millisecond) // they rest
	s.client.Say(t, largeRequest("id", "keyed", 30000))
	first := waitReadable(t, conns...)
	first.Command(t)
	first.Reset()
	second := waitReadable(t, slices.DeleteFunc(conns, func(c *Conn) bool { return c == first })...)
	require.Regexp(t, "^-BUSY", s.client.Answer(t))
	requirePartialCommand(t, second)
}

// TestRejectedAttemptIgnoresWindow: an attempt that was turned away has not run, and no window bounds the next one.
func TestRejectedAttemptIgnoresWindow(t *testing.T) {
	s := newAttemptFixture(t, 100*time.Millisecond, nil)
	server := Listen(t)
	first := s.startAttempt(t, Request("id", "keyed", 5000), inService("s1", server, "b"))
	time.Sleep(150 * time.Millisecond)
	first.Say(t, "-BUSY\r\n")
	c := server.Accept(t)
	c.Command(t)
	c.Serve(t, "value")
	require.Equal(t, "$value", s.client.Answer(t))
}

// TestServerChangesZone: what counts is the group in which an attempt may have run, not the one that its server is in by now.
func TestServerChangesZone(t *testing.T) {
	s := newAttemptFixture(t, 5*time.Second, nil)
	server := Listen(t)
	first := s.startAttempt(t, Request("id", "near", 5000))
	s.discovery.publish(t, inService("s0", s.s0, "b"), inService("s1", server, "b"))
	first.Reset()
	require.Equal(t, "-ERR written off", s.client.Answer(t))
	c := server.Accept(t)
	c.Quiet(t, 50*time.Millisecond)
}
