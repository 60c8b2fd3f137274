package snapshot

import (
	"os"
	"sync"
)

// Files is what a snapshot wants of a disk; Disk is the real one.
type Files interface {
	Read(path string) ([]byte, error)
	// Write makes or replaces a file and returns once its bytes are on the disk.
	Write(path string, text []byte) error
	Rename(from, to string) error
	Remove(path string) error
	// Sync returns once the names in a directory are on the disk.
	Sync(dir string) error
}

// Disk is the disk of this machine.
type Disk struct{}

// Read is a part of Files.
func (Disk) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Write is a part of Files.
func (Disk) Write(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if ended := f.Close(); err == nil {
		err = ended
	}
	return err
}

// Rename is a part of Files.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is a part of Files.
func (Disk) Remove(path string) error { return os.Remove(path) }

// Sync is a part of Files.
func (Disk) Sync(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if ended := f.Close(); err == nil {
		err = ended
	}
	return err
}

// Writer saves snapshots on a goroutine of its own, so that a slow disk holds up no request. Of those that wait only the latest
// is written.
type Writer struct {
	mutex  sync.Mutex
	next   *Snapshot
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}
}

// NewWriter begins to write to a place; report is told, on the writer's goroutine, of the first error of a row and, with nil,
// of the first snapshot that is written after it.
func NewWriter(files Files, place Place, report func(error)) *Writer {
	w := &Writer{wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run(files, place, report)
	return w
}

func (w *Writer) run(files Files, place Place, report func(error)) {
	defer close(w.done)
	failed := false
	for last := false; !last; {
		select {
		case <-w.wake:
		case <-w.closed:
			last = true
		}
		w.mutex.Lock()
		s := w.next
		w.next = nil
		w.mutex.Unlock()
		if s == nil {
			continue
		}
		err := place.Save(files, s)
		if (err != nil) != failed {
			report(err)
		}
		failed = err != nil
	}
}

// Save hands a snapshot over and does not wait.
func (w *Writer) Save(s *Snapshot) {
	w.mutex.Lock()
	w.next = s
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close returns once what was handed over is written. No Save may follow.
func (w *Writer) Close() {
	close(w.closed)
	<-w.done
}
