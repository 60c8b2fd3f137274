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

// entryJSON is a server of a list: its name, its address, and in service, terminating or started so many milliseconds
// after 1970.
func entryJSON(id string, p *Peer, lifecycle string, startedMillis int64) string {
	return fmt.Sprintf(
		`{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"startedAtMs":%d}`,
		id,
		p.Address,
		lifecycle,
		startedMillis,
	)
}

func listJSON(generation int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, full, strings.Join(entries, ","))
}

// okResponse is an answer with its length.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// readPoll reads one readPoll for a list and gives what it asks for: "whole", or the generation behind which it watches.
func (c *Conn) readPoll(t testing.TB) string {
	t.Helper()
	first := c.Line(t)
	for line := "-"; line != ""; line = c.Line(t) {
	}
	if strings.HasPrefix(first, "GET /discovery/hosts HTTP/1.1") {
		return "whole"
	}
	generation, _, found := strings.Cut(strings.TrimPrefix(first, "GET /discovery/hosts?from="), "&hold_ms=")
	require.True(t, found, first)
	return generation
}

// watchFixture is a limiter that knows s0, with its first watch at the list service. s1 is another server, for its lists to
// tell of.
type watchFixture struct {
	*Rig
	s0, s1, discovery *Peer
	pollConn          *Conn
	dialTimeout       time.Duration // the dial time-out, where it is not patient
}

func newWatchFixture(t *testing.T) *watchFixture {
	t.Helper()
	f := &watchFixture{s0: Listen(t), s1: Listen(t), discovery: Listen(t)}
	f.start(t)
	return f
}

func (f *watchFixture) start(t *testing.T) {
	t.Helper()
	config := Config(f.s0)
	config.Discovery = f.discovery.Address
	config.Settings.DialTimeout = int64(cmp.Or(f.dialTimeout, shortDialTimeout))
	f.Rig = Start(t, config)
	f.pollConn = f.discovery.Accept(t)
	require.Equal(t, "1", f.pollConn.readPoll(t))
}

// shortDialTimeout is a dial time-out; a process that has not run for two of them doubts its list.
const shortDialTimeout = 300 * time.Millisecond

// pollDeadline is well before a watch that says nothing is given up, which is after six of them.
const pollDeadline = 5 * shortDialTimeout

// drainList is a list of which s0 drainList and s1 is in service.
func (f *watchFixture) drainList(generation int) string {
	return listJSON(generation, true, entryJSON("s0", f.s0, "terminating", 0), entryJSON("s1", f.s1, "in_service", 0))
}

// requireServed has a request served by a server on a connection that it gives, and by no other.
func (f *watchFixture) requireServed(t *testing.T, server *Peer) *Conn {
	t.Helper()
	client := f.Dial(t)
	client.Say(t, Request("id", "write", 2000))
	c := server.Accept(t)
	require.Equal(t, "id", c.Command(t)[2])
	c.Serve(t, "value")
	require.Equal(t, "$value", client.Answer(t))
	return c
}

func (f *watchFixture) moveDiscovery(to *Peer) {
	f.Reload(func(c *settings.Config) { c.Discovery = to.Address })
}

// TestWatchEnds ends a watch in each way, and has the first answer behind that tell of a drain. The old watch speaks
// last then: it says that the server is in service, and the one that is, gone. Nothing new goes to the one that
// drains.
func TestWatchEnds(t *testing.T) {
	partialList := func(f *watchFixture) string { return okResponse(f.drainList(2))[:90] }
	for _, c := range []struct {
		name     string
		endWatch func(t *testing.T, f *watchFixture) (next *Peer)
		wantPoll string // the next call
	}{
		{"silent", func(_ *testing.T, f *watchFixture) *Peer { return f.discovery }, "1"},
		{"reset", func(_ *testing.T, f *watchFixture) *Peer { f.pollConn.Reset(); return f.discovery }, "1"},
		{"ended in order", func(_ *testing.T, f *watchFixture) *Peer { _ = f.pollConn.TCP.CloseWrite(); return f.discovery }, "1"},
		{"half a list and silence", func(t *testing.T, f *watchFixture) *Peer { f.pollConn.Say(t, partialList(f)); return f.discovery }, "1"},
		{"half a list and a reset", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Say(t, partialList(f))
			f.pollConn.Reset()
			return f.discovery
		}, "1"},
		{"half a list and its end", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Say(t, partialList(f))
			_ = f.pollConn.TCP.CloseWrite()
			return f.discovery
		}, "1"},
		{"away and back", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Reset()
			for range 3 {
				f.discovery.Accept(t).Reset()
			}
			return f.discovery
		}, "1"},
		{"moved", func(t *testing.T, f *watchFixture) *Peer { to := Listen(t); f.moveDiscovery(to); return to }, "whole"},
		{"moved in the middle of an answer", func(t *testing.T, f *watchFixture) *Peer {
			f.pollConn.Say(t, partialList(f))
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
		{"moved to where nobody listens, and on", func(t *testing.T, f *watchFixture) *Peer {
			closed, to := Listen(t), Listen(t)
			closed.Close()
			f.moveDiscovery(closed)
			f.requireServed(t, f.s0) // by the list that it holds
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
				"asked again after %v",
				time.Since(start),
			)
			var indented bytes.Buffer
			require.NoError(t, json.Indent(&indented, []byte(f.drainList(3)), "", "\t"))
			next.Say(t, okResponse(indented.String()))
			require.Equal(t, "3", next.readPoll(t))
			rest, _ := strings.CutPrefix(okResponse(listJSON(9, true, entryJSON("s0", f.s0, "in_service", 0))), partialList(f))
			_, _ = io.WriteString(f.pollConn.TCP, rest) // it may be closed
			time.Sleep(5 * time.Millisecond)
			f.requireServed(t, f.s1)
			f.s0.None(t, time.Millisecond)
		})
	}
}

