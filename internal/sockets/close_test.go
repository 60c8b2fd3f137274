package sockets

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/limiter"
	"ospreycroft/internal/resp"
)

// request returns a complete request command with this request ID.
func request(id string) string {
	return string(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("000000000000000f"), []byte(id),
		[]byte("c=c,t=p,d=4000,units=1,spread=1,first=0")))
}

// acceptConns accepts connections in the background and sends them on the returned channel.
func acceptConns(t *testing.T, server net.Listener) <-chan *net.TCPConn {
	accepted := make(chan *net.TCPConn, 8)
	go func() {
		for c, err := server.Accept(); err == nil; c, err = server.Accept() {
			t.Cleanup(func() { _ = c.Close() })
			accepted <- c.(*net.TCPConn)
		}
	}()
	return accepted
}

// stepUntilRequest steps until a connection to the server is accepted and data has been written to it; it returns the
// server's end.
func (d *driver) stepUntilRequest(accepted <-chan *net.TCPConn) (c *net.TCPConn) {
	d.t.Helper()
	d.stepUntil("a connection with a request", func() bool {
		select {
		case c = <-accepted:
		default:
		}
		return c != nil && d.s.Written(d.findConnID(c)) > 0
	})
	return c
}

// findConnID returns the ID of the limiter's end of a connection, or 0 if there is none.
func (d *driver) findConnID(peer net.Conn) limiter.ConnID {
	for id, conn := range d.s.connections {
		if nc := conn.nbConn.Load(); nc != nil && nc.RemoteAddr().String() == peer.LocalAddr().String() &&
			nc.LocalAddr().String() == peer.RemoteAddr().String() {
			return id
		}
	}
	return 0
}

// hasUndelivered reports whether bytes were read from the connection that the reducer has not been given.
func (c *connection) hasUndelivered() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	return c.bytesRead > c.bytesDelivered.Load()
}

