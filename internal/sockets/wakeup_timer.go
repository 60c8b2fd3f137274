package sockets

import (
	"log/slog"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// runtimeMonitorDelay is how long the poller may keep its Go processor (P) while it is blocked in the kernel. The
// runtime's monitor checks every 10 ms in an idle process and takes the processor back on the second check. With a
// single processor, no runtime timer fires until then.
const runtimeMonitorDelay = 20 * time.Millisecond

// backupDelay is how much later than the kernel's timer the runtime's timer is set, if both are set, so that only one
// thread wakes up.
const backupDelay = time.Millisecond

// wakeupTimer is a kernel timer (timerfd) that ends the poller's wait, so that the reducer runs in time even if the
// poller keeps the only Go processor. It is used for waits of up to runtimeMonitorDelay; longer ones use a runtime
// timer.
type wakeupTimer struct {
	conn *nbio.Conn // nil if the timer could not be created; then runtime timers are used, which may fire late
	at   int64      // the limiter's time for which the timer is set, nanoseconds
}

// timerFile makes a net.Conn of a timer's descriptor, as nbio.NBConn requires.
type timerFile struct{ *os.File }

// LocalAddr implements net.Conn; it returns nil.
func (timerFile) LocalAddr() net.Addr { return nil }

// RemoteAddr implements net.Conn; it returns nil.
func (timerFile) RemoteAddr() net.Addr { return nil }

// newWakeupTimer adds a timer to the engine's poller. If that fails, it logs the error and returns an unusable timer.
func newWakeupTimer(engine *nbio.Engine) *wakeupTimer {
	timer := &wakeupTimer{}
	if err := timer.addTo(engine); err != nil {
		slog.Warn("wakeup-timer-failed", "error", err)
	}
	return timer
}

// addTo creates the kernel timer and registers it with the engine's poller.
func (w *wakeupTimer) addTo(engine *nbio.Engine) error {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_CLOEXEC)
	if err != nil {
		return os.NewSyscallError("timerfd_create", err)
	}
	file := timerFile{os.NewFile(uintptr(fd), "timerfd")}
	conn, err := nbio.NBConn(file) // NBConn duplicates the descriptor and closes file
	if err != nil {
		_ = file.Close()
		return err
	}
	conn.SetSession(w)
	if _, err = engine.AddConn(conn); err != nil {
		return err
	}
	w.conn = conn
	return nil
}

// set sets the timer to expire after wait, which ends at the limiter's time at, and reports whether the poller will be
// woken then. A timer set earlier is not cancelled if set returns false, so the poller may also be woken needlessly.
func (w *wakeupTimer) set(at int64, wait time.Duration) bool {
	if w.conn == nil || wait <= 0 || wait > runtimeMonitorDelay {
		return false
	}
	if at == w.at {
		return true
	}
	w.conn.Lock()
	defer w.conn.Unlock()
	if closed, _ := w.conn.IsClosed(); closed {
		return false
	}
	expiry := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait))}
	if err := unix.TimerfdSettime(w.conn.Hash(), 0, &expiry, nil); err != nil {
		return false
	}
	w.at = at
	return true
}

// onWakeupTimer wakes the reducer and yields to it before the poller waits again. The timer's expiration count need
// not be read: setting the timer again clears it, and an edge-triggered poller gets one event for each expiration.
func (s *Sockets) onWakeupTimer() {
	s.wake()
	runtime.Gosched()
}

// onClose closes the descriptor, which nbio does not do for descriptors other than sockets.
func (w *wakeupTimer) onClose(conn *nbio.Conn) { _ = unix.Close(conn.Hash()) }
