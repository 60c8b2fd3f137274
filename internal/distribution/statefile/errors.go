package statefile

import (
	"fmt"
	"time"

	"ospreycroft/internal/distribution"
)

// recoveryHint begins the hints of files that are recoveryHint by themselves.
const recoveryHint = "nothing: the limiter reads the state from its relay, and the file is replaced"

// OwnerError is for the file of another subscriber, of another installation, or of another scope.
type OwnerError struct{ Path, Installation, Subscriber, Scope string }

// Error says what happened.
func (e *OwnerError) Error() string {
	return fmt.Sprintf(
		"the state file %s is of %q of installation %q with scope %q",
		e.Path,
		e.Subscriber,
		e.Installation,
		e.Scope,
	)
}

// Hint is what to do.
func (e *OwnerError) Hint() string {
	return "nothing after a change of the limiter's scope; else look at how the file came to " + e.Path
}

// StaleError is for a file that was confirmed too long ago, or in the future.
type StaleError struct {
	Path        string
	Age, MaxAge int64 // nanoseconds
}

// Error says what happened.
func (e *StaleError) Error() string {
	return fmt.Sprintf(
		"the state file %s was confirmed %v ago, no more than %v is believed",
		e.Path,
		time.Duration(e.Age),
		time.Duration(e.MaxAge),
	)
}

// Hint is what to do.
func (e *StaleError) Hint() string {
	return recoveryHint + "; if the limiter ran meanwhile, look at why it was not written; if it is from the future, set the machine's clock"
}

// OlderError is for a snapshot that is older than the one in the file.
type OlderError struct {
	Path          string
	Stored, Given distribution.Version
}

// Error says what happened.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the state file %s holds version %v, and %v is older", e.Path, e.Stored, e.Given)
}

// Hint is what to do.
func (e *OlderError) Hint() string {
	return "look at whether two processes run with one name, or remove " + e.Path + " where the epochs were begun anew"
}
