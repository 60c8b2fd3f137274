package logging

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	smallPipeBytes           = 4096 // one page, the smallest capacity that the kernel allows
	testTimeout              = 10 * time.Second
	panicEnvironmentVariable = "OSPREYCROFT_LOGGING_PANICS"
)

// smallPipe returns a pipe with a capacity of smallPipeBytes.
func smallPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = read.Close(), write.Close() })
	_, err = unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, smallPipeBytes)
	require.NoError(t, err)
	return read, write
}

// fillPipe fills a pipe from smallPipe with one line.
func fillPipe(t *testing.T, write *os.File) {
	t.Helper()
	_, err := write.Write(append(bytes.Repeat([]byte("."), smallPipeBytes-1), '\n'))
	require.NoError(t, err)
}

// numberedLine returns a line of more than 500 bytes that begins with number, so that few lines reach a writer's limit
// of pending bytes.
func numberedLine(number int) []byte {
	return fmt.Appendf(nil, "%d%s\n", number, strings.Repeat("x", 500))
}

// TestWriterReportsLinesLostOnFullPipe writes more lines to a full pipe than the writer keeps. Write must not block.
// Once the pipe is read, the kept lines must arrive in order, then an event with the number of lost lines, and then a
// line that is written after it.
func TestWriterReportsLinesLostOnFullPipe(t *testing.T) {
	read, write := smallPipe(t)
	fillPipe(t, write)
	w := NewWriter(write)
	const lines = 2 * maxPendingBytes / 500
	began := time.Now()
	for number := range lines {
		_, err := w.Write(numberedLine(number))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), testTimeout)
	in := bufio.NewScanner(read)
	require.True(t, in.Scan()) // the line of fillPipe
	received := 0
	for in.Scan() && !strings.Contains(in.Text(), "event=log-lines-lost") {
		require.Equal(t, string(numberedLine(received)), in.Text()+"\n")
		received++
	}
	require.GreaterOrEqual(t, received, maxPendingBytes/len(numberedLine(lines)))
	require.Regexp(t, fmt.Sprintf(`level=WARN event=log-lines-lost lines=%d$`, lines-received), in.Text())
	require.Eventually(t, w.flush, testTimeout, time.Millisecond)
	_, _ = w.Write(numberedLine(lines))
	require.True(t, in.Scan())
	require.Equal(t, string(numberedLine(lines)), in.Text()+"\n")
}

// TestWriterReportsLinesLostOnWriteErrors: lines written while the disk is full are lost; an event reports them once
// writes succeed again.
func TestWriterReportsLinesLostOnWriteErrors(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	w := NewWriter(full)
	for number := range 3 {
		_, err := w.Write(numberedLine(number))
		require.NoError(t, err)
	}
	read, write := smallPipe(t)
	w.fd, w.mayBlock = int(write.Fd()), true
	_, _ = w.Write(numberedLine(3))
	in := bufio.NewScanner(read)
	require.True(t, in.Scan())
	require.Equal(t, string(numberedLine(3)), in.Text()+"\n")
	require.True(t, in.Scan())
	require.Contains(t, in.Text(), "event=log-lines-lost lines=3")
}

// TestConcurrentWritersDoNotSplitLines: lines that several goroutines write to a small pipe must arrive complete, and
// none may be missing or repeated.
func TestConcurrentWritersDoNotSplitLines(t *testing.T) {
	read, write := smallPipe(t)
	w := NewWriter(write)
	const writers, each = 8, 30
	var running sync.WaitGroup
	for writer := range writers {
		running.Go(func() {
			for number := range each {
				_, _ = w.Write(numberedLine(writer*each + number))
			}
		})
	}
	in := bufio.NewScanner(read)
	seen := map[string]bool{}
	for len(seen) < writers*each && in.Scan() {
		require.Len(t, strings.TrimLeft(in.Text(), "0123456789"), 500)
		require.False(t, seen[in.Text()])
		seen[in.Text()] = true
	}
	running.Wait()
	require.Zero(t, w.lost)
}

// TestFlushIsBounded: Flush must return if nobody reads the log, so that a process can exit.
func TestFlushIsBounded(t *testing.T) {
	_, write := smallPipe(t)
	fillPipe(t, write)
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous); installed.Store(nil) })
	Install(write)
	require.True(t, Flush())
	slog.Info("ready")
	began := time.Now()
	require.False(t, Flush())
	require.Less(t, time.Since(began), flushTimeout+time.Second)
}

// TestPanicEndsProcessWithFullLog: a panic must end the process even if its standard error is a full pipe that nobody
// reads. The test runs itself as a child process that panics.
func TestPanicEndsProcessWithFullLog(t *testing.T) {
	if os.Getenv(panicEnvironmentVariable) != "" {
		Install(os.Stderr)
		defer LogPanic("test")
		dereference(nil)
	}
	read, write := smallPipe(t)
	fillPipe(t, write)
	command := exec.Command(os.Args[0], "-test.run", "^TestPanicEndsProcessWithFullLog$")
	command.Env = append(os.Environ(), panicEnvironmentVariable+"=1")
	command.Stderr = write
	require.NoError(t, command.Start())
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	select {
	case err := <-exited:
		require.ErrorContains(t, err, "exit status 2")
	case <-time.After(testTimeout):
		_ = command.Process.Kill()
		t.Fatal("the process did not exit")
	}
	_ = read
}

// TestWriterDoesNotBlockOnSocket: a socket cannot be opened again in non-blocking mode as a pipe can, so that only
// polling before each write keeps Write from blocking when its buffer is full.
func TestWriterDoesNotBlockOnSocket(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	near, far := os.NewFile(uintptr(pair[0]), "near"), os.NewFile(uintptr(pair[1]), "far")
	defer func() { _, _ = near.Close(), far.Close() }()
	w := NewWriter(near)
	const lines = 2 * maxPendingBytes / 500
	for number := range lines {
		_, _ = w.Write(numberedLine(number))
	}
	require.False(t, w.flush())
	in := bufio.NewScanner(far)
	for number := 0; number < lines && in.Scan() && !strings.Contains(in.Text(), "event=log-lines-lost"); number++ {
		require.Equal(t, string(numberedLine(number)), in.Text()+"\n")
	}
	require.Eventually(t, w.flush, testTimeout, time.Millisecond)
}
