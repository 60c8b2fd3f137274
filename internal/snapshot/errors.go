package snapshot

import (
	"fmt"
	"time"
)

// OwnerError reports the file of another limiter or installation.
type OwnerError struct {
	Path, Installation, Limiter string // Installation and Limiter as in the file
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("snapshot %s belongs to limiter %q of installation %q", e.Path, e.Limiter, e.Installation)
}

// Hint implements hint.Error.
func (e *OwnerError) Hint() string {
	return "give each installation a snapshot.path of its own, and find out how the file came to " + e.Path
}

// StaleError reports a snapshot that is older than MaxAge, or more than MaxAge in the future.
type StaleError struct {
	Path        string
	Age, MaxAge int64 // nanoseconds; Age is negative for a time in the future
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf(
		"snapshot %s was taken %v ago, the maximum age is %v",
		e.Path,
		time.Duration(e.Age),
		time.Duration(e.MaxAge),
	)
}

// Hint implements hint.Error.
func (e *StaleError) Hint() string {
	return "nothing after a long stop; if the limiter ran meanwhile, look for event=snapshot-unwritten in its log; " +
		"if the age is negative, set the machine's clock"
}
