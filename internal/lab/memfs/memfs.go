// Package memfs is a disk in memory on which each step may fail, for what keeps files: see atomicfile.Files.
package memfs

import (
	"io/fs"
	"slices"
	"syscall"
)

// Disk holds files by path. Its methods are those of the files that it stands in for; each notes itself in Log as read,
// write, rename, remove or sync. It is for one goroutine at a time.
type Disk struct {
	Held map[string][]byte
	Log  []string
	Fail string    // the step that fails, as on a disk that is full: a *fs.PathError over syscall.ENOSPC,
	Keep int       // and where that is a write, after so many bytes
	Gate chan bool // a write waits for a word on it; nil for none
}

// New makes an empty disk on which nothing fails.
func New() *Disk { return &Disk{Held: map[string][]byte{}} }

func (d *Disk) begin(op, path string) error {
	d.Log = append(d.Log, op)
	if op == d.Fail {
		return &fs.PathError{Op: op, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

// Read gives a file's bytes, or fs.ErrNotExist.
func (d *Disk) Read(path string) ([]byte, error) {
	if err := d.begin("read", path); err != nil {
		return nil, err
	}
	data, exists := d.Held[path]
	if !exists {
		return nil, fs.ErrNotExist
	}
	return data, nil
}

// Write puts the bytes in a file, or the first Keep of them where it fails.
func (d *Disk) Write(path string, data []byte) error {
	if d.Gate != nil {
		<-d.Gate
	}
	err := d.begin("write", path)
	if err != nil {
		data = data[:d.Keep]
	}
	d.Held[path] = slices.Clone(data)
	return err
}

// Rename puts one file in another's place.
func (d *Disk) Rename(from, to string) error {
	if err := d.begin("rename", to); err != nil {
		return err
	}
	d.Held[to] = d.Held[from]
	delete(d.Held, from)
	return nil
}

// Remove takes a file away, also where it then fails.
func (d *Disk) Remove(path string) error { delete(d.Held, path); return d.begin("remove", path) }

// Sync makes what was renamed in a directory last.
func (d *Disk) Sync(dir string) error { return d.begin("sync", dir) }
