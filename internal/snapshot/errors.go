package snapshot

import (
	"fmt"
	"time"
)

// Unreadable is a file that is there and cannot be read.
type Unreadable struct {
	Path string
	Err  error
}

func (u *Unreadable) Error() string {
	return fmt.Sprintf("snapshot %s cannot be read: %v", u.Path, u.Err)
}

// Hint is what to do.
func (u *Unreadable) Hint() string {
	return "let the limiter's user read " + u.Path + ", and look at the disk"
}

func (u *Unreadable) Unwrap() error { return u.Err }

// CutShort is a file that ends too early.
type CutShort struct {
	Path  string
	Bytes int
}

func (c *CutShort) Error() string {
	return fmt.Sprintf("snapshot %s is cut short at %d bytes", c.Path, c.Bytes)
}

// Hint is what to do.
func (c *CutShort) Hint() string {
	return "nothing: the next list replaces it; if it comes again, the disk loses what it has confirmed"
}

// Spoilt is a file that holds something else than was written.
type Spoilt struct {
	Path string
	Err  error
}

func (s *Spoilt) Error() string { return fmt.Sprintf("snapshot %s is spoilt: %v", s.Path, s.Err) }

// Hint is what to do.
func (s *Spoilt) Hint() string {
	return "nothing: the next list replaces it; if it comes again, look at the disk and at who else writes to " + s.Path
}

func (s *Spoilt) Unwrap() error { return s.Err }

// Other is a file of another version of the format.
type Other struct {
	Path    string
	Version int
}

func (o *Other) Error() string {
	return fmt.Sprintf("snapshot %s is of version %d, not %d", o.Path, o.Version, version)
}

// Hint is what to do.
func (o *Other) Hint() string {
	return "nothing: the next list replaces it by one of this program's version"
}

// Foreign is another limiter's file, or another installation's.
type Foreign struct {
	Path, Installation, Limiter string
}

func (f *Foreign) Error() string {
	return fmt.Sprintf("snapshot %s is of limiter %q of installation %q", f.Path, f.Limiter, f.Installation)
}

// Hint is what to do.
func (f *Foreign) Hint() string {
	return "give each installation a snapshot.path of its own, and look at how the file came to " + f.Path
}

// Old is a file taken too long ago, or in the future.
type Old struct {
	Path        string
	Age, Oldest int64 // nanoseconds
}

func (o *Old) Error() string {
	return fmt.Sprintf("snapshot %s was taken %v ago, no more than %v is believed", o.Path, time.Duration(o.Age), time.Duration(o.Oldest))
}

// Hint is what to do.
func (o *Old) Hint() string {
	return "nothing after a long stop; if the limiter ran meanwhile, look for event=snapshot-unwritten in its log; if it is from the " +
		"future, set the machine's clock"
}

// Unwritten is a snapshot that did not come to the disk; the one before it is still there.
type Unwritten struct {
	Path string
	Err  error
}

func (u *Unwritten) Error() string {
	return fmt.Sprintf("snapshot %s is not written: %v", u.Path, u.Err)
}

// Hint is what to do.
func (u *Unwritten) Hint() string {
	return "make room on the disk and let the limiter's user write there; until then a restart begins with an older list"
}

func (u *Unwritten) Unwrap() error { return u.Err }
