package atomicfile

import "fmt"

// UnreadableError is for a file that is there and cannot be read.
type UnreadableError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error says what happened.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%s %s cannot be read: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *UnreadableError) Hint() string {
	return "let the program's user read " + e.Path + ", and look at the disk"
}

// TruncatedError is for a file that ends too early.
type TruncatedError struct {
	Kind  *Kind
	Path  string
	Bytes int
}

// Error says what happened.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s %s is cut short at %d bytes", e.Kind.Name, e.Path, e.Bytes)
}

// Hint is what to do.
func (e *TruncatedError) Hint() string {
	return e.Kind.Replaced + "; if it comes again, the disk loses what it has confirmed"
}

// ChecksumError is for a file that holds something else than was written.
type ChecksumError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error says what happened.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("%s %s does not hold what was written: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *ChecksumError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *ChecksumError) Hint() string {
	return e.Kind.Replaced + "; if it comes again, look at the disk and at who else writes to " + e.Path
}

// FormatError is for a file of another version of its format.
type FormatError struct {
	Kind    *Kind
	Path    string
	Version int
}

// Error says what happened.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s %s is of format version %d, not %d", e.Kind.Name, e.Path, e.Version, e.Kind.Format.Version)
}

// Hint is what to do.
func (e *FormatError) Hint() string { return e.Kind.Replaced + " by one of this program's format" }

// WriteError is for a value that did not come to the disk; the file before it is still there.
type WriteError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error says what happened.
func (e *WriteError) Error() string {
	return fmt.Sprintf("%s %s is not written: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap gives the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Hint is what to do.
func (e *WriteError) Hint() string {
	return "make room on the disk and let the program's user write there; until then a restart begins with " + e.Kind.Older
}
