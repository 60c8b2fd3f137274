package loadgen

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/resp"
)

// An answer that arrived in time but was read late by the client must be distinguishable from one that arrived late.
func TestSinceReceived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	// kernelStep is the resolution allowed for the kernel's timestamps.
	const delay, kernelStep = 60 * time.Millisecond, 10 * time.Millisecond
	_, err = server.Write([]byte("$3\r\none\r\n"))
	require.NoError(t, err)
	time.Sleep(delay)
	value, err := newAnswerReader(client).next()
	require.NoError(t, err)
	require.Equal(t, "one", string(value.Text))
	waited, _ := sinceReceived(client)
	require.GreaterOrEqual(t, waited, int64(delay-kernelStep))
	written := time.Now()
	_, err = server.Write([]byte("$3\r\ntwo\r\n"))
	require.NoError(t, err)
	_, err = newAnswerReader(client).next()
	require.NoError(t, err)
	waited, _ = sinceReceived(client)
	require.LessOrEqual(t, waited, int64(time.Since(written)+kernelStep))
}

// A connection that ended before a request was written must be distinguishable from one that ended later.
func TestSinceConnectionEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	const wait, delay, kernelStep = 100 * time.Millisecond, 60 * time.Millisecond, 10 * time.Millisecond
	time.Sleep(wait)
	require.NoError(t, server.Close())
	closed := time.Now()
	time.Sleep(delay)
	var request history.Request
	_, err = newAnswerReader(client).next()
	require.Error(t, err)
	recordOutcome(&request, client, 0, resp.Value{}, err)
	require.Equal(t, history.ConnectionBroken, request.Outcome)
	require.GreaterOrEqual(t, request.AnswerUnread, int64(delay-kernelStep))
	require.LessOrEqual(t, request.AnswerUnread, int64(time.Since(closed)+kernelStep))
}
