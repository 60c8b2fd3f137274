package testbed

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/settings"
)

// entryJSON returns the list entry of a server in JSON. startedMillis is its start time in milliseconds since 1970.
func entryJSON(id string, p *Peer, lifecycle string, startedMillis int64) string {
	return fmt.Sprintf(
		`{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"startedAtMs":%d}`,
		id,
		p.Address,
		lifecycle,
		startedMillis,
	)
}

// listJSON returns an endpoint list. It replaces the previous one if full is set, and changes it otherwise.
func listJSON(generation int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, full, strings.Join(entries, ","))
}

// okResponse returns an HTTP response with a Content-Length.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readPoll reads one poll and returns "whole" if it asks for the full list, or the generation whose successor it waits
// for.
func (c *Conn) readPoll(t testing.TB) string {
	t.Helper()
	first := c.ReadLine(t)
	for line := "-"; line != ""; line = c.ReadLine(t) {
	}
	if strings.HasPrefix(first, "GET /discovery/hosts HTTP/1.1") {
		return "whole"
	}
	generation, _, found := strings.Cut(strings.TrimPrefix(first, "GET /discovery/hosts?from="), "&hold_ms=")
	require.True(t, found, first)
	return generation
}

// watchFixture is a limiter that initially knows s0, with its first poll pending at discovery. s1 is another server for
// the lists that the test sends.
type watchFixture struct {
	*Rig
	s0, s1, discovery *Peer
	pollConn          *Conn
	dialTimeout       time.Duration // the limiter's dial timeout; shortDialTimeout if 0
}

// newWatchFixture starts a watchFixture with the default dial timeout.
func newWatchFixture(t *testing.T) *watchFixture {
	t.Helper()
	f := &watchFixture{s0: Listen(t), s1: Listen(t), discovery: Listen(t)}
	f.start(t)
	return f
}

// start starts the limiter and waits for its first poll.
func (f *watchFixture) start(t *testing.T) {
	t.Helper()
	config := Config(f.s0)
	config.Discovery = f.discovery.Address
	config.Settings.DialTimeout = int64(cmp.Or(f.dialTimeout, shortDialTimeout))
	f.Rig = Start(t, config)
	f.pollConn = f.discovery.Accept(t)
	require.Equal(t, "1", f.pollConn.readPoll(t))
}

// shortDialTimeout is the default dial timeout. A limiter that has not run for two dial timeouts distrusts its list.
const shortDialTimeout = 300 * time.Millisecond

// pollDeadline is well before the limiter gives up a poll without a response, which is after six dial timeouts.
const pollDeadline = 5 * shortDialTimeout

// drainList returns a list in which s0 drains and s1 is in service.
func (f *watchFixture) drainList(generation int) string {
	return listJSON(generation, true, entryJSON("s0", f.s0, "terminating", 0), entryJSON("s1", f.s1, "in_service", 0))
}

// requireServed sends a request, which the given server must receive on a new connection, and returns that connection.
func (f *watchFixture) requireServed(t *testing.T, server *Peer) *Conn {
	t.Helper()
	client := f.Dial(t)
	client.Send(t, Request("id", "write", 2000))
	c := server.Accept(t)
	require.Equal(t, "id", c.ReadCommand(t)[2])
	c.SendServed(t, "value")
	require.Equal(t, "$value", client.ReadAnswer(t))
	return c
}

// moveDiscovery reloads a configuration in which discovery is at to.
func (f *watchFixture) moveDiscovery(to *Peer) {
	f.Reload(func(c *settings.Config) { c.Discovery = to.Address })
}

