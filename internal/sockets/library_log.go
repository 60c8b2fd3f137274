package sockets

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	nbiologging "github.com/lesismal/nbio/logging"
)

// libraryLogInterval is how far apart lines of the network library are in the log.
const libraryLogInterval = time.Second

// libraryLogger puts what the network library says of its errors into the program's log, at intervals. By itself it writes to
// standard output, without a bound and waiting for whoever reads that.
type libraryLogger struct {
	mutex      sync.Mutex
	loggedAt   time.Time
	suppressed int // not logged since
}

var _ nbiologging.Logger = (*libraryLogger)(nil)

// Debug is a method of the library's Logger; nothing is logged.
func (*libraryLogger) Debug(string, ...any) {}

// Info is a method of the library's Logger; nothing is logged.
func (*libraryLogger) Info(string, ...any) {}

// Warn is a method of the library's Logger; nothing is logged.
func (*libraryLogger) Warn(string, ...any) {}

// Error is a method of the library's Logger.
func (l *libraryLogger) Error(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt) < libraryLogInterval {
		l.suppressed++
		return
	}
	slog.Error("network-library-failed", "error", fmt.Sprintf(format, values...), "left_out", l.suppressed)
	l.loggedAt = now
	l.suppressed = 0
}
