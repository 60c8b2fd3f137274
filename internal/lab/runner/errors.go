package runner

import (
	"fmt"
	"time"
)

// StartError reports a limiter whose process could not be started.
type StartError struct {
	Limiter      int    // number of the limiter, from 0
	Program, Log string // paths of the executable and of the limiter's log
	Cause        error
}

// Error returns the limiter, the program and the cause.
func (e *StartError) Error() string {
	return fmt.Sprintf("limiter %d: %s could not be started: %v", e.Limiter, e.Program, e.Cause)
}

// Hint returns the command that builds the program and the log to read.
func (e *StartError) Hint() string {
	return "build the program that limiters.program names (go build -o bin/ ./cmd/...), then see " + e.Log
}

// Unwrap returns Cause.
func (e *StartError) Unwrap() error { return e.Cause }

// ReadyTimeoutError reports a limiter that did not answer PING with +PONG within Timeout.
type ReadyTimeoutError struct {
	Limiter int // number of the limiter, from 0
	Timeout time.Duration
	Log     string // path of the limiter's log
}

// Error returns the limiter and the timeout.
func (e *ReadyTimeoutError) Error() string {
	return fmt.Sprintf("limiter %d was not ready within %v", e.Limiter, e.Timeout)
}

// Hint names the log that shows what the limiter was waiting for.
func (e *ReadyTimeoutError) Hint() string { return "see what the limiter was waiting for in " + e.Log }

// CrashError reports a limiter whose process ended although it had been sent neither SIGTERM nor SIGKILL.
type CrashError struct {
	Limiter int    // number of the limiter, from 0
	At      int64  // nanoseconds on the run's clock
	Log     string // path of the limiter's log
	Cause   error  // the result of Wait, usually an *exec.ExitError; nil if the exit status was 0
}

// Error returns the limiter, the time of the exit in seconds and the cause.
func (e *CrashError) Error() string {
	return fmt.Sprintf("limiter %d ended by itself at %.3f s: %v", e.Limiter, float64(e.At)/1e9, e.Cause)
}

// Hint names the log whose last lines show the reason.
func (e *CrashError) Hint() string { return "read the last lines of " + e.Log + " for the reason" }

// Unwrap returns Cause.
func (e *CrashError) Unwrap() error { return e.Cause }

// StartSpreadError reports a fleet with start = "together" whose processes took longer than maxStartSpread to start.
type StartSpreadError struct{ Took time.Duration }

// Error returns the time taken and the limit.
func (e *StartSpreadError) Error() string {
	return fmt.Sprintf("starting all limiters took %v, more than %v", e.Took, maxStartSpread)
}

// Hint returns how to shorten the start.
func (e *StartSpreadError) Hint() string {
	return "run fewer limiters, or run them on an otherwise idle machine"
}
