// Package atomicfile writes files whole or not at all, and reads back only what was written whole: the last good list of a
// limiter (package snapshot) and the state of the configuration distribution (package statefile) use it.
//
// A file is a new file, synced, renamed over the old one, with its directory synced. It begins with one line that says what it
// is, its format's version, the length of what follows and its SHA-256.
package atomicfile

import (
	"os"
	"path/filepath"
)

// Files is what this package wants of a disk; Disk is the real one.
type Files interface {
	// Read reads a file. The error is fs.ErrNotExist where there is none.
	Read(path string) ([]byte, error)
	// Write makes or replaces a file and returns once its bytes are on the disk.
	Write(path string, text []byte) error
	// Rename gives a file another name, in the place of the file that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// Sync returns once the names in a directory are on the disk.
	Sync(dir string) error
}

// temporarySuffix is the ending of a file that is not whole yet.
const temporarySuffix = ".new"

// Write writes a file whole or leaves the one that is there.
func Write(files Files, path string, text []byte) error {
	temporary := path + temporarySuffix
	if err := files.Write(temporary, text); err != nil { // it syncs: a rename may reach the disk before what it renames
		_ = files.Remove(temporary)
		return err
	}
	if err := files.Rename(temporary, path); err != nil {
		_ = files.Remove(temporary)
		return err
	}
	return files.Sync(filepath.Dir(path))
}

// Disk is the disk of this machine.
type Disk struct{}

// Read reads a file.
func (Disk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Write writes and syncs a file.
func (Disk) Write(path string, text []byte) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	defer closeFile(file, &err)
	if _, err := file.Write(text); err != nil {
		return err
	}
	return file.Sync()
}

// Rename renames a file.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Sync syncs a directory.
func (Disk) Sync(dir string) (err error) {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer closeFile(opened, &err)
	return opened.Sync()
}

// closeFile closes a file and keeps the error of that if there is no other.
func closeFile(file *os.File, err *error) {
	if closeErr := file.Close(); *err == nil {
		*err = closeErr
	}
}
