// Package atomicfile replaces files atomically and detects incomplete or corrupt files when it reads them. Package
// snapshot stores a limiter's last endpoint list with it, and package statefile the state of the configuration
// distribution.
//
// Write creates a temporary file, syncs it, renames it over the old file and syncs the directory. A file begins with
// one line that holds the name and version of its format, and the length and SHA-256 of the body that follows.
package atomicfile

import (
	"os"
	"path/filepath"
)

// FileSystem is the set of disk operations that this package needs. Disk implements it with the operating system's
// files; tests use other implementations.
type FileSystem interface {
	// Read returns the contents of a file. If there is no such file, the error wraps fs.ErrNotExist.
	Read(path string) ([]byte, error)
	// Write creates or overwrites a file and returns once its contents are synced to the disk.
	Write(path string, text []byte) error
	// Rename renames a file and replaces the file at the new path, if there is one.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// Sync returns once the entries of a directory are synced to the disk.
	Sync(dir string) error
}

// temporarySuffix is appended to the path of the file that Write renames once it is complete.
const temporarySuffix = ".new"

// Write replaces the file at path atomically. If it fails before the rename, the previous file is unchanged; if only
// the final sync of the directory fails, the file may already be the new one.
func Write(files FileSystem, path string, text []byte) error {
	temporary := path + temporarySuffix
	if err := files.Write(temporary, text); err != nil { // synced, as a rename may reach the disk before the contents
		_ = files.Remove(temporary)
		return err
	}
	if err := files.Rename(temporary, path); err != nil {
		_ = files.Remove(temporary)
		return err
	}
	return files.Sync(filepath.Dir(path))
}

// Disk performs the operations on the files of the operating system.
type Disk struct{}

// Read returns the contents of a file.
func (Disk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Write creates or overwrites a file and syncs it.
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

// Rename renames a file and replaces the file at the new path, if there is one.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
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

// closeFile closes a file and stores the error of Close in err, unless err already holds an earlier one.
func closeFile(file *os.File, err *error) {
	if closeErr := file.Close(); *err == nil {
		*err = closeErr
	}
}
