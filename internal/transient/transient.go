// Package transient recognizes errors that are likely to be temporary, and retries the operations of a program's start
// that fail with one of them.
package transient

import (
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"ospreycroft/internal/hint"
)

// localFailures are the errors of socket, connect, accept and dup with a cause on this machine: it lacks descriptors,
// memory, ports or a route.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOSPC,
}

// startFailures are further errors that may be temporary when a program starts: a failed read from the disk, and a port
// that is still in use by the previous process or by an outgoing connection.
var startFailures = []error{syscall.EIO, syscall.EADDRINUSE}

const (
	maxStartAttempts   = 40
	startRetryInterval = 50 * time.Millisecond
)

// IsLocalFailure reports whether an error has its cause on this machine. Such a failure is temporary, mostly for
// milliseconds, and says nothing about the remote side.
func IsLocalFailure(err error) bool { return IsAny(err, localFailures) }

// IsAny reports whether errors.Is holds for err and one of errs.
func IsAny(err error, errs []error) bool {
	return slices.ContainsFunc(errs, func(target error) bool { return errors.Is(err, target) })
}

// RetryStart calls operation until it succeeds, fails with an error that is not temporary, or has failed for two
// seconds, and returns its last error. The time is bounded so that a program is soon ready or reports why it is not.
func RetryStart(operation func() error) (err error) {
	for attempt := 1; attempt <= maxStartAttempts; attempt++ {
		err = operation()
		retryable := IsLocalFailure(err) || IsAny(err, startFailures)
		if err == nil || !retryable {
			return err
		}
		if attempt == 1 {
			slog.Warn("start-retried", hint.Attrs(err)...)
		}
		time.Sleep(startRetryInterval)
	}
	return err
}
