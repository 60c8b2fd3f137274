package statefile

import (
	"fmt"
	"time"

	"ospreycroft/internal/distribution"
)

// next ends the hints of files that are replaced by themselves.
const next = "nothing: the limiter reads the state from its relay, and the file is replaced"

// UnreadableError is for a file that is there and cannot be read.
type UnreadableError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("the state file %s cannot be read: %v", e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *UnreadableError) Hint() string {
	return "let the limiter's user read " + e.Path + ", and look at the disk"
}

// TruncatedError is for a file that ends too early.
type TruncatedError struct {
	Path  string
	Bytes int
}

// Error says what happened.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the state file %s is cut short at %d bytes", e.Path, e.Bytes)
}

// Hint is what to do.
func (e *TruncatedError) Hint() string {
	return next + "; if it comes again, the disk loses what it has confirmed"
}

// ChecksumError is for a file that holds something else than was written.
type ChecksumError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("the state file %s does not hold what was written: %v", e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *ChecksumError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *ChecksumError) Hint() string {
	return next + "; if it comes again, look at the disk and at who else writes to " + e.Path
}

// FormatError is for a file of another version of the format.
type FormatError struct {
	Path    string
	Version int
}

// Error says what happened.
func (e *FormatError) Error() string {
	return fmt.Sprintf("the state file %s is of format version %d, not %d", e.Path, e.Version, fileFormat.Version)
}

// Hint is what to do.
func (e *FormatError) Hint() string { return next + " by one of this program's format" }

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
	return next + "; if the limiter ran meanwhile, look at why it was not written; if it is from the future, set the machine's clock"
}

// OlderError is for a snapshot that is older than the one in the file.
type OlderError struct {
	Path        string
	Held, Given distribution.Version
}

// Error says what happened.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the state file %s holds version %v, and %v is older", e.Path, e.Held, e.Given)
}

// Hint is what to do.
func (e *OlderError) Hint() string {
	return "look at whether two processes run with one name, or remove " + e.Path + " where the epochs were begun anew"
}

// WriteError is for a snapshot that did not come to the disk; the one before it is still there.
type WriteError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (e *WriteError) Error() string {
	return fmt.Sprintf("the state file %s is not written: %v", e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *WriteError) Hint() string {
	return "make room on the disk and let the limiter's user write there; until then a restart begins with an older state"
}
