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

// driver steps a whole limiter on real sockets by a clock of the test's: the poller reads as ever, and the reducer
// learns of it when the test says so.
type driver struct {
	t       *testing.T
	s       *Sockets
	l       *limiter.Limiter
	now     int64
	address string
}

func newDriver(t *testing.T, descriptors int, server net.Listener) *driver {
	t.Helper()
	if server == nil {
		return newDriverWithConfig(t, testConfig(descriptors))
	}
	return newDriverWithConfig(t, testConfig(descriptors, server))
}

// testConfig is a configuration of a limiter for these servers, which has nobody to ask for others.
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

// newDriverWithConfig is a limiter of this configuration.
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

// step tells the reducer all that the poller has read, so much time later.
func (d *driver) step(later int64) {
	d.now += later
	d.s.nextBatch()
	for _, e := range d.s.current.events {
		end := d.s.currentOffset + e.size
		d.s.markDelivered(e)
		e.deliver(d.now, d.l)
		d.s.currentOffset = end
	}
	d.l.Step(d.now, limiter.TimersDue{})
}

// stepUntil turns stepUntil something holds.
func (d *driver) stepUntil(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, func() bool { d.step(0); return condition() }, testTimeout, time.Millisecond, what)
}

// hasQueuedBytes tells whether bytes of a client wait for the reducer.
func (d *driver) hasQueuedBytes() bool {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	return len(d.s.queued.bytes) > 0
}

func (d *driver) dialClient() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	n, err := io.ReadFull(c, got)
	require.NoError(t, err, "read %q", got[:n])
	require.Equal(t, want, string(got))
}

const ping = "*1\r\n$4\r\nPING\r\n"

// TestCommandReadBeforeClose: a command that the poller has read when the limiter closes its resting connection is
// answered. It would be lost: the client cannot know that it was not taken. Each case closes for another reason, with
// the command read and not told.
func TestCommandReadBeforeClose(t *testing.T) {
	for name, closeConn := range map[string]func(d *driver){
		"idle for long": func(d *driver) {
			for range 40 {
				d.now += 1e8
				d.l.Step(d.now, limiter.TimersDue{})
			}
		},
		"the process ends": func(d *driver) {
			d.l.Step(d.now, limiter.ShutdownRequested{})
			d.now += 4e8
			d.l.Step(d.now, limiter.TimersDue{})
			d.now += 11e7
			d.l.Step(d.now, limiter.TimersDue{})
		},
		"room for others": func(d *driver) {
			d.now += 7e7
			for id := range limiter.ConnID(8) { // makes the limiter full: a quarter of its descriptors is eight
				d.l.Step(d.now, limiter.ClientAccepted{Conn: 1000 + id})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, 32, nil)
			client := d.dialClient()
			send(t, client, ping)
			d.stepUntil(
				"its first command is answered",
				func() bool { return d.s.connections[1] != nil && d.s.Written(1) > 0 || anyResponseWritten(d, 2) },
			)
			expectRead(t, client, "-LOADING not ready yet\r\n")
			send(t, client, ping)
			require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond, "the poller has read it")
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

// anyResponseWritten tells whether any client's connection was written to.
func anyResponseWritten(d *driver, minID limiter.ConnID) bool {
	for id := range d.s.connections {
		if id >= minID && d.s.Written(id) > 0 {
			return true
		}
	}
	return false
}

// TestCommandsOfClosedClient: of a client that has sent many commands and closed before the reducer came to them none is
// taken.
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
	hasQueuedClose := func() bool { // all of it and its end wait for the reducer
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
	d.stepUntil("the request of the client that stays is sent on", func() bool {
		select {
		case got = <-accepted:
			return true
		default:
			return false
		}
	})
	require.Contains(t, got, "st", "a request of the client that had gone was sent on")
	require.Empty(t, accepted)
}

// TestCommandReadAsLimiterFinishes: the limiter has nothing left to do, and in that moment a client comes in and its command is
// read. The clock that Run asks is the test's: it brings the client before it tells the time at which all is over.
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
		if lateClient == nil && now >= stopped+7e8 { // it finishes then
			lateClient = d.dialClient()
			send(t, lateClient, ping)
			require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond)
		}
		return now
	}
	close(stop)
	d.s.Run(clock, d.l, stop, nil)
	require.NotNil(t, lateClient, "it finished before the client came")
	_ = lateClient.SetReadDeadline(time.Now().Add(testTimeout))
	line := make([]byte, 64)
	n, err := lateClient.Read(line)
	require.NoError(t, err, "the command was dropped")
	require.NotZero(t, n)
}
