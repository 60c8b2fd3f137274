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

// queuedBytes is how many bytes of a connection, 0 for all, wait for the reducer.
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

// TestFloodingClient: of a client that sends more than may wait for the reducer the poller reads a part, and goes on to others.
// The rest is read once the reducer was told of that part, and none of it is lost. Its end is seen over what was not
// read.
func TestFloodingClient(t *testing.T) {
	d := newDriver(t, 64, nil)
	t.Cleanup(func() { // a poller that waits for the reducer would not stop
		for range 20 {
			d.s.nextBatch()
			time.Sleep(time.Millisecond)
		}
	})
	floodingClient, floodingID := d.dialClient(), limiter.ConnID(0)
	d.stepUntil("it is let in", func() bool {
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
	require.Eventually(t, func() bool { return d.queuedBytes(floodingID) >= maxQueuedBytesPerClient }, testTimeout, time.Millisecond)
	other := d.dialClient()
	send(t, other, ping)
	require.Eventually(t, func() bool { return d.queuedBytes(0)-d.queuedBytes(floodingID) == len(ping) }, testTimeout, time.Millisecond,
		"the poller reads one client alone")
	require.Less(t, d.queuedBytes(floodingID), maxQueuedBytesPerClient+readSize)
	answered := make(chan string, 1)
	text := strings.Repeat("-ERR unknown command\r\n", commands)
	go func() {
		got := make([]byte, len(text))
		_, _ = io.ReadFull(floodingClient, got)
		answered <- string(got)
	}()
	d.stepUntil("all of it is answered", func() bool { return len(answered) > 0 })
	require.Equal(t, text, <-answered)
	require.NoError(t, <-wrote)

	go func() { // and it goes, with much unread
		_, err := io.WriteString(floodingClient, strings.Repeat(command, 3))
		_ = floodingClient.Close()
		wrote <- err
	}()
	require.NoError(t, <-wrote)
	d.stepUntil("its end is told", func() bool { return d.s.connections[floodingID] == nil })
	require.Len(t, d.s.listener.slots, 2) // the other's, and the next one's
}

// TestNoDescriptor: a client for whose connection no descriptor is left gives its place back. The library needs two
// for a moment. It runs in a process of its own: what other tests have left closes when it likes, and would leave
// descriptors.
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
		if t.Failed() { // the place that was kept
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
	for _, f := range files[len(files)-2:] { // one for the client's own end, one to accept it
		_ = f.Close()
	}
	rejectedClient, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = rejectedClient.Close() }()
	_ = rejectedClient.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = rejectedClient.Read(make([]byte, 1))
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it was let in")
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	laterClient, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = laterClient.Close() }()
	e, _ := nextEvent(t, s)
	require.Equal(t, clientAccepted, e.kind)
}
