package runner

import (
	"fmt"
	"time"
)

// StartError is a limiter whose process could not be started.
type StartError struct {
	Limiter      int
	Program, Log string
	Cause        error
}

// Error says what happened.
func (e *StartError) Error() string {
	return fmt.Sprintf("limiter %d: %s could not be started: %v", e.Limiter, e.Program, e.Cause)
}

// Hint says what to do about it.
func (e *StartError) Hint() string {
	return "build the program that limiters.program names (go build -o bin/ ./cmd/...), then see " + e.Log
}

// Unwrap gives the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// ReadyTimeoutError is a limiter that did not answer PING with +PONG in time.
type ReadyTimeoutError struct {
	Limiter int
	Timeout time.Duration
	Log     string
}

// Error says what happened.
func (e *ReadyTimeoutError) Error() string {
	return fmt.Sprintf("limiter %d was not ready within %v", e.Limiter, e.Timeout)
}

// Hint says what to do about it.
func (e *ReadyTimeoutError) Hint() string { return "see what it waited for in " + e.Log }

// CrashError is a limiter whose process ended though nobody had asked it to.
type CrashError struct {
	Limiter int
	At      int64 // nanoseconds on the run's clock
	Log     string
	Cause   error // how it ended, an *exec.ExitError; nil where it ended as if all were well
}

// Error says what happened.
func (e *CrashError) Error() string {
	return fmt.Sprintf("limiter %d ended by itself at %.3f s: %v", e.Limiter, float64(e.At)/1e9, e.Cause)
}

// Hint says what to do about it.
func (e *CrashError) Hint() string { return "its last lines in " + e.Log + " tell why" }

// Unwrap gives the cause.
func (e *CrashError) Unwrap() error { return e.Cause }

// StartSpreadError is a fleet whose processes were not all started within the time that "together" means.
type StartSpreadError struct{ Took time.Duration }

// Error says what happened.
func (e *StartSpreadError) Error() string {
	return fmt.Sprintf("starting all limiters took %v, more than %v", e.Took, maxStartSpread)
}

// Hint says what to do about it.
func (e *StartSpreadError) Hint() string {
	return "run fewer limiters, or with nothing else on the machine"
}
