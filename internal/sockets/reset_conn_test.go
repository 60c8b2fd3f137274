package sockets

import (
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteToResetConn: a write to a connection that the client has reset must leave closing the descriptor to the
// poller, which may have fetched the event for the reset and not handled it yet. If the reducer closed the
// descriptor, the next client's connection could get the same number, and the poller would close that connection.
func TestWriteToResetConn(t *testing.T) {
	reserved, err := os.Open(os.DevNull)
	require.NoError(t, err)
	s, address := listen(t, 3)
	var clients [4]*net.TCPConn
	var conns [3]*connection
	for i := range clients {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		if clients[i] = c.(*net.TCPConn); i < len(conns) {
			e, _ := nextEvent(t, s)
			conns[i] = s.connections[e.connID]
		}
	}
	pollerBlocked := func() bool { // the poller waits for a connection's readMutex
		stacks := make([]byte, 1<<20)
		for _, stack := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(stack, "[sync.Mutex.Lock") && strings.Contains(stack, ").readAvailable(") {
				return true
			}
		}
		return false
	}
	conns[0].readMutex.Lock()
	conns[1].readMutex.Lock()
	send(t, clients[0], ping)
	require.Eventually(t, pollerBlocked, testTimeout, time.Millisecond)
	send(t, clients[1], ping) // the poller fetches this and the reset below in one epoll_wait call
	_ = clients[2].SetLinger(0)
	_ = clients[2].Close()
	conns[0].readMutex.Unlock()
	e, _ := nextEvent(t, s)
	require.Equal(t, conns[0].id, e.connID)
	require.Eventually(t, pollerBlocked, testTimeout, time.Millisecond)
	files := []*os.File{reserved} // use up all lower descriptor numbers but one, which accepting needs for a moment
	for int(files[len(files)-1].Fd()) < conns[2].nbConn.Load().Hash() {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		defer func() { _ = f.Close() }()
		files = append(files, f)
	}
	_ = reserved.Close()
	s.Write(conns[2].id, []byte("answer"))
	time.Sleep(50 * time.Millisecond) // if a slot were free now, the next client would be accepted
	conns[1].readMutex.Unlock()
	send(t, clients[3], ping)
	for received := false; !received; received = e.connID > conns[2].id && e.kind == dataReceived {
		e, _ = nextEvent(t, s)
	}
	_ = clients[3].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = clients[3].Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the next client's connection was closed")
}
