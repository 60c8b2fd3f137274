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

// option sets one of a listener's; connections accepted from then on have it.
func (p *Peer) option(t testing.TB, set func(fd int) error) *Peer {
	t.Helper()
	raw, err := p.ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = set(int(fd)) }))
	require.NoError(t, err)
	return p
}

// slow is a server whose machine takes few bytes that it does not read.
func slow(t testing.TB) *Peer {
	few := func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) }
	return Listen(t).option(t, few)
}

// squeeze has the limiter's kernel take few bytes at a time on a connection: the limiter's end is in this process, too.
func (c *Conn) squeeze(t testing.TB) {
	t.Helper()
	port := func(a syscall.Sockaddr, err error) int {
		if in, is := a.(*syscall.SockaddrInet4); err == nil && is {
			return in.Port
		}
		return 0
	}
	mine, others := c.TCP.LocalAddr().(*net.TCPAddr).Port, c.TCP.RemoteAddr().(*net.TCPAddr).Port
	for fd := range 1024 {
		if port(syscall.Getsockname(fd)) == others && port(syscall.Getpeername(fd)) == mine {
			require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, 1))
			return
		}
	}
	t.Fatal("the limiter's end is not here")
}

// ready waits until something has come on one of the connections.
func ready(t testing.TB, conns ...*Conn) *Conn {
	t.Helper()
	for end := time.Now().Add(Patience); time.Now().Before(end); {
		for _, c := range conns {
			_ = c.TCP.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.in.Peek(1); err == nil {
				return c
			}
		}
	}
	t.Fatal("nothing has come")
	return nil
}

// late is a server to which connections come up only once next was called: its queue of connections is full, and the
// kernel drops what asks for one more, which asks again a second later. next gives the limiter's, nil if none comes up
// within a time.
func late(t testing.TB) (p *Peer, next func(within time.Duration) *Conn) {
	p = Listen(t).option(t, func(fd int) error { return syscall.Listen(fd, 0) })
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
				return &Conn{TCP: c.(*net.TCPConn), in: bufio.NewReader(c)}
			}
		}
	}
}

// states of a connection, as the kernel writes them.
const (
	none    = ""
	synSent = "02"
)

// state waits until the kernel's table has a connection to a port, from another one where that is given, in a state;
// or none in any.
func state(t testing.TB, from, to, want string) {
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
				(want == none || want == f[3]) {
				return want != none
			}
		}
		return want == none
	}, Patience, 50*time.Millisecond) // the table is long to read
}

// listed is a server in a list.
type listed struct {
	ID        string `json:"instanceId"`
	HostPort  string `json:"hostPort"`
	Zone      string `json:"zone"`
	Lifecycle string `json:"lifecycle"`
}

func listing(generation int, entries ...listed) string {
	text, _ := json.Marshal(map[string]any{"generation": generation, "reset": true, "instances": entries})
	return string(text)
}

// lists is the list service, with the limiter's watch open.
type lists struct {
	service    *Peer
	c          *Conn
	generation int
	answer     string // the latest
}

// watch waits for the next call: what was told before has been applied.
func (l *lists) watch(t testing.TB) {
	t.Helper()
	for {
		_ = l.c.TCP.SetReadDeadline(time.Now().Add(Patience))
		line, err := l.c.in.ReadString('\n')
		// on a machine with much to do the limiter may have given its connection up, and asks on another one
		if err != nil {
			l.c = l.service.Accept(t)
			continue
		}
		for l.c.Line(t) != "" {
		}
		if strings.Contains(line, fmt.Sprintf("from=%d&", l.generation)) {
			return
		}
		l.c.Say(t, l.answer)
	}
}

func (l *lists) tell(t testing.TB, entries ...listed) {
	t.Helper()
	l.generation++
	body := listing(l.generation, entries...)
	l.answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	l.c.Say(t, l.answer)
	l.watch(t)
}

// story is a limiter that knows the server s0 in zone a, and more as the test tells it. Requests of the class near are
// keyed, and the servers of one zone drop their repeats.
type story struct {
	*Rig
	lists  *lists
	first  *Peer
	client *Conn
}

