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
	smallestPipe   = 4096
	patience       = 10 * time.Second
	panicsVariable = "OSPREYCROFT_LOGGING_PANICS"
)

// smallPipe is a pipe of one page.
func smallPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = read.Close(), write.Close() })
	_, err = unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, smallestPipe)
	require.NoError(t, err)
	return read, write
}

// fill fills it.
func fill(t *testing.T, write *os.File) {
	t.Helper()
	_, err := write.Write(append(bytes.Repeat([]byte("."), smallestPipe-1), '\n'))
	require.NoError(t, err)
}

// numbered is a line with a number, long enough that few of them fill what a writer holds.
func numbered(number int) []byte {
	return fmt.Appendf(nil, "%d%s\n", number, strings.Repeat("x", 500))
}

// TestWriterHoldsLinesAndTellsOfThoseItLost: the writer of a full pipe returns at once. Once the pipe is read, the lines come in
// their order, and then how many are missing; so does a line that is written behind.
func TestWriterHoldsLinesAndTellsOfThoseItLost(t *testing.T) {
	read, write := smallPipe(t)
	fill(t, write)
	w := NewWriter(write)
	const lines = 2 * maxHeld / 500
	began := time.Now()
	for number := range lines {
		_, err := w.Write(numbered(number))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), patience)
	in := bufio.NewScanner(read)
	require.True(t, in.Scan()) // what filled it
	came := 0
	for in.Scan() && !strings.Contains(in.Text(), "event=log-lines-lost") {
		require.Equal(t, string(numbered(came)), in.Text()+"\n")
		came++
	}
	require.GreaterOrEqual(t, came, maxHeld/len(numbered(lines)))
	require.Regexp(t, fmt.Sprintf(`level=WARN event=log-lines-lost lines=%d$`, lines-came), in.Text())
	require.Eventually(t, w.flushed, patience, time.Millisecond)
	_, _ = w.Write(numbered(lines))
	require.True(t, in.Scan())
	require.Equal(t, string(numbered(lines)), in.Text()+"\n")
}

// TestWriterTellsOfRefusedLines: a disk that is full refuses lines; they are told of once it takes lines again.
func TestWriterTellsOfRefusedLines(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	defer func() { _ = full.Close() }()
	w := NewWriter(full)
	for number := range 3 {
		_, err := w.Write(numbered(number))
		require.NoError(t, err)
	}
	read, write := smallPipe(t)
	w.fd, w.mayWait = int(write.Fd()), true
	_, _ = w.Write(numbered(3))
	in := bufio.NewScanner(read)
	require.True(t, in.Scan())
	require.Equal(t, string(numbered(3)), in.Text()+"\n")
	require.True(t, in.Scan())
	require.Contains(t, in.Text(), "event=log-lines-lost lines=3")
}

// TestWriterKeepsLinesWhole: many goroutines write before a slow reader, and no line is torn or missing.
func TestWriterKeepsLinesWhole(t *testing.T) {
	read, write := smallPipe(t)
	w := NewWriter(write)
	const writers, each = 8, 30
	var all sync.WaitGroup
	for writer := range writers {
		all.Go(func() {
			for number := range each {
				_, _ = w.Write(numbered(writer*each + number))
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
	all.Wait()
	require.Zero(t, w.lost)
}

// TestFlushIsBounded: a process that ends waits for its log's reader for a moment only.
func TestFlushIsBounded(t *testing.T) {
	_, write := smallPipe(t)
	fill(t, write)
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous); installed.Store(nil) })
	Install(write)
	require.True(t, Flush())
	slog.Info("ready")
	began := time.Now()
	require.False(t, Flush())
	require.Less(t, time.Since(began), flushTimeout+time.Second)
}

// TestPanicBeforeFullLog: a panic ends the process also where nobody reads its log.
func TestPanicBeforeFullLog(t *testing.T) {
	if os.Getenv(panicsVariable) != "" {
		Install(os.Stderr)
		defer LogPanic("test")
		failDeeply(nil)
	}
	read, write := smallPipe(t)
	fill(t, write)
	command := exec.Command(os.Args[0], "-test.run", "^TestPanicBeforeFullLog$")
	command.Env = append(os.Environ(), panicsVariable+"=1")
	command.Stderr = write
	require.NoError(t, command.Start())
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		require.ErrorContains(t, err, "exit status 2")
	case <-time.After(patience):
		_ = command.Process.Kill()
		t.Fatal("it does not end")
	}
	_ = read
}

// TestWriterToSocketDoesNotWait: a socket that has no room cannot be opened again; it is asked before each write.
func TestWriterToSocketDoesNotWait(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	near, far := os.NewFile(uintptr(pair[0]), "near"), os.NewFile(uintptr(pair[1]), "far")
	defer func() { _, _ = near.Close(), far.Close() }()
	w := NewWriter(near)
	const lines = 2 * maxHeld / 500
	for number := range lines {
		_, _ = w.Write(numbered(number))
	}
	require.False(t, w.flushed())
	in := bufio.NewScanner(far)
	for number := 0; number < lines && in.Scan() && !strings.Contains(in.Text(), "event=log-lines-lost"); number++ {
		require.Equal(t, string(numbered(number)), in.Text()+"\n")
	}
	require.Eventually(t, w.flushed, patience, time.Millisecond)
}
