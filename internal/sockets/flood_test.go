package sockets

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/limiter"
)

// queuedBytes returns how many bytes of a connection are queued for the reducer; ID 0 means all connections.
func (d *driver) queuedBytes(id limiter.ConnID) (size int) {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	for _, e := range d.s.queued.events {
		if id == 0 || e.connID == id {
			size += e.size
		}
	}
	return size
}

// TestFloodingClient: a client sends more than maxQueuedBytes. The poller must read only a part, so that it can serve
// other clients, and read the rest after the reducer has got that part; no byte may be lost. When the client closes,
// the close must be delivered even if bytes before it are unread.
func TestFloodingClient(t *testing.T) {
	d := newDriver(t, 64, nil)
	t.Cleanup(func() { // a poller that is blocked in enqueue could not be stopped
		for range 20 {
			d.s.nextBatch()
			time.Sleep(time.Millisecond)
		}
	})
	floodingClient, floodingID := d.dialClient(), limiter.ConnID(0)
	d.stepUntil("the client is accepted", func() bool {
		for id, conn := range d.s.connections {
			if conn.listener != nil {
				floodingID = id
			}
		}
		return floodingID > 0
	})
	const commands = 100
	command := "*2\r\n$1\r\nX\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n"
	require.Greater(t, commands*len(command), maxQueuedBytes+1<<20)
	wrote := make(chan error, 1)
	go func() {
		_, err := io.WriteString(floodingClient, strings.Repeat(command, commands))
		wrote <- err
	}()
	require.Eventually(
		t, func() bool { return d.queuedBytes(floodingID) >= maxQueuedBytesPerClient }, testTimeout, time.Millisecond)
	other := d.dialClient()
	send(t, other, ping)
	require.Eventually(t, func() bool { return d.queuedBytes(0)-d.queuedBytes(floodingID) == len(ping) },
		testTimeout, time.Millisecond, "the poller reads only the flooding client")
	require.Less(t, d.queuedBytes(floodingID), maxQueuedBytesPerClient+readSize)
	answered := make(chan string, 1)
	text := strings.Repeat("-ERR unknown command\r\n", commands)
	go func() {
		got := make([]byte, len(text))
		_, _ = io.ReadFull(floodingClient, got)
		answered <- string(got)
	}()
	d.stepUntil("all commands are answered", func() bool { return len(answered) > 0 })
	require.Equal(t, text, <-answered)
	require.NoError(t, <-wrote)

	go func() { // the client closes with unread data
		_, err := io.WriteString(floodingClient, strings.Repeat(command, 3))
		_ = floodingClient.Close()
		wrote <- err
	}()
	require.NoError(t, <-wrote)
	d.stepUntil("the close is delivered", func() bool { return d.s.connections[floodingID] == nil })
	require.Len(t, d.s.listener.slots, 2) // the other client's slot and the pending Accept call's
}

// TestNoDescriptor: a client's connection is accepted, but no second descriptor, which nbio needs for a moment, is
// available. The connection must be closed and its slot released. The test runs in a subprocess, because connections
// left by other tests may close at any time and free descriptors.
func TestNoDescriptor(t *testing.T) {
	const subprocessEnv = "SOCKETS_TEST_ALONE"
	if os.Getenv(subprocessEnv) == "" {
		ctx, cancel := context.WithTimeout(t.Context(), 4*testTimeout)
		defer cancel()
		cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestNoDescriptor$")
		cmd.Env = append(os.Environ(), subprocessEnv+"=1")
		output, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s", output)
		return
	}
	s, address := listen(t, 1)
	t.Cleanup(func() {
		if t.Failed() { // release the slot that leaked
			<-s.listener.slots
		}
	})
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	low := limit
	low.Cur = 256
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low))
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) }()
	var files []*os.File
	for f, err := os.Open(os.DevNull); err == nil; f, err = os.Open(os.DevNull) {
		defer func() { _ = f.Close() }()
		files = append(files, f)
	}
	for _, f := range files[len(files)-2:] { // one for the client's end, one for the accepted connection
		_ = f.Close()
	}
	rejectedClient, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = rejectedClient.Close() }()
	_ = rejectedClient.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = rejectedClient.Read(make([]byte, 1))
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection was not closed")
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	laterClient, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = laterClient.Close() }()
	e, _ := nextEvent(t, s)
	require.Equal(t, clientAccepted, e.kind)
}
