package snapshot

import (
	"fmt"
	"time"
)

// UnreadableError is a file that is there and cannot be read.
type UnreadableError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (u *UnreadableError) Error() string {
	return fmt.Sprintf("snapshot %s cannot be read: %v", u.Path, u.Cause)
}

// Hint is what to do.
func (u *UnreadableError) Hint() string {
	return "let the limiter's user read " + u.Path + ", and look at the disk"
}

// Unwrap gives the cause.
func (u *UnreadableError) Unwrap() error { return u.Cause }

// TruncatedError is a file that ends too early.
type TruncatedError struct {
	Path  string
	Bytes int
}

// Error says what happened.
func (c *TruncatedError) Error() string {
	return fmt.Sprintf("snapshot %s is cut short at %d bytes", c.Path, c.Bytes)
}

// Hint is what to do.
func (c *TruncatedError) Hint() string {
	return "nothing: the next list replaces it; if it comes again, the disk loses what it has confirmed"
}

// ChecksumError is a file that holds something else than was written.
type ChecksumError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (s *ChecksumError) Error() string {
	return fmt.Sprintf("snapshot %s is spoilt: %v", s.Path, s.Cause)
}

// Hint is what to do.
func (s *ChecksumError) Hint() string {
	return "nothing: the next list replaces it; if it comes again, look at the disk and at who else writes to " + s.Path
}

// Unwrap gives the cause.
func (s *ChecksumError) Unwrap() error { return s.Cause }

// FormatError is a file of another version of the format.
type FormatError struct {
	Path    string
	Version int
}

// Error says what happened.
func (o *FormatError) Error() string {
	return fmt.Sprintf("snapshot %s is of version %d, not %d", o.Path, o.Version, fileFormat.Version)
}

// Hint is what to do.
func (o *FormatError) Hint() string {
	return "nothing: the next list replaces it by one of this program's version"
}

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

// WriteError is a snapshot that did not come to the disk; the one before it is still there.
type WriteError struct {
	Path  string
	Cause error
}

// Error says what happened.
func (u *WriteError) Error() string {
	return fmt.Sprintf("snapshot %s is not written: %v", u.Path, u.Cause)
}

// Hint is what to do.
func (u *WriteError) Hint() string {
	return "make room on the disk and let the limiter's user write there; until then a restart begins with an older list"
}

// Unwrap gives the cause.
func (u *WriteError) Unwrap() error { return u.Cause }
