// Package memfs is an in-memory implementation of atomicfile.FileSystem in which each operation can be made to fail,
// for tests of code that stores files.
package memfs

import (
	"io/fs"
	"slices"
	"syscall"
)

// Disk holds files by path. Its methods implement atomicfile.FileSystem; each appends the name of its operation to Log:
// read, write, rename, remove or sync. It is not safe for concurrent use.
type Disk struct {
	Files map[string][]byte
	Log   []string
	// FailingOperation is the operation that fails, with a *fs.PathError that wraps syscall.ENOSPC as on a full disk;
	// "" for none.
	FailingOperation  string
	PartialWriteBytes int       // the bytes that a failing write still stores
	WriteGate         chan bool // if not nil, each write waits to receive from it
}

// New returns an empty disk on which no operation fails.
func New() *Disk { return &Disk{Files: map[string][]byte{}} }

func (d *Disk) begin(op, path string) error {
	d.Log = append(d.Log, op)
	if op == d.FailingOperation {
		return &fs.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

// Read returns the contents of a file, or fs.ErrNotExist.
func (d *Disk) Read(path string) ([]byte, error) {
	if err := d.begin("read", path); err != nil {
		return nil, err
	}
	data, exists := d.Files[path]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return data, nil
}

// Write stores the contents of a file. A write that fails stores the first Keep bytes only.
func (d *Disk) Write(path string, data []byte) error {
	if d.WriteGate != nil {
		<-d.WriteGate
	}
	err := d.begin("write", path)
	if err != nil {
		data = data[:d.PartialWriteBytes]
	}
	d.Files[path] = slices.Clone(data)
	return err
}

// Rename moves a file, replacing the file at the new path.
func (d *Disk) Rename(from, to string) error {
	if err := d.begin("rename", to); err != nil {
		return err
	}
	d.Files[to] = d.Files[from]
	delete(d.Files, from)
	return nil
}

// Remove deletes a file. The file is deleted even if the operation is set to fail.
func (d *Disk) Remove(path string) error { delete(d.Files, path); return d.begin("remove", path) }

// Sync stands for the fsync of a directory, which makes renames in it durable.
func (d *Disk) Sync(dir string) error { return d.begin("sync", dir) }