// TestListWithoutLength: the end of the connection ends an answer without a length, and a reset, silence or our own
// close do not.
func TestListWithoutLength(t *testing.T) {
	halfCloses := func(c *Conn) { _ = c.TCP.CloseWrite() }
	for _, c := range []struct {
		name, head   string
		missingBytes int // so much of the list does not come
		end          func(c *Conn)
		wantPoll     string
	}{
		{"ended in order", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0, halfCloses, "2"},
		{"no word of the end ahead", "HTTP/1.1 200 OK\r\n\r\n", 0, halfCloses, "2"},
		{"older", "HTTP/1.0 200 OK\r\n\r\n", 0, halfCloses, "2"},
		// no list: what is held may be of another count
		{"cut, and ended in order", "HTTP/1.1 200 OK\r\n\r\n", 1, halfCloses, "whole"},
		{"reset right behind it", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0, (*Conn).Reset, "1"},
		{"reset later", "HTTP/1.0 200 OK\r\n\r\n", 0, func(c *Conn) { time.Sleep(20 * time.Millisecond); c.Reset() }, "1"},
		{"never ended", "HTTP/1.1 200 OK\r\n\r\n", 0, func(*Conn) {}, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newWatchFixture(t)
			text := c.head + f.drainList(2)
			f.pollConn.Say(t, text[:len(text)-c.missingBytes])
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

// TestDrainInOutage: discovery comes back and says that s0 drains, while a request waits for a connection to it. The
// request is taken back and goes elsewhere at once; s0 gets nothing, not even the connection.
func TestDrainInOutage(t *testing.T) {
	for _, class := range []string{"read", "write", "keyed"} {
		t.Run(class, func(t *testing.T) {
			f := &watchFixture{s0: Full(t), s1: Listen(t), discovery: Listen(t), dialTimeout: Patience}
			f.start(t)
			f.pollConn.Reset()
			pollConn := f.discovery.Accept(t)
			require.Equal(t, "1", pollConn.readPoll(t))
			client := f.Dial(t)
			client.Say(t, "*1\r\n$4\r\nPING\r\n"+Request("id", class, 2000))
			client.Line(t) // the request was read together with it
			pollConn.Say(t, okResponse(f.drainList(3)))
			c := f.s1.Accept(t)
			require.Equal(t, "id", c.Command(t)[2])
			c.Serve(t, "value")
			require.Equal(t, "$value", client.Answer(t))
			filler := f.s0.Accept(t)
			filler.Quiet(t, time.Millisecond)
			f.s0.None(t, 10*time.Millisecond)
		})
	}
}

// TestListGenerationDecreases: a list that counts lower than what is held is of a discovery that has begun anew: what it says
// counts, and where it is changes the whole of it is asked for.
func TestListGenerationDecreases(t *testing.T) {
	for _, whole := range []bool{true, false} {
		f := newWatchFixture(t)
		f.pollConn.Say(t, okResponse(listJSON(0, whole, entryJSON("s0", f.s0, "terminating", 0), entryJSON("s1", f.s1, "in_service", 0))))
		require.Equal(t, map[bool]string{true: "0", false: "whole"}[whole], f.pollConn.readPoll(t))
		f.requireServed(t, f.s1)
		f.s0.None(t, time.Millisecond)
	}
}

// TestServerReplaced: a list names a server at another address, or started anew at the same one. What rests to the old
// process takes no new request: it may be gone without a word.
func TestServerReplaced(t *testing.T) {
	for _, addressChanges := range []bool{true, false} {
		t.Run(fmt.Sprintf("moves=%v", addressChanges), func(t *testing.T) {
			f := newWatchFixture(t)
			old := f.requireServed(t, f.s0)
			time.Sleep(50 * time.Millisecond) // the connection rests
			to, startedMillis := f.s0, time.Now().UnixMilli()
			if addressChanges {
				to, startedMillis = f.s1, 0
			}
			f.pollConn.Say(t, okResponse(listJSON(2, true, entryJSON("s0", to, "in_service", startedMillis))))
			require.Equal(t, "2", f.pollConn.readPoll(t))
			f.requireServed(t, to)
			rest, err := old.Rest(t)
			require.True(t, rest == "" && err == nil, "%q, %v", rest, err)
		})
	}
}
