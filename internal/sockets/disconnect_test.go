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

// disconnectKind is how a client goes.
type disconnectKind struct {
	name       string
	disconnect func(c *net.TCPConn)
}

// disconnectKinds: one that only ends its sending counts as gone.
var disconnectKinds = []disconnectKind{
	{"close", func(c *net.TCPConn) { _ = c.Close() }},
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"half-close", func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// disconnectDriver is a limiter with a client that is about to go, and another whose bytes can hold up the poller.
type disconnectDriver struct {
	*driver
	client, blockingClient  *net.TCPConn
	clientConn, blockedConn *connection // their ends here
	unblockPoller           func()      // lets the poller go on
}

// stepUntilAccepted waits until a client is let in and gives its link.
func (d *driver) stepUntilAccepted(client net.Conn) (conn *connection) {
	d.t.Helper()
	d.stepUntil("it is let in", func() bool {
		conn = d.s.connections[d.findConnID(client)]
		return conn != nil
	})
	return conn
}

func newDisconnectDriver(t *testing.T, d *driver) *disconnectDriver {
	t.Helper()
	result := &disconnectDriver{driver: d, client: d.dialClient().(*net.TCPConn), blockingClient: d.dialClient().(*net.TCPConn)}
	result.clientConn, result.blockedConn = d.stepUntilAccepted(result.client), d.stepUntilAccepted(result.blockingClient)
	return result
}

// blockPoller holds up the poller: what comes from now on stays in the kernel.
func (d *disconnectDriver) blockPoller() {
	d.t.Helper()
	d.blockedConn.readMutex.Lock()
	d.unblockPoller = sync.OnceFunc(d.blockedConn.readMutex.Unlock)
	d.t.Cleanup(d.unblockPoller)
	send(d.t, d.blockingClient, "*")
	require.Eventually(d.t, func() bool { return !readWouldBlock(d.blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
	time.Sleep(5 * time.Millisecond) // the poller is at it
}

// disconnectUnnoticed has the client go while the poller stands: the kernel knows, and nobody has told the reducer.
func (d *disconnectDriver) disconnectUnnoticed(disconnect func(c *net.TCPConn)) {
	d.t.Helper()
	d.blockPoller()
	disconnect(d.client)
	require.Eventually(d.t, func() bool { return peerClosed(d.clientConn.nbConn.Load()) }, testTimeout, time.Millisecond)
}

// serveOne has a request of another client serveOne by whichever connection brings it, and lets that one rest.
func (d *disconnectDriver) serveOne(id string, accepted <-chan *net.TCPConn) (serverSide *net.TCPConn) {
	d.t.Helper()
	client := d.dialClient()
	send(d.t, client, request(id))
	serverSide = d.stepUntilRequest(accepted)
	expectRead(d.t, serverSide, request(id))
	send(d.t, serverSide, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	clientConn := d.stepUntilAccepted(client)
	d.stepUntil("it is answered", func() bool { return clientConn.bytesWritten.Load() > 0 })
	d.step(4e7) // it has rested
	return serverSide
}

// requireNoAttempt fails the test if anything comes on a connection to a server, or another is opened, while the reducer goes on
// for a while.
func (d *disconnectDriver) requireNoAttempt(serverSide *net.TCPConn, accepted <-chan *net.TCPConn) {
	d.t.Helper()
	defer func() { require.Empty(d.t, accepted, "another connection was opened") }()
	for range 20 {
		d.step(0)
		_ = serverSide.SetReadDeadline(time.Now().Add(time.Millisecond))
		text := make([]byte, 1<<10)
		n, err := serverSide.Read(text)
		require.True(d.t, errors.Is(err, os.ErrDeadlineExceeded), "%q, %v", text[:n], err)
	}
}

// firstForwarded is the first that comes on a connection to a server, or on another that is opened.
func (d *disconnectDriver) firstForwarded(serverSide *net.TCPConn, accepted <-chan *net.TCPConn) (text string) {
	d.t.Helper()
	conns := []*net.TCPConn{serverSide}
	d.stepUntil("a request is sent on", func() bool {
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

// listenLoopback is a listener on loopback whose port stays kept until the test's end, so that nobody else answers there.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	port, err := ports.Keep()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	ln, err := port.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestDisconnectBeforePollerReads: a client's end is in the kernel, and the poller has yet to come to it. Whatever the reducer is
// told meanwhile, no attempt for that client is written, first or further, though its connection is open, or comes up,
// just then. Another client's is.
func TestDisconnectBeforePollerReads(t *testing.T) {
	for name, setup := range map[string]func(t *testing.T, disconnect func(c *net.TCPConn)) (d *disconnectDriver, serverSide *net.TCPConn, accepted <-chan *net.TCPConn){
		"its request was read and not told, and a connection rests": func(t *testing.T, disconnect func(c *net.TCPConn)) (*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			serverSide := d.serveOne("r0", accepted)
			send(t, d.client, request("r1")+request("r2"))
			require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"its request waits for a connection, which comes up": func(t *testing.T, disconnect func(c *net.TCPConn)) (*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			send(t, d.client, request("r1"))
			require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
			d.step(0) // dials
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"as many commands wait behind it as may, and it is refused": func(t *testing.T, disconnect func(c *net.TCPConn)) (*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			text := request("r1") + strings.Repeat(ping, maxPendingCommands+6)
			send(t, d.client, text)
			require.Eventually(t, func() bool { return d.queuedBytes(d.clientConn.id) == len(text) }, testTimeout, time.Millisecond)
			d.step(0)
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"its commands fill what the poller reads of one client, and more lie in the kernel": func(t *testing.T, disconnect func(c *net.TCPConn)) (*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			serverSide := d.serveOne("r0", accepted)
			var text strings.Builder
			for i := 0; text.Len() < maxQueuedBytesPerClient+readSize; i++ {
				text.WriteString(request(fmt.Sprintf("r%05d", i)))
			}
			send(t, d.client, text.String())
			require.Eventually(t, func() bool { return d.clientConn.backpressured.Load() }, testTimeout, time.Millisecond)
			require.Less(t, d.queuedBytes(d.clientConn.id), text.Len())
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"its attempt has failed, and it is sent again": func(t *testing.T, disconnect func(c *net.TCPConn)) (*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn) {
			servers := []net.Listener{listenLoopback(t), listenLoopback(t), listenLoopback(t)}
			accepted := make(chan *net.TCPConn, 8)
			for _, server := range servers {
				conns := acceptConns(t, server)
				go func() {
					for c := range conns {
						accepted <- c
					}
				}()
			}
			config := testConfig(64, servers...)
			config.Settings.MaxAttempts = 3
			d := newDisconnectDriver(t, newDriverWithConfig(t, config))
			send(t, d.client, request("r1"))
			first := d.stepUntilRequest(accepted)
			expectRead(t, first, request("r1"))
			_ = first.SetLinger(0)
			serverConn := d.s.connections[d.findConnID(first)]
			_ = first.Close()
			require.Eventually(t, func() bool { return d.hasQueuedClose(serverConn.id) }, testTimeout, time.Millisecond)
			d.disconnectUnnoticed(disconnect)
			d.step(0) // it is decided on, and dials
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			return d, serverSide, accepted
		},
	} {
		for _, kind := range disconnectKinds {
			t.Run(name+", "+kind.name, func(t *testing.T) {
				d, serverSide, accepted := setup(t, kind.disconnect)
				d.requireNoAttempt(serverSide, accepted)
				require.Nil(t, d.s.connections[d.clientConn.id], "its connection is held")
				stayingClient := d.dialClient()
				send(t, stayingClient, request("st"))
				d.unblockPoller()
				d.step(4e7)
				require.Equal(t, request("st"), d.firstForwarded(serverSide, accepted))
			})
		}
	}
}

// maxPendingCommands is how many commands may wait on one client's connection, by package limiter.
const maxPendingCommands = 1024

// acceptServerConn waits for a connection to a server.
func (d *driver) acceptServerConn(accepted <-chan *net.TCPConn) *net.TCPConn {
	d.t.Helper()
	select {
	case c := <-accepted:
		return c
	case <-time.After(testTimeout):
		d.t.Fatal("no connection is opened")
		return nil
	}
}

// waitConnectedQueued waits until the word that a connection has come up waits for the reducer.
func (d *driver) waitConnectedQueued() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		return d.hasQueuedEvent(func(e queuedEvent) bool { return e.kind == connected })
	}, testTimeout, time.Millisecond)
}

// hasQueuedClose tells whether the word that a connection has ended waits for the reducer.
func (d *driver) hasQueuedClose(id limiter.ConnID) bool {
	return d.hasQueuedEvent(func(e queuedEvent) bool { return e.kind == connClosed && e.connID == id })
}

// hasQueuedEvent tells whether an event waits for the reducer.
func (d *driver) hasQueuedEvent(matches func(e queuedEvent) bool) bool {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	for _, e := range d.s.queued.events {
		if matches(e) {
			return true
		}
	}
	return false
}

// TestDisconnectBehindFullQueue: the word of a client's end waits for the reducer behind ten thousand events and nearly all
// the bytes that may wait. What the reducer is told before it, that the client's request has come or that its
// connection is up, sends nothing.
func TestDisconnectBehindFullQueue(t *testing.T) {
	for _, kind := range disconnectKinds {
		t.Run("its request comes first, "+kind.name, func(t *testing.T) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 256, server))
			serverSide := d.serveOne("r0", accepted)
			others := d.connect64Clients()
			send(t, d.client, request("r1"))
			require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
			d.disconnectBehindFullQueue(others, kind.disconnect)
			d.requireNoAttempt(serverSide, accepted)
		})
		t.Run("its connection comes up first, "+kind.name, func(t *testing.T) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 256, server))
			others := d.connect64Clients()
			send(t, d.client, request("r1"))
			require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
			d.step(0) // dials
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			d.disconnectBehindFullQueue(others, kind.disconnect)
			d.requireNoAttempt(serverSide, accepted)
		})
	}
}

// connect64Clients are clients that are let in.
func (d *disconnectDriver) connect64Clients() (others [64]net.Conn) {
	d.t.Helper()
	for i := range others {
		others[i] = d.dialClient()
		d.stepUntilAccepted(others[i])
	}
	return others
}

// disconnectBehindFullQueue has the others send in small pieces what may wait for the reducer, and then the client go.
func (d *disconnectDriver) disconnectBehindFullQueue(others [64]net.Conn, disconnect func(c *net.TCPConn)) {
	d.t.Helper()
	const rounds, size = 160, 405
	require.Less(d.t, rounds*size, maxQueuedBytesPerClient)
	require.Less(d.t, len(others)*rounds*size, maxQueuedBytes)
	text := "*2\r\n$1\r\nX\r\n$" + fmt.Sprint(size-20) + "\r\n"
	text += strings.Repeat("x", size-len(text)-2) + "\r\n"
	before := d.queuedBytes(0)
	for round := range rounds {
		for _, c := range others {
			send(d.t, c, text)
		}
		want := before + (round+1)*len(others)*len(text)
		require.Eventually(d.t, func() bool { return d.queuedBytes(0) == want }, testTimeout, 100*time.Microsecond)
	}
	disconnect(d.client)
	require.Eventually(d.t, func() bool { return d.hasQueuedClose(d.clientConn.id) }, testTimeout, time.Millisecond)
	d.s.mutex.Lock()
	events, bytes := len(d.s.queued.events), len(d.s.queued.bytes)
	d.s.mutex.Unlock()
	require.Greater(d.t, events, 10000)
	require.Greater(d.t, bytes, maxQueuedBytes*9/10)
	for _, c := range others {
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

// TestManyClientsDisconnect: five hundred clients go in one instant, by an end and by a reset, and the poller has yet to come to
// it. The reducer is told of all their requests, and sends none.
func TestManyClientsDisconnect(t *testing.T) {
	server := listenLoopback(t)
	accepted := acceptConns(t, server)
	d := newDisconnectDriver(t, newDriver(t, 2048, server))
	serverSide := d.serveOne("r0", accepted)
	var clients [500]*net.TCPConn
	var conns [500]*connection
	for i := range clients {
		clients[i] = d.dialClient().(*net.TCPConn)
		conns[i] = d.stepUntilAccepted(clients[i])
	}
	for i, c := range clients {
		send(t, c, request(fmt.Sprint("many", i)))
	}
	for _, conn := range conns {
		require.Eventually(t, conn.hasUndelivered, testTimeout, time.Millisecond)
	}
	d.disconnectUnnoticed(disconnectKinds[0].disconnect)
	for i, c := range clients {
		disconnectKinds[i%2].disconnect(c)
	}
	for _, conn := range conns {
		require.Eventually(t, func() bool { return peerClosed(conn.nbConn.Load()) }, testTimeout, time.Millisecond)
	}
	d.requireNoAttempt(serverSide, accepted)
	d.unblockPoller()
	d.stepUntil("the places of all are free", func() bool { return len(d.s.listener.slots) <= 3 })
}
