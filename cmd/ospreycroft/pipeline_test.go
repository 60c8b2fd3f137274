package main

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPipelinedDeadlinesAreKept is the test TestPipelinedDeadlines of package limiter with a real process and a server
// that hangs. It guards against late answers: a client that sent a request with a short timeout after one with a long
// timeout got its answer two seconds late.
func TestPipelinedDeadlinesAreKept(t *testing.T) {
	address, _, _, _ := startProgram(t, "127.0.0.1:1", startHangingServer(t, "hangs").Instance)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const shortTimeout = 400 * time.Millisecond
	sent := time.Now()
	_, err = conn.Write(append(request("much", 2500), request("little", int(shortTimeout.Milliseconds()))...))
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(sent.Add(5*time.Second)))
	answers := bufio.NewReader(conn)
	for range 2 {
		_, err := answers.ReadString('\n')
		require.NoError(t, err)
	}
	require.Less(t, time.Since(sent), shortTimeout+answerSlack, "both requests are answered by the earlier deadline")
}

// answerSlack is how long after its deadline an answer may come on a busy machine. An answer more than half a second
// late counts as lost.
const answerSlack = 100 * time.Millisecond