// TestWatchEnds ends a pending poll in each way and then answers the next poll with a list in which a server drains.
// After that the old connection delivers a list in which this server is in service and the other one is missing. That
// list must be ignored: the draining server gets no new request.
func TestWatchEnds(t *testing.T) {
	partialList := func(f *watchFixture) string { return okResponse(f.drainList(2))[:90] }
	for _, c := range []struct {
		name     string
		endWatch func(t *testing.T, f *watchFixture) (next *Peer)
		wantPoll string // what the next poll asks for
	}{
		{"silent", func(_ *testing.T, f *watchFixture) *Peer { return f.discovery }, "1"},
		{"reset", func(_ *testing.T, f *watchFixture) *Peer { f.pollConn.Reset(); return f.discovery }, "1"},
		{"closed gracefully", func(_ *testing.T, f *watchFixture) *Peer {
			_ = f.pollConn.TCP.CloseWrite()
			return f.discovery
		}, "1"},
		{"partial list, then silence", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Send(t, partialList(f))
			return f.discovery
		}, "1"},
		{"partial list, then reset", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Send(t, partialList(f))
			f.pollConn.Reset()
			return f.discovery
		}, "1"},
		{"partial list, then closed", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Send(t, partialList(f))
			_ = f.pollConn.TCP.CloseWrite()
			return f.discovery
		}, "1"},
		{"unavailable, then back", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Reset()
			for range 3 {
				f.discovery.Accept(t).Reset()
			}
			return f.discovery
		}, "1"},
		{"moved", func(t *testing.T, f *watchFixture) *Peer { to := Listen(t); f.moveDiscovery(to); return to }, "whole"},
		{"moved in the middle of a response", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Send(t, partialList(f))
			to := Listen(t)
			f.moveDiscovery(to)
			return to
		}, "whole"},
		{"moved twice", func(t *testing.T, f *watchFixture) *Peer {
			f.moveDiscovery(Listen(t))
			to := Listen(t)
			f.moveDiscovery(to)
			return to
		}, "whole"},
		{"moved to a closed port, then moved again", func(t *testing.T, f *watchFixture) *Peer {
			closed, to := Listen(t), Listen(t)
			closed.Close()
			f.moveDiscovery(closed)
			f.requireServed(t, f.s0) // from the list that the limiter already has
			f.moveDiscovery(to)
			return to
		}, "whole"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newWatchFixture(t)
			start := time.Now()
			next := c.endWatch(t, f).Accept(t)
			require.Equal(t, c.wantPoll, next.readPoll(t))
			require.True(
				t,
				c.name == "silent" || time.Since(start) < pollDeadline,
				"polled again after %v",
				time.Since(start),
			)
			var indented bytes.Buffer
			require.NoError(t, json.Indent(&indented, []byte(f.drainList(3)), "", "\t"))
			next.Send(t, okResponse(indented.String()))
			require.Equal(t, "3", next.readPoll(t))
			rest, _ := strings.CutPrefix(okResponse(listJSON(9, true, entryJSON("s0", f.s0, "in_service", 0))), partialList(f))
			_, _ = io.WriteString(f.pollConn.TCP, rest) // the limiter may have closed it
			time.Sleep(5 * time.Millisecond)
			f.requireServed(t, f.s1)
			f.s0.ExpectNoConnection(t, time.Millisecond)
		})
	}
}

// TestListWithoutLength checks that a response without Content-Length is complete when discovery closes the connection
// gracefully, but not after a reset or without a close.
func TestListWithoutLength(t *testing.T) {
	halfCloses := func(c *Conn) { _ = c.TCP.CloseWrite() }
	for _, c := range []struct {
		name, head   string
		missingBytes int // bytes at the end of the list that are not sent
		end          func(c *Conn)
		wantPoll     string
	}{
		{"closed gracefully", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0, halfCloses, "2"},
		{"closed without Connection: close", "HTTP/1.1 200 OK\r\n\r\n", 0, halfCloses, "2"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", 0, halfCloses, "2"},
		// an invalid list: the cached one may be of another generation, so the full list is polled
		{"truncated, then closed gracefully", "HTTP/1.1 200 OK\r\n\r\n", 1, halfCloses, "whole"},
		{"reset right after the list", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0, (*Conn).Reset, "1"},
		{"reset later", "HTTP/1.0 200 OK\r\n\r\n", 0, func(c *Conn) { time.Sleep(20 * time.Millisecond); c.Reset() }, "1"},
		{"never closed", "HTTP/1.1 200 OK\r\n\r\n", 0, func(*Conn) {}, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newWatchFixture(t)
			text := c.head + f.drainList(2)
			f.pollConn.Send(t, text[:len(text)-c.missingBytes])
			c.end(f.pollConn)
			start := time.Now()
			next := f.discovery.Accept(t)
			require.Equal(t, c.wantPoll, next.readPoll(t))
			require.Less(t, time.Since(start), pollDeadline)
			if c.wantPoll == "2" {
				f.requireServed(t, f.s1)
			} else {
				f.requireServed(t, f.s0)
			}
		})
	}
}

