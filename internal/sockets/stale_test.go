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

// TestWriteToTheBroken: a write that finds its connection broken off leaves the descriptor to the poller, which may
// already have fetched the word of that end from the kernel and stand before it. Closed by the reducer, the number
// would go to the next client, and the poller would close that one.
func TestWriteToTheBroken(t *testing.T) {
	hole, err := os.Open(os.DevNull)
	require.NoError(t, err)
	s, address := listening(t, 3)
	var far [4]*net.TCPConn
	var near [3]*connection
	for i := range far {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		if far[i] = c.(*net.TCPConn); i < len(near) {
			e, _ := next(t, s)
			near[i] = s.connections[e.conn]
		}
	}
	stands := func() bool { // the poller waits for the lock of a connection
		stacks := make([]byte, 1<<20)
		for _, one := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if strings.Contains(one, "[sync.Mutex.Lock") && strings.Contains(one, ").readAvailable(") {
				return true
			}
		}
		return false
	}
	near[0].readMutex.Lock()
	near[1].readMutex.Lock()
	ask(t, far[0], ping)
	require.Eventually(t, stands, patience, time.Millisecond)
	ask(t, far[1], ping) // what comes now the poller fetches together
	_ = far[2].SetLinger(0)
	_ = far[2].Close()
	near[0].readMutex.Unlock()
	e, _ := next(t, s)
	require.Equal(t, near[0].id, e.conn)
	require.Eventually(t, stands, patience, time.Millisecond)
	fills := []*os.File{hole} // all lower numbers are taken but the one that accepting takes and gives back
	for int(fills[len(fills)-1].Fd()) < near[2].conn.Load().Hash() {
		f, err := os.Open(os.DevNull)
		require.NoError(t, err)
		defer func() { _ = f.Close() }()
		fills = append(fills, f)
	}
	_ = hole.Close()
	s.Write(near[2].id, []byte("answer"))
	time.Sleep(50 * time.Millisecond) // were there a place now, the next client would be let in
	near[1].readMutex.Unlock()
	ask(t, far[3], ping)
	for heard := false; !heard; heard = e.conn > near[2].id && e.kind == dataReceived {
		e, _ = next(t, s)
	}
	_ = far[3].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = far[3].Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the next client was closed")
}
