package atomicfile

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Format is what the first line of a file says of it.
type Format struct {
	Name    string // without spaces
	Version int
}

// Reasons why a file is not read.
var (
	// ErrTruncated is for a file that ends too early.
	ErrTruncated = errors.New("the file ends too early")
	// ErrChecksum is for a file that holds something else than was written.
	ErrChecksum = errors.New("the checksum is another")
)

// VersionError is for a file of another version of its format.
type VersionError struct{ Version int }

// Error says which version it is.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the file is of format version %d", e.Version)
}

// headerFormat is the rest of the first line: the version, the length of what follows in bytes, and its SHA-256.
const headerFormat = " %d %d %s\n"

// Frame puts the first line before a body.
func (f Format) Frame(body []byte) []byte {
	sum := sha256.Sum256(body)
	head := fmt.Appendf(nil, f.Name+headerFormat, f.Version, len(body), hex.EncodeToString(sum[:]))
	return append(head, body...)
}

// Unframe checks the first line and gives what is behind it. Errors: ErrTruncated, *VersionError, ErrChecksum, and what
// fmt.Sscanf says of a first line that is none.
func (f Format) Unframe(text []byte) ([]byte, error) {
	head, body, found := strings.Cut(string(text), "\n")
	if !found {
		return nil, ErrTruncated
	}
	var version, length int
	var sum string
	if n, err := fmt.Sscanf(head+"\n", f.Name+headerFormat, &version, &length, &sum); n < 3 {
		return nil, err
	}
	if version != f.Version {
		return nil, &VersionError{Version: version}
	}
	if len(body) < length {
		return nil, ErrTruncated
	}
	if string(text) != string(f.Frame([]byte(body))) {
		return nil, ErrChecksum
	}
	return []byte(body), nil
}