// TestDrainInOutage checks a request that waits for a connection to s0 when discovery recovers and reports that s0
// drains. The dial is cancelled and the request goes to s1 at once; s0 gets no data and no connection.
func TestDrainInOutage(t *testing.T) {
	for _, class := range []string{"read", "write", "keyed"} {
		t.Run(class, func(t *testing.T) {
			f := &watchFixture{s0: ListenFull(t), s1: Listen(t), discovery: Listen(t), dialTimeout: Timeout}
			f.start(t)
			f.pollConn.Reset()
			pollConn := f.discovery.Accept(t)
			require.Equal(t, "1", pollConn.readPoll(t))
			client := f.Dial(t)
			client.Send(t, "*1\r\n$4\r\nPING\r\n"+Request("id", class, 2000))
			client.ReadLine(t) // the limiter has read the request together with the PING
			pollConn.Send(t, okResponse(f.drainList(3)))
			c := f.s1.Accept(t)
			require.Equal(t, "id", c.ReadCommand(t)[2])
			c.SendServed(t, "value")
			require.Equal(t, "$value", client.ReadAnswer(t))
			filler := f.s0.Accept(t)
			filler.ExpectNothing(t, time.Millisecond)
			f.s0.ExpectNoConnection(t, 10*time.Millisecond)
		})
	}
}

// TestListGenerationDecreases checks that a list with a lower generation than the cached one is accepted, since
// discovery has restarted. Where it contains changes only, the full list is polled.
func TestListGenerationDecreases(t *testing.T) {
	for _, whole := range []bool{true, false} {
		f := newWatchFixture(t)
		f.pollConn.Send(
			t,
			okResponse(
				listJSON(0, whole, entryJSON("s0", f.s0, "terminating", 0), entryJSON("s1", f.s1, "in_service", 0)),
			),
		)
		require.Equal(t, map[bool]string{true: "0", false: "whole"}[whole], f.pollConn.readPoll(t))
		f.requireServed(t, f.s1)
		f.s0.ExpectNoConnection(t, time.Millisecond)
	}
}

// TestServerReplaced checks that an idle connection to a server is closed and takes no new request when a list has the
// server at another address, or with a later start time at the same one. The old process may have vanished without
// closing the connection.
func TestServerReplaced(t *testing.T) {
	for _, addressChanges := range []bool{true, false} {
		t.Run(fmt.Sprintf("moves=%v", addressChanges), func(t *testing.T) {
			f := newWatchFixture(t)
			old := f.requireServed(t, f.s0)
			time.Sleep(50 * time.Millisecond) // the server connection becomes idle
			to, startedMillis := f.s0, time.Now().UnixMilli()
			if addressChanges {
				to, startedMillis = f.s1, 0
			}
			f.pollConn.Send(t, okResponse(listJSON(2, true, entryJSON("s0", to, "in_service", startedMillis))))
			require.Equal(t, "2", f.pollConn.readPoll(t))
			f.requireServed(t, to)
			rest, err := old.ReadToEnd(t)
			require.True(t, rest == "" && err == nil, "%q, %v", rest, err)
		})
	}
}
