package atomicfile

import (
	"encoding/json"
	"errors"
	"io/fs"
)

// Kind is a kind of file that holds one value as JSON behind a first line, and what its errors say of it.
type Kind struct {
	Format Format
	// Name names a file of the kind in an error, before its path: "snapshot".
	Name string
	// Replaced ends up in hints: what becomes of a file that cannot be used.
	Replaced string
	// Older ends up in hints: what a restart begins with while the file is not written.
	Older string
}

// Load reads a file into a value. Errors: fs.ErrNotExist where there is none, *UnreadableError, *TruncatedError, *ChecksumError,
// *FormatError.
func (k *Kind) Load(files Files, path string, value any) error {
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

// Save writes a value whole or leaves the file that is there. Errors: *WriteError.
func (k *Kind) Save(files Files, path string, value any) error {
	body, err := json.Marshal(value)
	if err == nil {
		err = Write(files, path, k.Format.Frame(body))
	}
	if err != nil {
		return &WriteError{Kind: k, Path: path, Cause: err}
	}
	return nil
}
