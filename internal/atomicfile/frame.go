package atomicfile

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// Format identifies a file format in the first line of a file.
type Format struct {
	Name    string // without spaces
	Version int
}

// Errors of Unframe.
var (
	// ErrTruncated reports a file without a complete first line, or with a body shorter than the first line says.
	ErrTruncated = errors.New("file is truncated")
	// ErrChecksum reports a body that has another length or SHA-256 than the first line says.
	ErrChecksum = errors.New("checksum mismatch")
)

// VersionError reports a file with another version of the format.
type VersionError struct{ Version int }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("file has format version %d", e.Version)
}

// headerFormat is the part of the first line after the name: the version, the length of the body in bytes, and the
// body's SHA-256 in hexadecimal.
const headerFormat = " %d %d %s\n"

// Frame returns a file's contents: the first line and the body.
func (f Format) Frame(body []byte) []byte {
	sum := sha256.Sum256(body)
	head := fmt.Appendf(nil, f.Name+headerFormat, f.Version, len(body), hex.EncodeToString(sum[:]))
	return append(head, body...)
}

// Unframe checks the first line of a file and returns the body. Errors: ErrTruncated, *VersionError, ErrChecksum, and
// for a malformed first line the error of fmt.Sscanf.
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
