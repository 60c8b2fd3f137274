package sockets

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/settings"
)

// driver runs a complete limiter on real sockets with a simulated clock. The poller reads as usual, but events are
// delivered to the limiter only when the test calls step.
type driver struct {
	t       *testing.T
	s       *Sockets
	l       *limiter.Limiter
	now     int64  // the limiter's time in nanoseconds
	address string // the limiter's address for clients
}

// newDriver returns a driver for a limiter with this limit on descriptors and one server, or none if server is nil.
func newDriver(t *testing.T, descriptors int, server net.Listener) *driver {
	t.Helper()
	if server == nil {
		return newDriverWithConfig(t, testConfig(descriptors))
	}
	return newDriverWithConfig(t, testConfig(descriptors, server))
}

// testConfig returns a configuration with these servers and an unreachable discovery service.
func testConfig(descriptors int, servers ...net.Listener) *settings.Config {
	entries := make([]string, len(servers))
	for i, server := range servers {
		entries[i] = fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"lifecycle":"in_service"}`, i, server.Addr())
	}
	return &settings.Config{Discovery: "127.0.0.1:1", Memory: 1 << 27, Sockets: descriptors,
		Known: []byte(`{"generation":1,"instances":[` + strings.Join(entries, ",") + `]}`),
		Settings: &settings.Settings{IdleClose: 15e9, Settings: &choice.Settings{
			Classes: map[string]*choice.Class{
				"c": {LatencyObjective: 1e9, PriorityWeight: 1},
			}, Plans: map[string]*choice.Plan{"p": {}},
			MaxRequestUnits: 64, Limiters: 1, MaxAttempts: 1, SlowStartWindow: 1, DialTimeout: 25e7, TimerResolution: 4e6}}}
}

// newDriverWithConfig returns a driver for a limiter with this configuration.
func newDriverWithConfig(t *testing.T, config *settings.Config) *driver {
	t.Helper()
	s, address := listenWithLimit(t, config.Sockets/2, max(config.Sockets, 256))
	d := &driver{t: t, s: s, address: address, now: 1e15}
	var err error
	d.l, err = limiter.New(d.now, config, s)
	require.NoError(t, err)
	d.step(0)
	return d
}

// step advances the clock by later nanoseconds and delivers all queued events and due timers.
func (d *driver) step(later int64) {
	d.now += later
	d.s.nextBatch()
	rest := d.s.current.bytes
	for _, e := range d.s.current.events {
		d.s.data = rest[:e.size]
		rest = rest[e.size:]
		d.s.markDelivered(e)
		d.s.stepBegan = elapsed()
		e.deliver(d.now, d.l)
	}
	d.s.release(d.s.current)
	d.s.step(d.now, d.l, limiter.TimersDue{})
}

// stepUntil steps, without advancing the clock, until the condition holds.
func (d *driver) stepUntil(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { d.step(0); return condition() }, testTimeout, time.Millisecond, what)
}

// hasQueuedBytes reports whether received bytes are queued for the reducer.
func (d *driver) hasQueuedBytes() bool {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	return len(d.s.queued.bytes) > 0
}

// dialClient connects a client to the limiter.
func (d *driver) dialClient() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

// send writes text to a connection.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// expectRead reads as many bytes as want has and compares them.
func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := io.ReadFull(c, got)
	require.NoError(t, err, "read %q", got[:n])
	require.Equal(t, want, string(got))
}

// ping is the PING command of a client.
const ping = "*1\r\n$4\r\nPING\r\n"

// TestCommandReadBeforeClose: the poller has read a command, not yet delivered, on an idle connection that the limiter
// decides to close. The command must be answered. Otherwise it is lost, and the client cannot know whether it was
// executed. Each case is a reason to close.
func TestCommandReadBeforeClose(t *testing.T) {
	for name, closeConn := range map[string]func(d *driver){
		"idle timeout": func(d *driver) {
			for range 40 {
				d.now += 1e8
				d.s.step(d.now, d.l, limiter.TimersDue{})
			}
		},
		"shutdown": func(d *driver) {
			d.s.step(d.now, d.l, limiter.ShutdownRequested{})
			d.now += 4e8
			d.s.step(d.now, d.l, limiter.TimersDue{})
			d.now += 11e7
			d.s.step(d.now, d.l, limiter.TimersDue{})
		},
		"connection limit reached": func(d *driver) {
			d.now += 7e7
			for id := range limiter.ConnID(8) { // fills the limiter: a quarter of its 32 descriptors
				d.s.step(d.now, d.l, limiter.ClientAccepted{Conn: 1000 + id})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 32, nil)
			client := d.dialClient()
			send(t, client, ping)
			d.stepUntil(
				"the first command is answered",
				func() bool { return d.s.connections[1] != nil && d.s.Written(1) > 0 || anyResponseWritten(d, 2) },
			)
			expectRead(t, client, "-LOADING not ready yet\r\n")
			send(t, client, ping)
			require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond, "the poller has read the command")
			closeConn(d)
			d.step(0)
			_ = client.SetReadDeadline(time.Now().Add(testTimeout))
			line := make([]byte, 64)
			n, err := client.Read(line)
			require.NoError(t, err, "the command was dropped")
			require.True(
				t,
				strings.HasPrefix(string(line[:n]), "-LOADING") || strings.HasPrefix(string(line[:n]), "+PONG"),
				"%q",
				line[:n],
			)
		})
	}
}

// anyResponseWritten reports whether anything was written to an open connection whose ID is at least minID.
func anyResponseWritten(d *driver, minID limiter.ConnID) bool {
	for id := range d.s.connections {
		if id >= minID && d.s.Written(id) > 0 {
			return true
		}
	}
	return false
}

// TestCommandsOfClosedClient: a client sends several commands and closes before the reducer gets them. None may be
// forwarded.
func TestCommandsOfClosedClient(t *testing.T) {
	server := listenLoopback(t)
	d := newDriver(t, 64, server)
	request := func(id string) string {
		list := "c=c,t=p,d=4000,units=1,spread=1,first=0"
		return "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n000000000000000f\r\n$2\r\n" + id + "\r\n$39\r\n" + list + "\r\n"
	}
	closedClient := d.dialClient()
	send(t, closedClient, request("g1")+request("g2")+request("g3"))
	require.NoError(t, closedClient.Close())
	hasQueuedClose := func() bool { // the commands and the close are queued for the reducer
		d.s.mutex.Lock()
		defer d.s.mutex.Unlock()
		size, ended := 0, false
		for _, e := range d.s.queued.events {
			size, ended = size+e.size, ended || e.kind == connClosed && size > 0
		}
		return ended
	}
	require.Eventually(t, hasQueuedClose, testTimeout, time.Millisecond)
	d.step(0)
	stayingClient := d.dialClient()
	send(t, stayingClient, request("st"))
	accepted := make(chan string, 8)
	go func() {
		for c, err := server.Accept(); err == nil; c, err = server.Accept() {
			text := make([]byte, 1<<12)
			n, _ := c.Read(text)
			accepted <- string(text[:n])
		}
	}()
	got := ""
	d.stepUntil("the request of the open client is forwarded", func() bool {
		select {
		case got = <-accepted:
			return true
		default:
			return false
		}
	})
	require.Contains(t, got, "st", "a request of the closed client was forwarded")
	require.Empty(t, accepted)
}

// TestCommandReadAsLimiterFinishes: just before the limiter finishes its shutdown, a client connects and its command
// is read. The command must still be answered. The clock function that Run calls connects the client at that moment,
// before it returns the time at which the limiter finishes.
func TestCommandReadAsLimiterFinishes(t *testing.T) {
	d := newDriver(t, 64, nil)
	base := time.Now()
	var lateClient net.Conn
	stopped := int64(0)
	stop := make(chan struct{})
	clock := func() int64 {
		now := d.now + int64(time.Since(base))
		if stopped == 0 {
			stopped = now
		}
		if lateClient == nil && now >= stopped+7e8 { // the time at which the limiter finishes
			lateClient = d.dialClient()
			send(t, lateClient, ping)
			require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond)
		}
		return now
	}
	close(stop)
	d.s.Run(clock, d.l, stop, nil)
	require.NotNil(t, lateClient, "the limiter finished before the client connected")
	_ = lateClient.SetReadDeadline(time.Now().Add(testTimeout))
	line := make([]byte, 64)
	n, err := lateClient.Read(line)
	require.NoError(t, err, "the command was dropped")
	require.NotZero(t, n)
}
