package sockets

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/limiter"
)

// departure is how a client goes.
type departure struct {
	name string
	goes func(c *net.TCPConn)
}

// departures: one that only ends its sending counts as gone.
var departures = []departure{
	{"close", func(c *net.TCPConn) { _ = c.Close() }},
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"half-close", func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// departing is a limiter with a client that is about to go, and another whose bytes can hold up the poller.
type departing struct {
	*drive
	client, holder *net.TCPConn
	near, held     *connection // their ends here
	goOn           func()      // lets the poller go on
}

// letIn waits until a client is let in and gives its link.
func (d *drive) letIn(c net.Conn) (l *connection) {
	d.t.Helper()
	d.until("it is let in", func() bool {
		l = d.s.connections[d.find(c)]
		return l != nil
	})
	return l
}

func departs(t *testing.T, d *drive) *departing {
	t.Helper()
	p := &departing{drive: d, client: d.dial().(*net.TCPConn), holder: d.dial().(*net.TCPConn)}
	p.near, p.held = d.letIn(p.client), d.letIn(p.holder)
	return p
}

// stand holds up the poller: what comes from now on stays in the kernel.
func (d *departing) stand() {
	d.t.Helper()
	d.held.readMutex.Lock()
	d.goOn = sync.OnceFunc(d.held.readMutex.Unlock)
	d.t.Cleanup(d.goOn)
	ask(d.t, d.holder, "*")
	require.Eventually(d.t, func() bool { return !isQuiet(d.held.conn.Load()) }, patience, time.Millisecond)
	time.Sleep(5 * time.Millisecond) // the poller is at it
}

// unseen has the client go while the poller stands: the kernel knows, and nobody has told the reducer.
func (d *departing) unseen(goes func(c *net.TCPConn)) {
	d.t.Helper()
	d.stand()
	goes(d.client)
	require.Eventually(d.t, func() bool { return peerEnded(d.near.conn.Load()) }, patience, time.Millisecond)
}

// served has a request of another client served by whichever connection brings it, and lets that one rest.
func (d *departing) served(id string, accepted <-chan *net.TCPConn) (far *net.TCPConn) {
	d.t.Helper()
	client := d.dial()
	ask(d.t, client, request(id))
	far = d.arrive(accepted)
	answer(d.t, far, request(id))
	ask(d.t, far, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	near := d.letIn(client)
	d.until("it is answered", func() bool { return near.written.Load() > 0 })
	d.turn(4e7) // it has rested
	return far
}

// silent fails the test if anything comes on a connection to a server, or another is opened, while the reducer goes on
// for a while.
func (d *departing) silent(far *net.TCPConn, accepted <-chan *net.TCPConn) {
	d.t.Helper()
	defer func() { require.Empty(d.t, accepted, "another connection was opened") }()
	for range 20 {
		d.turn(0)
		_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
		text := make([]byte, 1<<10)
		n, err := far.Read(text)
		require.True(d.t, errors.Is(err, os.ErrDeadlineExceeded), "%q, %v", text[:n], err)
	}
}

// sentOn is the first that comes on a connection to a server, or on another that is opened.
func (d *departing) sentOn(far *net.TCPConn, accepted <-chan *net.TCPConn) (text string) {
	d.t.Helper()
	conns := []*net.TCPConn{far}
	d.until("a request is sent on", func() bool {
		select {
		case c := <-accepted:
			conns = append(conns, c)
		default:
		}
		for _, c := range conns {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			got := make([]byte, 1<<10)
			n, _ := c.Read(got)
			text += string(got[:n])
		}
		return text != ""
	})
	return text
}

// local is a listener on loopback whose port stays kept until the test's end, so that nobody else answers there.
func local(t *testing.T) net.Listener {
	t.Helper()
	port, err := ports.Keep()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	ln, err := port.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestDepartedUnread: a client's end is in the kernel, and the poller has yet to come to it. Whatever the reducer is
// told meanwhile, no attempt for that client is written, first or further, though its connection is open, or comes up,
// just then. Another client's is.
func TestDepartedUnread(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, goes func(c *net.TCPConn)) (d *departing, far *net.TCPConn, accepted <-chan *net.TCPConn){
		"its request was read and not told, and a connection rests": func(t *testing.T, goes func(c *net.TCPConn)) (*departing, *net.TCPConn, <-chan *net.TCPConn) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 64, server))
			far := d.served("r0", accepted)
			ask(t, d.client, request("r1")+request("r2"))
			require.Eventually(t, d.near.has, patience, time.Millisecond)
			d.unseen(goes)
			return d, far, accepted
		},
		"its request waits for a connection, which comes up": func(t *testing.T, goes func(c *net.TCPConn)) (*departing, *net.TCPConn, <-chan *net.TCPConn) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 64, server))
			ask(t, d.client, request("r1"))
			require.Eventually(t, d.near.has, patience, time.Millisecond)
			d.turn(0) // dials
			far := d.comes(accepted)
			d.connected()
			d.unseen(goes)
			return d, far, accepted
		},
		"as many commands wait behind it as may, and it is refused": func(t *testing.T, goes func(c *net.TCPConn)) (*departing, *net.TCPConn, <-chan *net.TCPConn) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 64, server))
			text := request("r1") + strings.Repeat(ping, mostCommands+6)
			ask(t, d.client, text)
			require.Eventually(t, func() bool { return d.size(d.near.id) == len(text) }, patience, time.Millisecond)
			d.turn(0)
			far := d.comes(accepted)
			d.connected()
			d.unseen(goes)
			return d, far, accepted
		},
		"its commands fill what the poller reads of one client, and more lie in the kernel": func(t *testing.T, goes func(c *net.TCPConn)) (*departing, *net.TCPConn, <-chan *net.TCPConn) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 64, server))
			far := d.served("r0", accepted)
			var text strings.Builder
			for i := 0; text.Len() < maxClientBytes+readSize; i++ {
				text.WriteString(request(fmt.Sprintf("r%05d", i)))
			}
			ask(t, d.client, text.String())
			require.Eventually(t, func() bool { return d.near.backpressured.Load() }, patience, time.Millisecond)
			require.Less(t, d.size(d.near.id), text.Len())
			d.unseen(goes)
			return d, far, accepted
		},
		"its attempt has failed, and it is sent again": func(t *testing.T, goes func(c *net.TCPConn)) (*departing, *net.TCPConn, <-chan *net.TCPConn) {
			servers := []net.Listener{local(t), local(t), local(t)}
			accepted := make(chan *net.TCPConn, 8)
			for _, server := range servers {
				from := accepts(t, server)
				go func() {
					for c := range from {
						accepted <- c
					}
				}()
			}
			config := configured(64, servers...)
			config.Settings.MaxAttempts = 3
			d := departs(t, drivenBy(t, config))
			ask(t, d.client, request("r1"))
			first := d.arrive(accepted)
			answer(t, first, request("r1"))
			_ = first.SetLinger(0)
			back := d.s.connections[d.find(first)]
			_ = first.Close()
			require.Eventually(t, func() bool { return d.ends(back.id) }, patience, time.Millisecond)
			d.unseen(goes)
			d.turn(0) // it is decided on, and dials
			far := d.comes(accepted)
			d.connected()
			return d, far, accepted
		},
	} {
		for _, departure := range departures {
			t.Run(name+", "+departure.name, func(t *testing.T) {
				d, far, accepted := play(t, departure.goes)
				d.silent(far, accepted)
				require.Nil(t, d.s.connections[d.near.id], "its connection is held")
				stays := d.dial()
				ask(t, stays, request("st"))
				d.goOn()
				d.turn(4e7)
				require.Equal(t, request("st"), d.sentOn(far, accepted))
			})
		}
	}
}

