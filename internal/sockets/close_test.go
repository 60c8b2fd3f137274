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

// request is a whole request's command, with a body where it is of an order class.
func request(id string) string {
	return string(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("000000000000000f"), []byte(id),
		[]byte("c=c,t=p,d=4000,units=1,spread=1,first=0")))
}

// acceptConns hands out what a server acceptConns.
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

// stepUntilRequest turns until a connection to the server has come and is written to.
func (d *driver) stepUntilRequest(accepted <-chan *net.TCPConn) (c *net.TCPConn) {
	d.t.Helper()
	d.stepUntil("a connection comes", func() bool {
		select {
		case c = <-accepted:
		default:
		}
		return c != nil && d.s.Written(d.findConnID(c)) > 0
	})
	return c
}

// findConnID finds our end of a connection, 0 where there is none.
func (d *driver) findConnID(peer net.Conn) limiter.ConnID {
	for id, conn := range d.s.connections {
		if nc := conn.nbConn.Load(); nc != nil && nc.RemoteAddr().String() == peer.LocalAddr().String() &&
			nc.LocalAddr().String() == peer.RemoteAddr().String() {
			return id
		}
	}
	return 0
}

// hasUndelivered tells whether something was read that the reducer was not told of.
func (c *connection) hasUndelivered() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	return c.bytesRead > c.bytesDelivered.Load()
}

// TestDataAfterResponse: what a server sends behind its answer has come, the reducer was not told, and it has the next
// request for that server. Written to the same connection, it would be served with what was never made for it, or run
// and be lost with the connection.
func TestDataAfterResponse(t *testing.T) {
	const one, two = "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n"
	for name, c := range map[string]struct {
		blocked bool // the poller stands, so that it waits in the kernel
		action  func(serverSide *net.TCPConn)
	}{
		"a second answer, read":          {false, func(serverSide *net.TCPConn) { _, _ = io.WriteString(serverSide, two) }},
		"a second answer, in the kernel": {true, func(serverSide *net.TCPConn) { _, _ = io.WriteString(serverSide, two) }},
		"an end":                         {true, func(serverSide *net.TCPConn) { _ = serverSide.CloseWrite() }},
		"a reset": {true, func(serverSide *net.TCPConn) {
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
				require.Eventually(t, func() bool { return !readWouldBlock(blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
			}
			c.action(serverSide)
			require.Eventually(
				t,
				func() bool { return conn.hasUndelivered() || c.blocked && !readWouldBlock(conn.nbConn.Load()) },
				testTimeout,
				time.Millisecond,
			)
			d.now += 4e7 // the connection has rested for more than eight ticks
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

// TestLateDataAfterResponse: a server's second answer may come some milliseconds late, and would be taken for the answer to
// the next request on its connection. So none is used again that has rested for so short a time.
func TestLateDataAfterResponse(t *testing.T) {
	server := listenLoopback(t)
	d, accepted := newDriver(t, 64, server), acceptConns(t, server)
	for _, id := range []string{"r1", "r2", "r3"} {
		client := d.dialClient()
		send(t, client, request(id))
		serverSide := d.stepUntilRequest(accepted) // no connection that has rested for ten milliseconds is used again
		expectRead(t, serverSide, request(id))
		send(t, serverSide, "*3\r\n$2\r\n"+id+"\r\n$-1\r\n$-1\r\n")
		clientConn := d.s.connections[d.findConnID(client)]
		d.stepUntil("it is answered", func() bool { return clientConn.bytesWritten.Load() > 0 })
		expectRead(t, client, "$2\r\n"+id+"\r\n")
		d.step(1e7)
	}
}

// TestNoDelay: small writes are sent at once, to clients and to servers, after nbio has taken the connections over.
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

// TestCloseCountsConcurrentFlush: what the poller gets into the kernel in the moment of closing is counted, for nothing can follow
// it. The test holds the connection's lock as the poller's flush does, and writes a piece under it while Close waits.
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

// TestWriteAfterPeerClosed: what a peer sent before it ended the connection is told, though something is written in the
// moment of its end, and of that the kernel takes nothing: it would be lost, or count as sent. A poller that stands
// keeps both in the kernel.
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
			require.Eventually(t, func() bool { return !readWouldBlock(blockedConn.nbConn.Load()) }, testTimeout, time.Millisecond)
			time.Sleep(5 * time.Millisecond) // the poller is at it
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

// TestDeadlineWithRequestPartlyWritten: when a request ends of which its server has but a part, the rest is held back before the client is
// answered. The test stops the limiter in the moment in which it answers, and then reads at the server all that comes.
func TestDeadlineWithRequestPartlyWritten(t *testing.T) {
	smallBuffers := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { // small segments keep the other side's send buffer small
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
	serverConn, clientNBConn := d.s.connections[d.findConnID(serverSide)], d.s.connections[d.findConnID(client)].nbConn.Load()
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
	require.Less(t, len(text), 60<<10, "it got whole after its end")
	require.NoError(t, err, "its connection was not ended")
	expectRead(t, client, "-BUSY")
}
