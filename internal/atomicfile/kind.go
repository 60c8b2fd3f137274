package atomicfile

import (
	"encoding/json"
	"errors"
	"io/fs"
)

// Kind describes files that hold one value as JSON after the first line: their format, and the words that errors about
// them use.
type Kind struct {
	Format Format
	// Name stands before the path in an error, for example "snapshot".
	Name string
	// RecoveryHint begins the hint for a file that cannot be used: what the operator has to do, and what replaces the
	// file.
	RecoveryHint string
	// Fallback ends the hint for a file that cannot be written: what a restarted program loads meanwhile, for example
	// "an older list".
	Fallback string
}

// Load decodes a file into value, a pointer. Errors: fs.ErrNotExist if there is no file, *UnreadableError,
// *TruncatedError, *ChecksumError, *FormatError.
func (k *Kind) Load(files FileSystem, path string, value any) error {
	text, err := files.Read(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return fs.ErrNotExist
	case err != nil:
		return &UnreadableError{Kind: k, Path: path, Cause: err}
	}
	body, err := k.Format.Unframe(text)
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	var version *VersionError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrTruncated):
		return &TruncatedError{Kind: k, Path: path, Bytes: len(text)}
	case errors.As(err, &version):
		return &FormatError{Kind: k, Path: path, Version: version.Version}
	}
	return &ChecksumError{Kind: k, Path: path, Cause: err}
}

// Save replaces the file at path with the encoded value, as Write does. Errors: *WriteError.
func (k *Kind) Save(files FileSystem, path string, value any) error {
	body, err := json.Marshal(value)
	if err == nil {
		err = Write(files, path, k.Format.Frame(body))
	}
	if err != nil {
		return &WriteError{Kind: k, Path: path, Cause: err}
	}
	return nil
}
