package statefile

import (
	"fmt"
	"time"

	"ospreycroft/internal/distribution"
)

// recoveryHint begins the hint of an error after which the next save replaces the file.
const recoveryHint = "nothing: the limiter reads the state from its relay, and the file is replaced"

// OwnerError reports a file that was written by another subscriber, in another installation or with another scope. The
// fields but Path are those in the file.
type OwnerError struct{ Path, Installation, Subscriber, Scope string }

// Error implements the error interface.
func (e *OwnerError) Error() string {
	return fmt.Sprintf(
		"the state file %s belongs to %q of installation %q with scope %q",
		e.Path,
		e.Subscriber,
		e.Installation,
		e.Scope,
	)
}

// Hint returns the advice to the operator.
func (e *OwnerError) Hint() string {
	return "nothing if the limiter's scope was changed; otherwise find out how the file came to " + e.Path
}

// StaleError reports a state that was last confirmed longer than MaxAge ago, or more than MaxAge in the future.
type StaleError struct {
	Path        string
	Age, MaxAge int64 // nanoseconds; a negative Age is in the future
}

// Error implements the error interface.
func (e *StaleError) Error() string {
	return fmt.Sprintf(
		"the state file %s was confirmed %v ago, the maximum age is %v",
		e.Path,
		time.Duration(e.Age),
		time.Duration(e.MaxAge),
	)
}

// Hint returns the advice to the operator.
func (e *StaleError) Hint() string {
	return recoveryHint +
		"; if the limiter ran meanwhile, find out why it was not written; if it is from the future, set the machine's clock"
}

// OlderError reports a snapshot that was not saved, because its version is older than the one in the file.
type OlderError struct {
	Path          string
	Stored, Given distribution.Version
}

// Error implements the error interface.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the state file %s holds version %v, and %v is older", e.Path, e.Stored, e.Given)
}

// Hint returns the advice to the operator.
func (e *OlderError) Hint() string {
	return "check whether two processes run under one name, or remove " + e.Path + " if the epochs have been restarted"
}
