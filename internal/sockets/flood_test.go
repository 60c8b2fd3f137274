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

// size is how many bytes of a connection, 0 for all, wait for the reducer.
func (d *drive) size(id limiter.ConnID) (size int) {
	d.s.mutex.Lock()
	defer d.s.mutex.Unlock()
	for _, e := range d.s.queued.events {
		if id == 0 || e.conn == id {
			size += e.size
		}
	}
	return size
}

// TestFlood: of a client that sends more than may wait for the reducer the poller reads a part, and goes on to others.
// The rest is read once the reducer was told of that part, and none of it is lost. Its end is seen over what was not
// read.
func TestFlood(t *testing.T) {
	d := driven(t, 64, nil)
	t.Cleanup(func() { // a poller that waits for the reducer would not stop
		for range 20 {
			d.s.nextBatch()
			time.Sleep(time.Millisecond)
		}
	})
	flooder, flood := d.dial(), limiter.ConnID(0)
	d.until("it is let in", func() bool {
		for id, l := range d.s.connections {
			if l.accepting != nil {
				flood = id
			}
		}
		return flood > 0
	})
	const commands = 100
	command := "*2\r\n$1\r\nX\r\n$60000\r\n" + strings.Repeat("x", 60000) + "\r\n"
	require.Greater(t, commands*len(command), maxQueuedBytes+1<<20)
	wrote := make(chan error, 1)
	go func() {
		_, err := io.WriteString(flooder, strings.Repeat(command, commands))
		wrote <- err
	}()
	require.Eventually(t, func() bool { return d.size(flood) >= maxClientBytes }, patience, time.Millisecond)
	other := d.dial()
	ask(t, other, ping)
	require.Eventually(t, func() bool { return d.size(0)-d.size(flood) == len(ping) }, patience, time.Millisecond,
		"the poller reads one client alone")
	require.Less(t, d.size(flood), maxClientBytes+readSize)
	answered := make(chan string, 1)
	text := strings.Repeat("-ERR unknown command\r\n", commands)
	go func() {
		got := make([]byte, len(text))
		_, _ = io.ReadFull(flooder, got)
		answered <- string(got)
	}()
	d.until("all of it is answered", func() bool { return len(answered) > 0 })
	require.Equal(t, text, <-answered)
	require.NoError(t, <-wrote)

	go func() { // and it goes, with much unread
		_, err := io.WriteString(flooder, strings.Repeat(command, 3))
		_ = flooder.Close()
		wrote <- err
	}()
	require.NoError(t, <-wrote)
	d.until("its end is told", func() bool { return d.s.connections[flood] == nil })
	require.Len(t, d.s.accepting.places, 2) // the other's, and the next one's
}

// TestNoDescriptor: a client for whose connection no descriptor is left gives its place back. The library needs two
// for a moment. It runs in a process of its own: what other tests have left closes when it likes, and would leave
// descriptors.
func TestNoDescriptor(t *testing.T) {
	const alone = "SOCKETS_TEST_ALONE"
	if os.Getenv(alone) == "" {
		ctx, cancel := context.WithTimeout(t.Context(), 4*patience)
		defer cancel()
		own := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestNoDescriptor$")
		own.Env = append(os.Environ(), alone+"=1")
		text, err := own.CombinedOutput()
		require.NoError(t, err, "%s", text)
		return
	}
	s, address := listening(t, 1)
	t.Cleanup(func() {
		if t.Failed() { // the place that was kept
			<-s.accepting.places
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
	far, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	_ = far.SetReadDeadline(time.Now().Add(patience))
	_, err = far.Read(make([]byte, 1))
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it was let in")
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	later, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = later.Close() }()
	e, _ := next(t, s)
	require.Equal(t, clientAccepted, e.kind)
}