// TestDataAfterResponse: a server sends a second response, closes or resets after its response, and the reducer has
// not got that event when it forwards the next request. It must use another connection. On the same one the request
// would get a response that is not its own, or would be executed and its response lost with the connection.
func TestDataAfterResponse(t *testing.T) {
	const one, two = "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n"
	for name, c := range map[string]struct {
		blocked bool // block the poller, so that the data stays in the kernel
		action  func(serverSide *net.TCPConn)
	}{
		"second response, read":          {false, func(serverSide *net.TCPConn) { _, _ = io.WriteString(serverSide, two) }},
		"second response, in the kernel": {true, func(serverSide *net.TCPConn) { _, _ = io.WriteString(serverSide, two) }},
		"close":                          {true, func(serverSide *net.TCPConn) { _ = serverSide.CloseWrite() }},
		"reset": {true, func(serverSide *net.TCPConn) {
			_ = serverSide.SetLinger(0)
			_ = serverSide.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			server := listenLoopback(t)
			d, accepted := newDriver(t, 64, server), acceptConns(t, server)
			client, blockingClient := d.dialClient(), d.dialClient()
			send(t, client, request("r1"))
			serverSide := d.stepUntilRequest(accepted)
			expectRead(t, serverSide, request("r1"))
			send(t, serverSide, one)
			conn, blockedConn := d.s.connections[d.findConnID(serverSide)], d.s.connections[d.findConnID(blockingClient)]
			d.stepUntil("it is answered", func() bool { return conn.bytesDelivered.Load() == int64(len(one)) })
			expectRead(t, client, "$3\r\none\r\n")
			send(t, client, request("r2"))
			require.Eventually(t, d.hasQueuedBytes, testTimeout, time.Millisecond)
			if c.blocked {
				blockedConn.readMutex.Lock()
				send(t, blockingClient, "*")
				require.Eventually(
					t, func() bool { return !readWouldBlock(blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
			}
			c.action(serverSide)
			require.Eventually(
				t,
				func() bool { return conn.hasUndelivered() || c.blocked && !readWouldBlock(conn.nbConn.Load()) },
				testTimeout,
				time.Millisecond,
			)
			d.now += 4e7 // the connection has been idle for more than eight times the timer resolution
			d.step(0)
			if c.blocked {
				blockedConn.readMutex.Unlock()
			}
			secondServerSide := d.stepUntilRequest(accepted)
			expectRead(t, secondServerSide, request("r2"))
			send(t, secondServerSide, strings.Replace(two, "two", "own", 1))
			d.stepUntil(
				"it is answered",
				func() bool { return d.s.Written(d.findConnID(client)) == 2*int64(len("$3\r\none\r\n")) },
			)
			expectRead(t, client, "$3\r\nown\r\n")
		})
	}
}

// TestLateDataAfterResponse: a server's second response may arrive some milliseconds late and would be taken for the
// response to the next request on that connection. So a connection must not be reused after so short an idle time.
func TestLateDataAfterResponse(t *testing.T) {
	server := listenLoopback(t)
	d, accepted := newDriver(t, 64, server), acceptConns(t, server)
	for _, id := range []string{"r1", "r2", "r3"} {
		client := d.dialClient()
		send(t, client, request(id))
		serverSide := d.stepUntilRequest(accepted) // a new connection each time: 10 ms of idle time is too short for reuse
		expectRead(t, serverSide, request(id))
		send(t, serverSide, "*3\r\n$2\r\n"+id+"\r\n$-1\r\n$-1\r\n")
		clientConn := d.s.connections[d.findConnID(client)]
		d.stepUntil("it is answered", func() bool { return clientConn.bytesWritten.Load() > 0 })
		expectRead(t, client, "$2\r\n"+id+"\r\n")
		d.step(1e7)
	}
}

// TestNoDelay: connections to clients and to servers have TCP_NODELAY set after nbio has taken them over.
func TestNoDelay(t *testing.T) {
	server := listenLoopback(t)
	d, accepted := newDriver(t, 64, server), acceptConns(t, server)
	client := d.dialClient()
	send(t, client, request("r1"))
	for _, peer := range []net.Conn{d.stepUntilRequest(accepted), client} {
		noDelay, err := syscall.GetsockoptInt(
			d.s.connections[d.findConnID(peer)].nbConn.Load().Hash(),
			syscall.IPPROTO_TCP,
			syscall.TCP_NODELAY,
		)
		require.NoError(t, err)
		require.Equal(t, 1, noDelay)
	}
}

// TestCloseCountsConcurrentFlush: the number of bytes that Close returns must include those that the poller flushes to
// the kernel while Close runs. The test holds the connection's lock, as the poller's flush does, and writes under it
// while Close waits for the lock.
func TestCloseCountsConcurrentFlush(t *testing.T) {
	s, _ := listen(t, 1)
	server := listenLoopback(t)
	id := s.Dial(server.Addr().String(), int64(testTimeout))
	expectEvent(t, s, connected, id)
	peer, err := server.Accept()
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	s.Write(id, []byte("abc"))
	conn := s.connections[id]
	nc := conn.nbConn.Load()
	nc.Lock()
	closed := make(chan int64)
	go func() { closed <- s.Close(id) }()
	require.Eventually(t, conn.locallyClosed.Load, testTimeout, time.Millisecond)
	time.Sleep(5 * time.Millisecond)
	n, err := syscall.Write(nc.Hash(), []byte("defg"))
	require.NoError(t, err)
	conn.bytesWritten.Add(int64(n))
	nc.Unlock()
	require.Equal(t, int64(7), <-closed)
	text, err := io.ReadAll(peer)
	require.NoError(t, err)
	require.Equal(t, "abcdefg", string(text))
}

// TestWriteAfterPeerClosed: a write just after the peer's close must not reach the kernel, where it would be lost or
// count as sent, and the data that the peer sent before its close must still be delivered. The test blocks the poller
// to keep that data and the close in the kernel.
func TestWriteAfterPeerClosed(t *testing.T) {
	for name, endConn := range map[string]func(c *net.TCPConn){
		"end": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, address := listen(t, 1)
			client, err := net.Dial("tcp", address)
			require.NoError(t, err)
			e, _ := nextEvent(t, s)
			server := listenLoopback(t)
			id := s.Dial(server.Addr().String(), int64(testTimeout))
			expectEvent(t, s, connected, id)
			peer := <-acceptConns(t, server)
			blockedConn, serverConn := s.connections[e.connID], s.connections[id]
			blockedConn.readMutex.Lock()
			send(t, client, "*")
			require.Eventually(
				t, func() bool { return !readWouldBlock(blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
			time.Sleep(5 * time.Millisecond) // let the poller block on readMutex
			send(t, peer, "last")
			endConn(peer)
			require.Eventually(t, func() bool { return peerClosed(serverConn.nbConn.Load()) }, testTimeout, time.Millisecond)
			s.Write(id, []byte("abc"))
			blockedConn.readMutex.Unlock()
			e, text := nextEvent(t, s)
			for e.connID != id {
				e, text = nextEvent(t, s)
			}
			require.Equal(t, "last", text)
			require.Equal(t, connClosed, expectEvent(t, s, connClosed, id).kind)
			require.Zero(t, s.Written(id))
		})
	}
}

// TestDeadlineWithRequestPartlyWritten: at its deadline a request has been sent to its server only in part. The
// connection must be closed before the client is answered, so that the server never gets the complete command. The test
// blocks the limiter while it answers the client, and reads at the server all that arrives.
func TestDeadlineWithRequestPartlyWritten(t *testing.T) {
	smallBuffers := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { // a small segment size keeps the limiter's send buffer small
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10)
		})
	}}
	server, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	d, accepted := newDriver(t, 64, server), acceptConns(t, server)
	client := d.dialClient()
	send(t, client, string(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("000000000000000f"), []byte("id"),
		[]byte("c=c,t=p,d=200,units=1,spread=1,first=0,pad="+strings.Repeat("x", 60<<10)))))
	serverSide := d.stepUntilRequest(accepted)
	require.Less(t, d.s.Written(d.findConnID(serverSide)), int64(60<<10))
	serverConn, clientNBConn :=
		d.s.connections[d.findConnID(serverSide)], d.s.connections[d.findConnID(client)].nbConn.Load()
	clientNBConn.Lock()
	stepped := make(chan struct{})
	go func() {
		d.step(2e8)
		close(stepped)
	}()
	for giveUpAt := time.Now().Add(testTimeout / 5); !serverConn.locallyClosed.Load() && time.Now().Before(giveUpAt); {
		time.Sleep(time.Millisecond)
	}
	_ = serverSide.SetReadDeadline(time.Now().Add(testTimeout / 5))
	text, err := io.ReadAll(serverSide)
	clientNBConn.Unlock()
	<-stepped
	require.Less(t, len(text), 60<<10, "the server received the complete command after its deadline")
	require.NoError(t, err, "the connection was not closed")
	expectRead(t, client, "-BUSY")
}
