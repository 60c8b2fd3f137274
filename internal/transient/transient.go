// Package transient tells the errors that pass by themselves, and makes what a program does at its start again when it fails by
// one of them.
package transient

import (
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"ospreycroft/internal/hint"
)

// localFailures are the errors of socket, connect, accept and dup that this machine is to blame for: it is short of
// descriptors, memory, ports or a route.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOSPC,
}

// startFailures are further errors that pass while a program starts: a disk that fails a read, and a port that the process's own
// former life, or somebody's outgoing connection, still holds.
var startFailures = []error{syscall.EIO, syscall.EADDRINUSE}

const (
	maxStartAttempts   = 40
	startRetryInterval = 50 * time.Millisecond
)

// IsLocalFailure tells whether an error is this machine's own. Such a failure passes, mostly within milliseconds, and says
// nothing of the other side.
func IsLocalFailure(err error) bool { return IsAny(err, localFailures) }

// IsAny tells whether an error is, or wraps, one of some errors.
func IsAny(err error, errs []error) bool {
	return slices.ContainsFunc(errs, func(target error) bool { return errors.Is(err, target) })
}

// RetryStart does something until it succeeds, or fails by an error that does not pass by itself, or has failed for two
// seconds: a program has to be ready soon, or to say why it is not.
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
