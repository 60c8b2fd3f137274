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

// runtimeMonitorDelay is how long the poller may keep the processor of the Go runtime once it waits in the kernel: the
// runtime's monitor, which looks every 10 ms on an idle process, takes it back the second time that it looks. No timer of
// the runtime runs until then.
const runtimeMonitorDelay = 20 * time.Millisecond

// backupDelay is how much later the runtime's timer is set where the kernel's is set, too, so that one thread wakes and not two.
const backupDelay = time.Millisecond

// wakeupTimer is a timer of the kernel's that ends the poller's wait, so that the reducer runs in time although the poller
// has the process's one processor. It is set for times within runtimeMonitorDelay; the runtime's timers do for others.
type wakeupTimer struct {
	conn *nbio.Conn // nil where it could not be had; the runtime's timers do then, late now and then
	at   int64      // the limiter's time that it is set for
}

// timerFile makes a timer's descriptor what nbio takes over: a net.Conn.
type timerFile struct{ *os.File }

// LocalAddr is part of net.Conn; a timer has none.
func (timerFile) LocalAddr() net.Addr { return nil }

// RemoteAddr is part of net.Conn; a timer has none.
func (timerFile) RemoteAddr() net.Addr { return nil }

// newWakeupTimer adds a timer to what the poller waits for.
func newWakeupTimer(engine *nbio.Engine) *wakeupTimer {
	timer := &wakeupTimer{}
	if err := timer.addTo(engine); err != nil {
		slog.Warn("wakeup-timer-failed", "error", err)
	}
	return timer
}

func (w *wakeupTimer) addTo(engine *nbio.Engine) error {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_CLOEXEC)
	if err != nil {
		return os.NewSyscallError("timerfd_create", err)
	}
	file := timerFile{os.NewFile(uintptr(fd), "timerfd")}
	conn, err := nbio.NBConn(file) // it has a descriptor of its own, and closes this one
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

// set has the poller woken at a time that is so far away, and tells whether it will be. The poller may be woken without
// need: a time that it was set for before is not taken back.
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

// onWakeupTimer has the reducer run before the poller goes back to wait. The count of expiries need not be read: it is cleared
// as the timer is set again, and the poller is told of each expiry once.
func (s *Sockets) onWakeupTimer() {
	s.wake()
	runtime.Gosched()
}

// onClose gives the descriptor back, which nbio leaves to its owner for what is no socket.
func (w *wakeupTimer) onClose(conn *nbio.Conn) { _ = unix.Close(conn.Hash()) }
