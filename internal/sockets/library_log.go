package sockets

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	nbiologging "github.com/lesismal/nbio/logging"
)

// libraryLogInterval is the minimum time between two log lines of the network library.
const libraryLogInterval = time.Second

// libraryLogger is nbio's logger. It passes errors on to the program's log, at most one per libraryLogInterval, and
// drops lower levels. nbio's default logger writes to standard output, at an unbounded rate, and blocks if nobody
// reads it.
type libraryLogger struct {
	mutex      sync.Mutex
	loggedAt   time.Time
	suppressed int // errors dropped since loggedAt
}

var _ nbiologging.Logger = (*libraryLogger)(nil)

// Debug implements nbio's logging.Logger and logs nothing.
func (*libraryLogger) Debug(string, ...any) {}

// Info implements nbio's logging.Logger and logs nothing.
func (*libraryLogger) Info(string, ...any) {}

// Warn implements nbio's logging.Logger and logs nothing.
func (*libraryLogger) Warn(string, ...any) {}

// Error implements nbio's logging.Logger.
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
