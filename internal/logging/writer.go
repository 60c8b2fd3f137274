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
	maxHeld       = 256 << 10 // bytes of lines that wait for the log's reader
	atomicWrite   = 4096      // PIPE_BUF: a pipe that has room takes so many bytes whole, and at once
	drainInterval = 20 * time.Millisecond
	flushTimeout  = 200 * time.Millisecond
)

// Writer writes lines to a descriptor and never waits for its reader: the reducer logs, and all clients wait for the reducer. Lines
// for which the descriptor has no room are held, up to a bound, and written once it has; those beyond are lost, and counted in an
// event of their own. So are lines that the descriptor refuses. A regular file is taken to have room always.
type Writer struct {
	fd       int
	mayWait  bool // a write may wait unless the descriptor is asked before
	mutex    sync.Mutex
	held     []byte // in whole lines, but for the first, which may be written in part
	lost     int    // lines, since the start
	told     int    // of them, by the latest event
	refused  bool   // the descriptor has refused the latest write
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
	for end := time.Now().Add(flushTimeout); !writer.flushed(); time.Sleep(drainInterval) {
		if time.Now().After(end) {
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
	w := &Writer{fd: int(file.Fd()), mayWait: true}
	var status unix.Stat_t
	if err := unix.Fstat(w.fd, &status); err != nil {
		return w
	}
	switch status.Mode & unix.S_IFMT {
	case unix.S_IFREG:
		w.mayWait = false
	case unix.S_IFIFO:
		own, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", w.fd), unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
		if err == nil {
			w.fd, w.mayWait = own, false
		}
	}
	return w
}

// Write takes a line. It never fails: there is nobody to tell.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	behindGap := w.draining && w.lost > w.told // the gap is told of before anything else is held
	if behindGap || len(w.held)+len(line) > maxHeld {
		w.lost++
		return len(line), nil
	}
	w.held = append(w.held, line...)
	w.write()
	if w.waits() && !w.draining {
		w.draining = true
		go w.drain()
	}
	return len(line), nil
}

// drain writes what is held until nothing is.
func (w *Writer) drain() {
	for !w.flushed() {
		time.Sleep(drainInterval)
	}
}

// flushed writes what the descriptor has room for, and tells whether nothing more is held.
func (w *Writer) flushed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.write()
	w.draining = w.draining && w.waits()
	return !w.waits()
}

// waits tells whether something is to be written once there is room. What a descriptor has refused waits for the next line.
func (w *Writer) waits() bool { return len(w.held) > 0 || w.lost > w.told && !w.refused }

// write writes what the descriptor has room for, and then the event that tells of lost lines.
func (w *Writer) write() {
	for len(w.held) > 0 {
		written := w.put(w.held[:min(len(w.held), atomicWrite)])
		if w.refused {
			w.lost += bytes.Count(w.held, []byte("\n"))
			w.held = nil
			return
		}
		if written == 0 {
			return
		}
		w.held = w.held[written:]
	}
	if w.lost > w.told && w.put(w.lostLine()) > 0 {
		w.told = w.lost
	}
}

// put writes a text if there is room, and gives how much of it was taken.
func (w *Writer) put(text []byte) int {
	w.refused = false
	for !w.mayWait || w.hasRoom() {
		written, err := unix.Write(w.fd, text)
		switch {
		case err == nil:
			return written
		case errors.Is(err, unix.EAGAIN):
			return 0
		case !errors.Is(err, unix.EINTR):
			w.refused = true
			return 0
		}
	}
	return 0
}

// hasRoom tells whether a write would not wait. Where the reader has gone it does not: it fails.
func (w *Writer) hasRoom() bool {
	fds := []unix.PollFd{{Fd: int32(w.fd), Events: unix.POLLOUT}}
	for {
		ready, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return ready > 0
		}
	}
}

// lostLine is the event that tells how many lines the log lacks.
func (w *Writer) lostLine() []byte {
	var line bytes.Buffer
	slog.New(NewHandler(&line)).LogAttrs(context.Background(), slog.LevelWarn, "log-lines-lost", slog.Int("lines", w.lost))
	return line.Bytes()
}
