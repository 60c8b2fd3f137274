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

// disconnectKind is a way in which a client disconnects.
type disconnectKind struct {
	name       string
	disconnect func(c *net.TCPConn)
}

// disconnectKinds are all ways; a client that only closes its sending side also counts as disconnected.
var disconnectKinds = []disconnectKind{
	{"close", func(c *net.TCPConn) { _ = c.Close() }},
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"half-close", func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// disconnectDriver is a driver with a client that is about to disconnect, and another that serves to block the poller.
type disconnectDriver struct {
	*driver
	client, blockingClient  *net.TCPConn
	clientConn, blockedConn *connection // the limiter's ends of the two connections
	unblockPoller           func()      // set by blockPoller
}

// stepUntilAccepted steps until a client is accepted and returns the limiter's end of its connection.
func (d *driver) stepUntilAccepted(client net.Conn) (conn *connection) {
	d.t.Helper()
	d.stepUntil("the client is accepted", func() bool {
		conn = d.s.connections[d.findConnID(client)]
		return conn != nil
	})
	return conn
}

// newDisconnectDriver connects the two clients.
func newDisconnectDriver(t *testing.T, d *driver) *disconnectDriver {
	t.Helper()
	result := &disconnectDriver{
		driver: d, client: d.dialClient().(*net.TCPConn), blockingClient: d.dialClient().(*net.TCPConn)}
	result.clientConn, result.blockedConn =
		d.stepUntilAccepted(result.client), d.stepUntilAccepted(result.blockingClient)
	return result
}

// blockPoller blocks the poller in its read of blockedConn, so that all data that arrives afterwards stays in the
// kernel until unblockPoller is called.
func (d *disconnectDriver) blockPoller() {
	d.t.Helper()
	d.blockedConn.readMutex.Lock()
	d.unblockPoller = sync.OnceFunc(d.blockedConn.readMutex.Unlock)
	d.t.Cleanup(d.unblockPoller)
	send(d.t, d.blockingClient, "*")
	require.Eventually(
		d.t, func() bool { return !readWouldBlock(d.blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
	time.Sleep(5 * time.Millisecond) // let the poller block on readMutex
}

// disconnectUnnoticed disconnects the client while the poller is blocked: the kernel has seen the close, the reducer
// has not.
func (d *disconnectDriver) disconnectUnnoticed(disconnect func(c *net.TCPConn)) {
	d.t.Helper()
	d.blockPoller()
	disconnect(d.client)
	require.Eventually(
		d.t, func() bool { return peerClosed(d.clientConn.nbConn.Load()) }, testTimeout, time.Millisecond)
}

// serveOne serves a request of another client and leaves the connection to the server idle for long enough to be
// reused. It returns the server's end.
func (d *disconnectDriver) serveOne(id string, accepted <-chan *net.TCPConn) (serverSide *net.TCPConn) {
	d.t.Helper()
	client := d.dialClient()
	send(d.t, client, request(id))
	serverSide = d.stepUntilRequest(accepted)
	expectRead(d.t, serverSide, request(id))
	send(d.t, serverSide, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	clientConn := d.stepUntilAccepted(client)
	d.stepUntil("the client is answered", func() bool { return clientConn.bytesWritten.Load() > 0 })
	d.step(4e7) // idle for long enough to be reused
	return serverSide
}

// requireNoAttempt steps 20 times and fails the test if any data arrives on a connection to a server or another one is
// opened.
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

// firstForwarded steps until data arrives at the server, on its existing connection or a new one, and returns the data.
func (d *disconnectDriver) firstForwarded(serverSide *net.TCPConn, accepted <-chan *net.TCPConn) (text string) {
	d.t.Helper()
	conns := []*net.TCPConn{serverSide}
	d.stepUntil("a request is forwarded", func() bool {
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

// listenLoopback listens on a loopback port that stays reserved until the end of the test, even if the listener is
// closed earlier, so that no other process answers there.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	port, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	ln, err := port.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestDisconnectBeforePollerReads: the kernel has seen a client's close, and the poller has not read it. Whatever event
// the reducer gets next, it must not write a first attempt or a retry for that client, even if a connection to a server
// is idle or has just been established. Another client's request must be forwarded.
func TestDisconnectBeforePollerReads(t *testing.T) {
	for name, setup := range map[string]func(t *testing.T, disconnect func(c *net.TCPConn)) (
		d *disconnectDriver, serverSide *net.TCPConn, accepted <-chan *net.TCPConn,
	){
		"request read but not delivered, a connection is idle": func(t *testing.T, disconnect func(c *net.TCPConn)) (
			*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn,
		) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			serverSide := d.serveOne("r0", accepted)
			send(t, d.client, request("r1")+request("r2"))
			require.Eventually(t, d.clientConn.hasUndelivered, testTimeout, time.Millisecond)
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"request waits for a connection, which is established": func(t *testing.T, disconnect func(c *net.TCPConn)) (
			*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn,
		) {
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
		"more than maxPendingCommands, request rejected": func(t *testing.T, disconnect func(c *net.TCPConn)) (
			*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn,
		) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			text := request("r1") + strings.Repeat(ping, maxPendingCommands+6)
			send(t, d.client, text)
			require.Eventually(
				t, func() bool { return d.queuedBytes(d.clientConn.id) == len(text) }, testTimeout, time.Millisecond)
			d.step(0)
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"limit of unread bytes reached, more in the kernel": func(t *testing.T, disconnect func(c *net.TCPConn)) (
			*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn,
		) {
			server := listenLoopback(t)
			accepted := acceptConns(t, server)
			d := newDisconnectDriver(t, newDriver(t, 64, server))
			serverSide := d.serveOne("r0", accepted)
			var text strings.Builder
			for i := 0; text.Len() < maxQueuedBytesPerClient+readSize; i++ {
				text.WriteString(request(fmt.Sprintf("r%05d", i)))
			}
			send(t, d.client, text.String())
			require.Eventually(
				t, func() bool { return d.clientConn.backpressured.Load() }, testTimeout, time.Millisecond)
			require.Less(t, d.queuedBytes(d.clientConn.id), text.Len())
			d.disconnectUnnoticed(disconnect)
			return d, serverSide, accepted
		},
		"attempt has failed, and a retry is due": func(t *testing.T, disconnect func(c *net.TCPConn)) (
			*disconnectDriver, *net.TCPConn, <-chan *net.TCPConn,
		) {
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
			require.Eventually(
				t, func() bool { return d.hasQueuedClose(serverConn.id) }, testTimeout, time.Millisecond)
			d.disconnectUnnoticed(disconnect)
			d.step(0) // the reducer decides on the retry and dials
			serverSide := d.acceptServerConn(accepted)
			d.waitConnectedQueued()
			return d, serverSide, accepted
		},
	} {
		for _, kind := range disconnectKinds {
			t.Run(name+", "+kind.name, func(t *testing.T) {
				d, serverSide, accepted := setup(t, kind.disconnect)
				d.requireNoAttempt(serverSide, accepted)
				require.Nil(t, d.s.connections[d.clientConn.id], "the client's connection was not closed")
				stayingClient := d.dialClient()
				send(t, stayingClient, request("st"))
				d.unblockPoller()
				d.step(4e7)
				require.Equal(t, request("st"), d.firstForwarded(serverSide, accepted))
			})
		}
	}
}

// maxPendingCommands is the number of pending commands that package limiter allows on one client's connection.
const maxPendingCommands = 1024

// acceptServerConn waits for the limiter to connect to a server and returns the server's end.
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

// waitConnectedQueued waits until a connected event is queued for the reducer.
func (d *driver) waitConnectedQueued() {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		return d.hasQueuedEvent(func(e queuedEvent) bool { return e.kind == connected })
	}, testTimeout, time.Millisecond)
}

// hasQueuedClose reports whether a connection's connClosed event is queued for the reducer.
func (d *driver) hasQueuedClose(id limiter.ConnID) bool {
	return d.hasQueuedEvent(func(e queuedEvent) bool { return e.kind == connClosed && e.connID == id })
}

// hasQueuedEvent reports whether a matching event is queued for the reducer.
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

// TestDisconnectBehindFullQueue: a client's close is queued behind ten thousand events and nearly maxQueuedBytes. The
// events before it, the arrival of the client's request or the established connection to a server, must not lead to an
// attempt.
func TestDisconnectBehindFullQueue(t *testing.T) {
	for _, kind := range disconnectKinds {
		t.Run("request queued first, "+kind.name, func(t *testing.T) {
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
		t.Run("established connection queued first, "+kind.name, func(t *testing.T) {
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

// connect64Clients connects 64 clients and waits until they are accepted.
func (d *disconnectDriver) connect64Clients() (others [64]net.Conn) {
	d.t.Helper()
	for i := range others {
		others[i] = d.dialClient()
		d.stepUntilAccepted(others[i])
	}
	return others
}

// disconnectBehindFullQueue nearly fills the queue with small pieces of data from the others, and then disconnects the
// client.
func (d *disconnectDriver) disconnectBehindFullQueue(others [64]net.Conn, disconnect func(c *net.TCPConn)) {
	d.t.Helper()
	d.s.sharedBytes.Store(unlimitedSharedBytes)
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

// TestManyClientsDisconnect: five hundred clients close or reset their connections at once, and the poller has not read
// this yet. The reducer gets all their requests and must not forward any.
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
	d.stepUntil("all slots are released", func() bool { return len(d.s.listener.slots) <= 3 })
}
