package statefile

import (
	"sync"

	"ospreycroft/internal/distribution"
)

// Writer saves snapshots on a goroutine of its own, so that a slow disk holds nothing up. Of those that wait only the latest
// is written.
type Writer struct {
	mutex  sync.Mutex
	next   *distribution.Snapshot
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}
}

// NewWriter begins to write to a place, which is the writer's from then on. report is told, on the writer's goroutine, of the
// first error in a row and, with nil, of the first snapshot that is written after it.
func NewWriter(place *Place, report func(error)) *Writer {
	w := &Writer{wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run(place, report)
	return w
}

// Save hands a snapshot over and does not wait. The snapshot must not be changed any more.
func (w *Writer) Save(s *distribution.Snapshot) {
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

func (w *Writer) run(place *Place, report func(error)) {
	defer close(w.done)
	failed := false
	for last := false; !last; {
		select {
		case <-w.wake:
		case <-w.closed:
			last = true
		}
		s := w.take()
		if s == nil {
			continue
		}
		err := place.Save(s)
		if (err != nil) != failed {
			report(err)
		}
		failed = err != nil
	}
}

func (w *Writer) take() *distribution.Snapshot {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.next
	w.next = nil
	return s
}
