package atomicfile

import "fmt"

// UnreadableError reports a file that exists but cannot be read.
type UnreadableError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%s %s cannot be read: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Hint implements hint.Error.
func (e *UnreadableError) Hint() string {
	return "give the program's user read permission for " + e.Path + ", and check the disk"
}

// TruncatedError reports a file that is shorter than its first line says, or that has no complete first line.
type TruncatedError struct {
	Kind  *Kind
	Path  string
	Bytes int // size of the file
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s %s is cut short at %d bytes", e.Kind.Name, e.Path, e.Bytes)
}

// Hint implements hint.Error.
func (e *TruncatedError) Hint() string {
	return e.Kind.RecoveryHint + "; if it happens again, the disk loses writes that it has confirmed"
}

// ChecksumError reports a file whose contents are not what was written: the first line is malformed, the checksum does
// not match, or the body is no valid value.
type ChecksumError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error implements error.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("%s %s is corrupt: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *ChecksumError) Unwrap() error { return e.Cause }

// Hint implements hint.Error.
func (e *ChecksumError) Hint() string {
	return e.Kind.RecoveryHint + "; if it happens again, check the disk, and which other process writes to " + e.Path
}

// FormatError reports a file with a version of its format that this program does not read.
type FormatError struct {
	Kind    *Kind
	Path    string
	Version int // of the file
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf(
		"%s %s has format version %d, this program reads %d",
		e.Kind.Name, e.Path, e.Version, e.Kind.Format.Version,
	)
}

// Hint implements hint.Error.
func (e *FormatError) Hint() string {
	return e.Kind.RecoveryHint + " with one in this program's format"
}

// WriteError reports a value that could not be written to the disk, or whose new directory entry could not be synced.
// The file holds the previous value; after a failed sync it may hold the new one.
type WriteError struct {
	Kind  *Kind
	Path  string
	Cause error
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("%s %s is not written: %v", e.Kind.Name, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Hint implements hint.Error.
func (e *WriteError) Hint() string {
	return "make room on the disk and let the program's user write there; until then a restart begins with " +
		e.Kind.Fallback
}
