package snapshot

import (
	"fmt"
	"time"
)

// OwnerError is another limiter's file, or another installation's.
type OwnerError struct {
	Path, Installation, Limiter string
}

// Error says what happened.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("snapshot %s is of limiter %q of installation %q", e.Path, e.Limiter, e.Installation)
}

// Hint is what to do.
func (e *OwnerError) Hint() string {
	return "give each installation a snapshot.path of its own, and look at how the file came to " + e.Path
}

// StaleError is a file taken too long ago, or in the future.
type StaleError struct {
	Path        string
	Age, MaxAge int64 // nanoseconds
}

// Error says what happened.
func (e *StaleError) Error() string {
	return fmt.Sprintf(
		"snapshot %s was taken %v ago, no more than %v is believed",
		e.Path,
		time.Duration(e.Age),
		time.Duration(e.MaxAge),
	)
}

// Hint is what to do.
func (e *StaleError) Hint() string {
	return "nothing after a long stop; if the limiter ran meanwhile, look for event=snapshot-unwritten in its log; if it is from the " +
		"future, set the machine's clock"
}
