package logging

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxPendingBytes = 256 << 10 // bytes of lines that are not yet written
	maxAtomicWrite  = 4096      // PIPE_BUF: a write of so many bytes to a writable pipe is atomic and does not block
	drainInterval   = 20 * time.Millisecond
	flushTimeout    = 200 * time.Millisecond
)

// Writer writes lines to a descriptor and never blocks on its reader: the reducer logs, and all clients wait for the
// reducer. While the descriptor accepts no more data, up to maxPendingBytes of lines are kept in memory and written
// later. Lines beyond that, and lines whose write fails, are lost; a log-lines-lost event reports how many. A regular
// file is assumed never to block.
type Writer struct {
	fd       int
	mayBlock bool // a write may block unless the descriptor was polled before
	mutex    sync.Mutex
	pending  []byte // complete lines, except that the beginning of the first may already be written
	lost     int    // number of lines lost since the start
	reported int    // value of lost in the latest log-lines-lost event
	failed   bool   // the latest write returned an error
	draining bool   // a drain goroutine is running
}

// installed is the writer of the program's log, nil before Install.
var installed atomic.Pointer[Writer]

// Install makes file, usually standard error, the program's log and the destination of log/slog.
func Install(file *os.File) {
	writer := NewWriter(file)
	installed.Store(writer)
	slog.SetDefault(slog.New(NewHandler(writer)))
}

// Flush waits at most flushTimeout until all pending lines of the program's log are written, and reports whether they
// are. It is called before the process exits.
func Flush() bool {
	writer := installed.Load()
	if writer == nil {
		return true
	}
	for deadline := time.Now().Add(flushTimeout); !writer.flush(); time.Sleep(drainInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// discardStandardError redirects standard error to the null device.
func discardStandardError() {
	null, err := unix.Open(os.DevNull, unix.O_WRONLY|unix.O_CLOEXEC, 0)
	if err == nil {
		_ = unix.Dup3(null, unix.Stderr, 0)
	}
}

// NewWriter returns a writer to a file. The caller keeps the ownership of the file.
//
// A pipe is opened a second time in non-blocking mode. The mode of the given descriptor cannot be changed, as it is
// shared with the process that created the pipe, which may rely on blocking writes. A file that cannot be opened again,
// such as a terminal or a socket, is polled before each write.
func NewWriter(file *os.File) *Writer {
	w := &Writer{fd: int(file.Fd()), mayBlock: true}
	var status unix.Stat_t
	if err := unix.Fstat(w.fd, &status); err != nil {
		return w
	}
	switch status.Mode & unix.S_IFMT {
	case unix.S_IFREG:
		w.mayBlock = false
	case unix.S_IFIFO:
		reopened, err := unix.Open(
			fmt.Sprintf("/proc/self/fd/%d", w.fd), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0,
		)
		if err == nil {
			w.fd, w.mayBlock = reopened, false
		}
	}
	return w
}

// Write writes a line or keeps it for later. It never returns an error, as the log is where errors are reported.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lossUnreported := w.draining && w.lost > w.reported // lost lines are reported before any later line is kept
	if lossUnreported || len(w.pending)+len(line) > maxPendingBytes {
		w.lost++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.writePending()
	if w.hasPending() && !w.draining {
		w.draining = true
		go w.drain()
	}
	return len(line), nil
}

// drain writes pending lines until none are left.
func (w *Writer) drain() {
	for !w.flush() {
		time.Sleep(drainInterval)
	}
}

// flush writes what the descriptor accepts and reports whether nothing is left to write.
func (w *Writer) flush() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writePending()
	w.draining = w.draining && w.hasPending()
	return !w.hasPending()
}

// hasPending reports whether lines or a log-lines-lost event are waiting until the descriptor accepts them. After a
// failed write the lost lines do not count: they are reported after the next line that is written.
func (w *Writer) hasPending() bool { return len(w.pending) > 0 || w.lost > w.reported && !w.failed }

// writePending writes the pending lines that the descriptor accepts and, after the last of them, a log-lines-lost event
// if one is due. If a write fails, all pending lines are lost.
func (w *Writer) writePending() {
	for len(w.pending) > 0 {
		written := w.tryWrite(w.pending[:min(len(w.pending), maxAtomicWrite)])
		if w.failed {
			w.lost += bytes.Count(w.pending, []byte("\n"))
			w.pending = nil
			return
		}
		if written == 0 {
			return
		}
		w.pending = w.pending[written:]
	}
	if w.lost > w.reported && w.tryWrite(w.lostLinesEvent()) > 0 {
		w.reported = w.lost
	}
}

// tryWrite writes text without blocking and returns the number of bytes written. It sets w.failed.
func (w *Writer) tryWrite(text []byte) int {
	w.failed = false
	for !w.mayBlock || w.isWritable() {
		written, err := unix.Write(w.fd, text)
		switch {
		case err == nil:
			return written
		case errors.Is(err, unix.EAGAIN):
			return 0
		case !errors.Is(err, unix.EINTR):
			w.failed = true
			return 0
		}
	}
	return 0
}

// isWritable reports whether a write would not block. It is true if the reader has closed its end: the write fails
// then.
func (w *Writer) isWritable() bool {
	fds := []unix.PollFd{{Fd: int32(w.fd), Events: unix.POLLOUT}}
	for {
		ready, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return ready > 0
		}
	}
}

// lostLinesEvent returns the line of the log-lines-lost event.
func (w *Writer) lostLinesEvent() []byte {
	var line bytes.Buffer
	slog.New(NewHandler(&line)).LogAttrs(
		context.Background(), slog.LevelWarn, "log-lines-lost", slog.Int("lines", w.lost),
	)
	return line.Bytes()
}