// mostCommands is how many commands may wait on one client's connection, by package limiter.
const mostCommands = 1024

// comes waits for a connection to a server.
func (d *drive) comes(accepted <-chan *net.TCPConn) *net.TCPConn {
	d.t.Helper()
	select {
	case c := <-accepted:
		return c
	case <-time.After(patience):
		d.t.Fatal("no connection is opened")
		return nil
	}
}

// connected waits until the word that a connection has come up waits for the reducer.
func (d *drive) connected() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		return d.waiting(func(e queuedEvent) bool { return e.kind == connected })
	}, patience, time.Millisecond)
}

// ends tells whether the word that a connection has ended waits for the reducer.
func (d *drive) ends(id limiter.ConnID) bool {
	return d.waiting(func(e queuedEvent) bool { return e.kind == connClosed && e.conn == id })
}

// waiting tells whether an event waits for the reducer.
func (d *drive) waiting(is func(e queuedEvent) bool) bool {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	for _, e := range d.s.queued.events {
		if is(e) {
			return true
		}
	}
	return false
}

// TestDepartedBehindQueue: the word of a client's end waits for the reducer behind ten thousand events and nearly all
// the bytes that may wait. What the reducer is told before it, that the client's request has come or that its
// connection is up, sends nothing.
func TestDepartedBehindQueue(t *testing.T) {
	for _, departure := range departures {
		t.Run("its request comes first, "+departure.name, func(t *testing.T) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 256, server))
			far := d.served("r0", accepted)
			others := d.letIn64()
			ask(t, d.client, request("r1"))
			require.Eventually(t, d.near.has, patience, time.Millisecond)
			d.goesBehind(others, departure.goes)
			d.silent(far, accepted)
		})
		t.Run("its connection comes up first, "+departure.name, func(t *testing.T) {
			server := local(t)
			accepted := accepts(t, server)
			d := departs(t, driven(t, 256, server))
			others := d.letIn64()
			ask(t, d.client, request("r1"))
			require.Eventually(t, d.near.has, patience, time.Millisecond)
			d.turn(0) // dials
			far := d.comes(accepted)
			d.connected()
			d.goesBehind(others, departure.goes)
			d.silent(far, accepted)
		})
	}
}