func begin(t testing.TB, window time.Duration, change func(*settings.Config)) *story {
	t.Helper()
	s := &story{first: Listen(t)}
	service := Listen(t)
	config := Config()
	config.Discovery, config.Known = service.Address, []byte(listing(1, s.known()))
	config.Settings.DialTimeout = 8e9
	for name, group := range map[string]choice.DeduplicationScope{"keyed": choice.ScopeAll, "near": choice.ScopeZone} {
		config.Settings.Classes[name] = &choice.Class{
			LatencyObjective:    60e9,
			Idempotency:         choice.IdempotentWithKey,
			DeduplicationScope:  group,
			DeduplicationWindow: int64(window),
			PriorityWeight:      1,
		}
	}
	if change != nil {
		change(config)
	}
	s.Rig = Start(t, config)
	s.lists = &lists{service: service, c: service.Accept(t), generation: 1}
	s.lists.watch(t)
	s.client = s.Dial(t)
	return s
}

func (s *story) known() listed { return listed{"s0", s.first.Address, "a", "in_service"} }

func at(id string, p *Peer, zone string) listed { return listed{id, p.Address, zone, "in_service"} }

// run sends a request that s0 gets whole; more servers are known from then on.
func (s *story) run(t testing.TB, text string, more ...listed) *Conn {
	t.Helper()
	s.client.Say(t, text)
	c := s.first.Accept(t)
	c.Command(t)
	if len(more) > 0 {
		s.lists.tell(t, append([]listed{s.known()}, more...)...)
	}
	return c
}

// large is a request that no small buffer holds.
func large(id, class string, left int) string {
	return strings.Replace(Request(id, class, left), "$4\r\nBODY", "$60000\r\n"+strings.Repeat("b", 60000), 1)
}

// part checks that what a server got is a part of a command only.
func part(t testing.TB, c *Conn) {
	t.Helper()
	text, _ := c.Rest(t)
	require.NotEmpty(t, text)
	require.Less(t, len(text), 60000, "the command has become whole")
}

