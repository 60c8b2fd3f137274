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
func (f *OwnerError) Error() string {
	return fmt.Sprintf("snapshot %s is of limiter %q of installation %q", f.Path, f.Limiter, f.Installation)
}

// Hint is what to do.
func (f *OwnerError) Hint() string {
	return "give each installation a snapshot.path of its own, and look at how the file came to " + f.Path
}

// StaleError is a file taken too long ago, or in the future.
type StaleError struct {
	Path        string
	Age, MaxAge int64 // nanoseconds
}

// Error says what happened.
func (o *StaleError) Error() string {
	return fmt.Sprintf(
		"snapshot %s was taken %v ago, no more than %v is believed",
		o.Path,
		time.Duration(o.Age),
		time.Duration(o.MaxAge),
	)
}

// Hint is what to do.
func (o *StaleError) Hint() string {
	return "nothing after a long stop; if the limiter ran meanwhile, look for event=snapshot-unwritten in its log; if it is from the " +
		"future, set the machine's clock"
}