// letIn64 are clients that are let in.
func (d *departing) letIn64() (others [64]net.Conn) {
	d.t.Helper()
	for i := range others {
		others[i] = d.dial()
		d.letIn(others[i])
	}
	return others
}

// goesBehind has the others send in small pieces what may wait for the reducer, and then the client go.
func (d *departing) goesBehind(others [64]net.Conn, goes func(c *net.TCPConn)) {
	d.t.Helper()
	const rounds, size = 160, 405
	require.Less(d.t, rounds*size, maxClientBytes)
	require.Less(d.t, len(others)*rounds*size, maxQueuedBytes)
	text := "*2\r\n$1\r\nX\r\n$" + fmt.Sprint(size-20) + "\r\n"
	text += strings.Repeat("x", size-len(text)-2) + "\r\n"
	before := d.size(0)
	for round := range rounds {
		for _, c := range others {
			ask(d.t, c, text)
		}
		want := before + (round+1)*len(others)*len(text)
		require.Eventually(d.t, func() bool { return d.size(0) == want }, patience, 100*time.Microsecond)
	}
	goes(d.client)
	require.Eventually(d.t, func() bool { return d.ends(d.near.id) }, patience, time.Millisecond)
	d.s.mutex.Lock()
	events, bytes := len(d.s.queued.events), len(d.s.queued.bytes)
	d.s.mutex.Unlock()
	require.Greater(d.t, events, 10000)
	require.Greater(d.t, bytes, maxQueuedBytes*9/10)
	for _, c := range others {
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

// TestManyDepart: five hundred clients go in one instant, by an end and by a reset, and the poller has yet to come to
// it. The reducer is told of all their requests, and sends none.
func TestManyDepart(t *testing.T) {
	server := local(t)
	accepted := accepts(t, server)
	d := departs(t, driven(t, 2048, server))
	far := d.served("r0", accepted)
	var clients [500]*net.TCPConn
	var nears [500]*connection
	for i := range clients {
		clients[i] = d.dial().(*net.TCPConn)
		nears[i] = d.letIn(clients[i])
	}
	for i, c := range clients {
		ask(t, c, request(fmt.Sprint("many", i)))
	}
	for _, l := range nears {
		require.Eventually(t, l.has, patience, time.Millisecond)
	}
	d.unseen(departures[0].goes)
	for i, c := range clients {
		departures[i%2].goes(c)
	}
	for _, l := range nears {
		require.Eventually(t, func() bool { return peerEnded(l.conn.Load()) }, patience, time.Millisecond)
	}
	d.silent(far, accepted)
	d.goOn()
	d.until("the places of all are free", func() bool { return len(d.s.accepting.places) <= 3 })
}
