package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// TestTimeLeftAfterSuspension: requests come, on an open and on a new connection, while the process is suspended. The
// server is told the time that the client has left, not the time that it had when it sent the request. This also holds
// where the request is read long after the process resumes, after many other connections.
func TestTimeLeftAfterSuspension(t *testing.T) {
	const (
		timeout    = 3000 * time.Millisecond
		suspension = 600 * time.Millisecond
		slack      = 150 * time.Millisecond
	)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	server := testbed.Listen(t)
	h := startHarness(t, server.Address, log)
	counterConn := h.counter.Accept(t)
	address := h.client.TCP.RemoteAddr().String()
	require.Equal(t, "+PONG", pingUntilReady(t, h.client))

	h.suspend()
	otherConns := make([]*testbed.Conn, 0, 150)
	for range cap(otherConns) {
		otherConns = append(otherConns, (&testbed.Rig{Address: address}).Dial(t))
	}
	newConn := (&testbed.Rig{Address: address}).Dial(t)
	sent := time.Now()
	h.client.Send(t, testbed.Request("open", "read", int(timeout.Milliseconds())))
	newConn.Send(t, testbed.Request("fresh", "read", int(timeout.Milliseconds())))
	time.Sleep(suspension)
	require.NoError(t, h.program.Process.Signal(syscall.SIGCONT))
	for range 2 {
		counterConn.ReadLine(t)
		counterConn.Send(t, "ok 1\r\n")
	}
	for range 2 {
		words := server.Accept(t).ReadCommand(t)
		left, err := strconv.Atoi(regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(words[3])[1])
		require.NoError(t, err)
		require.LessOrEqual(t, time.Duration(left)*time.Millisecond, timeout-time.Since(sent)+slack, words[2])
	}
}

// pingUntilReady sends PING until the limiter is ready, and returns the last answer.
func pingUntilReady(t *testing.T, c *testbed.Conn) string {
	t.Helper()
	answer := ping(t, c)
	for end := time.Now().Add(testbed.Timeout); answer != "+PONG" && time.Now().Before(end); answer = ping(t, c) {
		time.Sleep(20 * time.Millisecond)
	}
	return answer
}