// TestLate: a connection comes up a second after it was asked for, and what has happened meanwhile counts for the
// attempt that waits for it: it is judged when it is written.
func TestLate(t *testing.T) {
	again := func(class string, left int) func(*testing.T, *story, listed) { // the first attempt, at s0, may have run
		return func(t *testing.T, s *story, last listed) { s.run(t, Request("id", class, left), last).Reset() }
	}
	once := func(class string, left int) func(*testing.T, *story, listed) {
		return func(t *testing.T, s *story, last listed) {
			s.lists.tell(t, last)
			s.client.Say(t, Request("id", class, left))
		}
	}
	leaves := func(t *testing.T, s *story, _ listed) { s.client.Reset() }
	drains := func(t *testing.T, s *story, last listed) {
		last.Lifecycle = "terminating"
		s.lists.tell(t, last)
	}
	const window = 1500 * time.Millisecond
	passes := func(*testing.T, *story, listed) { time.Sleep(window) }
	moves := func(t *testing.T, s *story, last listed) {
		last.Zone = "b"
		s.lists.tell(t, s.known(), last)
	}
	for name, c := range map[string]struct {
		sends, happens func(*testing.T, *story, listed)
		window         time.Duration
		answer         string // the client's, where nothing is written
		never          bool   // the connection does not come up any more
	}{
		"nothing":                {sends: once("write", 20000)},
		"nothing, a repeat":      {sends: again("near", 20000), window: time.Minute},
		"its deadline":           {sends: once("write", 500), answer: "-", never: true},
		"its deadline, keyed":    {sends: again("near", 700), window: time.Minute, answer: "-ERR written off", never: true},
		"the end of a window":    {sends: again("keyed", 20000), window: window, happens: passes, answer: "-BUSY"},
		"its client leaves":      {sends: once("write", 20000), happens: leaves},
		"its server drains":      {sends: once("write", 20000), happens: drains, answer: "-BUSY", never: true},
		"its server is moved":    {sends: again("near", 20000), window: time.Minute, happens: moves, answer: "-ERR written off"},
		"moved, and all drop it": {sends: again("keyed", 20000), window: time.Minute, happens: moves},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := begin(t, c.window, nil)
			server, next := late(t)
			last := at("s1", server, "a")
			c.sends(t, s, last)
			if !c.never || c.happens != nil { // else it ends by itself
				state(t, "", server.Address, synSent)
			}
			if c.happens != nil {
				c.happens(t, s, last)
			}
			if c.never {
				require.Contains(t, s.client.Answer(t), c.answer)
				require.Nil(t, next(1200*time.Millisecond), "the limiter has opened a connection")
				return
			}
			conn := next(Patience)
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

// TestGivenUp: a command that the kernel took whole and the server's machine did not is not completed once its request
// has ended.
func TestGivenUp(t *testing.T) {
	server := slow(t)
	s := begin(t, time.Second, func(c *settings.Config) { c.Known = []byte(listing(1, at("s0", server, "a"))) })
	s.client.Say(t, large("id", "write", 400))
	c := server.Accept(t)
	require.Equal(t, "-ERR written off", s.client.Answer(t))
	state(t, c.TCP.RemoteAddr().String(), server.Address, none) // the limiter has closed it
	part(t, c)
}

// TestWindowInTheMiddle: a keyed repeat of which the kernel has only a part is not completed past the window, though
// its request lives.
func TestWindowInTheMiddle(t *testing.T) {
	servers := []*Peer{slow(t), slow(t)}
	s := begin(t, 2*time.Second, func(c *settings.Config) {
		c.Known = []byte(listing(1, at("s0", servers[0], "a"), at("s1", servers[1], "a")))
	})
	var conns []*Conn // an open connection at least to each server, squeezed
	for met := map[*Peer]bool{}; len(met) < 2; {
		s.client.Say(t, Request(fmt.Sprint("id-", len(conns)), "read", 20000))
		for n := len(conns); len(conns) == n; {
			for _, p := range servers {
				_ = p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
				if c, err := p.ln.Accept(); err == nil {
					t.Cleanup(func() { _ = c.Close() })
					conns, met[p] = append(conns, &Conn{TCP: c.(*net.TCPConn), in: bufio.NewReader(c)}), true
				}
			}
		}
	}
	for _, c := range conns {
		c.Command(t)
		c.Serve(t, "value")
		require.Equal(t, "$value", s.client.Answer(t))
		c.squeeze(t)
	}
	time.Sleep(50 * time.Millisecond) // they rest
	s.client.Say(t, large("id", "keyed", 30000))
	first := ready(t, conns...)
	first.Command(t)
	first.Reset()
	second := ready(t, slices.DeleteFunc(conns, func(c *Conn) bool { return c == first })...)
	require.Regexp(t, "^-BUSY", s.client.Answer(t))
	part(t, second)
}

// TestTurnedAway: an attempt that was turned away has not run, and no window bounds the next one.
func TestTurnedAway(t *testing.T) {
	s := begin(t, 100*time.Millisecond, nil)
	server := Listen(t)
	first := s.run(t, Request("id", "keyed", 5000), at("s1", server, "b"))
	time.Sleep(150 * time.Millisecond)
	first.Say(t, "-BUSY\r\n")
	c := server.Accept(t)
	c.Command(t)
	c.Serve(t, "value")
	require.Equal(t, "$value", s.client.Answer(t))
}

// TestMoved: what counts is the group in which an attempt may have run, not the one that its server is in by now.
func TestMoved(t *testing.T) {
	s := begin(t, 5*time.Second, nil)
	server := Listen(t)
	first := s.run(t, Request("id", "near", 5000))
	s.lists.tell(t, at("s0", s.first, "b"), at("s1", server, "b"))
	first.Reset()
	require.Equal(t, "-ERR written off", s.client.Answer(t))
	c := server.Accept(t)
	c.Quiet(t, 50*time.Millisecond)
}
