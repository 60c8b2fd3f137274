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
	maxPendingBytes = 256 << 10 // bytes of lines that wait for the log's reader
	maxAtomicWrite  = 4096      // PIPE_BUF: a pipe that has room takes so many bytes whole, and at once
	drainInterval   = 20 * time.Millisecond
	flushTimeout    = 200 * time.Millisecond
)

// Writer writes lines to a descriptor and never waits for its reader: the reducer logs, and all clients wait for the reducer. Lines
// for which the descriptor has no room are held, up to a bound, and written once it has; those beyond are lost, and counted in an
// event of their own. So are lines that the descriptor refuses. A regular file is taken to have room always.
type Writer struct {
	fd       int
	mayBlock bool // a write may wait unless the descriptor is asked before
	mutex    sync.Mutex
	pending  []byte // in whole lines, but for the first, which may be written in part
	lost     int    // lines, since the start
	reported int    // of them, by the latest event
	failed   bool   // the descriptor has refused the latest write
	draining bool
}

// installed is the writer of the program's log.
var installed atomic.Pointer[Writer]

// Install makes a file, standard error as a rule, the program's log.
func Install(file *os.File) {
	writer := NewWriter(file)
	installed.Store(writer)
	slog.SetDefault(slog.New(NewHandler(writer)))
}

// Flush waits, for a moment at most, until the program's log has taken the lines that are held, and tells whether it has. It is
// called before the process ends.
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

// discardStandardError has what the process still writes to standard error go nowhere.
func discardStandardError() {
	null, err := unix.Open(os.DevNull, unix.O_WRONLY|unix.O_CLOEXEC, 0)
	if err == nil {
		_ = unix.Dup3(null, unix.Stderr, 0)
	}
}

// NewWriter makes a writer to a file. The file stays the caller's.
//
// A pipe is opened a second time, not to wait for its reader: the mode of the descriptor itself is shared with the process that
// made it, which may want to wait. What cannot be opened again, a terminal or a socket, is asked before each write.
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
		reopened, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", w.fd), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
		if err == nil {
			w.fd, w.mayBlock = reopened, false
		}
	}
	return w
}

// Write takes a line. It never fails: there is nobody to tell.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lossUnreported := w.draining && w.lost > w.reported // the gap is told of before anything else is held
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

// drain writes what is held until nothing is.
func (w *Writer) drain() {
	for !w.flush() {
		time.Sleep(drainInterval)
	}
}

// flush writes what the descriptor has room for, and tells whether nothing more is held.
func (w *Writer) flush() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.writePending()
	w.draining = w.draining && w.hasPending()
	return !w.hasPending()
}

// hasPending tells whether something is to be written once there is room. What a descriptor has refused waits for the next line.
func (w *Writer) hasPending() bool { return len(w.pending) > 0 || w.lost > w.reported && !w.failed }

// writePending writes what the descriptor has room for, and then the event that tells of lost lines.
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

// tryWrite writes a text if there is room, and gives how much of it was taken.
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

// isWritable tells whether a write would not wait. Where the reader has gone it does not: it fails.
func (w *Writer) isWritable() bool {
	fds := []unix.PollFd{{Fd: int32(w.fd), Events: unix.POLLOUT}}
	for {
		ready, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return ready > 0
		}
	}
}

// lostLinesEvent is the event that tells how many lines the log lacks.
func (w *Writer) lostLinesEvent() []byte {
	var line bytes.Buffer
	slog.New(NewHandler(&line)).LogAttrs(context.Background(), slog.LevelWarn, "log-lines-lost", slog.Int("lines", w.lost))
	return line.Bytes()
}
